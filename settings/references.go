package settings

import (
	"encoding/json"
	"fmt"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

// Reference is a reference from one document to another.
type Reference struct {
	Kind string
	Name string
	// Pointer is the JSON pointer of the reference in the referring document.
	Pointer string
}

// Missing returns a finding on the referring document kind/name, which says
// that the referenced document does not exist.
func (r Reference) Missing(kind, name string) Finding {
	return Finding{File: FileName(kind, name), Pointer: r.Pointer, Message: fmt.Sprintf("%s has no %q", r.Kind, r.Name)}
}

// References returns the references of a document; none if it cannot be
// decoded.
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

// HasReferenced reports whether the snapshot contains a failure domain, service or client
// account. For any other kind it returns false.
func (s *Snapshot) HasReferenced(kind, name string) bool {
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

// CheckDelete returns a finding for every document that refers to the one to be
// deleted.
func (s *Snapshot) CheckDelete(kind, name string) Findings {
	var findings Findings
	addReference := func(fromKind, fromName string) {
		findings = append(findings, Finding{File: FileName(kind, name), Message: "still referenced by " + FileName(fromKind, fromName)})
	}
	for _, targets := range s.Targets {
		for _, t := range targets {
			if kind == KindServices && string(t.Service) == name || kind == KindDomains && string(t.Domain) == name {
				addReference(KindTargets, string(t.ID))
			}
		}
	}
	for _, r := range s.Rules {
		if kind == KindServices && string(r.Service) == name {
			addReference(KindRules, r.Name)
		}
	}
	return findings.sorted()
}

// CheckKeys returns a finding for every key of the client account o that
// another account has too. For an object of any other kind it returns nil.
func (s *Snapshot) CheckKeys(o objectapi.Object) Findings {
	var d accountDocument
	if o.Kind != KindAccounts || json.Unmarshal(o.Data, &d) != nil {
		return nil
	}
	l := &linker{snapshot: newSnapshot(), rejected: map[string]bool{}}
	for name, a := range s.Accounts {
		l.snapshot.Accounts[name] = a
	}
	name := fleet.AccountName(o.Name)
	l.snapshot.Accounts[name] = Account{Name: name, KeyHashes: d.KeyHashes}
	l.checkUniqueKeys()
	return l.findings
}
