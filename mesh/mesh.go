package mesh

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
	"ragwortpond.example/ragwortpond/platform"
)

const (
	// tick is the interval of beats to routers of the same failure domain by
	// those that watch the store, and of the decision who does.
	tick = 400 * time.Millisecond
	// fanout is how many routers get the loads with each tick; at 78 routers a
	// count then reaches all within about a second.
	fanout = 3
	// mostLoads and mostOthers bound what a beat carries.
	mostLoads  = 70
	mostOthers = 8
	// loadLife is how long a target's count is passed on.
	loadLife = 2 * time.Second
	// repairAfter is how long a difference from what another router holds may
	// last before this one asks for it; changes on their way end most.
	repairAfter = 300 * time.Millisecond
	// fetchTimeout bounds the fetching of what another router holds; after it the
	// store is asked.
	fetchTimeout = 700 * time.Millisecond
	// patientTicks is for how many ticks a starting router that is not strong waits
	// for another one's view before it asks the store.
	patientTicks = 1
	// joinTicks is how many ticks a starting router asks the seeds.
	joinTicks = 10
)

// Strong is the strength from which a VM does work for others first.
const Strong = 2

// Config is what a mesh needs.
type Config struct {
	Self   fleet.RouterID
	Domain fleet.DomainName
	// Addr is host:port of datagrams and of the listener for those who ask for
	// what this router holds.
	Addr string
	// Strength ranks this VM by what it can do for others.
	Strength uint8
	// Seeds are addresses to begin with; they may be stale.
	Seeds     func() []string
	Directory *directory.Directory
	// Heard takes a count of a target's work that another router passed on.
	Heard func(id fleet.TargetID, work int, at time.Time)
	// Bytes counts control traffic in bytes by direction; it may be nil.
	Bytes func(direction string, n int)
	Log   zerolog.Logger
}

// Mesh is this router's part in the mesh.
type Mesh struct {
	cfg    Config
	boot   int64
	conn   *net.UDPConn
	random *rand.Rand
	http   *http.Client
	fleet  atomic.Int64
	leave  atomic.Bool

	mu     sync.Mutex
	table  *Table
	loads  map[fleet.TargetID]sample
	names  map[uint32]fleet.TargetID
	ticks  int
	differ time.Time
	// fetching says that an answer of another router is awaited.
	fetching bool
	// deflated is the configuration of a revision for other routers.
	deflated struct {
		revision uint64
		data     []byte
	}
}

type sample struct {
	work int
	at   time.Time
}

// New opens the mesh's socket.
func New(cfg Config) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	if cfg.Bytes == nil {
		cfg.Bytes = func(string, int) {}
	}
	m := &Mesh{
		cfg: cfg, boot: time.Now().UnixNano(), conn: conn, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		table: NewTable(cfg.Self, cfg.Domain, cfg.Strength), loads: map[fleet.TargetID]sample{}, names: map[uint32]fleet.TargetID{},
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return netconn.Dial(ctx, addr) },
		// The next question goes to another router.
		DisableKeepAlives: true, DisableCompression: true,
	}
	m.http = &http.Client{Transport: transport, Timeout: fetchTimeout}
	m.fleet.Store(1)
	return m, nil
}

// Fleet is the number of routers known, this one included.
func (m *Mesh) Fleet() int {
	return int(m.fleet.Load())
}

// Report takes a target's own count of its work from one of this router's
// requests.
func (m *Mesh) Report(id fleet.TargetID, work int, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[id] = sample{work, now}
}

// Changed passes on what this router has seen in the store; nil means that only
// the configuration changed.
func (m *Mesh) Changed(changes []platform.Change) {
	m.mu.Lock()
	addrs := m.table.Domain(time.Now())
	m.mu.Unlock()
	b := m.beat()
	for _, c := range changes {
		change := Change{Name: c.Object.Name, Revision: c.Object.Revision, Deleted: c.Deleted}
		if !c.Deleted {
			change.Spec = c.Object.Spec
		}
		b.Changes = append(b.Changes, change)
		if len(b.Changes) == changesEach {
			m.send(b, addrs)
			b.Changes = nil
		}
	}
	if len(b.Changes) > 0 || changes == nil {
		m.send(b, addrs)
	}
}

// changesEach is how many changes fit into a datagram.
const changesEach = 3

// Leave tells the others that this router stops.
func (m *Mesh) Leave() {
	m.leave.Store(true)
	m.mu.Lock()
	addrs := m.table.Domain(time.Now())
	m.mu.Unlock()
	m.send(m.beat(), addrs)
}

// Run takes part until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	go m.run(ctx)
	buffer := make([]byte, maxDatagram+1)
	for {
		n, from, err := m.conn.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			event.MeshFault.Log(m.cfg.Log).Str("what", "receive").Err(err).Send()
			continue
		}
		m.cfg.Bytes("received", n)
		b, err := decode(buffer[:n])
		if err != nil {
			event.MeshFault.Log(m.cfg.Log).Str("what", "decode").Str("from", from.String()).Err(err).Send()
			continue
		}
		m.hear(ctx, b, from)
	}
}

func (m *Mesh) run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	m.onTick()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.onTick()
		}
	}
}

func (m *Mesh) onTick() {
	now := time.Now()
	m.mu.Lock()
	m.ticks++
	m.table.Forget(now)
	watches := m.table.Watches(now)
	some := m.table.Some(fanout, now, m.random)
	domain := m.table.Domain(now)
	m.fleet.Store(int64(m.table.Fleet()))
	joins := m.ticks <= joinTicks || len(some) == 0
	m.rename()
	m.mu.Unlock()
	if m.ticks > patientTicks || m.cfg.Strength >= Strong || !watches {
		m.cfg.Directory.Watch(watches)
	}
	if m.cfg.Directory.Hears() {
		m.send(m.beat(), domain)
	}
	full := m.beat()
	m.fill(full, now)
	if joins {
		full.Joins = true
		some = append(some, m.seeds()...)
	}
	m.send(full, some)
}

// rename keeps the names of targets by their hashes; m.mu is held.
func (m *Mesh) rename() {
	view := m.cfg.Directory.View()
	clear(m.names)
	for _, list := range view.Targets {
		for _, t := range list {
			m.names[nameHash(t.ID)] = t.ID
		}
	}
	for id := range m.loads {
		if _, ok := m.names[nameHash(id)]; !ok {
			delete(m.loads, id)
		}
	}
}

func nameHash(id fleet.TargetID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// beat returns a beat without loads.
func (m *Mesh) beat() *Beat {
	config, targets := m.cfg.Directory.Marks()
	return &Beat{
		From: m.cfg.Self, Domain: m.cfg.Domain, Boot: m.boot, Watches: m.cfg.Directory.Hears(),
		Leaving: m.leave.Load(), Config: config, Targets: targets, Strength: m.cfg.Strength,
	}
}

// fill adds loads and other routers to a beat.
func (m *Mesh) fill(b *Beat, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, s := range m.loads {
		if age := now.Sub(s.at); age < loadLife && len(b.Loads) < mostLoads {
			b.Loads = append(b.Loads, Load{Target: nameHash(id), Work: uint32(s.work), AgeMS: uint32(age.Milliseconds())})
		}
	}
	b.Others = m.table.Others(mostOthers, now, m.random)
}

func (m *Mesh) seeds() []netip.AddrPort {
	_, port, err := net.SplitHostPort(m.cfg.Addr)
	if err != nil {
		return nil
	}
	var addrs []netip.AddrPort
	for _, seed := range m.cfg.Seeds() {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addr, err := netip.ParseAddrPort(net.JoinHostPort(host, port))
		if err != nil {
			event.MeshFault.Log(m.cfg.Log).Str("what", "seed").Str("seed", seed).Err(err).Send()
			continue
		}
		if addr.String() != m.cfg.Addr {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (m *Mesh) send(b *Beat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	data, err := encode(b)
	if errors.Is(err, errTooLong) {
		// What does not fit is fetched by those who miss it.
		b.Changes, b.Loads = nil, nil
		data, err = encode(b)
	}
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		return
	}
	for _, addr := range to {
		// A datagram may be lost in any case; the next beat repairs that.
		if _, err := m.conn.WriteToUDPAddrPort(data, addr); err == nil {
			m.cfg.Bytes("sent", len(data))
		}
	}
}

// hear takes a beat.
func (m *Mesh) hear(ctx context.Context, b *Beat, from netip.AddrPort) {
	now := time.Now()
	m.mu.Lock()
	known := m.table.members[b.From]
	news := known == nil || known.boot < b.Boot
	m.table.Hear(b, from, now)
	loads := m.takeLoads(b, now)
	m.mu.Unlock()
	if news {
		event.MeshJoined.Log(m.cfg.Log).Str("router", string(b.From)).Str("failure_domain", string(b.Domain)).Send()
	}
	if b.Leaving {
		event.MeshGone.Log(m.cfg.Log).Str("router", string(b.From)).Send()
	}
	for id, s := range loads {
		m.cfg.Heard(id, s.work, s.at)
	}
	if b.Joins {
		m.answerJoin(from, now)
	}
	if len(b.Changes) > 0 {
		m.cfg.Directory.Take(changesOf(b.Changes))
	}
	m.compare(ctx, b, from, now)
}

func changesOf(list []Change) []platform.Change {
	changes := make([]platform.Change, 0, len(list))
	for _, c := range list {
		changes = append(changes, platform.Change{
			Object: platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec}, Deleted: c.Deleted,
		})
	}
	return changes
}

// takeLoads keeps the counts that are newer than those known; m.mu is held.
func (m *Mesh) takeLoads(b *Beat, now time.Time) map[fleet.TargetID]sample {
	taken := map[fleet.TargetID]sample{}
	for _, l := range b.Loads {
		id, ok := m.names[l.Target]
		at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		if !ok || !at.After(m.loads[id].at) {
			continue
		}
		m.loads[id] = sample{int(l.Work), at}
		taken[id] = m.loads[id]
	}
	return taken
}

func (m *Mesh) answerJoin(to netip.AddrPort, now time.Time) {
	b := m.beat()
	m.fill(b, now)
	m.send(b, []netip.AddrPort{to})
}

// compare looks whether another router holds what this one lacks, and asks for
// it. A router that watches the store asks only while it has nothing to serve
// by.
func (m *Mesh) compare(ctx context.Context, b *Beat, from netip.AddrPort, now time.Time) {
	config, targets := m.cfg.Directory.Marks()
	lacks := (config == 0 && b.Config > 0) || (targets == 0 && b.Targets > 0)
	near := b.Domain == m.cfg.Domain && !m.cfg.Directory.Hears()
	behind := near && (b.Config > config || (b.Watches && b.Targets > 0 && b.Targets != targets))
	m.mu.Lock()
	switch {
	case lacks:
		m.differ = now.Add(-repairAfter)
	case behind && m.differ.IsZero():
		m.differ = now
		if b.Config > config {
			m.differ = now.Add(-repairAfter)
		}
	case b.Watches && !behind:
		m.differ = time.Time{}
	}
	fetch := (lacks || behind) && !m.fetching && now.Sub(m.differ) >= repairAfter
	m.fetching = m.fetching || fetch
	m.mu.Unlock()
	if fetch {
		go m.fetch(ctx, from)
	}
}

// fetch takes from another router what it holds, or from the store if that
// router does not give it in time.
func (m *Mesh) fetch(ctx context.Context, from netip.AddrPort) {
	defer func() {
		m.mu.Lock()
		m.fetching, m.differ = false, time.Time{}
		m.mu.Unlock()
	}()
	config, targets := m.cfg.Directory.Marks()
	held, err := m.ask(ctx, from, config, targets)
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "fetch").Str("from", from.String()).Err(err).Send()
		m.cfg.Directory.Refresh(ctx)
		return
	}
	m.cfg.Directory.TakeHeld(*held)
	event.MeshFetched.Log(m.cfg.Log).Str("from", from.String()).Uint64("config_before", config).
		Uint64("config", held.Config.Revision).Uint64("targets_revision", held.Revision).Send()
}

// ask asks another router for what it holds beyond a configuration's revision
// and a digest of targets.
func (m *Mesh) ask(ctx context.Context, from netip.AddrPort, config, targets uint64) (*directory.Held, error) {
	url := fmt.Sprintf("http://%s/held?config=%d&targets=%d", from, config, targets)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := m.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxHeld))
	if err != nil {
		return nil, err
	}
	m.cfg.Bytes("received", len(data))
	var held Held
	if err := cbor.Unmarshal(data, &held); err != nil {
		return nil, err
	}
	return heldOf(&held)
}

func heldOf(held *Held) (*directory.Held, error) {
	document, err := inflate(held.Config)
	if err != nil {
		return nil, err
	}
	h := &directory.Held{Revision: held.Revision}
	if len(document) > 0 {
		h.Config = platform.Object{Name: platform.ConfigName, Revision: held.ConfigRevision, Spec: document}
	}
	for _, c := range held.Targets {
		h.Targets = append(h.Targets, platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec})
	}
	return h, nil
}

// ServeHTTP tells another router what this one holds and that one lacks.
func (m *Mesh) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	config, err1 := strconv.ParseUint(r.URL.Query().Get("config"), 10, 64)
	targets, err2 := strconv.ParseUint(r.URL.Query().Get("targets"), 10, 64)
	if err1 != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	held, err := m.beyond(config, targets)
	var data []byte
	if err == nil {
		data, err = cbor.Marshal(held)
	}
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	m.cfg.Bytes("sent", len(data))
	// The asking router notices what it does not get.
	_, _ = w.Write(data)
}

// beyond is what this router holds beyond the given marks.
func (m *Mesh) beyond(config, targets uint64) (*Held, error) {
	h := m.cfg.Directory.Held()
	_, digest := m.cfg.Directory.Marks()
	held := &Held{ConfigRevision: h.Config.Revision}
	if h.Config.Revision > config {
		var err error
		if held.Config, err = m.deflate(h.Config); err != nil {
			return nil, err
		}
	}
	if digest == targets {
		return held, nil
	}
	held.Revision = h.Revision
	for _, o := range h.Targets {
		held.Targets = append(held.Targets, Change{Name: o.Name, Revision: o.Revision, Spec: o.Spec})
	}
	return held, nil
}

// deflate compresses a configuration once for all that ask.
func (m *Mesh) deflate(o platform.Object) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.deflated.revision == o.Revision {
		return m.deflated.data, nil
	}
	data, err := deflate(o.Spec)
	if err != nil {
		return nil, err
	}
	m.deflated.revision, m.deflated.data = o.Revision, data
	return data, nil
}
