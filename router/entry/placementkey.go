package entry

import (
	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// placementKey returns the key by which a request is placed: its chat key, or a
// hash of its request ID if it belongs to no chat.
func placementKey(req *Request) fleet.ChatKey {
	if req.Chat != 0 {
		return req.Chat
	}
	return fleet.ChatKey(xxhash.Sum64String(string(req.ID)))
}
