package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// tally counts the crashes of one part or request since its last success.
type tally struct {
	part uint64
	// request means that it is a request.
	request bool
	// proven means that a success with the part is known.
	proven bool
	// incidents and crashes are counts; depth is the largest index of the part in the
	// prompts of the crashes.
	incidents, crashes, depth int
	first, last               time.Time
	// incidentAt is the time of the first crash of the last incident.
	incidentAt time.Time
	// targets holds the time of the last crash of each target.
	targets map[uint32]time.Time
	// requests holds the requests with a part. Those whose digest is not known count as
	// different ones.
	requests map[uint64]struct{}
	unknown  int
}

// add counts a crash, which must not be earlier than those counted before.
func (t *tally) add(c crash, depth int) {
	lastAtTarget, sameTarget := t.targets[c.target]
	sameTarget = sameTarget && c.at.Sub(lastAtTarget) <= targetWindow
	if t.crashes == 0 || (!sameTarget && (c.at.Sub(t.incidentAt) > incidentWindow || t.startedSince(c))) {
		t.incidents++
		t.incidentAt = c.at
	}
	if t.crashes == 0 {
		t.first = c.at
	}
	t.crashes++
	t.last, t.depth = c.at, max(t.depth, depth)
	t.targets[c.target] = c.at
	if c.request == 0 {
		t.unknown++
	} else {
		t.requests[c.request] = struct{}{}
	}
}

// startedSince reports whether the request was sent to its target since the first crash of
// the last incident.
func (t *tally) startedSince(c crash) bool {
	return t.request && !c.started.IsZero() && c.started.Add(startTolerance).After(t.incidentAt)
}

// sufficient reports whether the crashes are enough for a verdict.
func (t *tally) sufficient() bool {
	switch {
	case t.proven:
		return t.incidents >= minProvenIncidents && (t.request || len(t.requests)+t.unknown >= minRequests)
	case t.request:
		return t.crashes >= minRequestCrashes && t.incidents >= minRequestIncidents
	default:
		return (t.incidents >= minIncidents || len(t.targets) >= minTargets) && len(t.requests)+t.unknown >= minRequests
	}
}

// accompaniedBy reports whether another request was at each crash of this one, so that it
// may as well be the cause. Crashes since settled do not tell: that of the other request may
// not have been reported yet.
func (t *tally) accompaniedBy(other *tally, settled time.Time) bool {
	if !t.request || !other.request || t.part == other.part {
		return false
	}
	for target, at := range t.targets {
		if at.After(settled) {
			continue
		}
		if otherAt, ok := other.targets[target]; !ok || at.Sub(otherAt).Abs() > targetWindow {
			return false
		}
	}
	return true
}

// compare orders tallies by suspicion: those without a known success first, then by
// incidents and targets, and of equal ones the one later in its prompts, which fewer
// requests share.
func (t *tally) compare(other *tally) int {
	if t.proven != other.proven {
		if t.proven {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(t.incidents, other.incidents), cmp.Compare(len(t.targets), len(other.targets)), cmp.Compare(t.depth, other.depth), cmp.Compare(t.part, other.part))
}

// decide drops expired verdicts and quarantines the most suspect part or request, as long
// as there is one with enough incidents. Crashes under a quarantined part do not count against others, nor do those
// of requests that were at a target when it crashed under a quarantined one. t.mu must
// be held.
func (t *Tracker) decide(changes *Changes, now time.Time) {
	t.dropExpiredVerdicts(changes, now)
	// A part whose verdict would have expired explains its crashes like a quarantined
	// one.
	lapsed := map[uint64]bool{}
	for {
		suspect, alike := t.strongestSuspect(lapsed, now)
		if suspect == nil {
			return
		}
		v := verdict{since: suspect.first, seenAt: suspect.last, incidents: suspect.incidents}
		if !now.Before(v.expiresAt()) || !t.addVerdict(changes, suspect.part, v) {
			lapsed[suspect.part] = true
			continue
		}
		changes.Quarantined = append(changes.Quarantined, Decision{
			Part: suspect.part, Request: suspect.request, Incidents: suspect.incidents, Crashes: suspect.crashes, Since: suspect.first, Alike: alike,
		})
		changes.News.Verdicts = append(changes.News.Verdicts, newVerdict(suspect.part, &v, now))
	}
}

// strongestSuspect returns the tally of the most suspect part or request, or nil if none
// has enough incidents, and the number of others that were at its incidents.
func (t *Tracker) strongestSuspect(lapsed map[uint64]bool, now time.Time) (strongest *tally, alike int) {
	list := t.tallies(lapsed)
	for _, candidate := range list {
		if candidate.sufficient() && (strongest == nil || candidate.compare(strongest) > 0) && !candidate.ambiguous(list, now) {
			strongest = candidate
		}
	}
	if strongest != nil {
		alike = strongest.countAlike(list)
	}
	return strongest, alike
}

// countAlike returns the number of other tallies with crashes of the same targets.
func (t *tally) countAlike(list map[uint64]*tally) int {
	n := 0
	for _, other := range list {
		if other != t && maps.Equal(other.targets, t.targets) {
			n++
		}
	}
	return n
}

// ambiguous reports whether another request may as well be the cause of the crashes. With
// minAmbiguousCrashes it no longer matters: further crashes tell.
func (t *tally) ambiguous(list map[uint64]*tally, now time.Time) bool {
	if !t.request || t.crashes >= minAmbiguousCrashes {
		return false
	}
	for _, other := range list {
		if t.accompaniedBy(other, now.Add(-SettleTime)) {
			return true
		}
	}
	return false
}

// tallies counts the crashes that no quarantined or lapsed part explains.
func (t *Tracker) tallies(lapsed map[uint64]bool) map[uint64]*tally {
	list := map[uint64]*tally{}
	convicted := t.convictedCrashes(lapsed)
	for _, c := range t.crashes {
		if t.explained(c, lapsed) {
			continue
		}
		for depth, part := range c.parts {
			if !c.at.After(t.successes[part]) || t.condemned(part, lapsed) || besideCulprit(c, part, convicted) {
				continue
			}
			if list[part] == nil {
				list[part] = &tally{
					part: part, request: part == c.request, proven: !t.successes[part].IsZero(),
					targets: map[uint32]time.Time{}, requests: map[uint64]struct{}{},
				}
			}
			list[part].add(c, depth)
		}
	}
	return list
}

// condemned reports whether a part or request is quarantined or lapsed.
func (t *Tracker) condemned(part uint64, lapsed map[uint64]bool) bool {
	return t.verdicts[part] != nil || lapsed[part]
}

// explained reports whether a crash has a quarantined or lapsed part. A quarantined request
// does not explain its own crashes, since one of its parts may be the cause.
func (t *Tracker) explained(c crash, lapsed map[uint64]bool) bool {
	for _, part := range c.parts {
		if part != c.request && t.condemned(part, lapsed) {
			return true
		}
	}
	return false
}

// convictedCrashes returns the crashes under a quarantined or lapsed part or request, by
// target.
func (t *Tracker) convictedCrashes(lapsed map[uint64]bool) map[uint32][]crash {
	list := map[uint32][]crash{}
	if len(t.verdicts)+len(lapsed) == 0 {
		return list
	}
	for _, c := range t.crashes {
		if slices.ContainsFunc(c.parts, func(part uint64) bool { return t.condemned(part, lapsed) }) {
			list[c.target] = append(list[c.target], c)
		}
	}
	return list
}

// besideCulprit reports whether a convicted crash of the same target at about the same time
// explains the crash as far as a part or request is concerned, because it does not have
// that.
func besideCulprit(c crash, part uint64, convicted map[uint32][]crash) bool {
	return slices.ContainsFunc(convicted[c.target], func(other crash) bool {
		return other.at.Sub(c.at).Abs() <= targetWindow && !slices.Contains(other.parts, part)
	})
}
