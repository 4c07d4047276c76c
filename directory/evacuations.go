package directory

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/evacuation"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	// evacuationWatchShare is the share of the bound on evacuations for which a watch may
	// wait. If it is silent, the rest is for its timeout, a list and the way to other routers.
	evacuationWatchShare = 0.6
	// primarySettleTime is how long a router that starts waits before it follows evacuations as the
	// primary: until it knows other routers, each may take itself for the primary.
	primarySettleTime = 200 * time.Millisecond
	// evacuationPeerWait is how long a router that has configuration and targets waits for
	// others to tell it of evacuations before it asks the store.
	evacuationPeerWait = 600 * time.Millisecond
	// maxLoggedInvalid bounds the invalid entries that are logged of one list.
	maxLoggedInvalid = 8
)

// evacuations is the part of a Directory that follows the evacuations of failure domains.
type evacuations struct {
	state *evacuation.State
	// bound is the time within which an evacuation must be in force everywhere.
	bound time.Duration
	// onChange is called after a change that this router read from the store.
	onChange func()
	// unknownAccepted is set once the router serves without knowing of evacuations.
	unknownAccepted bool
	// emptying is sent to when an evacuation comes into force.
	emptying chan struct{}
}

// FollowEvacuations lets the directory follow the operator's evacuations of failure domains, which
// must be in force within bound. onChange is called after a change that this router read from the
// store. It must be called before Run; without it there are no evacuations.
func (d *Directory) FollowEvacuations(bound time.Duration, onChange func()) {
	d.evacuations = &evacuations{state: evacuation.NewState(), bound: bound, onChange: onChange, emptying: make(chan struct{}, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.publishLocked()
}

// emptyingInterval is the interval at which further targets of an evacuated failure domain are emptied.
const emptyingInterval = 100 * time.Millisecond

// emptyEvacuated publishes views in which further targets of evacuated failure domains are emptied, until ctx ends.
func (d *Directory) emptyEvacuated(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.evacuations.emptying:
		}
		for completed := false; !completed && ctx.Err() == nil; {
			_ = sleep.For(ctx, emptyingInterval)
			d.mu.Lock()
			completed = d.allEmptiedLocked()
			d.publishLocked()
			d.mu.Unlock()
		}
	}
}

// allEmptiedLocked reports whether the targets of all evacuated failure domains are emptied; d.mu must be held.
func (d *Directory) allEmptiedLocked() bool {
	for _, r := range d.evacuations.state.InForce() {
		if !evacuation.NewPlan(r, d.evacuations.bound).Completed(d.now()) {
			return false
		}
	}
	return true
}

// evacuationPlans returns the plans of the evacuations in force, nil if there are none; d.mu must be held.
func (d *Directory) evacuationPlans() map[fleet.DomainName]evacuation.Plan {
	if d.evacuations == nil {
		return nil
	}
	var plans map[fleet.DomainName]evacuation.Plan
	for _, r := range d.evacuations.state.InForce() {
		if plans == nil {
			plans = map[fleet.DomainName]evacuation.Plan{}
		}
		plans[r.Domain] = evacuation.NewPlan(r, d.evacuations.bound)
	}
	return plans
}

// runEvacuations follows the evacuations until ctx ends. Only the primary watches the store for
// them; others learn of them from it.
func (d *Directory) runEvacuations(ctx context.Context) {
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() { d.learnEvacuations(ctx) })
	tasks.Go(func() { d.emptyEvacuated(ctx) })
	_ = sleep.For(ctx, primarySettleTime)
	d.follow(ctx, followed{
		kind: platform.KindEvacuations, wait: min(watchTimeout, time.Duration(evacuationWatchShare*float64(d.evacuations.bound))),
		watching: d.primaryState, onList: d.handleEvacuationList, onChanges: d.handleEvacuationChanges,
	})
}

// learnEvacuations reads the evacuations from the store if nobody has told this router of them once it could serve.
// If nobody can within the bound, the router serves without.
func (d *Directory) learnEvacuations(ctx context.Context) {
	var waitedSince time.Time
	backoff := minBackoff
	for ctx.Err() == nil && d.awaitsEvacuations() {
		_ = sleep.For(ctx, minBackoff)
		now := d.now()
		switch {
		case !d.hasConfigAndTargets():
			continue
		case waitedSince.IsZero():
			waitedSince = now
		case now.Sub(waitedSince) > d.evacuations.bound:
			d.acceptUnknownEvacuations()
			return
		case now.Sub(waitedSince) >= evacuationPeerWait && d.readEvacuations(ctx) != nil:
			_ = sleep.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// readEvacuations reads the evacuations from the store once.
func (d *Directory) readEvacuations(ctx context.Context) error {
	_, err := d.listOnce(ctx, platform.KindEvacuations, d.handleEvacuationList)
	return err
}

// hasConfigAndTargets reports whether configuration and targets are known.
func (d *Directory) hasConfigAndTargets() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config != nil && d.members.Loaded()
}

// awaitsEvacuations reports whether the router must not serve yet because it does not know of
// evacuations.
func (d *Directory) awaitsEvacuations() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.awaitsEvacuationsLocked()
}

// awaitsEvacuationsLocked is awaitsEvacuations; d.mu must be held.
func (d *Directory) awaitsEvacuationsLocked() bool {
	return d.evacuations != nil && !d.evacuations.unknownAccepted && !d.evacuations.state.Known()
}

func (d *Directory) acceptUnknownEvacuations() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.awaitsEvacuationsLocked() {
		d.evacuations.unknownAccepted = true
		event.EvacuationsUnknown.Log(d.log).Dur("waited", d.evacuations.bound).Send()
		d.publishLocked()
	}
}

// handleEvacuationList applies the store's complete list of requests.
func (d *Directory) handleEvacuationList(objects []platform.Object, revision uint64) {
	list, complete := make([]evacuation.Record, 0, len(objects)), true
	invalid := 0
	for _, o := range objects {
		domain, err := platform.DecodeEvacuation(o)
		if err != nil {
			if invalid++; invalid <= maxLoggedInvalid {
				d.logInvalidEvacuation(o, err)
			}
			// Without its name, an entry may be any domain's.
			complete = complete && o.Name != ""
			continue
		}
		list = append(list, evacuation.Record{Domain: domain, Requested: o.Revision, Since: d.lastHeard(platform.KindEvacuations)})
	}
	d.changeEvacuations(sourceStore, func(s *evacuation.State, now time.Time) bool {
		if complete {
			return s.ApplyList(list, revision, now)
		}
		changed := false
		for _, r := range list {
			changed = s.ApplyRequest(r.Domain, r.Requested, now) || changed
		}
		return changed
	})
}

// handleEvacuationChanges applies changes from a watch of the store.
func (d *Directory) handleEvacuationChanges(changes []platform.Change, _ uint64) {
	d.changeEvacuations(sourceStore, func(s *evacuation.State, now time.Time) bool {
		changed := false
		for _, c := range changes {
			domain, err := platform.DecodeEvacuation(c.Object)
			switch {
			case err != nil:
				d.logInvalidEvacuation(c.Object, err)
			case c.Deleted:
				changed = s.ApplyRemoval(domain, c.Object.Revision, now) || changed
			default:
				changed = s.ApplyRequest(domain, c.Object.Revision, now) || changed
			}
		}
		return changed
	})
}

func (d *Directory) logInvalidEvacuation(o platform.Object, err error) {
	event.StoreEntryInvalid.Log(d.log).Str("kind", platform.KindEvacuations).Uint64("revision", o.Revision).Err(err).Send()
}

// MergeEvacuations adds what another router tells of evacuations.
func (d *Directory) MergeEvacuations(report evacuation.Report) {
	if d.evacuations != nil {
		d.changeEvacuations(sourceRouter, func(s *evacuation.State, now time.Time) bool { return s.Merge(report, now) })
	}
}

// EvacuationReport returns what to tell other routers of evacuations in up to n records, or nil if
// nothing is known. random is as in rand.IntN.
func (d *Directory) EvacuationReport(n int, random func(int) int) *evacuation.Report {
	if d.evacuations == nil {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.evacuations.state.Report(n, random)
}

// changeEvacuations changes the state by apply, which reports whether a record changed, publishes
// a new view and logs what came into force or ended.
func (d *Directory) changeEvacuations(source dataSource, apply func(*evacuation.State, time.Time) bool) {
	d.mu.Lock()
	awaited, before := d.awaitsEvacuationsLocked(), d.evacuations.state.InForce()
	changed := apply(d.evacuations.state, d.now())
	if changed || awaited != d.awaitsEvacuationsLocked() {
		d.publishLocked()
		d.logEvacuations(before, source)
		if !d.allEmptiedLocked() {
			select {
			case d.evacuations.emptying <- struct{}{}:
			default:
			}
		}
	}
	d.mu.Unlock()
	if changed && source == sourceStore {
		d.evacuations.onChange()
	}
}

// logEvacuations logs what came into force and what ended; before holds what was in force. d.mu
// must be held.
func (d *Directory) logEvacuations(before []evacuation.Record, source dataSource) {
	present := d.evacuations.state.InForce()
	find := func(list []evacuation.Record, domain fleet.DomainName) *evacuation.Record {
		for i := range list {
			if list[i].Domain == domain {
				return &list[i]
			}
		}
		return nil
	}
	now := d.now()
	for _, r := range present {
		if find(before, r.Domain) != nil {
			continue
		}
		targets := d.members.CountIn(r.Domain)
		event.EvacuationInForce.Log(d.log).Str("failure_domain", string(r.Domain)).Uint64("revision", r.Requested).
			Dur("age", now.Sub(r.Since)).Int("targets", targets).Str("from", string(source)).Send()
		if targets == 0 && d.members.Loaded() {
			event.EvacuationOfNoTarget.Log(d.log).Str("failure_domain", string(r.Domain)).Send()
		}
	}
	for _, r := range before {
		if find(present, r.Domain) == nil {
			event.EvacuationEnded.Log(d.log).Str("failure_domain", string(r.Domain)).Uint64("revision", r.Requested).
				Dur("lasted", now.Sub(r.Since)).Str("from", string(source)).Send()
		}
	}
}

// evacuationsInForce returns the evacuations of a view, nil if there are none; d.mu must be held.
func (d *Directory) evacuationsInForce() []catalog.Evacuation {
	if d.evacuations == nil {
		return nil
	}
	var list []catalog.Evacuation
	for _, r := range d.evacuations.state.InForce() {
		list = append(list, catalog.Evacuation{Domain: r.Domain, Revision: r.Requested, Since: r.Since, CacheUntil: evacuation.NewPlan(r, d.evacuations.bound).CacheUntil()})
	}
	return list
}
