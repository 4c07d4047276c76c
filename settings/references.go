package settings

import (
	"encoding/json"
	"fmt"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

// Reference is a document's mention of another one.
type Reference struct {
	Kind string
	Name string
	// Pointer is the JSON pointer of the mention.
	Pointer string
}

// Missing is the finding that the document mentioned by KIND/NAME is not there.
func (r Reference) Missing(kind, name string) Finding {
	return Finding{File: FileName(kind, name), Pointer: r.Pointer, Message: fmt.Sprintf("%s has no %q", r.Kind, r.Name)}
}

// References returns the documents that o mentions. A document that cannot be
// decoded mentions none.
func References(o objectapi.Object) []Reference {
	switch o.Kind {
	case KindTargets:
		var d targetDocument
		if json.Unmarshal(o.Data, &d) == nil {
			return d.references()
		}
	case KindRules:
		var d ruleDocument
		if json.Unmarshal(o.Data, &d) == nil {
			return d.references()
		}
	}
	return nil
}

func (d targetDocument) references() []Reference {
	return []Reference{
		{KindServices, string(d.Service), "/service"},
		{KindDomains, string(d.Domain), "/failure_domain"},
	}
}

func (d ruleDocument) references() []Reference {
	return []Reference{{KindServices, string(d.Service), "/service"}}
}

// Has reports whether the snapshot holds a document that others may mention.
func (s *Snapshot) Has(kind, name string) bool {
	var ok bool
	switch kind {
	case KindDomains:
		_, ok = s.Domains[fleet.DomainName(name)]
	case KindServices:
		_, ok = s.Services[fleet.ServiceName(name)]
	case KindAccounts:
		_, ok = s.Accounts[fleet.AccountName(name)]
	}
	return ok
}

// CheckDelete returns a finding for every document that mentions the one to be
// deleted.
func (s *Snapshot) CheckDelete(kind, name string) Findings {
	var found Findings
	mention := func(byKind, byName string) {
		found = append(found, Finding{File: FileName(kind, name), Message: "still named by " + FileName(byKind, byName)})
	}
	for _, targets := range s.Targets {
		for _, t := range targets {
			if kind == KindServices && string(t.Service) == name || kind == KindDomains && string(t.Domain) == name {
				mention(KindTargets, string(t.ID))
			}
		}
	}
	for _, r := range s.Rules {
		if kind == KindServices && string(r.Service) == name {
			mention(KindRules, r.Name)
		}
	}
	return found.sorted()
}

// CheckKeys returns a finding for every key of a client account that another
// account has.
func (s *Snapshot) CheckKeys(o objectapi.Object) Findings {
	var d accountDocument
	if o.Kind != KindAccounts || json.Unmarshal(o.Data, &d) != nil {
		return nil
	}
	b := &builder{snapshot: newSnapshot(), rejected: map[string]bool{}}
	for name, a := range s.Accounts {
		b.snapshot.Accounts[name] = a
	}
	name := fleet.AccountName(o.Name)
	b.snapshot.Accounts[name] = Account{Name: name, KeyHashes: d.KeyHashes}
	b.uniqueKeys()
	return b.findings
}
