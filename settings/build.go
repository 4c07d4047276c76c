package settings

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

// Builder builds snapshots and keeps the documents that it has decoded, so that
// a build after a change costs little. It is not safe for concurrent use.
type Builder struct {
	parsed map[objectID]*parsedDocument
}

// objectID names an object.
type objectID struct {
	kind, name string
}

// parsedDocument is a document with its findings. Its decoded form is nil if the
// findings keep it from being used.
type parsedDocument struct {
	data     []byte
	findings Findings
	decoded  any
}

// NewBuilder returns a builder that has decoded nothing yet.
func NewBuilder() *Builder {
	return &Builder{parsed: map[objectID]*parsedDocument{}}
}

// Build checks all documents and returns a snapshot of the sound ones with the
// findings of the others, all at once. Objects of other kinds are findings. A
// document whose only findings are unknown keys is used without them.
func (b *Builder) Build(objs []objectapi.Object) (*Snapshot, Findings) {
	parsed := make(map[objectID]*parsedDocument, len(objs))
	linker := &builder{snapshot: newSnapshot(), rejected: map[string]bool{}}
	for _, o := range objs {
		id := objectID{o.Kind, o.Name}
		p := b.parsed[id]
		if p == nil || !bytes.Equal(p.data, o.Data) {
			p = parse(o)
		}
		parsed[id] = p
		linker.take(o, p)
	}
	b.parsed = parsed
	linker.link()
	linker.snapshot.sort()
	return linker.snapshot, linker.findings.sorted()
}

// Build is a Builder's Build from nothing.
func Build(objs []objectapi.Object) (*Snapshot, Findings) {
	return NewBuilder().Build(objs)
}

// builder puts decoded documents together.
type builder struct {
	snapshot *Snapshot
	findings Findings
	targets  []linked[*targetDocument]
	rules    []linked[*ruleDocument]
	// rejected holds the documents that have findings, by file name.
	rejected map[string]bool
}

// linked is a document that refers to others.
type linked[D any] struct {
	name     string
	version  uint64
	document D
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
func CheckDocument(o objectapi.Object) Findings {
	_, findings := examine(o)
	return findings
}

// examine checks one document and returns its value without unknown keys.
func examine(o objectapi.Object) (any, Findings) {
	c := &checker{file: FileName(o.Kind, o.Name)}
	shape, known := shapes[o.Kind]
	if !known {
		c.add("", "unknown kind %q", o.Kind)
		return nil, c.findings
	}
	c.name(o)
	if len(o.Data) > objectapi.MaxValueBytes {
		c.add("", "the document has %d bytes, more than %d", len(o.Data), objectapi.MaxValueBytes)
		return nil, c.findings
	}
	v, ok := c.decode(o.Data)
	if ok {
		shape(c, "", v)
	}
	return v, c.findings
}

func (c *checker) name(o objectapi.Object) {
	if o.Kind == KindFleet && o.Name != FleetName {
		c.add("", "the only document of this kind is named %q", FleetName)
	}
	if !fleet.ValidName(o.Name) {
		c.add("", "%q is not a valid name", o.Name)
	}
}

// parse checks and decodes one document. What is decoded is the value that was
// checked: the bytes may name a key twice, or in capitals, which the decoder of
// structs takes another way than the checks do.
func parse(o objectapi.Object) *parsedDocument {
	value, findings := examine(o)
	p := &parsedDocument{data: o.Data, findings: findings}
	decoded := emptyDocument(o.Kind)
	if decoded == nil || !findings.harmless() {
		return p
	}
	checked, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(checked, decoded)
	}
	if err != nil {
		p.findings = append(p.findings, Finding{File: FileName(o.Kind, o.Name), Message: err.Error()})
		return p
	}
	p.decoded = decoded
	return p
}

func emptyDocument(kind string) any {
	switch kind {
	case KindFleet:
		return &fleetDocument{}
	case KindDomains:
		return &domainDocument{}
	case KindServices:
		return &serviceDocument{}
	case KindAccounts:
		return &accountDocument{}
	case KindTargets:
		return &targetDocument{}
	case KindRules:
		return &ruleDocument{}
	}
	return nil
}

// take adds a document; those that refer to others are linked in the end.
func (b *builder) take(o objectapi.Object, p *parsedDocument) {
	b.snapshot.Revision = max(b.snapshot.Revision, o.Version)
	b.findings = append(b.findings, p.findings...)
	if p.decoded == nil {
		b.rejected[FileName(o.Kind, o.Name)] = true
	}
	switch d := p.decoded.(type) {
	case *fleetDocument:
		b.snapshot.levels.fleet = d.Settings
		b.snapshot.ContextKeys = d.ContextKeys
		b.snapshot.Operators = d.Operators
	case *domainDocument:
		name := fleet.DomainName(o.Name)
		b.snapshot.Domains[name] = d.Region
		b.snapshot.levels.domains[name] = d.Settings
	case *serviceDocument:
		name := fleet.ServiceName(o.Name)
		b.snapshot.Services[name] = Service{Name: name, Kind: d.Kind}
		b.snapshot.levels.services[name] = d.Settings
	case *accountDocument:
		name := fleet.AccountName(o.Name)
		b.snapshot.Accounts[name] = Account{Name: name, KeyHashes: d.KeyHashes}
		b.snapshot.levels.accounts[name] = d.Settings
	case *targetDocument:
		b.targets = append(b.targets, linked[*targetDocument]{o.Name, o.Version, d})
	case *ruleDocument:
		b.rules = append(b.rules, linked[*ruleDocument]{o.Name, o.Version, d})
	}
}

func (b *builder) add(kind, name, at, format string, args ...any) {
	b.findings = append(b.findings, Finding{
		File: FileName(kind, name), Pointer: at, Message: fmt.Sprintf(format, args...),
	})
}

// link resolves references between documents.
func (b *builder) link() {
	for _, t := range b.targets {
		b.target(t)
	}
	for _, r := range b.rules {
		b.rule(r.name, r.document)
	}
	b.uniqueKeys()
	b.uniqueOperators()
}

func (b *builder) target(l linked[*targetDocument]) {
	name, d := l.name, l.document
	if !b.resolve(KindTargets, name, d.references()) {
		return
	}
	service := b.snapshot.Services[d.Service]
	if service.Kind != fleet.KindEngine && d.Engine != (fleet.EngineState{}) {
		b.add(KindTargets, name, "/engine", "service %q is not of kind %s", d.Service, fleet.KindEngine)
		d = withoutEngine(d)
	}
	b.snapshot.Targets[d.Service] = append(b.snapshot.Targets[d.Service], fleet.Target{
		ID: fleet.TargetID(name), Service: d.Service, Kind: service.Kind, Domain: d.Domain,
		Addr: d.Addr, VM: d.VM, Weight: cmp.Or(d.Weight, 1), ChecksFencing: d.ChecksFencing,
		Engine: d.Engine, Fence: l.version,
		State: cmp.Or(d.State, fleet.Live),
	})
}

// withoutEngine returns a copy that orders nothing.
func withoutEngine(d *targetDocument) *targetDocument {
	c := *d
	c.Engine = fleet.EngineState{}
	return &c
}

func (b *builder) rule(name string, d *ruleDocument) {
	if !b.resolve(KindRules, name, d.references()) {
		return
	}
	b.snapshot.Rules = append(b.snapshot.Rules, Rule{
		Name: name, Service: d.Service, Methods: d.Methods, PathPrefix: d.PathPrefix, Repeatable: d.Repeatable,
	})
}

// resolve reports whether all documents mentioned are in the snapshot. Those
// that are there but have findings of their own are not reported again.
func (b *builder) resolve(kind, name string, references []Reference) bool {
	whole := true
	for _, r := range references {
		if b.snapshot.Has(r.Kind, r.Name) {
			continue
		}
		whole = false
		if !b.rejected[FileName(r.Kind, r.Name)] {
			b.findings = append(b.findings, r.Missing(kind, name))
		}
	}
	return whole
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
