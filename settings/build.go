package settings

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// builder collects the sound documents and the findings of the others.
type builder struct {
	snapshot *Snapshot
	findings Findings
	targets  map[string]targetDocument
	rules    map[string]ruleDocument
}

// Build checks all documents and returns a snapshot of the sound ones with the
// findings of the others, all at once. Objects of other kinds are findings. A
// document whose only findings are unknown keys is used without them.
func Build(objs []platform.Object) (*Snapshot, Findings) {
	b := &builder{
		snapshot: newSnapshot(),
		targets:  map[string]targetDocument{},
		rules:    map[string]ruleDocument{},
	}
	for _, o := range objs {
		b.document(o)
	}
	b.link()
	b.snapshot.sort()
	return b.snapshot, b.findings.sorted()
}

func newSnapshot() *Snapshot {
	return &Snapshot{
		Services: map[fleet.ServiceName]Service{},
		Accounts: map[fleet.AccountName]Account{},
		Domains:  map[fleet.DomainName]fleet.RegionName{},
		Targets:  map[fleet.ServiceName][]fleet.Target{},
		levels: levels{
			domains:  map[fleet.DomainName]json.RawMessage{},
			services: map[fleet.ServiceName]json.RawMessage{},
			accounts: map[fleet.AccountName]json.RawMessage{},
		},
	}
}

// CheckDocument returns the findings of one document by itself, references
// left out.
func CheckDocument(o platform.Object) Findings {
	c := &checker{file: FileName(o.Kind, o.Name)}
	shape, known := shapes[o.Kind]
	if !known {
		c.add("", "unknown kind %q", o.Kind)
		return c.findings
	}
	c.name(o)
	if len(o.Data) > platform.MaxValueBytes {
		c.add("", "the document has %d bytes, more than %d", len(o.Data), platform.MaxValueBytes)
		return c.findings
	}
	if v, ok := c.decode(o.Data); ok {
		shape(c, "", v)
	}
	return c.findings
}

func (c *checker) name(o platform.Object) {
	if o.Kind == KindFleet && o.Name != FleetName {
		c.add("", "the only document of this kind is named %q", FleetName)
	}
	if !fleet.ValidName(o.Name) {
		c.add("", "%q is not a valid name", o.Name)
	}
}

func (b *builder) document(o platform.Object) {
	b.snapshot.Revision = max(b.snapshot.Revision, o.Version)
	found := CheckDocument(o)
	b.findings = append(b.findings, found...)
	if !found.harmless() {
		return
	}
	if err := b.decode(o); err != nil {
		b.add(o.Kind, o.Name, "", "%v", err)
	}
}

func (b *builder) add(kind, name, at, format string, args ...any) {
	b.findings = append(b.findings, Finding{
		File: FileName(kind, name), Pointer: at, Message: fmt.Sprintf(format, args...),
	})
}

func (b *builder) decode(o platform.Object) error {
	switch o.Kind {
	case KindFleet:
		return b.fleet(o)
	case KindDomains:
		return b.domain(o)
	case KindServices:
		return b.service(o)
	case KindAccounts:
		return b.account(o)
	case KindTargets:
		return decodeInto(b.targets, o)
	case KindRules:
		return decodeInto(b.rules, o)
	}
	return nil
}

func decodeInto[D any](docs map[string]D, o platform.Object) error {
	var d D
	err := json.Unmarshal(o.Data, &d)
	if err == nil {
		docs[o.Name] = d
	}
	return err
}

func (b *builder) fleet(o platform.Object) error {
	var d fleetDocument
	if err := json.Unmarshal(o.Data, &d); err != nil {
		return err
	}
	b.snapshot.levels.fleet = d.Settings
	b.snapshot.ContextKeys = d.ContextKeys
	b.snapshot.Operators = d.Operators
	return nil
}

func (b *builder) domain(o platform.Object) error {
	var d domainDocument
	if err := json.Unmarshal(o.Data, &d); err != nil {
		return err
	}
	name := fleet.DomainName(o.Name)
	b.snapshot.Domains[name] = d.Region
	b.snapshot.levels.domains[name] = d.Settings
	return nil
}

func (b *builder) service(o platform.Object) error {
	var d serviceDocument
	if err := json.Unmarshal(o.Data, &d); err != nil {
		return err
	}
	name := fleet.ServiceName(o.Name)
	b.snapshot.Services[name] = Service{Name: name, Kind: d.Kind}
	b.snapshot.levels.services[name] = d.Settings
	return nil
}

func (b *builder) account(o platform.Object) error {
	var d accountDocument
	if err := json.Unmarshal(o.Data, &d); err != nil {
		return err
	}
	name := fleet.AccountName(o.Name)
	b.snapshot.Accounts[name] = Account{Name: name, KeyHashes: d.KeyHashes}
	b.snapshot.levels.accounts[name] = d.Settings
	return nil
}

// link resolves references between documents.
func (b *builder) link() {
	for name, d := range b.targets {
		b.target(name, d)
	}
	for name, d := range b.rules {
		b.rule(name, d)
	}
	b.uniqueKeys()
	b.uniqueOperators()
}

func (b *builder) target(name string, d targetDocument) {
	if !b.resolve(KindTargets, name, d.references()) {
		return
	}
	service := b.snapshot.Services[d.Service]
	b.snapshot.Targets[d.Service] = append(b.snapshot.Targets[d.Service], fleet.Target{
		ID: fleet.TargetID(name), Service: d.Service, Kind: service.Kind, Domain: d.Domain,
		Addr: d.Addr, VM: d.VM, Weight: cmp.Or(d.Weight, 1), ChecksFencing: d.ChecksFencing,
		State: cmp.Or(d.State, fleet.Live),
	})
}

func (b *builder) rule(name string, d ruleDocument) {
	if !b.resolve(KindRules, name, d.references()) {
		return
	}
	b.snapshot.Rules = append(b.snapshot.Rules, Rule{
		Name: name, Service: d.Service, Methods: d.Methods, PathPrefix: d.PathPrefix, Repeatable: d.Repeatable,
	})
}

// resolve reports mentions of documents that are not there.
func (b *builder) resolve(kind, name string, references []Reference) bool {
	found := len(b.findings)
	for _, r := range references {
		if !b.snapshot.Has(r.Kind, r.Name) {
			b.findings = append(b.findings, r.Missing(kind, name))
		}
	}
	return len(b.findings) == found
}

// uniqueKeys reports a key that two client accounts share.
func (b *builder) uniqueKeys() {
	owner := map[string]fleet.AccountName{}
	for _, name := range sortedKeys(b.snapshot.Accounts) {
		for i, hash := range b.snapshot.Accounts[name].KeyHashes {
			if first, taken := owner[hash]; taken {
				at := child("/key_hashes", strconv.Itoa(i))
				b.add(KindAccounts, string(name), at, "the key also belongs to client account %q", first)
				continue
			}
			owner[hash] = name
		}
	}
}

// uniqueOperators reports operators that share a name.
func (b *builder) uniqueOperators() {
	seen := map[string]bool{}
	for i, o := range b.snapshot.Operators {
		if seen[o.Name] {
			b.add(KindFleet, FleetName, child(child("/operators", strconv.Itoa(i)), "name"), "%q is named twice", o.Name)
		}
		seen[o.Name] = true
	}
}

func (s *Snapshot) sort() {
	for _, targets := range s.Targets {
		slices.SortFunc(targets, func(a, b fleet.Target) int { return cmp.Compare(a.ID, b.ID) })
	}
	slices.SortFunc(s.Rules, func(a, b Rule) int { return cmp.Compare(a.Name, b.Name) })
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
