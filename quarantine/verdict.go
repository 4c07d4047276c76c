package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// verdict tells that one of some parts and requests crashes targets.
type verdict struct {
	// members are those of which one is at fault, in increasing order.
	members []uint64
	// origin are the members and those that were taken out since a target crashed without
	// them. They are members again if a late report shows them at that crash.
	origin []uint64
	// since is the first of the crashes that it rests on. A later success with a member
	// clears it. seenAt is the last crash or refused request.
	since, seenAt time.Time
	// incidents is the number of incidents that it was given for, and rested the time of the
	// last of them, or when another router told of it. later is the number of crashes with
	// members since then.
	incidents int
	rested    time.Time
	later     int
	trials    trials
}

// newVerdictOn returns a verdict on members that rests on crashes up to a time.
func newVerdictOn(members []uint64, since, seenAt time.Time, incidents int, rested time.Time) *verdict {
	members = slices.Clone(members)
	slices.Sort(members)
	members = slices.Compact(members)
	return &verdict{members: members, origin: members, since: since, seenAt: seenAt, incidents: incidents, rested: rested}
}

// id returns the only member, or a hash of several that is the same at all routers.
func (v *verdict) id() uint64 {
	if len(v.members) == 1 {
		return v.members[0]
	}
	var buffer []byte
	for _, m := range v.members {
		buffer = binary.BigEndian.AppendUint64(buffer, m)
	}
	return xxhash.Sum64(buffer)
}

// isMember reports whether one of the subjects is a member.
func (v *verdict) isMember(subjects ...uint64) bool {
	return slices.ContainsFunc(subjects, func(s uint64) bool {
		_, ok := slices.BinarySearch(v.members, s)
		return ok
	})
}

// within reports whether all members are in a set.
func (v *verdict) within(set map[uint64]bool) bool {
	return !slices.ContainsFunc(v.members, func(m uint64) bool { return !set[m] })
}

// includes reports whether all members of another verdict are members, and not the reverse.
func (v *verdict) includes(other *verdict) bool {
	return len(other.members) < len(v.members) && !slices.ContainsFunc(other.members, func(m uint64) bool { return !v.isMember(m) })
}

// undecided reports whether the evidence does not tell which member is at fault.
func (v *verdict) undecided() bool {
	return len(v.members) > 1
}

// expiresAt returns when the lifetime of a verdict passes.
func (v *verdict) expiresAt() time.Time {
	end, last := v.seenAt.Add(verdictLifetime), v.since.Add(maxVerdictAge)
	if last.Before(end) {
		return last
	}
	return end
}

// clearedBy reports whether a success with a member shows that it is not at fault.
func (v *verdict) clearedBy(success time.Time) bool {
	return !success.Before(v.since)
}

// stands reports whether a verdict stands beside the last known successes with its members, given
// by lookup: with one that is not known to have succeeded, or on many incidents.
func (v *verdict) stands(lookup func(uint64) time.Time) bool {
	return v.incidents+v.later >= minProvenIncidents || anyUnproven(v.members, lookup)
}

// anyUnproven reports whether no success is known with one of the subjects. It is likelier to be
// at fault than the others.
func anyUnproven(subjects []uint64, lookup func(uint64) time.Time) bool {
	return slices.ContainsFunc(subjects, func(s uint64) bool { return lookup(s).IsZero() })
}

func (t *Tracker) anyUnproven(subjects []uint64) bool {
	return anyUnproven(subjects, t.successOf)
}

// members returns the members of all verdicts; t.mu must be held.
func (t *Tracker) members() map[uint64]bool {
	if len(t.verdicts) == 0 {
		return nil
	}
	set := map[uint64]bool{}
	for _, v := range t.verdicts {
		for _, m := range v.members {
			set[m] = true
		}
	}
	return set
}

// byID returns the verdicts in an order that does not depend on the map.
func (t *Tracker) byID() []*verdict {
	list := make([]*verdict, 0, len(t.verdicts))
	for _, id := range slices.Sorted(maps.Keys(t.verdicts)) {
		list = append(list, t.verdicts[id])
	}
	return list
}

// clearMember takes a member out of the verdicts that its last success contradicts, and
// reports whether there was one. t.mu must be held.
func (t *Tracker) clearMember(changes *Changes, member uint64, now time.Time) bool {
	contradicted := false
	for _, v := range t.byID() {
		if !slices.Contains(v.origin, member) || t.successes[member].Before(v.since) && v.stands(t.successOf) {
			continue
		}
		contradicted = contradicted || v.isMember(member)
		v.origin = slices.DeleteFunc(slices.Clone(v.origin), func(m uint64) bool { return v.clearedBy(t.successes[m]) })
		t.updateMembers(changes, v, CauseSuccess, now)
	}
	return contradicted
}

func (t *Tracker) successOf(subject uint64) time.Time {
	return t.successes[subject]
}

// updateMembers replaces a verdict by one on the members that successes and crashes leave, or lifts
// it if that does not stand. t.mu must be held.
func (t *Tracker) updateMembers(changes *Changes, v *verdict, cause Cause, now time.Time) {
	before, members := v.id(), t.membersAtLaterCrashes(v, now)
	if slices.Equal(members, v.members) && v.stands(t.successOf) {
		return
	}
	delete(t.verdicts, before)
	v.members = members
	if len(members) == 0 || !v.stands(t.successOf) {
		changes.Lifted = append(changes.Lifted, Lift{before, cause})
		return
	}
	if t.addVerdict(changes, v, now) {
		changes.Narrowed = append(changes.Narrowed, Narrowing{before, v.id(), v.members, cause})
		changes.News.addVerdict(v, now)
	}
}

// dropExpiredVerdicts drops the verdicts whose lifetime has passed; t.mu must be held.
func (t *Tracker) dropExpiredVerdicts(changes *Changes, now time.Time) {
	for id, v := range t.verdicts {
		if !now.Before(v.expiresAt()) {
			delete(t.verdicts, id)
			changes.Lifted = append(changes.Lifted, Lift{id, CauseExpired})
		}
	}
}

// addVerdict adds a verdict and reports whether there is room for it: of more than
// maxVerdicts the one that was not seen for the longest time is dropped. t.mu must be
// held.
func (t *Tracker) addVerdict(changes *Changes, v *verdict, now time.Time) bool {
	id := v.id()
	v.trials = trials{from: now}
	t.verdicts[id] = v
	if len(t.verdicts) <= maxVerdicts {
		return true
	}
	oldest := id
	for other, w := range t.verdicts {
		if c := w.seenAt.Compare(t.verdicts[oldest].seenAt); c < 0 || (c == 0 && other < oldest) {
			oldest = other
		}
	}
	delete(t.verdicts, oldest)
	if oldest == id {
		return false
	}
	changes.Lifted = append(changes.Lifted, Lift{oldest, CauseReplaced})
	return true
}
