package streamversion

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// basis is what the version of a resumed stream rests on.
type basis string

// Bases of versions.
const (
	basisOnlyVersion  basis = "only-version"
	basisRecord       basis = "record"
	basisPeerRecord   basis = "record-of-other"
	basisSplits       basis = "splits"
	basisSettledSplit basis = "settled-split"
)

// Stream is a stream that a client takes up again.
type Stream struct {
	Service fleet.ServiceName
	Key     Key
	// Named reports whether the client named the request that began the stream.
	Named bool
	// Request is the one that takes the stream up, for the log.
	Request fleet.RequestID
}

// Resume returns the version at which a stream began, or false if that is not known for
// certain.
func (s *Service) Resume(ctx context.Context, stream Stream) (fleet.SoftwareVersion, bool) {
	revision, _, _ := s.known(stream.Service)
	line := event.StreamVersionFound.Log(s.cfg.Log).Str("request", string(stream.Request)).Str("service", string(stream.Service)).
		Str("stream", stream.Key.String()).Bool("named", stream.Named).Uint64("split", revision).
		Dur("targets_age", s.cfg.TargetsAge()).Str("targets_from", s.cfg.TargetsFrom()).Bool("connected", s.caughtUp())
	version, from, ok := s.resume(ctx, stream.Service, stream.Key, stream.Named)
	line.Str("version", string(version)).Str("basis", string(from)).Bool("known", ok).Send()
	return version, ok
}

// resume is Resume with the basis of the result.
func (s *Service) resume(ctx context.Context, service fleet.ServiceName, key Key, named bool) (fleet.SoftwareVersion, basis, bool) {
	// The targets are at least as new as their age tells, which is why that comes first.
	current := s.targetsCurrent()
	view := s.cfg.View()
	s.targetsOf(service, view)
	if version, ok := s.soleVersion(service, view); ok && current {
		return version, basisOnlyVersion, true
	}
	if origin, from, ok := s.findRecord(ctx, key, named); ok {
		version, ok := versionOfOrigin(view, service, origin)
		return version, from, ok
	}
	lifetime := lifetimeOf(view, service)
	listRead := s.joinListRead(service)
	history := s.newestHistory(ctx, service, lifetime)
	if history == nil {
		return "", basisSplits, false
	}
	history = s.withLost(service, history)
	s.awaitList(ctx, service, listRead)
	if !named {
		version, ok := s.soleInHistory(service, history, lifetime)
		return version, basisSplits, ok
	}
	window := s.window(service, lifetime)
	if version, ok := s.versionInHistory(service, history, key, window); ok {
		return version, basisSplits, true
	}
	if window.Settled = s.isSettled(ctx, service); !window.Settled {
		return "", basisSettledSplit, false
	}
	version, ok := s.versionInHistory(service, history, key, window)
	return version, basisSettledSplit, ok
}

// findRecord looks for a record of a stream, here and at other routers.
func (s *Service) findRecord(ctx context.Context, key Key, named bool) (Origin, basis, bool) {
	if !named {
		return 0, basisRecord, false
	}
	if origin, ok := s.registry.Find(key, s.now()); ok {
		return origin, basisRecord, true
	}
	origin, ok := s.cfg.Peers().FindStream(ctx, key)
	return origin, basisPeerRecord, ok
}

// withLost returns a history with the splits that the store lost, as far as this router knows them.
func (s *Service) withLost(service fleet.ServiceName, history *History) *History {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	if st.lost == nil {
		return history
	}
	return history.inEra(platform.EraOf(st.revision), st.lost, st.endedAt)
}

// soleInHistory returns the version of all targets, if all streams in progress began at it
// by the splits.
func (s *Service) soleInHistory(service fleet.ServiceName, history *History, lifetime time.Duration) (fleet.SoftwareVersion, bool) {
	window := s.window(service, lifetime)
	s.mu.Lock()
	defer s.mu.Unlock()
	st, now := s.stateOf(service), s.now()
	version, ok := history.SoleVersion(window, now)
	return version, ok && version == st.targets.sole
}

// versionInHistory returns the version at which a stream began, or false if that is ambiguous.
func (s *Service) versionInHistory(service fleet.ServiceName, history *History, key Key, window Window) (fleet.SoftwareVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st, now := s.stateOf(service), s.now()
	version, ok := history.VersionOf(key, window, now)
	if !ok || len(st.before) == 0 || now.Sub(st.usedUntil) >= window.Lifetime {
		return version, ok
	}
	// This router may have learned late that the split before was replaced.
	return version, st.before.VersionOf(key) == version
}

// window returns the time in which streams in progress began, and what is known of the splits in
// use then.
func (s *Service) window(service fleet.ServiceName, lifetime time.Duration) Window {
	_, _, since := s.known(service)
	w := Window{Lifetime: lifetime, Unchanged: s.now().Sub(since)}
	w.AbsentFrom, w.AbsentUntil = s.cfg.Peers().Absence()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	w.Era, w.Revision = platform.EraOf(st.revision), st.revision
	w.Told = st.listing.told.inUse(lifetime+clockError, s.now())
	return w
}

// newestHistory returns a service's history from the store. Without the store, which no
// split changes without, it returns what this router knows, or nil if that is not enough.
func (s *Service) newestHistory(ctx context.Context, service fleet.ServiceName, lifetime time.Duration) *History {
	if !s.storeAway(service) {
		history, err := s.readHistory(ctx, service)
		if err == nil {
			return history
		}
		event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
		s.mu.Lock()
		s.stateOf(service).retryAt = s.now().Add(storeBackoff)
		s.mu.Unlock()
	}
	if !s.caughtUp() || !s.confirmedLately(service) {
		return nil
	}
	s.observeStore(service)
	absent, noticeTime := s.absentLately(), max(clockError, s.cfg.Peers().AbsenceTime())
	if age := s.cfg.TargetsAge(); age >= 0 && age < noticeTime {
		// A router that this one hears, or heard until a moment ago, reaches the store.
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st, now := s.stateOf(service), s.now()
	switch {
	case st.revision == 0, now.Sub(st.awaySince) < noticeTime:
		// Another router, which may have been out of reach for that long without being missed, may have
		// written a split that this one has not heard of.
		return nil
	case st.history == nil && (st.alone || (now.Sub(st.knownSince) >= lifetime+leaseTime+clockError && !absent)):
		return &History{Splits: []Entry{{Split: st.split, Revision: st.revision}}, Era: platform.EraOf(st.revision)}
	default:
		return st.history
	}
}

// soleVersion returns the version of all targets, if this router has known for longer than a
// stream lasts that there is no other one. The targets may be old.
func (s *Service) soleVersion(service fleet.ServiceName, view *catalog.View) (fleet.SoftwareVersion, bool) {
	absent := s.absentLately()
	s.mu.Lock()
	defer s.mu.Unlock()
	st, lifetime := s.stateOf(service), lifetimeOf(view, service)
	now := s.now()
	sole, certainAfter := st.targets.sole, lifetime+leaseTime+clockError
	switch {
	case sole == "", st.revision > 0 && !st.allTold(lifetime, now):
		return "", false
	case st.revision > 0 && s.cfg.Store().Era() > platform.EraOf(st.revision):
		// The store came back from a copy, which may lack targets of another version.
		return "", false
	case st.revision > 0 && st.alone:
		return sole, len(st.split) == 1 && st.split[0].Version == sole && now.Sub(st.soleSince) >= lifetime
	case now.Sub(st.soleSince) < certainAfter:
		return "", false
	case st.revision > 0 && (len(st.split) != 1 || st.split[0].Version != sole || now.Sub(st.knownSince) < certainAfter || (absent && now.Sub(st.knownSince) < historyLifetime)):
		return "", false
	default:
		return sole, true
	}
}

// versionOfOrigin returns the version of targets that an origin stands for, or false if no
// target has it.
func versionOfOrigin(view *catalog.View, service fleet.ServiceName, origin Origin) (fleet.SoftwareVersion, bool) {
	for t := range view.All(service) {
		if NewOrigin(service, t.Version) == origin {
			return t.Version, true
		}
	}
	return "", false
}
