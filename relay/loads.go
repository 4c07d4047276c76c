package relay

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// reportFull is how long a target's own count says in full what work of other
// routers is there: about the time that a request takes. From then on it counts
// less, until reportLife.
const (
	reportFull = time.Second
	reportLife = 3 * time.Second
)

// loads counts this router's requests before each target and keeps the targets'
// own counts.
type loads struct {
	mu      sync.Mutex
	targets map[fleet.TargetID]*load
}

type load struct {
	own int
	// others is the work of other routers by the last report, as of at.
	others float64
	at     time.Time
}

func newLoads() *loads {
	return &loads{targets: map[fleet.TargetID]*load{}}
}

func (l *loads) get(id fleet.TargetID) *load {
	t := l.targets[id]
	if t == nil {
		t = &load{}
		l.targets[id] = t
	}
	return t
}

// begin counts a request before a target until the returned function is called.
func (l *loads) begin(id fleet.TargetID) func() {
	l.mu.Lock()
	t := l.get(id)
	t.own++
	l.mu.Unlock()
	return func() {
		l.mu.Lock()
		t.own--
		l.mu.Unlock()
	}
}

// report takes a target's own count. The request that the report came with is
// among its work and among this router's.
func (l *loads) report(id fleet.TargetID, r *call.Load, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.get(id)
	t.others = max(0, float64(r.Running+r.Waiting-t.own))
	t.at = now
}

// report takes a target's own count for this router and the others.
func (r *Relay) report(id fleet.TargetID, l *call.Load) {
	now := time.Now()
	r.loads.report(id, l, now)
	if r.cfg.Report != nil {
		r.cfg.Report(id, l.Running+l.Waiting, now)
	}
}

// heard takes a target's count that another router passed on, unless a newer
// one is known.
func (l *loads) heard(id fleet.TargetID, work int, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.get(id); at.After(t.at) {
		t.others = max(0, float64(work-t.own))
		t.at = at
	}
}

// of estimates the work before a target.
func (l *loads) of(id fleet.TargetID, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(id, now)
}

// estimate is of with l.mu held.
func (l *loads) estimate(id fleet.TargetID, now time.Time) float64 {
	t := l.targets[id]
	if t == nil {
		return 0
	}
	return float64(t.own) + t.others*weightAt(now.Sub(t.at))
}

// mean is the mean estimate of targets.
func (l *loads) mean(targets []*catalog.Target, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := 0.0
	for _, t := range targets {
		sum += l.estimate(t.ID, now)
	}
	return sum / float64(max(len(targets), 1))
}

// age is how old the last report on a target is; -1 ms where there is none.
func (l *loads) age(id fleet.TargetID, now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.targets[id]
	if t == nil || t.at.IsZero() {
		return -time.Millisecond
	}
	return now.Sub(t.at)
}

// weightAt is how much a count of an age still says.
func weightAt(age time.Duration) float64 {
	switch {
	case age <= reportFull:
		return 1
	case age >= reportLife:
		return 0
	default:
		return float64(reportLife-age) / float64(reportLife-reportFull)
	}
}

// forget drops idle targets that keep does not name.
func (l *loads) forget(keep func(fleet.TargetID) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.targets {
		if t.own == 0 && !keep(id) {
			delete(l.targets, id)
		}
	}
}
