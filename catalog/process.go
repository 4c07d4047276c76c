package catalog

import "time"

// Process tells a process of a target from the others that have had its ID.
type Process struct {
	// StartedAt is its start by the clock of the target.
	StartedAt time.Time
	// Revision is the store's revision of its entry, Era the store's era then.
	Revision, Era uint64
}

// Process returns the process that t describes.
func (t *Target) Process() Process {
	return Process{t.StartedAt, t.Revision, t.Era}
}

// Replaces reports whether p is a later process of the target than old. The store orders the
// entries of an era, whatever the target's clock says; a copy of the store may hold the entry of
// an earlier process, which only its start tells.
func (p Process) Replaces(old Process) bool {
	switch {
	case p.StartedAt.Equal(old.StartedAt):
		return false
	case p.Era == old.Era:
		return p.Revision > old.Revision
	default:
		return p.Era > old.Era && p.StartedAt.After(old.StartedAt)
	}
}
