package mesh

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/directory"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/netconn"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/streamversion"
	"ragwortpond.example/ragwortpond/targetcold"
	"ragwortpond.example/ragwortpond/targetlimit"
)

const (
	// heartbeatInterval is the duration of a tick. At each tick a router decides
	// whether it watches the store and sends its heartbeats: full ones to random
	// routers and, if it has a live watch of the store, plain ones to its failure
	// domain.
	heartbeatInterval = 400 * time.Millisecond
	// fanout is the number of routers that receive a full heartbeat, one with loads,
	// at each tick. In a fleet of 78 routers a load then reaches all of them within
	// about a second.
	fanout = 3
	// plainPerFullHeartbeat is the number of plain heartbeats, those without loads,
	// that cost as much as a full one. A router that sends plain heartbeats to its
	// failure domain sends accordingly fewer full ones.
	plainPerFullHeartbeat = 8
	// maxLoads and maxPeers bound the contents of a full heartbeat. Three full
	// heartbeats per tick take less than 5 KB/s.
	maxLoads = 30
	maxPeers = 2
	// loadLifetime is the age up to which a target's load is sent to other routers.
	loadLifetime = 2 * time.Second
	// syncDelay is how long a difference from another router's data may last before
	// this router fetches that data. Most differences end earlier, by changes that
	// are in transit.
	syncDelay = 300 * time.Millisecond
	// fetchTimeout bounds the fetch of another router's data. If it expires, the store
	// is read instead.
	fetchTimeout = 700 * time.Millisecond
	// maxHeaderBytes bounds the header of the response to a fetch.
	maxHeaderBytes = 16 << 10
	// storeWaitTicks is the number of ticks for which a starting router with a
	// strength below MinPreferredStrength waits for another router's view before it reads the
	// store. They take 2 s of the time within which a restarted fleet must serve
	// again.
	storeWaitTicks = 5
)

// MinPreferredStrength is the lowest strength at which a starting router watches the
// store at once instead of first waiting storeWaitTicks for another router's view.
const MinPreferredStrength = 2

// Config configures a Mesh.
type Config struct {
	Self   fleet.RouterID
	Domain fleet.DomainName
	// Addr is host:port of this router's datagram socket and of the HTTP listener at
	// which other routers fetch its data.
	Addr string
	// Strength ranks this VM by its capacity for work on behalf of other routers.
	Strength uint8
	// Seeds returns the addresses of routers to contact first; they may be stale.
	Seeds     func() []string
	Directory *directory.Directory
	// OnPeerLoad is called with the number of requests running or waiting at a target, and its
	// pace, zero for not told, from a load report that another router received at time at.
	OnPeerLoad func(id fleet.TargetID, work int, pace float64, at time.Time)
	// Evidence holds the evidence that the routers exchange; nil means that they
	// exchange none.
	Evidence EvidenceStore
	// Limits holds the limits of targets, of which the routers tell each other.
	Limits *targetlimit.Tracker
	// Cold holds what is granted to cold targets; nil means that they are not bounded.
	Cold *targetcold.Tracker
	// StreamVersions holds the splits of services among software versions, and the records
	// of where streams began.
	StreamVersions StreamVersions
	// Paths holds this router's paths to targets; nil means that others are not told of
	// them.
	Paths Paths
	// Unsound holds the reports on targets that answer nothing sound; nil means that the
	// routers exchange none.
	Unsound UnsoundTargets
	// CountBytes counts n bytes of control traffic; direction is "sent" or "received". It
	// may be nil.
	CountBytes func(direction string, n int)
	Log        zerolog.Logger
}

// StreamVersions is the part of streamversion.Service that a Mesh uses.
type StreamVersions interface {
	Registry() *streamversion.Registry
	Merge(r streamversion.Report)
	Reports() []streamversion.Report
	Confirmations() []streamversion.Confirmation
	MergeConfirmation(c streamversion.Confirmation)
	ListRevision(service fleet.ServiceName) (listed, heard uint64)
	MergeListRevision(service fleet.ServiceName, heard uint64)
	MergeListing(l streamversion.Listing)
}

// Mesh exchanges heartbeats and data with the other routers; it implements
// http.Handler for their fetches. It is safe for concurrent use.
type Mesh struct {
	cfg         Config
	incarnation int64
	startedAt   time.Time
	conn        *net.UDPConn
	random      *rand.Rand
	http        *http.Client
	fleetSize   atomic.Int64
	leaving     atomic.Bool
	// pushes bounds the bytes of evidence that are sent at once.
	pushes *rate.Limiter

	mu            sync.Mutex
	table         *Table
	loads         map[fleet.TargetID]loadSample
	targetsByHash map[uint32]fleet.TargetID
	// coldTargets holds the targets of services that bound what their cold ones get. hashedView
	// is the view of both.
	coldTargets map[fleet.TargetID]coldTarget
	hashedView  *catalog.View
	tickCount   int
	behindSince time.Time
	// fetching is set while a fetch from another router is in progress.
	fetching bool
	permits  permitRequests
	streams  pendingReplies[*StreamMessage]
	// deflatedMu guards the compressed copies of this router's configuration and
	// targets. Their versions are the configuration's revision and the targets'
	// digest.
	deflatedMu                      sync.Mutex
	deflatedConfig, deflatedTargets deflatedCopy
}

// deflatedCopy is compressed data with its version.
type deflatedCopy struct {
	version uint64
	data    []byte
}

// loadSample is the number of requests running or waiting at a target and its pace, zero for not
// told, from the load report of a time.
type loadSample struct {
	work       int
	pace       float64
	reportedAt time.Time
}

// New opens the datagram socket. The socket is closed when Run returns.
func New(cfg Config) (*Mesh, error) {
	addr, err := net.ResolveUDPAddr("udp4", cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("mesh: resolve address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, fmt.Errorf("mesh: listen: %w", err)
	}
	if cfg.CountBytes == nil {
		cfg.CountBytes = func(string, int) {}
	}
	if cfg.Limits == nil {
		cfg.Limits = targetlimit.NewTracker()
	}
	if cfg.Cold == nil {
		cfg.Cold = targetcold.NewTracker(targetcold.Bounds{}, time.Now(), 0)
	}
	if cfg.StreamVersions == nil {
		cfg.StreamVersions = streamversion.New(streamversion.Config{View: cfg.Directory.View})
	}
	m := &Mesh{
		cfg: cfg, incarnation: time.Now().UnixNano(), startedAt: time.Now(), conn: conn, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		table: NewTable(cfg.Self, cfg.Domain, cfg.Strength), loads: map[fleet.TargetID]loadSample{}, targetsByHash: map[uint32]fleet.TargetID{}, coldTargets: map[fleet.TargetID]coldTarget{},
		permits: permitRequests{silentUntil: map[fleet.RouterID]time.Time{}}, pushes: rate.NewLimiter(pushedBytesPerSecond, maxPushedBytes),
	}
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) { return netconn.Dial(ctx, addr) },
		// Successive fetches usually go to different routers.
		DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	m.table.startedAt = m.startedAt
	m.http = &http.Client{Transport: transport, Timeout: fetchTimeout}
	m.fleetSize.Store(1)
	return m, nil
}

// FleetSize returns the number of known routers, this one included.
func (m *Mesh) FleetSize() int {
	return int(m.fleetSize.Load())
}

// ReportLoad records the number of requests running or waiting at a target, and its pace, zero for
// not told, as the target sent them with the response to one of this router's requests.
func (m *Mesh) ReportLoad(id fleet.TargetID, work int, pace float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loads[id] = loadSample{work, pace, now}
}

// PublishChanges sends target changes that this router read from the store to its failure
// domain; nil means that only the configuration changed. In that case, and if there
// are more than maxPushedChanges, only the new versions are sent. Nothing is sent if
// the changes came from another watcher of the domain already.
func (m *Mesh) PublishChanges(changes []platform.Change) {
	if m.publishedByOther() {
		return
	}
	addrs := m.domainAddrs()
	hb := m.newHeartbeat()
	if len(changes) > maxPushedChanges {
		changes = nil
	}
	for _, c := range changes {
		change := Change{Name: c.Object.Name, Revision: c.Object.Revision, Deleted: c.Deleted}
		if !c.Deleted {
			change.Spec = c.Object.Spec
		}
		hb.Changes = append(hb.Changes, change)
		if len(hb.Changes) == changesPerDatagram {
			m.send(hb, addrs)
			hb.Changes = nil
		}
	}
	if len(hb.Changes) > 0 || changes == nil {
		m.send(hb, addrs)
	}
}

// publishedByOther reports whether another router of the failure domain with a live
// watch has what this one holds, by the last heartbeat received from it.
func (m *Mesh) publishedByOther() bool {
	versions := m.cfg.Directory.Versions()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.DomainWatcherHas(versions, time.Now())
}

const (
	// changesPerDatagram is the number of changes that fit into a datagram.
	changesPerDatagram = 3
	// maxPushedChanges is the number of changes up to which the changes themselves
	// are sent: those of a release of a third of a service's targets. If there are
	// more, as in a complete list, only the digest is sent, and routers that lack the
	// changes fetch them.
	maxPushedChanges = 48
	// maxOtherAddrs bounds the routers that are told that this one is stopping, or of a new
	// split, beside those of its failure domain.
	maxOtherAddrs = 512
)

// AnnounceLeaving announces to the other routers that this router is stopping. Those of
// its failure domain rely on it, and all of them ask it for permits.
func (m *Mesh) AnnounceLeaving() {
	m.leaving.Store(true)
	m.mu.Lock()
	m.table.leaving = true
	m.mu.Unlock()
	m.send(m.newHeartbeat(), m.allAddrs())
}

// allAddrs returns the addresses of the routers of this failure domain and of up to
// maxOtherAddrs others.
func (m *Mesh) allAddrs() []netip.AddrPort {
	m.mu.Lock()
	others := m.table.RandomAddrs(maxOtherAddrs, time.Now(), m.random)
	m.mu.Unlock()
	addrs := m.domainAddrs()
	for _, addr := range others {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// AnnounceWatch tells the failure domain that this router's watch of the store was
// lost, so that others take over before they miss its heartbeats.
func (m *Mesh) AnnounceWatch() {
	m.send(m.newHeartbeat(), m.domainAddrs())
}

// domainAddrs returns the addresses of the other routers of the same failure domain.
func (m *Mesh) domainAddrs() []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.DomainAddrs(time.Now())
}

// Run sends and receives heartbeats until ctx ends, and then returns nil. It closes
// the socket.
func (m *Mesh) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	closed := make(chan struct{})
	context.AfterFunc(ctx, func() {
		_ = m.conn.Close()
		close(closed)
	})
	var senders sync.WaitGroup
	// The loop may return on a datagram received after the end of ctx. The socket is
	// closed only when Close has returned and no sender uses it.
	defer func() {
		cancel()
		<-closed
		senders.Wait()
	}()
	senders.Go(func() { m.runTicker(ctx) })
	senders.Go(func() { m.requestView(ctx) })
	buffer := make([]byte, maxDatagramBytes+1)
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
		m.cfg.CountBytes("received", n)
		hb, err := decode(buffer[:n])
		if err != nil {
			event.MeshFault.Log(m.cfg.Log).Str("what", "decode").Str("from", from.String()).Err(err).Send()
			continue
		}
		m.handleHeartbeat(ctx, hb, from)
	}
}

// runTicker calls onTick at once and then at each tick until ctx ends.
func (m *Mesh) runTicker(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
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

// onTick decides whether this router watches the store and sends its heartbeats.
func (m *Mesh) onTick() {
	now := time.Now()
	plan := m.planTick(now)
	if plan.mayStartWatch || plan.role == directory.NoWatch {
		m.cfg.Directory.SetWatchRole(plan.role)
	}
	m.send(m.newHeartbeat(), plan.plainAddrs)
	full := m.newHeartbeat()
	m.addLoadsAndPeers(full, now)
	full.Evidence = m.exportEvidence(now, maxEvidenceBytes)
	if plan.askSeeds {
		full.Joining = true
		plan.fullAddrs = append(plan.fullAddrs, m.seedAddrs()...)
	}
	m.send(full, plan.fullAddrs)
}

// tickPlan is what a router does at one tick.
type tickPlan struct {
	// role is this router's part in watching the store. mayStartWatch is set if it may
	// start a watch: on a VM of at least MinPreferredStrength at once, on others after
	// storeWaitTicks, in which they learn of the other routers.
	role          directory.WatchRole
	mayStartWatch bool
	// plainAddrs receive a plain heartbeat, fullAddrs a full one: the failure domain
	// hears from its watchers, and they from those that do not hear them.
	plainAddrs, fullAddrs []netip.AddrPort
	// askSeeds is set if the full heartbeat asks for replies and is also sent to the
	// seeds.
	askSeeds bool
}

// planTick advances the tick counter, removes expired members and plans the tick.
func (m *Mesh) planTick(now time.Time) tickPlan {
	live, role := m.cfg.Directory.HasLiveWatch(), m.cfg.Directory.WatchRole()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.tickCount++
	m.table.RemoveExpired(now)
	m.table.updateAbsence(now)
	m.table.updateSettled(now)
	fleet := m.table.FleetSize(now)
	m.fleetSize.Store(int64(fleet))
	m.updateTargetHashes()
	m.permits.dropExpiredSilences(now)
	plan := tickPlan{role: m.table.WatchRole(now, role), mayStartWatch: m.tickCount > storeWaitTicks || m.cfg.Strength >= MinPreferredStrength}
	if live {
		plan.plainAddrs = m.table.NextDomainAddrs(m.tickCount, now)
	}
	plan.fullAddrs = m.table.RandomAddrs(max(fanout-len(plan.plainAddrs)/plainPerFullHeartbeat, 1), now, m.random)
	unserved := !live && !m.table.HasDomainWatcher(now)
	if unserved {
		// Those that watch for this failure domain may not know of this router.
		plan.plainAddrs = append(plan.plainAddrs, m.table.FirstAddrs(watchersPerDomain, now)...)
	}
	plan.askSeeds = m.tickCount <= minJoinTicks || (m.tickCount <= maxJoinTicks && (m.table.KnownRouters() <= minJoinedPeers || unserved)) || len(plan.fullAddrs) == 0
	return plan
}

// updateTargetHashes rebuilds the index of targets by hash and drops the loads of
// targets that are no longer in the view; m.mu must be held.
func (m *Mesh) updateTargetHashes() {
	view := m.cfg.Directory.View()
	clear(m.targetsByHash)
	clear(m.coldTargets)
	m.hashedView = view
	for _, targets := range []catalog.Targets{view.Targets, view.Evacuated} {
		for name, list := range targets {
			var service catalog.Service
			if view.Config != nil {
				service = view.Config.Services[name]
			}
			for _, t := range list {
				m.targetsByHash[t.ID.Hash()] = t.ID
				if m.cfg.Cold.Bounded(&service) {
					m.coldTargets[t.ID] = coldTarget{t, service}
				}
			}
		}
	}
	for id := range m.loads {
		if _, ok := m.targetsByHash[id.Hash()]; !ok {
			delete(m.loads, id)
		}
	}
}
