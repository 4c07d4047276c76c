package settings

import (
	"encoding/json"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// Service is one service of the fleet.
type Service struct {
	Name fleet.ServiceName
	Kind fleet.TargetKind
}

// Account is one client account.
type Account struct {
	Name fleet.AccountName
	// KeyHashes are the SHA-256 hashes of its keys, as lower-case hexadecimal.
	KeyHashes []string
}

// Rule determines which requests to a plain service may be repeated. The first
// rule that matches a request applies.
type Rule struct {
	Name    string
	Service fleet.ServiceName
	// Methods are upper-case HTTP methods; empty matches any.
	Methods []string
	// PathPrefix matches the start of the path after /s/{service}.
	PathPrefix string
	Repeatable bool
}

// Snapshot is an immutable view of all settings at one revision. It is safe
// for concurrent use.
type Snapshot struct {
	// Revision is the highest version among the objects that the snapshot was
	// built from.
	Revision uint64
	Services map[fleet.ServiceName]Service
	Accounts map[fleet.AccountName]Account
	// Domains maps each failure domain to its region.
	Domains map[fleet.DomainName]fleet.RegionName
	// Targets are sorted by ID within a service.
	Targets map[fleet.ServiceName][]fleet.Target
	// Rules are sorted by name; the first that matches applies.
	Rules []Rule
	// Operators are the users of the administration API.
	Operators []Operator
	// ContextKeys authenticate context tokens; the first signs new ones.
	ContextKeys []ContextKey

	levels levels
	// effective caches a *Values for each scope.
	effective sync.Map
}

// levels holds the raw "settings" object of each document.
type levels struct {
	fleet    json.RawMessage
	domains  map[fleet.DomainName]json.RawMessage
	services map[fleet.ServiceName]json.RawMessage
	accounts map[fleet.AccountName]json.RawMessage
}

// scope selects the levels that apply. An empty name omits a level.
type scope struct {
	domain  fleet.DomainName
	service fleet.ServiceName
	account fleet.AccountName
}

// Effective returns the values in force for a failure domain, service and
// client account. An empty name omits that level. The result is shared and must
// not be changed.
func (s *Snapshot) Effective(d fleet.DomainName, svc fleet.ServiceName, a fleet.AccountName) *Values {
	key := scope{d, svc, a}
	if v, ok := s.effective.Load(key); ok {
		return v.(*Values)
	}
	v := s.merge(key)
	s.effective.Store(key, v)
	return v
}

func (s *Snapshot) merge(key scope) *Values {
	v := Defaults()
	for _, l := range s.layers(key) {
		overlay(&v, l.settings)
	}
	return &v
}

// overlay sets the values in raw on v. Documents were checked when they were
// added; should decoding fail all the same, v stays unchanged.
func overlay(v *Values, raw json.RawMessage) {
	if len(raw) == 0 {
		return
	}
	next := *v
	if json.Unmarshal(raw, &next) == nil {
		*v = next
	}
}
