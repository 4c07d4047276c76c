package entry

import (
	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// requestChatKey returns the chat key by which a request is placed: its own, or
// a hash of its request ID if it has no chat.
func requestChatKey(req *Request) fleet.ChatKey {
	if req.Chat != 0 {
		return req.Chat
	}
	return fleet.ChatKey(xxhash.Sum64String(string(req.ID)))
}
