package loadmean

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/placement"
)

// Config is what a Service needs. All fields are required.
type Config struct {
	Self fleet.Router
	// Caller sends without blocking.
	Caller peer.Caller
	// Members returns the live routers; the slice is not changed.
	Members func() []fleet.Router
	Clock   func() time.Time
	Log     zerolog.Logger
}

// Mean is the mean load of a service's targets, in requests a unit of weight.
type Mean struct {
	// Value is over the whole fleet as far as it is known, DomainValue over the
	// own failure domain.
	Value       float64
	DomainValue float64
	// Targets is the summed weight that Value is over, rounded.
	Targets int
	// Fresh says that other routers' parts are in Value, or that there are none.
	Fresh bool
}

// Service runs one router's part. Its methods are safe for concurrent use.
type Service struct {
	cfg  Config
	mu   sync.Mutex
	core *core
	// own and others hold by Key what this router last reported (Sum) and what
	// it was last answered (answer), to be read without the lock.
	own    sync.Map
	others sync.Map
}

type answer struct {
	Others
	at time.Time
}

// New returns a Service that reports nothing.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, core: newCore(cfg.Self, cfg.Clock())}
}

// Register adds the handler of the datagrams.
func (s *Service) Register(mux *peer.Mux) {
	mux.HandleDatagram(peer.MethodLoad, s.handle)
}

// Report sets what the targets that this router is home to carry now: their
// summed weight and the requests in flight. Weight zero withdraws the report.
func (s *Service) Report(service fleet.ServiceName, targets int, load float64) {
	s.ReportSum(ServiceKey(service), Sum{Amount: load, Weight: float64(targets)})
}

// ReportSum sets this router's part of a quantity.
func (s *Service) ReportSum(key Key, part Sum) {
	old, known := s.own.Load(key)
	if known && old.(Sum) == part || !known && part == (Sum{}) {
		return
	}
	s.own.Store(key, part)
	if part == (Sum{}) {
		s.own.Delete(key)
		s.others.Delete(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.report(key, unitsOf(part))
}

// Read returns what other routers reported of a quantity that this router
// reports too; ok is false where nothing fresh is known.
func (s *Service) Read(key Key) (Others, bool) {
	v, known := s.others.Load(key)
	if !known {
		return Others{}, false
	}
	a := v.(answer)
	if s.cfg.Clock().Sub(a.at) >= expiry {
		return Others{}, false
	}
	return a.Others, true
}

// Others returns the load of a service's targets that other routers are home
// to, with their weights; zero where nothing fresh is known.
func (s *Service) Others(service fleet.ServiceName) placement.ServiceLoad {
	o, _ := s.Read(ServiceKey(service))
	return placement.ServiceLoad{Requests: o.Total.Amount, Weight: o.Total.Weight}
}

// Mean returns the mean load of a service.
func (s *Service) Mean(service fleet.ServiceName) Mean {
	key := ServiceKey(service)
	var own Sum
	if v, ok := s.own.Load(key); ok {
		own = v.(Sum)
	}
	o, fresh := s.Read(key)
	return Mean{
		Value:       ratio(own.Amount+o.Total.Amount, own.Weight+o.Total.Weight),
		DomainValue: ratio(own.Amount+o.Domain.Amount, own.Weight+o.Domain.Weight),
		Targets:     int(own.Weight + o.Total.Weight + 0.5),
		Fresh:       fresh,
	}
}

func ratio(amount, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return amount / weight
}

func (s *Service) handle(from fleet.RouterID, payload []byte) {
	var d Datagram
	if err := peer.Decode(payload, &d); err != nil {
		event.LoadMeanBadMessage.Log(s.cfg.Log).Str("from", string(from)).Err(err).Send()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.receive(from, d, s.cfg.Clock())
	s.publish()
}

// publish must be called with the lock held.
func (s *Service) publish() {
	for key := range s.core.fresh {
		o := s.core.others[key]
		s.others.Store(key, answer{Others{Domain: o.domain.sum(), Total: o.total.sum()}, o.at})
	}
	clear(s.core.fresh)
}

// Run exchanges reports until ctx ends. It is called once.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var members []fleet.Router
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := s.cfg.Members()
		messages := s.step(now, !same(members, now))
		members = now
		for _, m := range messages {
			_ = s.cfg.Caller.Send(m.Addr, peer.MethodLoad, m.Datagram)
		}
	}
}

// same reports whether two immutable slices are one.
func same(a, b []fleet.Router) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

func (s *Service) step(members []fleet.Router, changed bool) []Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if changed {
		s.core.setMembers(members)
	}
	messages := s.core.step(s.cfg.Clock())
	s.publish()
	return messages
}
