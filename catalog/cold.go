package catalog

import "time"

// setColdUntil sets the end of the target's cold time from its entry. old is the entry before
// it, nil if there is none. The age of an entry is not known, so that its remainder counts from
// when it was read: a target is rather taken for cold too long than too short. The same
// revision, read again, changes nothing.
func (t *Target) setColdUntil(old *Target) {
	sameProcess := old != nil && old.StartedAt.Equal(t.StartedAt)
	switch {
	case sameProcess && old.Revision == t.Revision && old.Era == t.Era:
		t.ReadAt, t.ColdUntil = old.ReadAt, old.ColdUntil
	case sameProcess && old.Era < t.Era:
		// The copy that the store came back from may be older than what was known.
		t.ColdUntil = old.ColdUntil
		if end := t.ReadAt.Add(t.ColdFor); t.ColdError == nil && t.ColdFor > 0 && end.After(old.ColdUntil) {
			t.ColdUntil = end
		}
	case t.ColdError == nil && t.ColdFor > 0:
		t.ColdUntil = t.ReadAt.Add(t.ColdFor)
	case t.ColdError == nil && sameProcess && old.ColdUntil.After(t.ReadAt):
		// The target has become warm sooner.
		t.ColdUntil = t.ReadAt
	case sameProcess:
		t.ColdUntil = old.ColdUntil
	}
}

// ColdEnd returns until when the target is cold by its entry, where its service's targets are
// cold for coldStart after their start. An entry that does not say whether the target is cold
// leaves its start, by the clock of the target, which counts for coldStart from when the entry
// was read at most.
func (t *Target) ColdEnd(coldStart time.Duration) time.Time {
	if t.ColdError == nil || coldStart <= 0 {
		return t.ColdUntil
	}
	end := t.StartedAt.Add(coldStart)
	if latest := t.ReadAt.Add(coldStart); end.After(latest) {
		end = latest
	}
	if end.Before(t.ColdUntil) {
		return t.ColdUntil
	}
	return end
}
