package testbed

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/keys"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/objectclient"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router"
	"ragwortpond.example/ragwortpond/router/orders"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

// loadDocuments starts a stand-in for each target and writes all documents to
// the platform.
func (b *Testbed) loadDocuments(ctx context.Context) error {
	snapshot, findings := settings.Build(b.cfg.Objects)
	if len(findings) > 0 {
		return findings
	}
	b.domains = snapshot.Domains
	for _, o := range b.cfg.Objects {
		data, err := b.completeDocument(o, snapshot)
		if err != nil {
			return err
		}
		if _, err := b.Store.Put(ctx, o.Kind, o.Name, data, 0); err != nil {
			return fmt.Errorf("testbed: put %s/%s: %w", o.Kind, o.Name, err)
		}
	}
	return nil
}

// completeDocument fills in the values that exist at run time only: the address of
// a target's stand-in, an account's key hash, and the operators' token hashes and
// the context token key of the fleet. It returns the document as JSON.
func (b *Testbed) completeDocument(o objectapi.Object, s *settings.Snapshot) ([]byte, error) {
	var doc map[string]any
	if err := json.Unmarshal(o.Data, &doc); err != nil {
		return nil, fmt.Errorf("testbed: %s/%s: %w", o.Kind, o.Name, err)
	}
	var err error
	switch o.Kind {
	case settings.KindTargets:
		service := s.Services[fleet.ServiceName(doc["service"].(string))]
		doc["addr"], err = b.startTarget(fleet.TargetID(o.Name), service.Kind)
	case settings.KindAccounts:
		doc["key_hashes"], err = b.newAccountKey(fleet.AccountName(o.Name))
	case settings.KindFleet:
		err = errors.Join(b.setOperatorTokens(doc), setContextKeys(doc))
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(doc)
}

func (b *Testbed) newAccountKey(name fleet.AccountName) ([]string, error) {
	secret, err := keys.NewSecret("rwk_")
	if err != nil {
		return nil, err
	}
	b.AccountKeys[name] = secret
	return []string{keys.Hash(secret)}, nil
}

func (b *Testbed) setOperatorTokens(doc map[string]any) error {
	operators, _ := doc["operators"].([]any)
	for _, raw := range operators {
		operator := raw.(map[string]any)
		token, err := keys.NewSecret("rwo_")
		if err != nil {
			return err
		}
		b.OperatorTokens[operator["name"].(string)] = token
		operator["token_hash"] = keys.Hash(token)
	}
	return nil
}

// setContextKeys adds a context token key to a fleet document that has none.
func setContextKeys(doc map[string]any) error {
	if doc["context_keys"] != nil {
		return nil
	}
	secret, err := keys.NewSecret("rwc_")
	if err != nil {
		return err
	}
	doc["context_keys"] = []settings.ContextKey{{ID: "bed", Secret: secret}}
	return nil
}

func (b *Testbed) startTarget(id fleet.TargetID, kind fleet.TargetKind) (string, error) {
	if kind == fleet.KindPlain {
		return b.startService(id)
	}
	cfg := standin.EngineConfig{Addr: loopback, ID: id, Seed: b.rng.Uint64()}
	if b.cfg.Engine != nil {
		b.cfg.Engine(&cfg)
	}
	e, err := standin.StartEngine(cfg)
	if err != nil {
		return "", fmt.Errorf("testbed: engine %s: %w", id, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.engines[id] = e
	return e.Addr(), nil
}

func (b *Testbed) startService(id fleet.TargetID) (string, error) {
	cfg := standin.ServiceConfig{Addr: loopback, ID: id, Seed: b.rng.Uint64()}
	if b.cfg.Service != nil {
		b.cfg.Service(&cfg)
	}
	s, err := standin.StartService(cfg)
	if err != nil {
		return "", fmt.Errorf("testbed: service %s: %w", id, err)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.services[id] = s
	return s.Addr(), nil
}

// AddEngine starts another stand-in engine and writes its target document.
func (b *Testbed) AddEngine(ctx context.Context, id fleet.TargetID, service fleet.ServiceName, domain fleet.DomainName) error {
	addr, err := b.startTarget(id, fleet.KindEngine)
	if err != nil {
		return err
	}
	data, err := json.Marshal(map[string]any{"service": service, "failure_domain": domain, "addr": addr})
	if err != nil {
		return err
	}
	_, err = b.Store.Put(ctx, settings.KindTargets, string(id), data, 0)
	return err
}

// UpdateDocument applies change to a document and writes it back on condition
// that its version is still the one read. It returns the new version.
func (b *Testbed) UpdateDocument(ctx context.Context, kind, name string, change func(doc map[string]any)) (uint64, error) {
	o, err := b.Store.Get(ctx, kind, name)
	if err != nil {
		return 0, err
	}
	var doc map[string]any
	if err := json.Unmarshal(o.Data, &doc); err != nil {
		return 0, err
	}
	change(doc)
	data, err := json.Marshal(doc)
	if err != nil {
		return 0, err
	}
	return b.Store.Put(ctx, kind, name, data, o.Version)
}

// StartRouter starts a router and adds it to the platform's VM list. It does not
// wait until the router is ready.
func (b *Testbed) StartRouter(id fleet.RouterID, domain fleet.DomainName) (*RunningRouter, error) {
	pair, err := b.authority.Issue(string(id), []string{"127.0.0.1"})
	if err != nil {
		return nil, err
	}
	set := metrics.NewSet()
	store := objectclient.NewClient(objectclient.ClientConfig{Addr: b.Platform.Addr(), Metrics: set})
	engineClient := engine.Client(engine.NewClient(engine.ClientConfig{OnDiscard: set.CountDiscard, OnProbe: set.AddProbeBytes}))
	if b.cfg.EngineClient != nil {
		engineClient = b.cfg.EngineClient(engineClient)
	}
	deps := router.Deps{
		Store: store, VMs: store, Engine: engineClient, Plain: plain.NewClient(plain.ClientConfig{OnDiscard: set.CountDiscard}),
		Metrics: set, Log: b.cfg.Log, Policy: b.cfg.Policy,
	}
	if b.cfg.WrapJournal != nil {
		deps.Journal = func(own orders.Journal) orders.Journal { return b.cfg.WrapJournal(own, store) }
	}
	cfg := router.Config{
		Self:       fleet.Router{ID: id, Domain: domain, Region: b.domains[domain]},
		CallerAddr: loopback, PeerAddr: loopback, Certificate: pair, Authority: b.authority.KeyPair().Cert, DisableCallerTLS: true,
		Seeds: b.runningRouters(),
	}
	if b.cfg.OperatorAPI {
		cfg.OperatorAddr = loopback
	}
	r, err := router.New(cfg, deps)
	if err != nil {
		return nil, err
	}
	m := &RunningRouter{Router: r, Metrics: set, done: make(chan struct{})}
	b.SetVM(objectapi.VM{Name: string(id), Domain: domain, State: fleet.Live, PeerAddr: r.Self().PeerAddr})
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(m.done)
		m.err = r.Run(ctx)
	}()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = append(b.members, m)
	return m, nil
}

// runningRouters returns the routers that are running; a new router uses them as
// its membership seeds.
func (b *Testbed) runningRouters() []fleet.Router {
	var running []fleet.Router
	for _, m := range b.Routers() {
		if m.Running() {
			running = append(running, m.Router.Self())
		}
	}
	return running
}

// SetVM adds or replaces an entry in the platform's VM list.
func (b *Testbed) SetVM(vm objectapi.VM) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vms[vm.Name] = vm
	b.publishVMs()
}

// RemoveVM removes an entry from the platform's VM list.
func (b *Testbed) RemoveVM(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.vms, name)
	b.publishVMs()
}

func (b *Testbed) publishVMs() {
	list := make([]objectapi.VM, 0, len(b.vms))
	for _, name := range sortedKeys(b.vms) {
		list = append(list, b.vms[name])
	}
	b.Platform.SetVMs(list)
}

// AuthorityCertPEM returns the certificate of the testbed's development CA in PEM form.
func (b *Testbed) AuthorityCertPEM() []byte {
	return b.authority.KeyPair().Cert
}
