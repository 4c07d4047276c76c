package standin

import (
	"container/list"

	"ragwortpond.example/ragwortpond/fleet"
)

// prefixCache is an LRU prefix cache of limited capacity. A lookup matches the
// longest sequence of leading messages that is cached. It is not safe for
// concurrent use.
type prefixCache struct {
	limit  int
	tokens int
	blocks map[uint64]*list.Element
	recent *list.List
	chats  map[fleet.ChatKey][]link
	// changed is called when the number of cached tokens of a chat changes;
	// stored is false after an eviction.
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

// lookup returns the number of leading tokens of the chain that are cached.
func (c *prefixCache) lookup(chain []link) int {
	cachedTokens := 0
	for _, l := range chain {
		if _, ok := c.blocks[l.hash]; !ok {
			break
		}
		cachedTokens += l.tokens
	}
	return cachedTokens
}

// store caches the chain for a chat and evicts the least recently used blocks
// over the limit. The end of a chain is evicted before its beginning, since a
// block is usable only together with all blocks before it.
func (c *prefixCache) store(chat fleet.ChatKey, chain []link) {
	for i := len(chain) - 1; i >= 0; i-- {
		c.touch(chat, chain[i])
	}
	c.chats[chat] = chain
	for c.tokens > c.limit && c.recent.Len() > 0 {
		c.evict(c.recent.Back())
	}
	if cachedTokens := c.lookup(chain); cachedTokens > 0 {
		c.changed(chat, true, cachedTokens)
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
	cachedTokens := c.lookup(chain)
	if cachedTokens == 0 {
		delete(c.chats, b.chat)
	}
	c.changed(b.chat, false, cachedTokens)
}

// cachedPrefix returns the leading links of a chat that are cached.
func (c *prefixCache) cachedPrefix(chat fleet.ChatKey) []link {
	chain := c.chats[chat]
	for i, l := range chain {
		if _, ok := c.blocks[l.hash]; !ok {
			return chain[:i]
		}
	}
	return chain
}
