package membership

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/task"
)

const (
	mailboxLength      = 1024
	maxConcurrentCalls = 4
	flushDelay         = 20 * time.Millisecond
	callTimeout        = 3 * time.Second
	// vmListReaders is the number of routers of a failure domain that read the VM
	// list once per configured period. The period of the others is
	// vmListPeriodFactor times as long.
	vmListReaders      = 2
	vmListPeriodFactor = 15
)

// Config holds the dependencies of a Service. All fields but Seeds and Metrics
// are required.
type Config struct {
	Self fleet.Router
	VMs  objectapi.VMLister
	// Seeds are the routers to contact as long as the VM list cannot be read.
	Seeds []fleet.Router
	// PeerClient must send datagrams without blocking.
	PeerClient peer.Client
	Values     func() settings.Membership
	Clock      func() time.Time
	Rand       *rand.Rand
	Log        zerolog.Logger
	Metrics    *metrics.Set
}

// Service runs one router's membership. Its methods are safe for concurrent
// use.
type Service struct {
	cfg         Config
	table       *Table
	mailbox     chan func()
	done        chan struct{}
	view        atomic.Pointer[View]
	subscribers subscribers

	// Used only by the goroutine of Run.
	pool           *task.Pool
	flushTimer     *time.Timer
	flushScheduled bool
	syncInFlight   bool
	vmReadInFlight bool
	lastVMRead     time.Time
}

// New returns a Service whose view holds only its own router and the seeds.
func New(cfg Config) *Service {
	now := cfg.Clock()
	table := NewTable(cfg.Self, timingFrom(cfg.Values()), cfg.Rand, now)
	table.AddSeeds(cfg.Seeds, now)
	s := &Service{
		cfg:     cfg,
		table:   table,
		mailbox: make(chan func(), mailboxLength),
		done:    make(chan struct{}),
	}
	s.view.Store(table.View())
	return s
}

func timingFrom(v settings.Membership) Timing {
	return Timing{Rings: max(v.Fanout, 1), Suspect: v.SuspectMS.Duration(), Remove: v.RemoveMS.Duration()}
}

// Register adds the handlers of the membership messages.
func (s *Service) Register(mux *peer.Mux) {
	mux.HandleDatagram(peer.MethodHeartbeat, s.handleHeartbeat)
	mux.HandleCall(peer.MethodMembershipSync, s.handleSync)
}

// View returns the current snapshot. It never returns nil.
func (s *Service) View() *View {
	return s.view.Load()
}

// Subscribe returns a channel that receives a value after the view changes.
// Changes in quick succession may be merged into one value.
func (s *Service) Subscribe() <-chan struct{} {
	return s.subscribers.add()
}

// Run exchanges messages until ctx ends, then sends the neighbours an update
// that this router is gone. It must be called once.
func (s *Service) Run(ctx context.Context) error {
	pool, err := task.NewPool(maxConcurrentCalls)
	if err != nil {
		return err
	}
	defer pool.Release()
	defer close(s.done)
	s.pool = pool
	s.flushTimer = time.NewTimer(time.Hour)
	defer s.flushTimer.Stop()
	period := s.cfg.Values().HeartbeatMS.Duration()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.tick(ctx)
	for {
		select {
		case <-ctx.Done():
			s.send(s.table.ShutdownMessages(s.cfg.Clock()))
			return nil
		case f := <-s.mailbox:
			f()
		case <-s.flushTimer.C:
			s.flushScheduled = false
			s.send(s.table.Flush(s.cfg.Clock()))
		case <-ticker.C:
			s.tick(ctx)
			if next := s.cfg.Values().HeartbeatMS.Duration(); next != period {
				period = next
				ticker.Reset(period)
			}
		}
		s.publish()
	}
}

// Leave announces that this router is leaving. It returns nil once the
// announcement was sent, without waiting for its delivery. It returns
// task.ErrStopped if Run has ended, or the error of ctx.
func (s *Service) Leave(ctx context.Context) error {
	announced := make(chan struct{})
	err := s.enqueue(ctx, func() {
		now := s.cfg.Clock()
		s.table.Leave(now)
		event.MembershipLeaving.Log(s.cfg.Log).Send()
		s.send(s.table.Flush(now))
		close(announced)
	})
	if err != nil {
		return err
	}
	select {
	case <-announced:
		return nil
	case <-s.done:
		return task.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue schedules f to run on the goroutine of Run. It blocks while the
// mailbox is full.
func (s *Service) enqueue(ctx context.Context, f func()) error {
	select {
	case s.mailbox <- f:
		return nil
	case <-s.done:
		return task.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleHeartbeat schedules a heartbeat for the table, and drops it if the
// mailbox is full.
func (s *Service) handleHeartbeat(from fleet.RouterID, payload []byte) {
	var hb Heartbeat
	if err := peer.Decode(payload, &hb); err != nil {
		event.MembershipBadMessage.Log(s.cfg.Log).Str("from", string(from)).Err(err).Send()
		return
	}
	receive := func() { s.send(s.table.Receive(from, hb, s.cfg.Clock())) }
	select {
	case s.mailbox <- receive:
	default:
	}
}

func (s *Service) handleSync(ctx context.Context, from fleet.RouterID, payload []byte) (any, error) {
	var req SyncRequest
	if err := peer.Decode(payload, &req); err != nil {
		return nil, err
	}
	answers := make(chan SyncResponse, 1)
	err := s.enqueue(ctx, func() { answers <- s.table.HandleSync(from, req, s.cfg.Clock()) })
	if err != nil {
		return nil, err
	}
	select {
	case answer := <-answers:
		return answer, nil
	case <-s.done:
		return nil, task.ErrStopped
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// publish stores a new view if the table changed, and schedules the flush of
// new updates.
func (s *Service) publish() {
	if !s.flushScheduled && s.table.updates.hasUnsent() {
		s.flushScheduled = true
		s.flushTimer.Reset(flushDelay)
	}
	if !s.table.Changed() {
		return
	}
	v := s.table.View()
	s.view.Store(v)
	s.updateMetrics(v)
	event.MembershipChanged.Log(s.cfg.Log).Int("routers", len(v.Routers)).Uint64("version", v.Version).Send()
	s.subscribers.notify()
}

// updateMetrics sets the number of members in each state.
func (s *Service) updateMetrics(v *View) {
	if s.cfg.Metrics == nil {
		return
	}
	var counts [len(stateNames)]int
	for _, m := range v.Members {
		counts[m.State]++
	}
	for state, n := range counts {
		s.cfg.Metrics.Members.WithLabelValues(State(state).String()).Set(float64(n))
	}
}
