// Package targets keeps the picker of a router in step with its settings, its
// view of the routers and the targets that were found down.
package targets

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
)

// downTime is how long a target that could not be reached is left out, and
// routerDownTime how long a router.
const (
	downTime       = time.Second
	routerDownTime = 2 * time.Second
)

// idleLife is how long a picker is used at most before it is built anew.
const idleLife = 10 * time.Second

// Config is what a tracker needs. All fields but Policy are required.
type Config struct {
	Self     fleet.Router
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	Policy   placement.Policy
	Clock    func() time.Time
}

// Tracker hands out pickers. It is safe for concurrent use.
type Tracker struct {
	cfg     Config
	current atomic.Pointer[built]
	downs   atomic.Uint64

	mu      sync.Mutex
	history *placement.History
	down    map[fleet.TargetID]time.Time
	routers map[fleet.RouterID]time.Time
}

// built is a picker with what it was built from.
type built struct {
	picker   *placement.Picker
	snapshot *settings.Snapshot
	view     *membership.View
	downs    uint64
	expires  time.Time
}

// New returns a tracker.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, down: map[fleet.TargetID]time.Time{}, routers: map[fleet.RouterID]time.Time{}}
}

// Picker returns the picker of the present settings and view.
func (t *Tracker) Picker() *placement.Picker {
	now := t.cfg.Clock()
	b := t.current.Load()
	if b != nil && t.valid(b, now) {
		return b.picker
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if b = t.current.Load(); b != nil && t.valid(b, now) {
		return b.picker
	}
	b = t.build(now)
	t.current.Store(b)
	return b.picker
}

// Down leaves a target that could not be reached out of plans for a while.
func (t *Tracker) Down(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down[id] = t.cfg.Clock().Add(downTime)
	t.downs.Add(1)
}

// RouterDown leaves a router that did not answer out of the choice of homes for
// a while. Other routers may choose otherwise meanwhile.
func (t *Tracker) RouterDown(id fleet.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routers[id] = t.cfg.Clock().Add(routerDownTime)
	t.downs.Add(1)
}

// IsDown reports whether a target is left out because it could not be reached.
func (t *Tracker) IsDown(id fleet.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.down[id]
	return ok && t.cfg.Clock().Before(until)
}

func (t *Tracker) valid(b *built, now time.Time) bool {
	return b.snapshot == t.cfg.Snapshot() && b.view == t.cfg.View() && b.downs == t.downs.Load() && now.Before(b.expires)
}

func (t *Tracker) build(now time.Time) *built {
	b := &built{snapshot: t.cfg.Snapshot(), view: t.cfg.View(), downs: t.downs.Load(), expires: now.Add(idleLife)}
	live := t.live(b, now)
	t.observe(b.snapshot, live, now)
	previous := &placement.Picker{}
	if last := t.current.Load(); last != nil {
		previous = last.picker
	}
	b.picker = previous.Next(placement.View{
		Targets: live, Routers: t.answering(b, now), Policy: t.cfg.Policy,
		Region: func(d fleet.DomainName) fleet.RegionName { return b.snapshot.Domains[d] },
		Phase:  func(id fleet.TargetID) placement.Phase { return t.history.Phase(id, now) },
	})
	return b
}

// live returns the targets that may get new work and shortens the picker's
// life to the next moment at which a target is no longer left out. The lists of
// services that lose no target are those of the settings.
func (t *Tracker) live(b *built, now time.Time) map[fleet.ServiceName][]fleet.Target {
	live := make(map[fleet.ServiceName][]fleet.Target, len(b.snapshot.Targets))
	for service, all := range b.snapshot.Targets {
		live[service] = t.liveOf(b, all, now)
	}
	return live
}

func (t *Tracker) liveOf(b *built, all []fleet.Target, now time.Time) []fleet.Target {
	var list []fleet.Target
	copied := false
	for i := range all {
		takes := t.takesWork(b, &all[i], now)
		switch {
		case !takes && !copied:
			list = slices.Clone(all[:i])
			copied = true
		case takes && copied:
			list = append(list, all[i])
		}
	}
	if !copied {
		return all
	}
	return list
}

// takesWork reports whether a target may get new work.
func (t *Tracker) takesWork(b *built, target *fleet.Target, now time.Time) bool {
	if target.State == fleet.Leaving || target.State == fleet.Gone {
		return false
	}
	if len(b.view.LeavingVMs) > 0 && b.view.LeavingVMs[vmOf(target)] {
		return false
	}
	if len(t.down) == 0 {
		return true
	}
	until, down := t.down[target.ID]
	if down && now.Before(until) {
		b.expires = earlier(b.expires, until)
		return false
	}
	delete(t.down, target.ID)
	return true
}

// answering returns the routers that are not left out; all of them where none
// would remain.
func (t *Tracker) answering(b *built, now time.Time) []fleet.Router {
	var routers []fleet.Router
	for _, r := range b.view.Routers {
		until, down := t.routers[r.ID]
		if down && now.Before(until) {
			b.expires = earlier(b.expires, until)
			continue
		}
		delete(t.routers, r.ID)
		routers = append(routers, r)
	}
	if len(routers) == 0 {
		return b.view.Routers
	}
	return routers
}

func (t *Tracker) observe(s *settings.Snapshot, live map[fleet.ServiceName][]fleet.Target, now time.Time) {
	values := s.Effective(t.cfg.Self.Domain, "", "").Placement
	churn := placement.Churn{Ramp: values.JoinRampMS.Duration(), FlapWindow: values.FlapWindowMS.Duration()}
	if t.history == nil {
		t.history = placement.NewHistory(churn)
	}
	t.history.SetChurn(churn)
	count := 0
	for _, targets := range live {
		count += len(targets)
	}
	present := make([]fleet.TargetID, 0, count)
	for _, targets := range live {
		for i := range targets {
			present = append(present, targets[i].ID)
		}
	}
	t.history.Observe(now, present)
}

// vmOf returns the name of the target's machine in the platform's VM list.
func vmOf(t *fleet.Target) string {
	if t.VM != "" {
		return t.VM
	}
	return string(t.ID)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
