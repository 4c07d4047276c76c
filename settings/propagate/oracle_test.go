package propagate

import (
	"bytes"
	"context"
	"fmt"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// oracle holds the accepted versions of all objects, read from the platform's
// change log after every step.
type oracle struct {
	objects  *standin.Objects
	revision uint64
	history  map[ObjectID][]objectapi.Change
	// lastShown is the last version of each object that was in force on each
	// router.
	lastShown map[*testNode]map[ObjectID]uint64
}

func newOracle(objects *standin.Objects) *oracle {
	return &oracle{objects: objects, history: map[ObjectID][]objectapi.Change{}, lastShown: map[*testNode]map[ObjectID]uint64{}}
}

// update reads the changes accepted since the last call.
func (o *oracle) update() error {
	faults := o.objects.Faults()
	o.objects.SetFaults(standin.Faults{})
	defer o.objects.SetFaults(faults)
	changes, to, err := o.objects.Watch(context.Background(), settings.Kinds(), o.revision, 0)
	if err != nil {
		return err
	}
	o.revision = to
	for _, c := range changes {
		id := ObjectID{c.Object.Kind, c.Object.Name}
		o.history[id] = append(o.history[id], c)
	}
	return nil
}

// check compares the entries of a router with the accepted versions.
func (o *oracle) check(n *testNode) error {
	if o.lastShown[n] == nil {
		o.lastShown[n] = map[ObjectID]uint64{}
	}
	var held map[ObjectID]Entry
	var complete uint64
	_, err := n.runOnState(context.Background(), ownerRequest{read: func(s *State) {
		complete = s.complete
		held = map[ObjectID]Entry{}
		for id, e := range s.entries {
			held[id] = e
		}
	}})
	if err != nil {
		return err
	}
	for id, e := range held {
		if err := o.checkAccepted(id, e); err != nil {
			return fmt.Errorf("router %s: %w", n.self.ID, err)
		}
	}
	for id := range o.history {
		if err := o.checkInForce(n, id, held[id], complete); err != nil {
			return fmt.Errorf("router %s: %w", n.self.ID, err)
		}
	}
	return nil
}

// checkAccepted returns an error if an object in force was never accepted by
// the platform.
func (o *oracle) checkAccepted(id ObjectID, e Entry) error {
	if e.Deleted {
		return nil
	}
	for _, c := range o.history[id] {
		if c.Object.Version == e.Version && !c.Deleted && bytes.Equal(c.Object.Data, e.Data) {
			return nil
		}
	}
	return fmt.Errorf("%v at version %d was never accepted", id, e.Version)
}

// checkInForce returns an error if an object reverted to an older version, or
// lacks a change at or before the complete revision.
func (o *oracle) checkInForce(n *testNode, id ObjectID, e Entry, complete uint64) error {
	present := !e.Deleted && e.Version > 0
	shown := e.Version
	if !present {
		shown = o.firstDeletionFrom(id, o.lastShown[n][id])
	}
	if shown < o.lastShown[n][id] {
		return fmt.Errorf("%v reverted from version %d to %d", id, o.lastShown[n][id], e.Version)
	}
	o.lastShown[n][id] = shown
	last := o.lastChangeUpTo(id, complete)
	if last.Object.Version == 0 {
		return nil
	}
	if present && e.Version < last.Object.Version {
		return fmt.Errorf("%v at %d lacks accepted version %d, complete at %d", id, e.Version, last.Object.Version, complete)
	}
	// A listing of one kind can be ahead of the complete revision. An object
	// missing from it may have been deleted up to the listing's revision.
	until := max(e.Version, n.store.highestListed.Load())
	if !present && !last.Deleted && !o.deletedBetween(id, last.Object.Version, until) {
		return fmt.Errorf("%v lost at version %d, complete at %d", id, last.Object.Version, complete)
	}
	return nil
}

// firstDeletionFrom returns the version of the first deletion at or above a
// version; zero if there is none, or if version is zero.
func (o *oracle) firstDeletionFrom(id ObjectID, version uint64) uint64 {
	if version == 0 {
		return 0
	}
	for _, c := range o.history[id] {
		if c.Deleted && c.Object.Version >= version {
			return c.Object.Version
		}
	}
	return 0
}

// lastChangeUpTo returns the last change at or before a revision; zero if there
// is none.
func (o *oracle) lastChangeUpTo(id ObjectID, revision uint64) objectapi.Change {
	var last objectapi.Change
	for _, c := range o.history[id] {
		if c.Object.Version <= revision {
			last = c
		}
	}
	return last
}

// deletedBetween reports whether the object was deleted after one version and
// up to another.
func (o *oracle) deletedBetween(id ObjectID, after, until uint64) bool {
	for _, c := range o.history[id] {
		if c.Deleted && c.Object.Version > after && c.Object.Version <= until {
			return true
		}
	}
	return false
}

// isCurrent returns an error unless a router passes check and is complete up to
// the last revision read.
func (o *oracle) isCurrent(n *testNode) error {
	if err := o.check(n); err != nil {
		return err
	}
	if n.Revision() < o.revision {
		return fmt.Errorf("router %s: got revision %d, want %d", n.self.ID, n.Revision(), o.revision)
	}
	return nil
}
