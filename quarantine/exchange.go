package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// clearExportTime is how long a success is exported that voids crashes that are not
// exported any more.
const clearExportTime = 10 * time.Second

// Export returns the evidence that another router needs, encoded in at most maxBytes, or
// more for a single crash with many parts: the verdicts, then the crashes that still
// count against a part, with the last successes with its parts, then recent successes. Of
// what does not fit, successive calls return different pieces.
func (t *Tracker) Export(now time.Time, maxBytes int) Evidence {
	var e Evidence
	if t.known.Load() == 0 {
		return e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exports++
	left := maxBytes - evidenceBytes
	t.exportVerdicts(&e, &left, now)
	t.exportCrashes(&e, &left, now)
	t.exportClears(&e, &left, now)
	return e
}

// rotate returns a list that begins at another element with each value of n.
func rotate[T any](list []T, n int) []T {
	if len(list) == 0 {
		return list
	}
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}

func (t *Tracker) exportVerdicts(e *Evidence, left *int, now time.Time) {
	var list []*verdict
	for _, v := range t.byID() {
		if now.Add(expiryMargin).Before(v.expiresAt()) {
			list = append(list, v)
		}
	}
	slices.SortStableFunc(list, func(a, b *verdict) int { return b.seenAt.Compare(a.seenAt) })
	var all Evidence
	for _, v := range list {
		all.addVerdict(v, now)
	}
	if all.Size() > *left {
		list = rotate(list, t.exports)
	}
	for i, v := range list {
		var one Evidence
		one.addVerdict(v, now)
		// The first one is exported even if it has too many members.
		if size := one.Size() - evidenceBytes; size <= *left || i == 0 {
			e.add(one)
			*left -= size
		}
	}
}

// exportedParts is the number of parts of a crash that are exported together.
const exportedParts = 8

func (t *Tracker) exportCrashes(e *Evidence, left *int, now time.Time) {
	var list []crash
	total := 0
	explained := t.newExplanation(t.decidedVerdicts())
	for i, c := range slices.Backward(t.crashes) {
		if now.Sub(c.at) >= crashLifetime-expiryMargin || explained.wholly[i] || !t.counts(c) {
			continue
		}
		for _, piece := range t.exportedPieces(c) {
			list = append(list, piece)
			total += t.exportSize(piece)
		}
	}
	if total > *left {
		list = rotate(list, t.exports)
	}
	for i, c := range list {
		// The first one is exported even if it is too long.
		if size := t.exportSize(c); size <= *left || (i == 0 && len(e.Verdicts)+len(e.Sets) == 0) {
			*left -= size
			t.reportCrash(e, c, now)
		}
	}
}

// exportedPieces divides a crash into such with up to exportedParts parts, first those that
// other crashes have too.
func (t *Tracker) exportedPieces(c crash) []crash {
	shared := c.sharedParts()
	if len(shared) <= exportedParts {
		return []crash{c}
	}
	sorted := slices.SortedStableFunc(slices.Values(shared), func(a, b uint64) int {
		return cmp.Compare(min(t.suspects[b].crashes, 2), min(t.suspects[a].crashes, 2))
	})
	var pieces []crash
	for parts := range slices.Chunk(sorted, exportedParts) {
		piece := c
		if piece.parts = slices.Clone(parts); c.request != 0 {
			piece.parts = append(piece.parts, c.request)
		}
		pieces = append(pieces, piece)
	}
	return pieces
}

// decidedVerdicts returns the verdicts whose crashes tell other routers nothing more.
func (t *Tracker) decidedVerdicts() []*verdict {
	return slices.DeleteFunc(t.byID(), (*verdict).undecided)
}

// counts reports whether a crash counts against one of its parts.
func (t *Tracker) counts(c crash) bool {
	return slices.ContainsFunc(c.parts, func(part uint64) bool { return c.at.After(t.successes[part]) })
}

// reportCrash adds a crash and the last successes with its parts.
func (t *Tracker) reportCrash(e *Evidence, c crash, now time.Time) {
	e.addReport(report{Crash{TargetHash: c.target, AgeMS: ageMS(c.at, now), Parts: c.sharedParts()}, c.attempt(), c.onTrial, c.total})
	for _, part := range c.parts {
		if success, ok := t.successes[part]; ok {
			e.addClear(newClear(part, success, now))
		}
	}
}

// sharedParts returns the parts of the prompt of a crash.
func (c *crash) sharedParts() []uint64 {
	if c.request == 0 {
		return c.parts
	}
	return c.parts[:len(c.parts)-1]
}

// attempt returns what other routers are told of the attempt of a crash.
func (c *crash) attempt() Attempt {
	a := Attempt{Digest: c.request}
	if !c.started.IsZero() {
		a.RunMS = max(ageMS(c.started, c.at)+1, 1)
	}
	return a
}

// newCrash returns the crash that another router reported.
func newCrash(r report, now time.Time) crash {
	merged := crash{target: r.TargetHash, at: timeOf(r.AgeMS, now), parts: r.Parts, total: r.total, request: r.attempt.Digest, onTrial: r.onTrial}
	if r.attempt.Digest != 0 {
		merged.parts = slices.Concat(r.Parts, []uint64{r.attempt.Digest})
	}
	if r.attempt.RunMS > 0 {
		merged.started = timeOf(r.attempt.RunMS-1, merged.at)
	}
	return merged
}

// exportSize returns an upper bound of the bytes that reportCrash adds.
func (t *Tracker) exportSize(c crash) int {
	size := crashBytes + crashPartBytes*len(c.sharedParts())
	for _, part := range c.parts {
		if _, ok := t.successes[part]; ok {
			size += clearBytes
		}
	}
	return size
}

// addClear adds a clear unless there is one of its part.
func (e *Evidence) addClear(c Clear) {
	if !slices.ContainsFunc(e.Clears, func(other Clear) bool { return other.Part == c.Part }) {
		e.Clears = append(e.Clears, c)
	}
}

func (t *Tracker) exportClears(e *Evidence, left *int, now time.Time) {
	var list []Clear
	for part, at := range t.successes {
		if known, suspect := t.suspects[part]; suspect && !known.last.After(at) && now.Sub(at) < clearExportTime {
			list = append(list, newClear(part, at, now))
		}
	}
	slices.SortFunc(list, func(a, b Clear) int {
		return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Part, b.Part))
	})
	for _, c := range list {
		if *left < clearBytes {
			return
		}
		before := len(e.Clears)
		e.addClear(c)
		*left -= clearBytes * (len(e.Clears) - before)
	}
}

// Limits of one message of another router; what is over them is ignored.
const (
	maxMergedCrashes  = 64
	maxMergedClears   = 128
	maxMergedVerdicts = maxVerdicts
)

// Merge adds the evidence of another router. Changes.News holds what was new to this
// router, to be forwarded, and Changes.Answer what contradicts the sender's verdicts.
func (t *Tracker) Merge(e Evidence, now time.Time) Changes {
	if e.Empty() {
		return Changes{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes Changes
	var added []crash
	for i, c := range e.Crashes[:min(len(e.Crashes), maxMergedCrashes)] {
		merged := newCrash(e.report(i), now)
		if len(c.Parts) > maxParts || now.Sub(merged.at) >= crashLifetime-expiryMargin {
			continue
		}
		if gained, ok := t.addCrash(&changes, merged, now); ok {
			added = append(added, gained)
		}
	}
	for _, c := range e.Clears[:min(len(e.Clears), maxMergedClears)] {
		t.mergeClear(&changes, c, now)
	}
	for _, c := range added {
		t.reportCrash(&changes.News, c, now)
	}
	for _, v := range e.verdicts(maxMergedVerdicts, now) {
		t.mergeVerdict(&changes, v, now)
	}
	if len(added) > 0 || len(changes.Lifted)+len(changes.Narrowed) > 0 {
		t.decide(&changes, now)
	}
	t.updateCounts()
	return changes
}

// mergeClear adds another router's success with a part. One that is no news is kept only
// if it is later than the known one by more than timeTolerance.
func (t *Tracker) mergeClear(changes *Changes, c Clear, now time.Time) {
	at, before := timeOf(c.AgeMS, now), t.successes[c.Part]
	if now.Sub(at) >= crashLifetime {
		return
	}
	if !t.clears(c.Part, at) && at.Sub(before) <= timeTolerance && !t.crashedBetween(c.Part, before, at) {
		return
	}
	t.addSuccess(changes, c.Part, at, now)
}

// clears reports whether a success would change a verdict that the last one known did not.
func (t *Tracker) clears(member uint64, at time.Time) bool {
	return slices.ContainsFunc(t.byID(), func(v *verdict) bool {
		return v.isMember(member) && (v.clearedBy(at) || t.successes[member].IsZero())
	})
}

// mergeVerdict adopts or prolongs another router's verdict, as far as the successes that this
// one knows allow, and answers with those that contradict it.
func (t *Tracker) mergeVerdict(changes *Changes, v *verdict, now time.Time) {
	if !now.Add(expiryMargin).Before(v.expiresAt()) {
		return
	}
	if v = t.uncontradicted(changes, v, now); v == nil {
		return
	}
	if known := t.verdicts[v.id()]; known != nil {
		if v.seenAt.Sub(known.seenAt) > expiryMargin {
			known.seenAt = v.seenAt
		}
		return
	}
	for _, known := range t.byID() {
		switch {
		case v.includes(known), known.undecided() && known.isMember(v.members...) && t.hasCrashesOf(known):
			// This router knows more, or reports on the crashes that the verdict rests on
			// show what it makes of its own.
			return
		case known.includes(v):
			delete(t.verdicts, known.id())
			changes.Narrowed = append(changes.Narrowed, Narrowing{known.id(), v.id(), v.members, CausePeer})
		}
	}
	if t.addVerdict(changes, v, now) {
		changes.Quarantined = append(changes.Quarantined, Decision{Verdict: v.id(), Members: v.members, Since: v.since, FromPeer: true})
		changes.News.addVerdict(v, now)
	}
}

// hasCrashesOf reports whether this router knows crashes that a verdict rests on.
func (t *Tracker) hasCrashesOf(v *verdict) bool {
	return slices.ContainsFunc(t.crashes, func(c crash) bool { return !c.at.Before(v.since) && v.isMember(c.parts...) })
}

// uncontradicted returns another router's verdict without the members that a known success
// clears, or nil if nothing of it stands.
func (t *Tracker) uncontradicted(changes *Changes, v *verdict, now time.Time) *verdict {
	lookup := func(m uint64) time.Time { return t.lastSuccess(m, now) }
	rest := newVerdictOn(slices.DeleteFunc(slices.Clone(v.members), func(m uint64) bool {
		success := lookup(m)
		return !success.IsZero() && v.clearedBy(success)
	}), v.since, v.seenAt, v.incidents, now)
	stands := len(rest.members) > 0 && rest.stands(lookup)
	for _, m := range v.members {
		success := lookup(m)
		if success.IsZero() {
			continue
		}
		if v.clearedBy(success) || !stands {
			changes.Answer.Clears = append(changes.Answer.Clears, newClear(m, success, now))
		}
	}
	if !stands {
		return nil
	}
	for _, m := range rest.members {
		if success := lookup(m); !success.IsZero() {
			t.successes[m] = success
		}
	}
	t.limitForeignSuccesses()
	return rest
}
