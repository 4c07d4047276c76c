package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// plainBeats is how many beats without loads cost as much as one with them: a
	// router that sends those to its failure domain sends fewer of the others.
	plainBeats = 8
	// mostLoads and mostOthers bound what a beat carries: with three a tick, less
	// than 5 KB/s.
	mostLoads  = 30
	mostOthers = 2
	// loadLife is how long a target's count is passed on.
	loadLife = 2 * time.Second
	// repairAfter is how long a difference from what another router holds may
	// last before this one asks for it; changes on their way end most.
	repairAfter = 300 * time.Millisecond
	// fetchTimeout bounds the fetching of what another router holds; after it the
	// store is asked.
	fetchTimeout = 700 * time.Millisecond
	// patientTicks is for how many ticks a starting router that is not strong waits
	// for another one's view before it asks the store: two seconds of those in which
	// a fleet has to serve again.
	patientTicks = 5
	// joinTicks is how many ticks a starting router asks the seeds, firstTicks how
	// many once it knows joinedTo routers, from which it hears of the others.
	joinTicks  = 10
	firstTicks = 2
	joinedTo   = 8
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
	// copies guards config and targets: what this router holds, deflated for others,
	// by the configuration's revision and the targets' digest.
	copies          sync.Mutex
	config, targets deflated
}

// deflated is a compressed copy of something with the mark of its version.
type deflated struct {
	mark uint64
	data []byte
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
// the configuration changed. Of many changes at once only the marks are passed on.
func (m *Mesh) Changed(changes []platform.Change) {
	addrs := m.domain()
	b := m.beat()
	if len(changes) > mostPushed {
		changes = nil
	}
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

const (
	// changesEach is how many changes fit into a datagram.
	changesEach = 3
	// mostPushed is how many changes are passed on one by one: those of a release
	// of a third of a service's targets. Of more, such as a whole list, only the
	// digest is passed on, and those who lack them ask.
	mostPushed = 48
)

// Leave tells the others that this router stops.
func (m *Mesh) Leave() {
	m.leave.Store(true)
	m.send(m.beat(), m.domain())
}

// domain returns the addresses of the routers of the same failure domain.
func (m *Mesh) domain() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Domain(time.Now())
}

// Run takes part until ctx ends.
func (m *Mesh) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = m.conn.Close() })
	defer stop()
	// A datagram may end the loop before the function above has run.
	defer func() { _ = m.conn.Close() }()
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

// onTick decides whether this router watches the store and sends its beats.
func (m *Mesh) onTick() {
	now := time.Now()
	r := m.round(now)
	if r.decides || !r.watches {
		m.cfg.Directory.Watch(r.watches)
	}
	m.send(m.beat(), r.turn)
	full := m.beat()
	m.fill(full, now)
	if r.joins {
		full.Joins = true
		r.some = append(r.some, m.seeds()...)
	}
	m.send(full, r.some)
}

// round is what one tick asks for.
type round struct {
	// watches says that this router is to watch the store, decides that it has had
	// time to hear of the others.
	watches, decides bool
	// turn get a beat without loads, some one with them.
	turn, some []netip.AddrPort
	// joins says that the seeds are asked.
	joins bool
}

func (m *Mesh) round(now time.Time) round {
	hears := m.cfg.Directory.Hears()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ticks++
	m.table.Forget(now)
	fleet := m.table.Fleet()
	m.fleet.Store(int64(fleet))
	m.rename()
	r := round{watches: m.table.Watches(now), decides: m.ticks > patientTicks || m.cfg.Strength >= Strong}
	if hears {
		r.turn = m.table.Turn(m.ticks, now)
	}
	r.some = m.table.Some(max(fanout-len(r.turn)/plainBeats, 1), now, m.random)
	r.joins = m.ticks <= firstTicks || (m.ticks <= joinTicks && fleet <= joinedTo) || len(r.some) == 0
	return r
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
