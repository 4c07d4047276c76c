package caller

import (
	"strings"
	"sync/atomic"

	"github.com/cloudwego/hertz/pkg/app"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/settings"
)

const bearerPrefix = "Bearer "

// accountIndex finds client accounts by key hash; it is rebuilt when the
// settings change.
type accountIndex struct {
	current atomic.Pointer[indexed]
}

type indexed struct {
	snapshot *settings.Snapshot
	byHash   map[string]fleet.AccountName
}

// find returns the client account of a key. Keys are looked up by their
// SHA-256 hash, so timing tells nothing of a stored key.
func (x *accountIndex) find(s *settings.Snapshot, key string) (fleet.AccountName, bool) {
	hash := keys.Hash(key)
	name, ok := x.of(s).byHash[hash]
	return name, ok
}

func (x *accountIndex) of(s *settings.Snapshot) *indexed {
	if got := x.current.Load(); got != nil && got.snapshot == s {
		return got
	}
	next := &indexed{snapshot: s, byHash: map[string]fleet.AccountName{}}
	for name, a := range s.Accounts {
		for _, h := range a.KeyHashes {
			next.byHash[h] = name
		}
	}
	x.current.Store(next)
	return next
}

func bearer(c *app.RequestContext) string {
	value := string(c.GetHeader("Authorization"))
	key, ok := strings.CutPrefix(value, bearerPrefix)
	if !ok {
		return ""
	}
	return key
}
