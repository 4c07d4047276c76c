package settings

import (
	"encoding/json"
	"sync"

	"ragwortpond.example/ragwortpond/fleet"
)

// Service describes one service.
type Service struct {
	Name fleet.ServiceName
	Kind fleet.TargetKind
}

// Account describes one client account.
type Account struct {
	Name fleet.AccountName
	// KeyHashes are the SHA-256 hashes of its keys, as lower-case hexadecimal.
	KeyHashes []string
}

// Rule says which calls of a plain service may be repeated. The first rule
// that matches decides.
type Rule struct {
	Name    string
	Service fleet.ServiceName
	// Methods are upper-case HTTP methods; empty matches any.
	Methods []string
	// PathPrefix matches the start of the path below /s/{service}.
	PathPrefix string
	Repeatable bool
}

// Snapshot is an immutable view of all settings at one revision. It is safe
// for concurrent use.
type Snapshot struct {
	// Revision is the highest platform version applied.
	Revision uint64
	Services map[fleet.ServiceName]Service
	Accounts map[fleet.AccountName]Account
	// Domains maps each failure domain to its region.
	Domains map[fleet.DomainName]fleet.RegionName
	// Targets are sorted by id within a service.
	Targets map[fleet.ServiceName][]fleet.Target
	// Rules are sorted by name; the first that matches decides.
	Rules []Rule
	// Operators of the administration API.
	Operators []Operator
	// ContextKeys authenticate context tokens; the first signs.
	ContextKeys []ContextKey

	levels    levels
	effective sync.Map
}

// levels holds the raw "settings" object of each document.
type levels struct {
	fleet    json.RawMessage
	domains  map[fleet.DomainName]json.RawMessage
	services map[fleet.ServiceName]json.RawMessage
	accounts map[fleet.AccountName]json.RawMessage
}

type scope struct {
	domain  fleet.DomainName
	service fleet.ServiceName
	account fleet.AccountName
}

// Effective returns the values in force for a failure domain, service and
// client account; an empty name leaves that level out.
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
		overlay(&v, l.raw)
	}
	return &v
}

// overlay decodes raw over v. Documents were checked when they were applied,
// so a decoding error cannot change what is in force.
func overlay(v *Values, raw json.RawMessage) {
	if len(raw) == 0 {
		return
	}
	next := *v
	if json.Unmarshal(raw, &next) == nil {
		*v = next
	}
}
