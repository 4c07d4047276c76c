package streamversion

import (
	"context"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
)

// startReadTimeout bounds the read of the split by a new stream of a router that knows none.
const startReadTimeout = 200 * time.Millisecond

// Begin returns the version of a new stream, or an empty one if the service has no target. It
// returns false if the split may have been replaced, so that others would resume the stream at
// another version: it is neither leased, nor do others wait for this router to tell that it knows
// the next one. It reads the store if that may tell, and waits for up to beginDelay if all versions in service are new.
func (s *Service) Begin(ctx context.Context, service fleet.ServiceName, key Key) (fleet.SoftwareVersion, bool) {
	view := s.cfg.View()
	targets := s.targetsOf(service, view)
	if len(targets.split) == 0 {
		return "", true
	}
	leased, listed := s.leased(service), s.listed(service)
	if revision, _, _ := s.known(service); (!leased && !(listed && s.storeAway(service))) || (revision == 0 && len(targets.split) > 1) {
		ctx, cancel := context.WithTimeout(ctx, startReadTimeout)
		defer cancel()
		if _, err := s.readHistory(ctx, service); err != nil && !isNoHistory(err) {
			// The targets decide if there was a lease.
			event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
		}
		leased, listed = s.leased(service), s.listed(service)
		if !leased && !listed {
			return "", false
		}
	}
	if origin, ok := s.registry.Find(key, s.now()); ok {
		// A router of an earlier build has passed the stream on, and told what it chose.
		version, ok := versionOfOrigin(view, service, origin)
		return version, ok && slices.Contains(targets.serving, version)
	}
	_, split, _ := s.known(service)
	version := split.VersionOf(key)
	if slices.Contains(targets.serving, version) {
		return version, true
	}
	if !leased || !(s.TargetsConfirmed() || s.tellsOthers()) {
		// The version that the split gives may well be in service.
		return "", false
	}
	if version = s.beginTargets(service, targets).split.VersionOf(key); version != "" {
		return version, true
	}
	if !s.awaitBeginTargets(ctx, service, targets) {
		return "", false
	}
	return s.Begin(ctx, service, key)
}

// tellsOthers reports whether most other routers receive the records of streams that begin here.
func (s *Service) tellsOthers() bool {
	return !s.cfg.StoodStill() && s.caughtUp()
}

// awaitBeginTargets waits until streams may begin at one of the versions in service, all of which are new. It returns
// false at once if ctx ends before that.
func (s *Service) awaitBeginTargets(ctx context.Context, service fleet.ServiceName, targets targetVersions) bool {
	now := s.now()
	s.mu.Lock()
	st := s.stateOf(service)
	wait := beginDelay
	for _, version := range targets.serving {
		if since, ok := st.versionsSince[version]; ok {
			wait = min(wait, beginDelay-now.Sub(since))
		}
	}
	s.mu.Unlock()
	if end, ok := ctx.Deadline(); ok && end.Sub(now) <= wait {
		return false
	}
	return s.sleep(ctx, wait) == nil
}

// RecordBegun records at which version a stream began, here and, unless they can compute it, at
// other routers. It must be called before the client gets the first event.
func (s *Service) RecordBegun(service fleet.ServiceName, key Key, version fleet.SoftwareVersion) {
	now, view := s.now(), s.cfg.View()
	revision, split, since := s.known(service)
	origin := NewOrigin(service, version)
	s.registry.Record(key, origin, now)
	s.recordOwn(service, key, origin, now)
	if revision == 0 || split.VersionOf(key) != version || now.Sub(since) < s.ambiguousTime(service, view) || s.absentLately() {
		s.cfg.Peers().RecordStream(key, origin)
	}
}
