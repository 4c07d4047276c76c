// Package targets keeps a router's picker up to date with its settings, its
// view of the routers, and the targets found to be down.
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

// targetDownPeriod is how long an unreachable target is excluded, and
// routerDownPeriod how long an unresponsive router is.
const (
	targetDownPeriod = time.Second
	routerDownPeriod = 2 * time.Second
)

// maxPickerAge is the maximum time that a picker is used before it is rebuilt.
const maxPickerAge = 10 * time.Second

// Config configures a Tracker. All fields but Policy are required.
type Config struct {
	Self     fleet.Router
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	Policy   placement.Policy
	Clock    func() time.Time
}

// Tracker provides the current picker. It is safe for concurrent use.
type Tracker struct {
	cfg          Config
	current      atomic.Pointer[cachedPicker]
	downRevision atomic.Uint64

	mu          sync.Mutex
	history     *placement.TargetHistory
	targetsDown map[fleet.TargetID]time.Time
	routersDown map[fleet.RouterID]time.Time
}

// cachedPicker is a picker with the inputs from which it was built and its
// expiry time.
type cachedPicker struct {
	picker       *placement.Picker
	snapshot     *settings.Snapshot
	view         *membership.View
	downRevision uint64
	expires      time.Time
}

// New returns a Tracker with the given configuration.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, targetsDown: map[fleet.TargetID]time.Time{}, routersDown: map[fleet.RouterID]time.Time{}}
}

// Picker returns the picker for the current settings and view. It rebuilds the
// picker if either has changed, if a target or router was marked as down, or if
// the picker has expired.
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

// MarkDown excludes an unreachable target from plans for targetDownPeriod.
func (t *Tracker) MarkDown(id fleet.TargetID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targetsDown[id] = t.cfg.Clock().Add(targetDownPeriod)
	t.downRevision.Add(1)
}

// MarkRouterDown excludes a router that did not answer from the choice of homes
// for routerDownPeriod. During that time, other routers may choose different
// homes.
func (t *Tracker) MarkRouterDown(id fleet.RouterID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.routersDown[id] = t.cfg.Clock().Add(routerDownPeriod)
	t.downRevision.Add(1)
}

// IsDown reports whether a target is excluded because it was unreachable.
func (t *Tracker) IsDown(id fleet.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	until, ok := t.targetsDown[id]
	return ok && t.cfg.Clock().Before(until)
}

func (t *Tracker) valid(b *cachedPicker, now time.Time) bool {
	return b.snapshot == t.cfg.Snapshot() && b.view == t.cfg.View() && b.downRevision == t.downRevision.Load() && now.Before(b.expires)
}

func (t *Tracker) build(now time.Time) *cachedPicker {
	b := &cachedPicker{snapshot: t.cfg.Snapshot(), view: t.cfg.View(), downRevision: t.downRevision.Load(), expires: now.Add(maxPickerAge)}
	live := t.liveTargets(b, now)
	t.recordHistory(b.snapshot, live, now)
	previous := &placement.Picker{}
	if last := t.current.Load(); last != nil {
		previous = last.picker
	}
	b.picker = previous.WithView(placement.View{
		Targets: live, Routers: t.liveRouters(b, now), Policy: t.cfg.Policy,
		Region: func(d fleet.DomainName) fleet.RegionName { return b.snapshot.Domains[d] },
		Phase:  func(id fleet.TargetID) placement.Phase { return t.history.Phase(id, now) },
	})
	return b
}

// liveTargets returns the targets that may receive new work. It shortens the
// picker's lifetime to the earliest time at which the exclusion of a target
// ends. For services without an excluded target, it returns the slices of the
// settings themselves.
func (t *Tracker) liveTargets(b *cachedPicker, now time.Time) map[fleet.ServiceName][]fleet.Target {
	live := make(map[fleet.ServiceName][]fleet.Target, len(b.snapshot.Targets))
	for service, all := range b.snapshot.Targets {
		live[service] = t.filterLive(b, all, now)
	}
	return live
}

func (t *Tracker) filterLive(b *cachedPicker, all []fleet.Target, now time.Time) []fleet.Target {
	var list []fleet.Target
	copied := false
	for i := range all {
		accepts := t.acceptsWork(b, &all[i], now)
		switch {
		case !accepts && !copied:
			list = slices.Clone(all[:i])
			copied = true
		case accepts && copied:
			list = append(list, all[i])
		}
	}
	if !copied {
		return all
	}
	return list
}

// acceptsWork reports whether a target may receive new work. It must be called
// with the lock held.
func (t *Tracker) acceptsWork(b *cachedPicker, target *fleet.Target, now time.Time) bool {
	if target.State == fleet.Leaving || target.State == fleet.Gone {
		return false
	}
	if len(b.view.LeavingVMs) > 0 && b.view.LeavingVMs[vmName(target)] {
		return false
	}
	if len(t.targetsDown) == 0 {
		return true
	}
	until, down := t.targetsDown[target.ID]
	if down && now.Before(until) {
		b.expires = earlier(b.expires, until)
		return false
	}
	delete(t.targetsDown, target.ID)
	return true
}

// liveRouters returns the routers that are not excluded, or all routers if none
// would remain. It must be called with the lock held.
func (t *Tracker) liveRouters(b *cachedPicker, now time.Time) []fleet.Router {
	var routers []fleet.Router
	for _, r := range b.view.Routers {
		until, down := t.routersDown[r.ID]
		if down && now.Before(until) {
			b.expires = earlier(b.expires, until)
			continue
		}
		delete(t.routersDown, r.ID)
		routers = append(routers, r)
	}
	if len(routers) == 0 {
		return b.view.Routers
	}
	return routers
}

func (t *Tracker) recordHistory(s *settings.Snapshot, live map[fleet.ServiceName][]fleet.Target, now time.Time) {
	values := s.Effective(t.cfg.Self.Domain, "", "").Placement
	churn := placement.ChurnConfig{Ramp: values.JoinRampMS.Duration(), FlapWindow: values.FlapWindowMS.Duration()}
	if t.history == nil {
		t.history = placement.NewTargetHistory(churn)
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

// vmName returns the name of the target's VM in the platform's VM list.
func vmName(t *fleet.Target) string {
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
