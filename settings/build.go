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

// Builder builds snapshots. It caches decoded documents, so that a build after
// a change decodes only the changed ones. It is not safe for concurrent use.
type Builder struct {
	parsed map[objectID]*parsedDocument
}

// objectID identifies an object.
type objectID struct {
	kind, name string
}

// parsedDocument is a document with its findings. decoded is nil if the
// document cannot be used because of them.
type parsedDocument struct {
	data     []byte
	findings Findings
	decoded  any
}

// NewBuilder returns a Builder with an empty cache.
func NewBuilder() *Builder {
	return &Builder{parsed: map[objectID]*parsedDocument{}}
}

// Build checks all documents and returns a snapshot of the valid ones and the
// findings of all. An object of an unknown kind is a finding. A document whose
// only findings are unknown keys is used without those keys.
func (b *Builder) Build(objs []objectapi.Object) (*Snapshot, Findings) {
	parsed := make(map[objectID]*parsedDocument, len(objs))
	l := &linker{snapshot: newSnapshot(), rejected: map[string]bool{}}
	for _, o := range objs {
		id := objectID{o.Kind, o.Name}
		p := b.parsed[id]
		if p == nil || !bytes.Equal(p.data, o.Data) {
			p = parseDocument(o)
		}
		parsed[id] = p
		l.addDocument(o, p)
	}
	b.parsed = parsed
	l.link()
	l.snapshot.sort()
	return l.snapshot, l.findings.sorted()
}

// Build is Builder.Build without a cache.
func Build(objs []objectapi.Object) (*Snapshot, Findings) {
	return NewBuilder().Build(objs)
}

// linker assembles a snapshot from decoded documents and resolves the
// references between them.
type linker struct {
	snapshot *Snapshot
	findings Findings
	targets  []pendingDocument[*targetDocument]
	rules    []pendingDocument[*ruleDocument]
	// rejected holds the file names of the documents that cannot be used.
	rejected map[string]bool
}

// pendingDocument is a document with references to others, to be resolved once
// all documents have been added.
type pendingDocument[D any] struct {
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

// CheckDocument returns the findings of a single document. It does not check
// references to other documents.
func CheckDocument(o objectapi.Object) Findings {
	_, findings := validate(o)
	return findings
}

// validate checks one document and returns its JSON value without unknown keys.
func validate(o objectapi.Object) (any, Findings) {
	c := &checker{file: FileName(o.Kind, o.Name)}
	schema, known := schemas[o.Kind]
	if !known {
		c.addFinding("", "unknown kind %q", o.Kind)
		return nil, c.findings
	}
	c.checkName(o)
	if len(o.Data) > objectapi.MaxValueBytes {
		c.addFinding("", "document too large: %d bytes, the maximum is %d", len(o.Data), objectapi.MaxValueBytes)
		return nil, c.findings
	}
	v, ok := c.decode(o.Data)
	if ok {
		schema(c, "", v)
	}
	return v, c.findings
}

func (c *checker) checkName(o objectapi.Object) {
	if o.Kind == KindFleet && o.Name != FleetName {
		c.addFinding("", "the only document of this kind is named %q", FleetName)
	}
	if !fleet.ValidName(o.Name) {
		c.addFinding("", "%q is not a valid name", o.Name)
	}
}

// parseDocument checks and decodes one document. It decodes the checked value
// and not the original bytes: they may contain a key twice or in capitals,
// which the struct decoder of encoding/json treats differently from the checks.
func parseDocument(o objectapi.Object) *parsedDocument {
	value, findings := validate(o)
	p := &parsedDocument{data: o.Data, findings: findings}
	decoded := emptyDocument(o.Kind)
	if decoded == nil || !findings.allIgnorable() {
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

// emptyDocument returns a pointer to an empty document struct of a kind; nil
// for an unknown kind.
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

// addDocument adds a document to the snapshot. Documents with references are
// kept until link.
func (l *linker) addDocument(o objectapi.Object, p *parsedDocument) {
	l.snapshot.Revision = max(l.snapshot.Revision, o.Version)
	l.findings = append(l.findings, p.findings...)
	if p.decoded == nil {
		l.rejected[FileName(o.Kind, o.Name)] = true
	}
	switch d := p.decoded.(type) {
	case *fleetDocument:
		l.snapshot.levels.fleet = d.Settings
		l.snapshot.ContextKeys = d.ContextKeys
		l.snapshot.Operators = d.Operators
	case *domainDocument:
		name := fleet.DomainName(o.Name)
		l.snapshot.Domains[name] = d.Region
		l.snapshot.levels.domains[name] = d.Settings
	case *serviceDocument:
		name := fleet.ServiceName(o.Name)
		l.snapshot.Services[name] = Service{Name: name, Kind: d.Kind}
		l.snapshot.levels.services[name] = d.Settings
	case *accountDocument:
		name := fleet.AccountName(o.Name)
		l.snapshot.Accounts[name] = Account{Name: name, KeyHashes: d.KeyHashes}
		l.snapshot.levels.accounts[name] = d.Settings
	case *targetDocument:
		l.targets = append(l.targets, pendingDocument[*targetDocument]{o.Name, o.Version, d})
	case *ruleDocument:
		l.rules = append(l.rules, pendingDocument[*ruleDocument]{o.Name, o.Version, d})
	}
}

func (l *linker) addFinding(kind, name, pointer, format string, args ...any) {
	l.findings = append(l.findings, Finding{
		File: FileName(kind, name), Pointer: pointer, Message: fmt.Sprintf(format, args...),
	})
}

// link resolves references between documents.
func (l *linker) link() {
	for _, t := range l.targets {
		l.linkTarget(t)
	}
	for _, r := range l.rules {
		l.linkRule(r.name, r.document)
	}
	l.checkUniqueKeys()
	l.checkUniqueOperators()
}

func (l *linker) linkTarget(pending pendingDocument[*targetDocument]) {
	name, doc := pending.name, pending.document
	if !l.resolve(KindTargets, name, doc.references()) {
		return
	}
	service := l.snapshot.Services[doc.Service]
	if service.Kind != fleet.KindEngine && doc.Engine != (fleet.EngineState{}) {
		l.addFinding(KindTargets, name, "/engine", "service %q is not of kind %s", doc.Service, fleet.KindEngine)
		doc = withoutEngine(doc)
	}
	l.snapshot.Targets[doc.Service] = append(l.snapshot.Targets[doc.Service], fleet.Target{
		ID: fleet.TargetID(name), Service: doc.Service, Kind: service.Kind, Domain: doc.Domain,
		Addr: doc.Addr, VM: doc.VM, Weight: cmp.Or(doc.Weight, 1), ChecksFencing: doc.ChecksFencing,
		Engine: doc.Engine, Fence: pending.version,
		State: cmp.Or(doc.State, fleet.Live),
	})
}

// withoutEngine returns a copy without a desired engine state.
func withoutEngine(d *targetDocument) *targetDocument {
	copied := *d
	copied.Engine = fleet.EngineState{}
	return &copied
}

func (l *linker) linkRule(name string, d *ruleDocument) {
	if !l.resolve(KindRules, name, d.references()) {
		return
	}
	l.snapshot.Rules = append(l.snapshot.Rules, Rule{
		Name: name, Service: d.Service, Methods: d.Methods, PathPrefix: d.PathPrefix, Repeatable: d.Repeatable,
	})
}

// resolve reports whether all referenced documents are in the snapshot, and
// adds a finding for each missing one. Documents that exist but were rejected
// are not reported again.
func (l *linker) resolve(kind, name string, references []Reference) bool {
	complete := true
	for _, r := range references {
		if l.snapshot.HasReferenced(r.Kind, r.Name) {
			continue
		}
		complete = false
		if !l.rejected[FileName(r.Kind, r.Name)] {
			l.findings = append(l.findings, r.Missing(kind, name))
		}
	}
	return complete
}

// checkUniqueKeys adds a finding for each key that two client accounts share.
func (l *linker) checkUniqueKeys() {
	owner := map[string]fleet.AccountName{}
	for _, name := range sortedKeys(l.snapshot.Accounts) {
		for i, hash := range l.snapshot.Accounts[name].KeyHashes {
			if first, shared := owner[hash]; shared {
				pointer := childPointer("/key_hashes", strconv.Itoa(i))
				l.addFinding(KindAccounts, string(name), pointer, "the key also belongs to client account %q", first)
				continue
			}
			owner[hash] = name
		}
	}
}

// checkUniqueOperators adds a finding for each operator name used twice.
func (l *linker) checkUniqueOperators() {
	seen := map[string]bool{}
	for i, o := range l.snapshot.Operators {
		if seen[o.Name] {
			l.addFinding(KindFleet, FleetName, childPointer(childPointer("/operators", strconv.Itoa(i)), "name"), "duplicate operator name %q", o.Name)
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
