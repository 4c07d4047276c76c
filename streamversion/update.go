package streamversion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

const (
	// checkInterval is the interval at which a router compares the splits with the targets.
	checkInterval = 100 * time.Millisecond
	// precedenceDelay is how much longer than the one before it a router waits before it
	// changes a split, so that mostly one of them writes.
	precedenceDelay = 300 * time.Millisecond
	// maxPrecedenceDelay bounds the wait of the last routers of a large fleet.
	maxPrecedenceDelay = 5 * time.Second
	// discoveryTime is how long after its start a router knows too few others to know its
	// precedence.
	discoveryTime = time.Second
	// minSplitInterval is the shortest time between two changes of a split that are not
	// urgent.
	minSplitInterval = time.Second
	// memoryDelay is how much longer a router that does not know which split the store lost waits
	// before it writes that.
	memoryDelay = 2 * time.Second
	// storeBackoff is the pause after a failed call.
	storeBackoff = time.Second
)

// Run keeps the splits in line with the targets until ctx ends. It returns nil.
func (s *Service) Run(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			s.check(ctx, now)
		}
	}
}

// check updates what is known of the versions of each service with resumable streams, and
// changes the splits that this router has to change.
func (s *Service) check(ctx context.Context, now time.Time) {
	s.observePeers()
	view := s.cfg.View()
	if !view.Ready() {
		return
	}
	for service := range view.Config.StreamLifetimes {
		s.observeStore(service)
		s.announce(s.takeMoved(service))
		if due, plan := s.changeDue(service, s.beginTargets(service, s.targetsOf(service, view)), now); due {
			s.change(ctx, service, plan, now)
		}
		s.extendLease(service, now)
		s.keepList(ctx, service, now)
		if s.confirmDue(service, now) {
			s.confirmSplit(ctx, service, now)
		}
		if s.settleDue(service, now) {
			s.settle(ctx, service, now)
		}
	}
}

// takeMoved returns the streams that others are to be told of.
func (s *Service) takeMoved(service fleet.ServiceName) map[Key]Origin {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	moved := st.moved
	st.moved = nil
	return moved
}

// changeDue reports whether this router should change the split of a service now, and how.
func (s *Service) changeDue(service fleet.ServiceName, targets targetVersions, now time.Time) (bool, Plan) {
	_, split, _ := s.known(service)
	plan := newPlan(split, targets)
	if plan.Change && !s.targetsCurrent() {
		// Targets may have joined or left that this router does not know of.
		plan.Change, plan.Urgent = false, false
	}
	precedence, connected := 0, false
	if plan.Change || s.lostByStore(service) {
		precedence, connected = s.cfg.Peers().Precedence(service), s.cfg.Peers().Connected()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	switch {
	case !plan.Change && !st.lostByStore():
		st.wantedSince = time.Time{}
		return false, plan
	case now.Before(st.retryAt), !plan.Urgent && now.Sub(st.knownSince) < minSplitInterval:
		return false, plan
	case !plan.Urgent && !connected:
		// Most routers may be without the store and rely on the split that they know.
		return false, plan
	case st.wantedSince.IsZero():
		st.wantedSince = now
	}
	wait := min(time.Duration(precedence)*precedenceDelay, maxPrecedenceDelay)
	if now.Sub(s.started) < discoveryTime {
		wait += discoveryTime
	}
	if st.lostByStore() && !st.missing && st.lost == nil {
		// Others may know what the store lost.
		wait += memoryDelay
	}
	return now.Sub(st.wantedSince) >= wait, plan
}

// lostByStore reports whether the store came back from a copy, so that it holds no history, or one
// that may lack splits.
func (st *serviceState) lostByStore() bool {
	return st.missing || (st.history != nil && st.history.Era < platform.EraOf(st.revision))
}

// lostByStore is that of a service's state.
func (s *Service) lostByStore(service fleet.ServiceName) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateOf(service).lostByStore()
}

// change writes a new split to the store. If another router was faster, its split is
// adopted instead.
func (s *Service) change(ctx context.Context, service fleet.ServiceName, plan Plan, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	err := s.tryChange(ctx, service, plan, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	st.wantedSince = time.Time{}
	if err != nil {
		st.retryAt = now.Add(storeBackoff)
		event.SplitUnchanged.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
	}
}

func (s *Service) tryChange(ctx context.Context, service fleet.ServiceName, plan Plan, now time.Time) error {
	before, _, _ := s.known(service)
	history, missing, err := s.currentHistory(ctx, service)
	if err != nil {
		return err
	}
	// Reading the history may have brought a newer split.
	revision, _, _ := s.known(service)
	if revision != before {
		// The plan was made for an older split.
		return nil
	}
	if missing {
		revision = 0
	}
	document, err := json.Marshal(s.nextHistory(service, history, plan, now))
	if err != nil {
		return fmt.Errorf("streamversion: encode history: %w", err)
	}
	asked := s.cfg.BootTime()
	object, err := s.cfg.Store().Put(ctx, Kind, platform.Object{Name: string(service), Revision: revision, Spec: document})
	if errors.Is(err, platform.ErrConflict) {
		_, err = s.fetch(ctx, service)
		return err
	}
	if err != nil {
		return fmt.Errorf("streamversion: write history: %w", err)
	}
	written, err := s.adoptObject(service, object)
	if err != nil {
		return err
	}
	s.confirmRead(service, object.Revision, written, asked)
	s.cfg.Peers().PublishSplit(Report{service, object.Revision, written.Current(), s.now()})
	return nil
}

// nextHistory returns the history to be written after one, which is nil if none is known. It has the
// splits that the store lost with its last era.
func (s *Service) nextHistory(service fleet.ServiceName, history *History, plan Plan, now time.Time) *History {
	era := s.cfg.Store().Era()
	s.mu.Lock()
	st := s.stateOf(service)
	lost, endedAt := st.lost, st.endedAt
	if era > platform.EraOf(st.revision) {
		// This router has seen nothing of the newest era.
		lost, endedAt = s.remembered(st), now
	}
	split, revision, told := st.split, st.revision, st.listing.told
	s.mu.Unlock()
	if history == nil && len(split) > 0 {
		history = &History{Splits: []Entry{{Split: split, Revision: revision}}}
	}
	if history == nil {
		return &History{Splits: []Entry{{Split: plan.Split}}, Era: era}
	}
	if lost == nil {
		endedAt = now
	}
	history = history.inEra(era, lost, endedAt)
	if plan.Change {
		history = history.replace(plan.Split, now, told.inUse(lifetimeOf(s.cfg.View(), service)+clockError, now))
	}
	return history
}

// currentHistory returns the history at the newest known revision, from the store if this
// router has not read it, nil if there is none. missing reports whether the store holds none.
func (s *Service) currentHistory(ctx context.Context, service fleet.ServiceName) (history *History, missing bool, err error) {
	s.mu.Lock()
	st := s.stateOf(service)
	history, missing = st.history, st.missing
	s.mu.Unlock()
	if history != nil && !missing {
		return history, false, nil
	}
	read, err := s.fetch(ctx, service)
	if isNoHistory(err) {
		return history, true, nil
	}
	return read, false, err
}
