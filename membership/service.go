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
	mailboxLength = 1024
	callers       = 4
	flushDelay    = 20 * time.Millisecond
	callTimeout   = 3 * time.Second
	// vmListReaders routers of a failure domain read the VM list at its period;
	// the others read it vmListStretch times more seldom.
	vmListReaders = 2
	vmListStretch = 15
)

// Config is what a Service needs. All fields but Seeds and Metrics are
// required.
type Config struct {
	Self fleet.Router
	VMs  objectapi.VMLister
	// Seeds are greeted while the VM list cannot be read.
	Seeds []fleet.Router
	// Caller sends datagrams without blocking.
	Caller  peer.Caller
	Values  func() settings.Membership
	Clock   func() time.Time
	Rand    *rand.Rand
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Service runs one router's membership. Its methods are safe for concurrent
// use.
type Service struct {
	cfg     Config
	table   *Table
	mailbox chan func()
	done    chan struct{}
	view    atomic.Pointer[View]
	watch   subscribers

	// Owned by Run.
	pool     *task.Pool
	flush    *time.Timer
	flushing bool
	syncing  bool
	reading  bool
	lastRead time.Time
}

// New returns a Service that knows only itself and the seeds.
func New(cfg Config) *Service {
	now := cfg.Clock()
	table := NewTable(cfg.Self, timing(cfg.Values()), cfg.Rand, now)
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

func timing(v settings.Membership) Timing {
	return Timing{Rings: max(v.Fanout, 1), Suspect: v.SuspectMS.Duration(), Remove: v.RemoveMS.Duration()}
}

// Register adds the handlers of the membership messages.
func (s *Service) Register(mux *peer.Mux) {
	mux.HandleDatagram(peer.MethodHeartbeat, s.handleHeartbeat)
	mux.HandleCall(peer.MethodMembershipSync, s.handleSync)
}

// View returns the current snapshot.
func (s *Service) View() *View {
	return s.view.Load()
}

// Subscribe returns a channel that holds a token after each change of the
// view. Changes in quick succession may share a token.
func (s *Service) Subscribe() <-chan struct{} {
	return s.watch.add()
}

// Run exchanges messages until ctx ends, then tells the neighbours that this
// router is gone. It is called once.
func (s *Service) Run(ctx context.Context) error {
	pool, err := task.NewPool(callers)
	if err != nil {
		return err
	}
	defer pool.Release()
	defer close(s.done)
	s.pool = pool
	s.flush = time.NewTimer(time.Hour)
	defer s.flush.Stop()
	period := s.cfg.Values().HeartbeatMS.Duration()
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	s.beat(ctx)
	for {
		select {
		case <-ctx.Done():
			s.send(s.table.Farewell(s.cfg.Clock()))
			return nil
		case f := <-s.mailbox:
			f()
		case <-s.flush.C:
			s.flushing = false
			s.send(s.table.Flush(s.cfg.Clock()))
		case <-ticker.C:
			s.beat(ctx)
			if next := s.cfg.Values().HeartbeatMS.Duration(); next != period {
				period = next
				ticker.Reset(period)
			}
		}
		s.publish()
	}
}

// Leave announces that this router is leaving. It returns once the
// announcement was handed to the network, or with the error of ctx.
func (s *Service) Leave(ctx context.Context) error {
	told := make(chan struct{})
	err := s.post(ctx, func() {
		now := s.cfg.Clock()
		s.table.Leave(now)
		event.MembershipLeaving.Log(s.cfg.Log).Send()
		s.send(s.table.Flush(now))
		close(told)
	})
	if err != nil {
		return err
	}
	select {
	case <-told:
		return nil
	case <-s.done:
		return task.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post hands f to the goroutine of Run.
func (s *Service) post(ctx context.Context, f func()) error {
	select {
	case s.mailbox <- f:
		return nil
	case <-s.done:
		return task.ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

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
	answers := make(chan SyncAnswer, 1)
	err := s.post(ctx, func() { answers <- s.table.AnswerSync(from, req, s.cfg.Clock()) })
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

// publish stores a new view after a change and arms the flush of new rumours.
func (s *Service) publish() {
	if !s.flushing && s.table.queue.fresh() {
		s.flushing = true
		s.flush.Reset(flushDelay)
	}
	if !s.table.Changed() {
		return
	}
	v := s.table.View()
	s.view.Store(v)
	s.count(v)
	event.MembershipChanged.Log(s.cfg.Log).Int("routers", len(v.Routers)).Uint64("version", v.Version).Send()
	s.watch.notify()
}

// count sets the numbers of members by state.
func (s *Service) count(v *View) {
	if s.cfg.Metrics == nil {
		return
	}
	var numbers [len(stateNames)]int
	for _, m := range v.All {
		numbers[m.State]++
	}
	for state, n := range numbers {
		s.cfg.Metrics.Members.WithLabelValues(State(state).String()).Set(float64(n))
	}
}
