package standin

import (
	"container/list"

	"ragwortpond.example/ragwortpond/fleet"
)

// prefixCache is a prefix cache of limited memory: a prompt finds the longest
// run of its leading messages that is held. It is not safe for concurrent use.
type prefixCache struct {
	limit  int
	tokens int
	blocks map[uint64]*list.Element
	recent *list.List
	chats  map[fleet.ChatKey][]link
	// changed is called when a chat's held tokens change.
	changed func(chat fleet.ChatKey, stored bool, tokens int)
}

type cacheBlock struct {
	link
	chat fleet.ChatKey
}

func newPrefixCache(limit int, changed func(fleet.ChatKey, bool, int)) *prefixCache {
	return &prefixCache{
		limit: limit, blocks: map[uint64]*list.Element{}, recent: list.New(),
		chats: map[fleet.ChatKey][]link{}, changed: changed,
	}
}

// lookup returns how many leading tokens of the chain are held.
func (c *prefixCache) lookup(chain []link) int {
	held := 0
	for _, l := range chain {
		if _, ok := c.blocks[l.hash]; !ok {
			break
		}
		held += l.tokens
	}
	return held
}

// store holds the chain for a chat and evicts what was used longest ago; the
// end of a chain goes before its beginning.
func (c *prefixCache) store(chat fleet.ChatKey, chain []link) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(chat, chain[i])
	}
	c.chats[chat] = chain
	for c.tokens > c.limit && c.recent.Len() > 0 {
		c.evict(c.recent.Back())
	}
	if held := c.lookup(chain); held > 0 {
		c.changed(chat, true, held)
	}
}

func (c *prefixCache) touch(chat fleet.ChatKey, l link) {
	if e, ok := c.blocks[l.hash]; ok {
		e.Value.(*cacheBlock).chat = chat
		c.recent.MoveToFront(e)
		return
	}
	c.blocks[l.hash] = c.recent.PushFront(&cacheBlock{link: l, chat: chat})
	c.tokens += l.tokens
}

func (c *prefixCache) evict(e *list.Element) {
	b := e.Value.(*cacheBlock)
	c.recent.Remove(e)
	delete(c.blocks, b.hash)
	c.tokens -= b.tokens
	chain, ok := c.chats[b.chat]
	if !ok {
		return
	}
	held := c.lookup(chain)
	if held == 0 {
		delete(c.chats, b.chat)
	}
	c.changed(b.chat, false, held)
}

// held returns the links of a chat that are held, from the beginning.
func (c *prefixCache) held(chat fleet.ChatKey) []link {
	chain := c.chats[chat]
	for i, l := range chain {
		if _, ok := c.blocks[l.hash]; !ok {
			return chain[:i]
		}
	}
	return chain
}
