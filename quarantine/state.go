package quarantine

import (
	"slices"
	"time"
)

// addCrash adds a crash, or what it tells of a known one, and returns what was new of it, or false:
// an attempt at the same target with the same parts, at about the same time, brings nothing. t.mu
// must be held.
func (t *Tracker) addCrash(changes *Changes, c crash, now time.Time) (crash, bool) {
	if len(c.parts) == 0 || now.Sub(c.at) >= crashLifetime {
		return crash{}, false
	}
	for i := range t.crashes {
		if known := &t.crashes[i]; known.sameAttempt(&c) {
			gained := known.add(&c)
			t.recordSuspects(gained, now)
			t.limitCrashes(changes)
			return gained, len(gained.sharedParts()) > 0
		}
	}
	i := len(t.crashes)
	for ; i > 0 && t.crashes[i-1].at.After(c.at); i-- {
	}
	t.crashes = slices.Insert(t.crashes, i, c)
	t.recordSuspects(c, now)
	if t.limitCrashes(changes); !slices.ContainsFunc(t.crashes, func(known crash) bool { return known.sameAttempt(&c) }) {
		return crash{}, false
	}
	for _, v := range t.verdicts {
		if v.isMember(c.parts...) {
			v.seenAt = latest(v.seenAt, c.at)
		}
	}
	return c, true
}

// sameAttempt reports whether two reports are of the same crash of one attempt. Those of one attempt may
// have different parts of its prompt.
func (c *crash) sameAttempt(other *crash) bool {
	return c.target == other.target && c.at.Sub(other.at).Abs() <= targetWindow && c.request == other.request &&
		(c.request != 0 || slices.Equal(c.parts, other.parts))
}

// add adds the parts of another report on the same attempt, up to maxParts, and returns a report with
// those that were new.
func (c *crash) add(other *crash) crash {
	gained := *other
	gained.parts = slices.DeleteFunc(slices.Clone(other.sharedParts()), func(part uint64) bool { return slices.Contains(c.parts, part) })
	gained.parts = gained.parts[:min(len(gained.parts), max(maxParts-len(c.sharedParts()), 0))]
	c.parts = slices.Concat(c.sharedParts(), gained.parts, c.parts[len(c.sharedParts()):])
	c.total, c.onTrial = max(c.total, other.total), c.onTrial || other.onTrial
	if c.request != 0 {
		gained.parts = append(gained.parts, c.request)
	}
	return gained
}

// incomplete reports whether parts of the prompt are not known.
func (c *crash) incomplete() bool {
	return len(c.sharedParts()) < c.total
}

// recordSuspects counts a crash, or what was new of it, against its parts, and keeps their last
// successes.
func (t *Tracker) recordSuspects(c crash, now time.Time) {
	t.countSuspects(c)
	for _, part := range c.parts {
		if success := t.lastSuccess(part, now); !success.IsZero() {
			t.successes[part] = success
		}
	}
}

// recentSuccesses holds the times of the last successes, the newer and the older half.
type recentSuccesses struct {
	newer, older map[uint64]time.Time
}

func (s *recentSuccesses) record(subject uint64, now time.Time) {
	if s.newer == nil || len(s.newer) >= maxSeen/2 {
		s.newer, s.older = map[uint64]time.Time{}, s.newer
	}
	s.newer[subject] = now
}

// last returns the time of the last success, or the zero time.
func (s *recentSuccesses) last(subject uint64) time.Time {
	return latest(s.newer[subject], s.older[subject])
}

// lastSuccess returns the last known success with a part or request, or the zero time if
// there was none within crashLifetime.
func (t *Tracker) lastSuccess(subject uint64, now time.Time) time.Time {
	last := latest(t.successes[subject], latest(t.seenParts.last(subject), t.seenRequests.last(subject)))
	if now.Sub(last) >= crashLifetime {
		return time.Time{}
	}
	return last
}

// limitCrashes drops what is over the limits.
func (t *Tracker) limitCrashes(changes *Changes) {
	total := 0
	for _, c := range t.crashes {
		total += len(c.parts)
	}
	if total <= maxCrashParts && len(t.crashes) <= maxCrashes {
		return
	}
	for i := range t.crashes {
		if total <= trimmedCrashParts {
			break
		}
		c := &t.crashes[i]
		shared := slices.DeleteFunc(slices.Clone(c.parts), func(part uint64) bool { return t.suspects[part].crashes < 2 && part != c.request })
		if dropped := len(c.parts) - len(shared); dropped > 0 {
			total -= dropped
			c.parts = shared
			changes.Trimmed++
		}
	}
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return len(c.parts) == 0 })
	n := 0
	for n < len(t.crashes) && (total > maxCrashParts || len(t.crashes)-n > maxCrashes) {
		total -= len(t.crashes[n].parts)
		n++
	}
	changes.Trimmed += n
	t.dropCrashes(n)
}

// dropCrashes drops the n oldest crashes, and the suspects and successes that only they, or the
// parts dropped before, had.
func (t *Tracker) dropCrashes(n int) {
	t.crashes = slices.Delete(t.crashes, 0, n)
	clear(t.suspects)
	for _, c := range t.crashes {
		t.countSuspects(c)
	}
	t.limitForeignSuccesses()
}

func (t *Tracker) countSuspects(c crash) {
	for _, part := range c.parts {
		known := t.suspects[part]
		t.suspects[part] = suspect{latest(known.last, c.at), known.crashes + 1}
	}
}

func (t *Tracker) dropExpiredCrashes(now time.Time) {
	n := 0
	for n < len(t.crashes) && now.Sub(t.crashes[n].at) >= crashLifetime {
		n++
	}
	if n > 0 {
		t.dropCrashes(n)
	}
	for part, at := range t.successes {
		if _, suspect := t.suspects[part]; !suspect && now.Sub(at) >= crashLifetime {
			delete(t.successes, part)
		}
	}
}

// limitForeignSuccesses drops the oldest successes with parts of no known crash if there
// are more than maxForeignSuccesses.
func (t *Tracker) limitForeignSuccesses() {
	var foreign []uint64
	for part := range t.successes {
		if _, suspect := t.suspects[part]; !suspect {
			foreign = append(foreign, part)
		}
	}
	if len(foreign) <= maxForeignSuccesses {
		return
	}
	slices.SortFunc(foreign, func(a, b uint64) int { return t.successes[a].Compare(t.successes[b]) })
	for _, part := range foreign[:len(foreign)-maxForeignSuccesses] {
		delete(t.successes, part)
	}
}

// addSuccess records a success with a part, which voids the crashes of the part that are
// not later, and takes it out of the verdicts that it contradicts. It is news if it does one
// of these or is the first one with a suspect. t.mu must be held.
func (t *Tracker) addSuccess(changes *Changes, part uint64, at, now time.Time) {
	before := t.successes[part]
	if !at.After(before) {
		return
	}
	_, suspect := t.suspects[part]
	news := t.crashedBetween(part, before, at) || (suspect && before.IsZero())
	t.successes[part] = at
	if t.clearMember(changes, part, now) {
		news = true
	}
	if !suspect {
		t.limitForeignSuccesses()
	}
	if news {
		changes.News.Clears = append(changes.News.Clears, newClear(part, at, now))
	}
}

// crashedBetween reports whether there is a crash of a part later than from and not
// later than to.
func (t *Tracker) crashedBetween(part uint64, from, to time.Time) bool {
	if !t.suspects[part].last.After(from) {
		return false
	}
	return slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.at.After(from) && !c.at.After(to) && slices.Contains(c.parts, part)
	})
}
