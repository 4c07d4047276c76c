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

// Config configures a Service. All fields are required.
type Config struct {
	Self fleet.Router
	// PeerClient sends datagrams; Send must not block.
	PeerClient peer.Client
	// Members returns the live routers. The returned slice must not be
	// modified.
	Members func() []fleet.Router
	Clock   func() time.Time
	Log     zerolog.Logger
}

// Mean is the mean load of a service's targets, in requests per unit of weight.
type Mean struct {
	// Value is the mean over the known part of the fleet, DomainValue over the
	// own failure domain.
	Value       float64
	DomainValue float64
	// Weight is the total weight that Value is computed over, rounded.
	Weight int
	// Fresh is set if Value includes an unexpired answer from the aggregator.
	// The answer is zero if no other router has a part in the load.
	Fresh bool
}

// Service runs one router's part of the aggregation. Its methods are safe for
// concurrent use.
type Service struct {
	cfg  Config
	mu   sync.Mutex
	core *core
	// reported and published allow reads without the lock. They hold by Key the
	// last Sum that this router reported and the last publishedSums that it
	// received.
	reported  sync.Map
	published sync.Map
}

type publishedSums struct {
	PeerSums
	at time.Time
}

// New returns a Service without reports.
func New(cfg Config) *Service {
	return &Service{cfg: cfg, core: newCore(cfg.Self, cfg.Clock())}
}

// Register registers the handler for datagrams.
func (s *Service) Register(mux *peer.Mux) {
	mux.HandleDatagram(peer.MethodLoad, s.handle)
}

// ReportLoad sets the current load of the targets that this router is home to:
// their total weight and the requests in flight. Zero targets with zero load
// withdraw the report.
func (s *Service) ReportLoad(service fleet.ServiceName, targets int, load float64) {
	s.Report(ServiceKey(service), Sum{Amount: load, Weight: float64(targets)})
}

// Report sets this router's part of a quantity. A zero part withdraws it.
func (s *Service) Report(key Key, part Sum) {
	old, known := s.reported.Load(key)
	if known && old.(Sum) == part || !known && part == (Sum{}) {
		return
	}
	s.reported.Store(key, part)
	if part == (Sum{}) {
		s.reported.Delete(key)
		s.published.Delete(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.setOwnReport(key, newFixedSum(part))
}

// PeerSums returns the sums that other routers reported of a quantity. It returns
// false if this router does not report the quantity or has no unexpired answer.
func (s *Service) PeerSums(key Key) (PeerSums, bool) {
	v, known := s.published.Load(key)
	if !known {
		return PeerSums{}, false
	}
	a := v.(publishedSums)
	if s.cfg.Clock().Sub(a.at) >= valueTTL {
		return PeerSums{}, false
	}
	return a.PeerSums, true
}

// PeerLoad returns the load and the total weight of a service's targets that
// other routers are home to. Both are zero if there is no unexpired answer.
func (s *Service) PeerLoad(service fleet.ServiceName) placement.ServiceLoad {
	o, _ := s.PeerSums(ServiceKey(service))
	return placement.ServiceLoad{Requests: o.Total.Amount, Weight: o.Total.Weight}
}

// Mean returns the mean load of a service.
func (s *Service) Mean(service fleet.ServiceName) Mean {
	key := ServiceKey(service)
	var own Sum
	if v, ok := s.reported.Load(key); ok {
		own = v.(Sum)
	}
	o, fresh := s.PeerSums(key)
	return Mean{
		Value:       ratio(own.Amount+o.Total.Amount, own.Weight+o.Total.Weight),
		DomainValue: ratio(own.Amount+o.Domain.Amount, own.Weight+o.Domain.Weight),
		Weight:      int(own.Weight + o.Total.Weight + 0.5),
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

// publish makes changed sums available to PeerSums. The lock must be held.
func (s *Service) publish() {
	for key := range s.core.unpublished {
		o := s.core.peerSums[key]
		s.published.Store(key, publishedSums{PeerSums{Domain: o.domain.toSum(), Total: o.total.toSum()}, o.at})
	}
	clear(s.core.unpublished)
}

// Run exchanges reports until ctx is done. It must be called only once.
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
		messages := s.step(now, !sameSlice(members, now))
		members = now
		for _, m := range messages {
			_ = s.cfg.PeerClient.Send(m.Addr, peer.MethodLoad, m.Datagram)
		}
	}
}

// sameSlice reports whether two immutable slices share the same elements.
func sameSlice(a, b []fleet.Router) bool {
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
