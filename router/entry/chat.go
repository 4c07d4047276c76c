package entry

import (
	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// chatOf returns the key by which a request is placed: its chat, or its own id
// where it belongs to none.
func chatOf(req *Request) fleet.ChatKey {
	if req.Chat != 0 {
		return req.Chat
	}
	return fleet.ChatKey(xxhash.Sum64String(string(req.ID)))
}
