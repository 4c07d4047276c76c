package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// sighting is a crash of a target at which a part or request was.
type sighting struct {
	target uint32
	at     time.Time
}

// same reports whether two sightings are of the same crash.
func (s sighting) same(other sighting) bool {
	return s.target == other.target && s.at.Sub(other.at).Abs() <= targetWindow
}

// tally counts the crashes of one part or request since its last success.
type tally struct {
	subject uint64
	// request means that it is a request.
	request bool
	// proven means that a success with it is known.
	proven             bool
	incidents, crashes int
	first, last        time.Time
	// incidentAt is the time of the first crash of the last incident.
	incidentAt time.Time
	// sightings are the crashes of targets, in the order of their time.
	sightings []sighting
	// targets are those that crashed.
	targets map[uint32]struct{}
	// requests holds the requests with a part. Those whose digest is not known count as
	// different ones.
	requests map[uint64]struct{}
	unknown  int
}

func newTally(subject uint64, request, proven bool) *tally {
	return &tally{subject: subject, request: request, proven: proven, targets: map[uint32]struct{}{}, requests: map[uint64]struct{}{}}
}

// add counts a crash, which must not be earlier than those counted before.
func (t *tally) add(c crash) {
	s := sighting{c.target, c.at}
	known := t.lastAt(c.target)
	sameTarget := known >= 0 && t.sightings[known].same(s)
	if t.crashes == 0 || (!sameTarget && (c.at.Sub(t.incidentAt) > incidentWindow || t.startedSince(c))) {
		t.incidents++
		t.incidentAt = c.at
	}
	if t.crashes == 0 {
		t.first = c.at
	}
	t.crashes++
	t.last = c.at
	if sameTarget {
		t.sightings[known].at = c.at
	} else {
		t.sightings = append(t.sightings, s)
	}
	t.targets[c.target] = struct{}{}
	if c.request == 0 {
		t.unknown++
	} else {
		t.requests[c.request] = struct{}{}
	}
}

// lastAt returns the index of the last sighting of a target, or -1.
func (t *tally) lastAt(target uint32) int {
	for i, s := range slices.Backward(t.sightings) {
		if s.target == target {
			return i
		}
	}
	return -1
}

// startedSince reports whether the request was sent to its target since the first crash of
// the last incident.
func (t *tally) startedSince(c crash) bool {
	return t.request && !c.started.IsZero() && c.started.Add(startTolerance).After(t.incidentAt)
}

// suspicious reports whether the crashes are enough for a verdict if no success is known, and
// a number of further ones was missed.
func (t *tally) suspicious(missed int) bool {
	if t.request {
		return t.crashes+missed >= minRequestCrashes && t.incidents+missed >= minRequestIncidents
	}
	return (t.incidents+missed >= minIncidents || len(t.targets)+missed >= minTargets) && t.severalRequests()
}

// severalRequests reports whether the part was in different requests, so that none of them
// is the likelier cause.
func (t *tally) severalRequests() bool {
	return len(t.requests)+t.unknown >= minRequests
}

// sufficient reports whether the crashes are enough for a verdict.
func (t *tally) sufficient() bool {
	if t.proven {
		return t.incidents >= minProvenIncidents && (t.request || t.severalRequests())
	}
	return t.suspicious(0)
}

// absences returns the number of crashes of t at which another part or request was not. Those
// for which open returns true do not tell: its report may not have arrived.
func (t *tally) absences(other *tally, open func(sighting) bool) int {
	n := 0
	for _, s := range t.sightings {
		if !slices.ContainsFunc(other.sightings, s.same) && !open(s) {
			n++
		}
	}
	return n
}

// compare orders tallies by suspicion: those without a known success first, then by
// incidents and targets.
func (t *tally) compare(other *tally) int {
	if t.proven != other.proven {
		if t.proven {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(t.incidents, other.incidents), cmp.Compare(len(t.targets), len(other.targets)), cmp.Compare(t.subject, other.subject))
}

// decide drops expired verdicts, narrows those on several members, and gives new ones as
// long as there is a part or request with enough incidents that no verdict explains. t.mu
// must be held.
func (t *Tracker) decide(changes *Changes, now time.Time) {
	t.dropExpiredVerdicts(changes, now)
	t.updateByCrashes(changes, now)
	// A verdict that would have expired, or has no room, explains its crashes like a
	// standing one.
	condemned := t.byID()
	for {
		list := t.tallies(condemned)
		suspect := t.strongestSuspect(list, now)
		if suspect == nil {
			return
		}
		v := newVerdictOn(t.membersLike(suspect, list), suspect.first, suspect.last, suspect.incidents, suspect.last)
		condemned = append(condemned, v)
		if !now.Before(v.expiresAt()) || !t.addVerdict(changes, v, now) {
			continue
		}
		changes.Quarantined = append(changes.Quarantined, Decision{
			Verdict: v.id(), Members: v.members, Request: suspect.request && !v.undecided(),
			Incidents: suspect.incidents, Crashes: suspect.crashes, Since: suspect.first,
		})
		changes.News.addVerdict(v, now)
	}
}

// strongestSuspect returns the most suspect tally, or nil if none has enough incidents.
func (t *Tracker) strongestSuspect(list map[uint64]*tally, now time.Time) *tally {
	var strongest *tally
	for _, candidate := range list {
		if candidate.sufficient() && (strongest == nil || candidate.compare(strongest) > 0) && !candidate.ambiguous(list, now) {
			strongest = candidate
		}
	}
	return strongest
}

// ambiguous reports whether another request was at each settled crash of a request, so that
// reports which have not arrived yet may show it at all of them.
func (t *tally) ambiguous(list map[uint64]*tally, now time.Time) bool {
	if !t.request {
		return false
	}
	unsettled := func(s sighting) bool { return s.at.After(now.Add(-SettleTime)) }
	never := func(sighting) bool { return false }
	for _, other := range list {
		if other.request && other != t && t.absences(other, unsettled) == 0 && t.absences(other, never) > 0 {
			return true
		}
	}
	return false
}

// membersLike returns the suspect and all that are as suspect, as far as the crashes tell. Nothing
// is known to be absent from a prompt of which parts are missing.
func (t *Tracker) membersLike(suspect *tally, list map[uint64]*tally) []uint64 {
	members := []uint64{suspect.subject}
	var incomplete []sighting
	for _, c := range t.crashes {
		if c.incomplete() {
			incomplete = append(incomplete, sighting{c.target, c.at})
		}
	}
	isOpen := func(s sighting) bool { return slices.ContainsFunc(incomplete, s.same) }
	for subject, other := range list {
		allowed := maxAbsences
		if other.request {
			allowed = 0
		}
		if other != suspect && other.suspicious(allowed) && suspect.absences(other, isOpen) <= allowed {
			members = append(members, subject)
		}
	}
	return members
}

// updateByCrashes takes those members out of verdicts that were not at a crash of others since
// the verdict was given.
func (t *Tracker) updateByCrashes(changes *Changes, now time.Time) {
	for _, v := range t.byID() {
		if len(v.origin) > 1 {
			t.updateMembers(changes, v, CauseCrash, now)
		}
	}
}

// membersAtLaterCrashes returns those of the origin of a verdict that were at each crash of a
// trial since it was given, and counts these crashes. Other crashes do not tell: the report on a
// request with the absent ones may have been lost.
func (t *Tracker) membersAtLaterCrashes(v *verdict, now time.Time) []uint64 {
	rest := v.origin
	v.later = 0
	isOrigin := func(part uint64) bool { return slices.Contains(v.origin, part) }
	disjoint := slices.DeleteFunc(t.byID(), func(other *verdict) bool { return slices.ContainsFunc(other.members, isOrigin) })
	explained := t.newExplanation(disjoint)
	for _, together := range crashesByTarget(t.crashes) {
		at := t.crashes[together[0]].at
		if !at.After(v.rested) || !slices.ContainsFunc(together, func(i int) bool { return t.crashes[i].onTrial && slices.ContainsFunc(t.crashes[i].parts, isOrigin) }) {
			continue
		}
		present := slices.DeleteFunc(slices.Clone(rest), func(m uint64) bool {
			return !slices.ContainsFunc(together, func(i int) bool {
				c := &t.crashes[i]
				return !explained.wholly[i] && c.at.After(t.successes[m]) && (slices.Contains(c.parts, m) || c.incomplete())
			})
		})
		if len(present) == 0 {
			continue
		}
		v.later++
		if now.Sub(at) < reportTime {
			continue
		}
		rest = present
	}
	return rest
}

// tallies counts the crashes that no condemned verdict explains.
func (t *Tracker) tallies(condemned []*verdict) map[uint64]*tally {
	list := map[uint64]*tally{}
	explained := t.newExplanation(condemned)
	for i, c := range t.crashes {
		if explained.wholly[i] {
			continue
		}
		for _, part := range c.parts {
			// What was at one crash only is not as suspect as others.
			if t.suspects[part].crashes < 2 || !c.at.After(t.successes[part]) || explained.members[part] || explained.besideCulprit(i, part) {
				continue
			}
			if list[part] == nil {
				list[part] = newTally(part, part == c.request, !t.successes[part].IsZero())
			}
			list[part].add(c)
		}
	}
	return list
}
