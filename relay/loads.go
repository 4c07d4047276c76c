package relay

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetpace"
)

// reportFullAge is the age up to which a target's load report has full weight in
// the estimate of other routers' work; it is about the duration of a request. From
// then on the weight decreases linearly and is zero at reportMaxAge.
const (
	reportFullAge = time.Second
	reportMaxAge  = 3 * time.Second
)

// maxAnswerTime bounds what one answer counts in the mean of a target, as a multiple of the mean of
// its service.
const maxAnswerTime = 4

// clearlySlow is the mean answer time of a target, as a multiple of that of its service, from which
// on the target counts as slow. Means of a few answers differ by less.
const clearlySlow = 1.3

// loadTable counts this router's in-flight requests at each target and keeps the
// load reports of targets. It is safe for concurrent use.
type loadTable struct {
	mu      sync.Mutex
	targets map[fleet.TargetID]*targetLoad
	// paceToldAt is when a report last told the pace of a target.
	paceToldAt time.Time
}

// targetLoad is the load of one target.
type targetLoad struct {
	ownInFlight int
	// otherWork is the number of other routers' requests running or waiting,
	// according to the last load report, which dates from reportedAt.
	otherWork  float64
	reportedAt time.Time
	// pace is what load reports tell of the target's pace, answerTime how long its answers take,
	// in seconds, which is kept for targets that send no reports.
	pace, answerTime targetpace.Estimate
	// invalidLogged is set once an invalid report of the target was logged.
	invalidLogged bool
}

func newLoadTable() *loadTable {
	return &loadTable{targets: map[fleet.TargetID]*targetLoad{}}
}

func (l *loadTable) getOrCreate(id fleet.TargetID) *targetLoad {
	t := l.targets[id]
	if t == nil {
		t = &targetLoad{}
		l.targets[id] = t
	}
	return t
}

// begin counts a request as in flight at a target until the returned function is
// called.
func (l *loadTable) begin(id fleet.TargetID) func() {
	l.mu.Lock()
	t := l.getOrCreate(id)
	t.ownInFlight++
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		t.ownInFlight--
		l.mu.Unlock()
	}
}

// inFlight returns the number of this router's requests in flight at a target.
func (l *loadTable) inFlight(id fleet.TargetID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.targets[id]; t != nil {
		return t.ownInFlight
	}
	return 0
}

// report records a load report that a target sent with a response. The request of
// that response is counted both in the report and in ownInFlight.
func (l *loadTable) report(id fleet.TargetID, r *call.Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.getOrCreate(id)
	t.otherWork = max(0, float64(r.Running+r.Waiting-t.ownInFlight))
	t.reportedAt = now
	l.recordPaceLocked(t, r.Pace, now)
}

// firstInvalid reports whether this is the first invalid report of a target since it is known.
func (l *loadTable) firstInvalid(id fleet.TargetID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.getOrCreate(id)
	first := !t.invalidLogged
	t.invalidLogged = true
	return first
}

// recordOwnLoad records what the response to this request says of its target's load.
func (s *requestState) recordOwnLoad(id fleet.TargetID, reply *call.Reply) {
	switch {
	case !s.isOwnReply(reply):
	case reply.Load != nil:
		s.relay.recordLoad(id, reply.Load)
	case reply.LoadInvalid:
		s.relay.cfg.Latency.InvalidLoads.WithLabelValues(string(s.service)).Inc()
		if s.relay.loads.firstInvalid(id) {
			s.Log(event.LoadInvalid).Send()
		}
	}
}

// recordAnswerTime records how long a complete answer of a plain service took.
func (s *requestState) recordAnswerTime(id fleet.TargetID, result *attemptResult, took time.Duration) {
	if result.complete && result.reply.Load == nil {
		s.relay.loads.recordAnswerTime(id, took, s.relay.meanPace(s.service), time.Now())
	}
}

// recordLoad records a target's load report and passes it to Config.OnLoadReport for
// other routers.
func (r *Relay) recordLoad(id fleet.TargetID, l *call.Load) {
	now := time.Now()
	r.loads.report(id, l, now)
	if r.cfg.OnLoadReport != nil {
		r.cfg.OnLoadReport(id, l.Running+l.Waiting, l.Pace, now)
	}
}

// mergePeerReport records the number of requests running or waiting at a target and its pace, zero
// for not told, from a load report that another router passed on, unless a report at least as new
// is known.
func (l *loadTable) mergePeerReport(id fleet.TargetID, work int, pace float64, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.getOrCreate(id); at.After(t.reportedAt) {
		t.otherWork = max(0, float64(work-t.ownInFlight))
		t.reportedAt = at
		l.recordPaceLocked(t, pace, at)
	}
}

// estimate returns the estimated number of requests at a target, those of other
// routers included.
func (l *loadTable) estimate(id fleet.TargetID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimateLocked(id, now)
}

// estimateLocked is estimate; l.mu must be held.
func (l *loadTable) estimateLocked(id fleet.TargetID, now time.Time) float64 {
	t := l.targets[id]
	if t == nil {
		return 0
	}
	return float64(t.ownInFlight) + t.otherWork*reportWeight(now.Sub(t.reportedAt))
}

// mean returns the mean estimate of targets, zero if there are none.
func (l *loadTable) mean(targets []*catalog.Target, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for _, t := range targets {
		sum += l.estimateLocked(t.ID, now)
	}
	return sum / float64(max(len(targets), 1))
}

// recordPaceLocked records a target's pace, zero for not told; l.mu must be held.
func (l *loadTable) recordPaceLocked(t *targetLoad, pace float64, at time.Time) {
	if pace > 0 {
		t.pace.Record(pace, at)
		l.paceToldAt = at
	}
}

// recordAnswerTime records how long an answer of a target took that sends no reports; serviceMean
// is the mean of its service, zero if that is not known. Nothing is kept unless other targets
// tell that paces differ in this deployment.
func (l *loadTable) recordAnswerTime(id fleet.TargetID, took time.Duration, serviceMean float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paceToldAt.IsZero() || now.Sub(l.paceToldAt) >= targetpace.MaxAge {
		return
	}
	seconds := took.Seconds()
	if serviceMean > 0 {
		seconds = min(seconds, maxAnswerTime*serviceMean)
	}
	l.getOrCreate(id).answerTime.Record(seconds, now)
}

// meanPace returns the mean pace of targets, in the unit of what is known of them, or zero if
// nothing is.
func (l *loadTable) meanPace(targets []*catalog.Target, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean := targetpace.ServiceMean{}
	for _, t := range targets {
		if load := l.targets[t.ID]; load != nil {
			mean.Add(load.knownPace(), now)
		}
	}
	return mean.Value()
}

// serviceWork is what a router knows of the work at the targets of a service.
type serviceWork struct {
	// requests is the estimated number of requests at the targets, slots the number that they run
	// at a time.
	requests float64
	slots    int
	// pace is the mean pace; zero if none is known. For services whose targets send no reports,
	// it is the mean time of their answers, in seconds.
	pace float64
}

// work returns the work at targets.
func (l *loadTable) work(targets []*catalog.Target, now time.Time) serviceWork {
	w := serviceWork{requests: l.mean(targets, now) * float64(len(targets)), pace: l.meanPace(targets, now)}
	for _, t := range targets {
		w.slots += t.Slots
	}
	return w
}

// pace returns the pace to expect of a target, given the mean of its service, and the age of what
// it was told by, or -1 ms if nothing was told.
func (l *loadTable) pace(id fleet.TargetID, serviceMean float64, now time.Time) (pace float64, age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	if t == nil {
		return serviceMean, -time.Millisecond
	}
	known := t.knownPace()
	if known == &t.answerTime {
		pace = known.Mean(serviceMean, now)
		if pace < clearlySlow*serviceMean {
			pace = serviceMean
		}
		return pace, known.Age(now)
	}
	return known.Expected(serviceMean, now), known.Age(now)
}

// knownPace returns what the target reports of its pace, or else its answer times.
func (t *targetLoad) knownPace() *targetpace.Estimate {
	if t.reportedAt.IsZero() {
		return &t.answerTime
	}
	return &t.pace
}

// reportAge returns the age of the last report on a target, or -1 ms if there is
// none.
func (l *loadTable) reportAge(id fleet.TargetID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	if t == nil || t.reportedAt.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.reportedAt)
}

// reportWeight returns the weight, from 0 to 1, of a report of the given age.
func reportWeight(age time.Duration) float64 {
	switch {
	case age <= reportFullAge:
		return 1
	case age >= reportMaxAge:
		return 0
	default:
		return float64(reportMaxAge-age) / float64(reportMaxAge-reportFullAge)
	}
}

// prune removes targets without in-flight requests for which keep returns false.
func (l *loadTable) prune(keep func(fleet.TargetID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.targets {
		if t.ownInFlight == 0 && !keep(id) {
			delete(l.targets, id)
		}
	}
}
