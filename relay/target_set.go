package relay

import (
	"slices"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targethealth"
)

// meanIntervalPerTarget times the number of a service's targets is how long its
// mean load is cached. Reading one target's load takes about 60 ns, so computing a
// service's mean takes a quarter of a percent of a core at any number of targets.
const meanIntervalPerTarget = 25 * time.Microsecond

// targetSets caches the target sets of one view by service. It is rebuilt for each
// new view.
type targetSets struct {
	view     *catalog.View
	services map[fleet.ServiceName]*serviceTargets
}

// serviceTargets is a service's target set with its cached mean load.
type serviceTargets struct {
	*dispatch.Candidates
	mean          float64
	meanUpdatedAt time.Time
	// pace is the mean pace, as of meanUpdatedAt; zero if the pace of no target is known.
	pace float64
	// validUntil is when the cache of evacuated targets may no longer be fetched; zero if there are none.
	validUntil time.Time
}

// newServiceTargets returns the target set of a service. Targets whose failure domain was evacuated a moment
// ago are like leaving ones: others may fetch their cache.
func newServiceTargets(view *catalog.View, service fleet.ServiceName, now time.Time) *serviceTargets {
	set, sources := &serviceTargets{}, view.Leaving[service]
	for _, e := range view.Evacuations {
		if !now.Before(e.CacheUntil) {
			continue
		}
		for _, t := range view.Evacuated[service] {
			if t.Domain == e.Domain {
				sources = append(slices.Clip(sources), t)
			}
		}
		if set.validUntil.IsZero() || e.CacheUntil.Before(set.validUntil) {
			set.validUntil = e.CacheUntil
		}
	}
	set.Candidates = dispatch.NewCandidates(view.Targets[service], sources)
	return set
}

// anyUnlimited reports whether one of the targets names no limit and is not cold.
func (r *Relay) anyUnlimited(view *catalog.View, targets []*catalog.Target, now time.Time) bool {
	return slices.ContainsFunc(targets, func(t *catalog.Target) bool { return !r.rateBounded(view, t, now) })
}

// rateBounded reports whether a target names a limit or is cold.
func (r *Relay) rateBounded(view *catalog.View, t *catalog.Target, now time.Time) bool {
	return r.limits.IsLimited(t.ID, now) || r.isCold(view, t, now)
}

// meanLoad returns the mean load of the targets that name no limit and are not cold, or of all
// if there are none. With the load of the others, which is low, these would seem overloaded.
func (r *Relay) meanLoad(view *catalog.View, targets []*catalog.Target, now time.Time) float64 {
	bounded := func(t *catalog.Target) bool { return r.rateBounded(view, t, now) }
	if slices.ContainsFunc(targets, bounded) && r.anyUnlimited(view, targets, now) {
		targets = slices.DeleteFunc(slices.Clone(targets), bounded)
	}
	return r.loads.mean(targets, now)
}

// targetSet returns the targets of a service, indexed for choices, and the mean
// load of those that take requests, or are evacuated, and name no limit.
func (r *Relay) targetSet(view *catalog.View, service fleet.ServiceName, now time.Time) (*dispatch.Candidates, float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.targetSets.view != view {
		r.targetSets = targetSets{view: view, services: map[fleet.ServiceName]*serviceTargets{}}
	}
	set := r.targetSets.services[service]
	if set == nil || (!set.validUntil.IsZero() && now.After(set.validUntil)) {
		set = newServiceTargets(view, service, now)
		r.targetSets.services[service] = set
	}
	targets := set.Serving()
	if len(view.Evacuated[service]) > 0 {
		// The bound on a target's load is a multiple of the mean of all, those that are emptied included.
		targets = slices.Concat(targets, view.Evacuated[service])
	}
	if now.Sub(set.meanUpdatedAt) >= meanIntervalPerTarget*time.Duration(len(targets)) {
		set.mean, set.pace, set.meanUpdatedAt = r.meanLoad(view, targets, now), r.loads.meanPace(targets, now), now
	}
	return set.Candidates, set.mean
}

// meanPace returns the mean pace of the targets of a service for which targetSet was called, or
// zero if none is known. Its unit is that of what is known of them.
func (r *Relay) meanPace(service fleet.ServiceName) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if set := r.targetSets.services[service]; set != nil {
		return set.pace
	}
	return 0
}

// targetSignals implements dispatch.TargetState with the relay's load estimates and
// health states at one point in time.
type targetSignals struct {
	relay *Relay
	view  *catalog.View
	now   time.Time
	// purpose is that of the attempt.
	purpose targethealth.Purpose
	// meanPace is the mean pace of the service; zero if none of its targets has a known pace.
	meanPace float64
	// withheld holds the targets for which a permit was denied. onlyUnlimited withholds
	// all targets that need permits.
	withheld []fleet.TargetID
	// coldDenials is the number of those that are cold.
	coldDenials   int
	onlyUnlimited bool
}

// Load implements dispatch.TargetState.
func (s *targetSignals) Load(t *catalog.Target) float64 {
	return s.relay.loads.estimate(t.ID, s.now)
}

// Pace implements dispatch.TargetState.
func (s *targetSignals) Pace(t *catalog.Target) float64 {
	if s.meanPace == 0 {
		return 1
	}
	pace, _ := s.relay.loads.pace(t.ID, s.meanPace, s.now)
	return pace / s.meanPace
}

// logPace adds the pace of the chosen target, over the mean of its service, and its age to a log
// line, and observes them, if the paces of the service's targets are known.
func (s *targetSignals) logPace(line *zerolog.Event, t *catalog.Target) {
	if s.meanPace == 0 {
		return
	}
	pace, age := s.relay.loads.pace(t.ID, s.meanPace, s.now)
	line.Float64("pace", pace/s.meanPace).Dur("pace_age", age)
	s.relay.cfg.Latency.Pace.WithLabelValues(string(t.Service)).Observe(pace / s.meanPace)
	if age >= 0 {
		s.relay.cfg.Latency.PaceAge.WithLabelValues(string(t.Service)).Observe(age.Seconds())
	}
}

// Health implements dispatch.TargetState.
func (s *targetSignals) Health(t *catalog.Target) targethealth.Health {
	return s.relay.health.StateFor(t.ID, t.Domain, s.purpose, s.now)
}

// UnsoundLoad implements dispatch.TargetState.
func (s *targetSignals) UnsoundLoad(t *catalog.Target) float64 {
	return s.relay.health.UnsoundLoad(t.ID, s.purpose, s.now)
}

// Limited implements dispatch.TargetState.
func (s *targetSignals) Limited(t *catalog.Target) bool {
	return s.relay.limits.IsLimited(t.ID, s.now)
}

// Withheld implements dispatch.TargetState.
func (s *targetSignals) Withheld(t *catalog.Target) bool {
	return slices.Contains(s.withheld, t.ID) || (s.onlyUnlimited && s.needsPermit(t)) || s.coldWithheld(t)
}

// Cold implements dispatch.TargetState.
func (s *targetSignals) Cold(t *catalog.Target) bool {
	return s.relay.isCold(s.view, t, s.now)
}

// Unavailable implements dispatch.TargetState.
func (s *targetSignals) Unavailable(t *catalog.Target) bool {
	return s.relay.notices.Unavailable(t, s.now)
}

// needsPermit reports whether sends to a target need permits.
func (s *targetSignals) needsPermit(t *catalog.Target) bool {
	return s.relay.limits.NeedsPermit(t.ID, s.now) || s.Cold(t)
}
