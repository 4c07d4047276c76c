package quarantine

import (
	"slices"
	"time"
)

// addCrash adds a crash and reports whether it was new: an attempt at the same target
// with the same parts, at about the same time, brings nothing. t.mu must be held.
func (t *Tracker) addCrash(c crash, now time.Time) bool {
	if len(c.parts) == 0 || now.Sub(c.at) >= crashLifetime {
		return false
	}
	i := len(t.crashes)
	for ; i > 0 && t.crashes[i-1].at.After(c.at); i-- {
	}
	for _, known := range t.crashes {
		if known.target == c.target && known.at.Sub(c.at).Abs() <= targetWindow && slices.Equal(known.parts, c.parts) {
			return false
		}
	}
	t.crashes = slices.Insert(t.crashes, i, c)
	dropped := t.excessCrashes()
	t.dropCrashes(dropped)
	if i < dropped {
		return false
	}
	for _, part := range c.parts {
		t.suspects[part] = latest(t.suspects[part], c.at)
		if success := t.lastSuccess(part, now); !success.IsZero() {
			t.successes[part] = success
		}
	}
	for _, v := range t.verdicts {
		if v.isMember(c.parts...) {
			v.seenAt = latest(v.seenAt, c.at)
		}
	}
	return true
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

// excessCrashes returns the number of the oldest crashes that are over the limits.
func (t *Tracker) excessCrashes() int {
	parts := 0
	for i := len(t.crashes) - 1; i >= 0; i-- {
		parts += len(t.crashes[i].parts)
		if parts > maxCrashParts || len(t.crashes)-i > maxCrashes {
			return i + 1
		}
	}
	return 0
}

// dropCrashes drops the n oldest crashes, and the suspects and successes that only they
// had.
func (t *Tracker) dropCrashes(n int) {
	if n == 0 {
		return
	}
	t.crashes = slices.Delete(t.crashes, 0, n)
	clear(t.suspects)
	for _, c := range t.crashes {
		for _, part := range c.parts {
			t.suspects[part] = latest(t.suspects[part], c.at)
		}
	}
	t.limitForeignSuccesses()
}

func (t *Tracker) dropExpiredCrashes(now time.Time) {
	n := 0
	for n < len(t.crashes) && now.Sub(t.crashes[n].at) >= crashLifetime {
		n++
	}
	t.dropCrashes(n)
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
	if last, ok := t.suspects[part]; !ok || !last.After(from) {
		return false
	}
	return slices.ContainsFunc(t.crashes, func(c crash) bool {
		return c.at.After(from) && !c.at.After(to) && slices.Contains(c.parts, part)
	})
}
