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

// accountIndex maps key hashes to client accounts. It is rebuilt when the
// settings snapshot changes.
type accountIndex struct {
	current atomic.Pointer[accountTable]
}

type accountTable struct {
	snapshot *settings.Snapshot
	byHash   map[string]fleet.AccountName
}

// lookup returns the client account of a key. Keys are looked up by their
// SHA-256 hash, so that response times reveal nothing about stored keys.
func (x *accountIndex) lookup(s *settings.Snapshot, key string) (fleet.AccountName, bool) {
	hash := keys.Hash(key)
	name, ok := x.forSnapshot(s).byHash[hash]
	return name, ok
}

// forSnapshot returns the table for s, building it if the cached one belongs to
// another snapshot.
func (x *accountIndex) forSnapshot(s *settings.Snapshot) *accountTable {
	if got := x.current.Load(); got != nil && got.snapshot == s {
		return got
	}
	next := &accountTable{snapshot: s, byHash: map[string]fleet.AccountName{}}
	for name, a := range s.Accounts {
		for _, h := range a.KeyHashes {
			next.byHash[h] = name
		}
	}
	x.current.Store(next)
	return next
}

func bearerToken(c *app.RequestContext) string {
	value := string(c.GetHeader("Authorization"))
	key, ok := strings.CutPrefix(value, bearerPrefix)
	if !ok {
		return ""
	}
	return key
}
