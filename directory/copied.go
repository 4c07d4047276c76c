package directory

import (
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/platform"
)

// withoutCopied returns the entry to use for t: t itself, unless it is what the store's copy had of a
// process that is known to leave, to be gone, or to have been replaced. d.mu must be held.
func (d *Directory) withoutCopied(t *catalog.Target) *catalog.Target {
	// What is written after the first list of an era is no copy.
	maybeCopied := t.Era > platform.EraOf(d.members.Revision())
	if known, ok := d.members.Find(t.ID); ok {
		return withoutCopiedMember(t, known, maybeCopied)
	}
	gone, ok := d.gone[t.ID]
	switch {
	case !ok || t.Era <= gone.era:
	case maybeCopied && t.StartedAt.Before(gone.startedAt):
		t.Leaving, t.StartedAt, t.Sequence = true, gone.startedAt, gone.sequence
	case gone.hasWritten(t):
		t.Leaving = true
	}
	return t
}

// withoutCopiedMember is withoutCopied for a target of which the entry known is in use.
func withoutCopiedMember(t, known *catalog.Target, maybeCopied bool) *catalog.Target {
	switch {
	case t.Era <= known.Era:
	case maybeCopied && t.StartedAt.Before(known.StartedAt):
		present := *known
		present.Revision, present.Era = t.Revision, t.Era
		return &present
	case known.Leaving && t.StartedAt.Equal(known.StartedAt):
		t.Leaving = true
	}
	return t
}

// hasWritten reports whether t is an entry that the process has written before it was removed.
func (g goneTarget) hasWritten(t *catalog.Target) bool {
	return g.startedAt.Equal(t.StartedAt) && t.Sequence > 0 && t.Sequence <= g.sequence
}
