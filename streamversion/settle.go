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

// SettledKind is the kind of the objects that tell which split all routers know, one a service.
const SettledKind = "ragwort-stream-versions-settled"

// settledSplit is the document of an object of SettledKind.
type settledSplit struct {
	// Revision is that of the history, as this project counts it.
	Revision uint64 `json:"revision"`
}

// minSettlingUptime is how long before a split was replaced a router must have been running to
// know all routers that may have used it.
const minSettlingUptime = 2 * discoveryTime

// settleDue reports whether this router should write that all routers know the split of a
// service: no router begins streams under older ones any more.
func (s *Service) settleDue(service fleet.ServiceName, now time.Time) bool {
	s.mu.Lock()
	st := s.stateOf(service)
	history, revision, since := st.history, st.revision, st.knownSince
	due := history != nil && !st.alone && st.settled < revision && !now.Before(st.settleRetryAt) && len(history.Splits) > 1
	s.mu.Unlock()
	if !due || now.Sub(since) >= leaseTime || s.storeAway(service) {
		return false
	}
	replacedAt := time.UnixMilli(history.Splits[1].ReplacedAtMS)
	wait := min(time.Duration(s.cfg.Peers().Precedence(service))*precedenceDelay, maxPrecedenceDelay)
	return replacedAt.Sub(s.started) >= minSettlingUptime && now.Sub(since) >= wait && s.cfg.Peers().AllKnowSplit(service, revision)
}

// settle writes that all routers know the split of a service.
func (s *Service) settle(ctx context.Context, service fleet.ServiceName, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, 2*readTimeout)
	defer cancel()
	revision, _, _ := s.known(service)
	settled, err := s.writeSettled(ctx, service, revision)
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	st.settled = max(st.settled, settled)
	if err != nil {
		st.settleRetryAt = now.Add(storeBackoff)
		event.SplitUnchanged.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
	}
}

// writeSettled writes that all routers know the split at a revision, unless the store says so of
// that one or a newer. It returns the revision in the store.
func (s *Service) writeSettled(ctx context.Context, service fleet.ServiceName, revision uint64) (uint64, error) {
	settled, object, err := s.readSettled(ctx, service)
	if err != nil || settled >= revision {
		return settled, err
	}
	document, err := json.Marshal(settledSplit{revision})
	if err != nil {
		return settled, fmt.Errorf("streamversion: encode settled split: %w", err)
	}
	if _, err := s.cfg.Store().Put(ctx, SettledKind, platform.Object{Name: string(service), Revision: object.Revision, Spec: document}); err != nil {
		return settled, fmt.Errorf("streamversion: write settled split: %w", err)
	}
	return revision, nil
}

// readSettled returns the revision of the newest split that all routers are known to know, zero
// if there is none, and the object that tells it.
func (s *Service) readSettled(ctx context.Context, service fleet.ServiceName) (uint64, platform.Object, error) {
	object, err := s.cfg.Store().Get(ctx, SettledKind, string(service))
	if errors.Is(err, platform.ErrNotFound) {
		return 0, platform.Object{}, nil
	}
	if err != nil {
		return 0, platform.Object{}, fmt.Errorf("streamversion: read settled split: %w", err)
	}
	var document settledSplit
	if err := json.Unmarshal(object.Spec, &document); err != nil {
		return 0, object, fmt.Errorf("streamversion: settled split: %w", err)
	}
	return document.Revision, object, nil
}

// isSettled reports whether all routers are known to know the newest known split of a service. It
// asks the store if this router does not know.
func (s *Service) isSettled(ctx context.Context, service fleet.ServiceName) bool {
	revision, _, _ := s.known(service)
	s.mu.Lock()
	st := s.stateOf(service)
	settled, askedAt := st.settled, st.settledAskedAt
	s.mu.Unlock()
	if settled >= revision && revision > 0 {
		return true
	}
	if revision == 0 || s.storeAway(service) || s.now().Sub(askedAt) < settledInterval {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	found, _, err := s.readSettled(ctx, service)
	if err != nil {
		event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st = s.stateOf(service)
	st.settled, st.settledAskedAt = max(st.settled, found), s.now()
	return st.settled >= revision
}

// settledInterval is the shortest time between two questions whether a split is settled.
const settledInterval = 500 * time.Millisecond
