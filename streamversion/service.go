package streamversion

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/sleep"
)

// Kind is the kind of the objects that hold histories in the store, one a service.
const Kind = "ragwort-stream-versions"

// Store is the subset of platform.Store that a Service uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error)
	Era() uint64
}

// Peers are the other routers of the fleet.
type Peers interface {
	// Precedence returns the number of routers that come before this one in the order in
	// which routers change the split of a service.
	Precedence(service fleet.ServiceName) int
	// RecordStream records at other routers where a stream began, RecordStreams where several
	// did.
	RecordStream(key Key, origin Origin)
	RecordStreams(records map[Key]Origin)
	// Members returns what is known of the routers, this one included, and which of them read the
	// list of routers.
	Members(service fleet.ServiceName) (known []Member, readers Readers)
	// ListPrecedence is Precedence among the routers that may write the list of routers. It is high
	// as long as this router knows too few others.
	ListPrecedence(service fleet.ServiceName) int
	// TellKnown tells the router that comes first by ListPrecedence what this one knows of a service.
	TellKnown(service fleet.ServiceName)
	// TellListed tells a router that the store lists it. It may be this router.
	TellListed(member Member, listing Listing)
	// FindStream asks other routers where a stream began. It takes a few ten milliseconds
	// at most.
	FindStream(ctx context.Context, key Key) (Origin, bool)
	// PublishSplit tells other routers of a new split.
	PublishSplit(report Report)
	// Connected reports whether this router hears from most others that it knows, so that it
	// learns of what they know.
	Connected() bool
	// AllKnowSplit reports whether all known routers have told that they know the split of a
	// service at a revision or a newer one.
	AllKnowSplit(service fleet.ServiceName, revision uint64) bool
	// AbsenceTime returns how long another router may be out of reach before it counts as absent.
	AbsenceTime() time.Duration
	// Absence returns the time in which other routers were lately not heard of, or this one did
	// not hear of them, so that they may have used older splits; zero if all were present for
	// at least recordLifetime.
	Absence() (from, until time.Time)
}

// Report is what routers tell each other of a service's split.
type Report struct {
	Service fleet.ServiceName
	// Revision is the store's revision of the history.
	Revision uint64
	Split    Split
	// KnownSince is when the first router known to know of the split learned of it.
	KnownSince time.Time
}

// Config configures a Service.
type Config struct {
	Store func() Store
	Peers func() Peers
	View  func() *catalog.View
	// TargetsAge returns how old what this router knows of the targets is, negative if that is not known: the store
	// may have got others since. The view is at least as new.
	TargetsAge func() time.Duration
	// TargetsConfirmedAge returns the time since the store or another router last confirmed the targets,
	// negative if they never were.
	TargetsConfirmedAge func() time.Duration
	// TargetsFrom returns what confirmed them, for the log; nil means that it is not known.
	TargetsFrom func() string
	// StoreLost reports whether calls to the store fail.
	StoreLost func() bool
	// StoodStill reports whether the process stood still until a moment ago, so that what it
	// knows may be older than it seems; nil means never.
	StoodStill func() bool
	// BootTime returns the time of a clock that does not stop while the machine is suspended;
	// nil means that there is only the clock of package time.
	BootTime func() time.Duration
	Log      zerolog.Logger
}

// Service tells at which software version streams run. It is safe for concurrent use.
type Service struct {
	cfg      Config
	registry *Registry
	now      func() time.Time
	// sleep waits for a time and returns an error if the context ends before.
	sleep   func(context.Context, time.Duration) error
	started time.Time

	mu       sync.Mutex
	services map[fleet.ServiceName]*serviceState
	// connectedSince is since when this router has heard most others, by the boot clock; valid
	// if connected is set.
	connected      bool
	connectedSince time.Duration
	// leaving is set once this router stops.
	leaving bool
}

// serviceState is what a router knows of a service's versions; Service.mu guards it.
type serviceState struct {
	// revision, split and knownSince describe the newest known split; revision is zero if
	// none is known.
	revision   uint64
	split      Split
	knownSince time.Time
	// before is the split that this router used until usedUntil.
	before    Split
	usedUntil time.Time
	// newestTold is the newest revision ever known, which others may have heard of.
	newestTold uint64
	listing    listingState
	// history is nil unless the document at revision was read.
	history *History
	// lost is the history when the store's last era ended, at endedAt, nil if this router did not
	// know it then.
	lost    *History
	endedAt time.Time
	// missing is set if the store holds no history although one is known: it came back from a
	// copy that has none.
	missing bool
	// own holds the streams that this router began, moved those of them that others are to be
	// told of.
	own   *Registry
	moved map[Key]Origin
	// targets are the versions of the targets in the newest view. The sole one has not changed
	// since soleSince.
	targets   targetVersions
	soleSince time.Time
	// versionsSince is since when each version among them has been known.
	versionsSince map[fleet.SoftwareVersion]time.Time
	// wantedSince is since when the split should change, zero if it suits the targets.
	wantedSince time.Time
	// retryAt is when the store may be written or, for streams to resume, read again after a
	// failure.
	retryAt time.Time
	// awaySince is since when calls to the store have failed, zero if they do not.
	awaySince time.Time
	reads     readQueue
	// confirmedAt is when the split was last confirmed, by the boot clock; valid if confirmed
	// is set. confirmRetryAt is when the store may be asked for it again.
	confirmed      bool
	confirmedAt    time.Duration
	confirmRetryAt time.Time
	// alone is set once no stream in progress can have begun under another split.
	alone bool
	// settled is the newest revision whose split all routers are known to know.
	settled                       uint64
	settleRetryAt, settledAskedAt time.Time
}

// New returns a service that knows no split.
func New(cfg Config) *Service {
	return newWithClock(cfg, time.Now, sleep.For)
}

func newWithClock(cfg Config, now func() time.Time, sleep func(context.Context, time.Duration) error) *Service {
	if cfg.StoodStill == nil {
		cfg.StoodStill = func() bool { return false }
	}
	if cfg.TargetsFrom == nil {
		cfg.TargetsFrom = func() string { return "" }
	}
	started := now()
	if cfg.BootTime == nil {
		cfg.BootTime = func() time.Duration { return now().Sub(started) }
	}
	return &Service{cfg: cfg, registry: NewRegistry(), now: now, sleep: sleep, started: started, services: map[fleet.ServiceName]*serviceState{}}
}

// Registry returns the records of where streams began, this router's own and those that
// others left here.
func (s *Service) Registry() *Registry {
	return s.registry
}

// stateOf returns the state of a service; s.mu must be held.
func (s *Service) stateOf(service fleet.ServiceName) *serviceState {
	st := s.services[service]
	if st == nil {
		st = &serviceState{own: NewRegistry()}
		s.services[service] = st
	}
	return st
}

// adopt records a split, unless a newer one is known. history may be nil. s.mu must be held.
func (s *Service) adopt(r Report, history *History) {
	st := s.stateOf(r.Service)
	switch {
	case r.Revision < st.revision || len(r.Split) == 0:
		return
	case r.Revision > st.revision:
		if platform.EraOf(r.Revision) > platform.EraOf(st.revision) {
			st.lost, st.endedAt = s.remembered(st), s.now()
		}
		if st.revision > 0 {
			// Under the new split, others would look for them at other versions.
			st.moved = st.own.Moved(r.Service, r.Split, s.now())
		}
		st.newestTold = max(st.newestTold, r.Revision)
		st.before, st.usedUntil = st.split, s.now()
		st.revision, st.split, st.knownSince, st.history, st.wantedSince, st.alone, st.missing = r.Revision, r.Split, r.KnownSince, nil, time.Time{}, false, false
		line := event.SplitChanged.Log(s.cfg.Log).Str("service", string(r.Service)).Uint64("revision", r.Revision)
		for _, share := range r.Split {
			line.Uint32(string(share.Version), share.Weight)
		}
		line.Send()
	case r.KnownSince.Before(st.knownSince):
		st.knownSince = r.KnownSince
	}
	if history != nil {
		st.history = history
	}
}

// remembered returns the newest history of the store's era that has ended, or nil if this router may
// not know it, as after a time in which it did not hear the others. s.mu must be held.
func (s *Service) remembered(st *serviceState) *History {
	now := s.cfg.BootTime()
	age := st.confirmationAge(now)
	switch {
	case !s.heardOthers(now), age == noConfirmation || age >= leaseTime:
		return nil
	case st.history != nil && st.history.Era < platform.EraOf(st.revision) && st.lost == nil:
		return nil
	case st.history != nil:
		return st.history.inEra(platform.EraOf(st.revision), st.lost, st.endedAt)
	case st.alone:
		return &History{Splits: []Entry{{Split: st.split, Revision: st.revision}}, Era: platform.EraOf(st.revision)}
	default:
		return nil
	}
}

// recordOwn records a stream that this router began.
func (s *Service) recordOwn(service fleet.ServiceName, key Key, origin Origin, now time.Time) {
	s.mu.Lock()
	own := s.stateOf(service).own
	s.mu.Unlock()
	own.Record(key, origin, now)
}

// announce records at other routers where streams began.
func (s *Service) announce(records map[Key]Origin) {
	if len(records) > 0 {
		s.cfg.Peers().RecordStreams(records)
	}
}

// Leave tells the service that this router stops: it is not listed much longer.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// HandOver records at other routers what this one knows of where streams began. It is for a
// router that stops.
func (s *Service) HandOver() {
	s.announce(s.registry.All(s.now()))
}

// Merge records a split that another router told of, if the service has resumable streams.
func (s *Service) Merge(r Report) {
	view := s.cfg.View()
	if view.Config == nil {
		return
	}
	if _, ok := view.Config.StreamLifetimes[r.Service]; !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.adopt(r, nil)
}

// Reports returns the known splits, for other routers.
func (s *Service) Reports() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Report
	for service, st := range s.services {
		if st.revision > 0 {
			list = append(list, Report{service, st.revision, st.split, st.knownSince})
		}
	}
	return list
}

// lifetimeOf returns the longest time from the first event of a stream of a service to the
// last attempt to resume it.
func lifetimeOf(view *catalog.View, service fleet.ServiceName) time.Duration {
	if view.Config == nil {
		return recordLifetime
	}
	return view.Config.StreamLifetimes[service]
}

// TargetsConfirmed reports whether the entries of the targets were confirmed within maxTargetsAge.
func (s *Service) TargetsConfirmed() bool {
	return s.isRecent(s.cfg.TargetsConfirmedAge())
}

// targetsCurrent reports whether the targets that this router knows are recent enough to decide by the versions that
// are not among them. That it hears others tells nothing: they may be cut off with it.
func (s *Service) targetsCurrent() bool {
	return s.isRecent(s.cfg.TargetsAge())
}

// isRecent reports whether an age is known and within maxTargetsAge.
func (s *Service) isRecent(age time.Duration) bool {
	return !s.cfg.StoodStill() && age >= 0 && age <= maxTargetsAge
}

// ambiguousTime returns how long after a change of the split streams in progress may have begun
// under an older one, as far as is known without the store.
func (s *Service) ambiguousTime(service fleet.ServiceName, view *catalog.View) time.Duration {
	lifetime := lifetimeOf(view, service)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if st.alone || (st.settled >= st.revision && st.revision > 0) {
		return lifetime
	}
	return lifetime + leaseTime + clockError
}

// absentLately reports whether other routers may have used an older split lately.
func (s *Service) absentLately() bool {
	_, until := s.cfg.Peers().Absence()
	return !until.IsZero()
}

// known returns the newest known split of a service and since when it is known; the revision
// is zero if none is.
func (s *Service) known(service fleet.ServiceName) (revision uint64, split Split, since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	return st.revision, st.split, st.knownSince
}

// targetsOf returns the versions of a service's targets. They are computed once a view.
func (s *Service) targetsOf(service fleet.ServiceName, view *catalog.View) targetVersions {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if st.targets.view == view {
		return st.targets
	}
	before := st.targets
	st.targets = newTargetVersions(view, service)
	st.observeVersions(st.targets.all, s.now())
	if before.view == nil || before.sole != st.targets.sole {
		st.soleSince = s.now()
	}
	return st.targets
}

// maxTargetsAge is the age up to which the targets are taken as current where one version
// among them decides: a version that is not among them yet receives no stream within it, see beginDelay.
const maxTargetsAge = 1500 * time.Millisecond

// observeStore records since when calls to the store fail.
func (s *Service) observeStore(service fleet.ServiceName) {
	away, now := s.storeAway(service), s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch st := s.stateOf(service); {
	case !away:
		st.awaySince = time.Time{}
	case st.awaySince.IsZero():
		st.awaySince = now
	}
}

// storeAway reports whether calls to the store fail.
func (s *Service) storeAway(service fleet.ServiceName) bool {
	s.mu.Lock()
	retryAt := s.stateOf(service).retryAt
	s.mu.Unlock()
	return s.cfg.StoreLost() || s.now().Before(retryAt)
}
