package propagate

import (
	"bytes"
	"context"
	"fmt"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

// oracle is the list of accepted versions, read from the platform's own log
// after every step.
type oracle struct {
	log     *standin.Objects
	read    uint64
	history map[ID][]objectapi.Change
	// seen is the last version of each object that each router showed.
	seen map[*node]map[ID]uint64
}

func newOracle(log *standin.Objects) *oracle {
	return &oracle{log: log, history: map[ID][]objectapi.Change{}, seen: map[*node]map[ID]uint64{}}
}

// update reads what was accepted since the last call.
func (o *oracle) update() error {
	faults := o.log.Faults()
	o.log.SetFaults(standin.Faults{})
	defer o.log.SetFaults(faults)
	changes, to, err := o.log.Watch(context.Background(), settings.Kinds(), o.read, 0)
	if err != nil {
		return err
	}
	o.read = to
	for _, c := range changes {
		id := ID{c.Object.Kind, c.Object.Name}
		o.history[id] = append(o.history[id], c)
	}
	return nil
}

// check compares what a router has in force with the accepted versions.
func (o *oracle) check(n *node) error {
	if o.seen[n] == nil {
		o.seen[n] = map[ID]uint64{}
	}
	var held map[ID]Entry
	var complete uint64
	_, err := n.do(context.Background(), message{read: func(s *State) {
		complete = s.complete
		held = map[ID]Entry{}
		for id, e := range s.entries {
			held[id] = e
		}
	}})
	if err != nil {
		return err
	}
	for id, e := range held {
		if err := o.accepted(id, e); err != nil {
			return fmt.Errorf("router %s: %w", n.self.ID, err)
		}
	}
	for id := range o.history {
		if err := o.inForce(n, id, held[id], complete); err != nil {
			return fmt.Errorf("router %s: %w", n.self.ID, err)
		}
	}
	return nil
}

// accepted fails for an object in force that the platform never accepted.
func (o *oracle) accepted(id ID, e Entry) error {
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

// inForce fails for an object that went back, or that lacks a change at or
// before the complete revision.
func (o *oracle) inForce(n *node, id ID, e Entry, complete uint64) error {
	present := !e.Deleted && e.Version > 0
	shown := e.Version
	if !present {
		shown = o.deletionAfter(id, o.seen[n][id])
	}
	if shown < o.seen[n][id] {
		return fmt.Errorf("%v reverted from version %d to %d", id, o.seen[n][id], e.Version)
	}
	o.seen[n][id] = shown
	last := o.lastBy(id, complete)
	if last.Object.Version == 0 {
		return nil
	}
	if present && e.Version < last.Object.Version {
		return fmt.Errorf("%v at %d lacks accepted version %d, complete at %d", id, e.Version, last.Object.Version, complete)
	}
	// A listing of one kind can be ahead of the complete revision, and shows a
	// deletion there only by the object's absence.
	until := max(e.Version, n.store.listed.Load())
	if !present && !last.Deleted && !o.deletedAfter(id, last.Object.Version, until) {
		return fmt.Errorf("%v lost at version %d, complete at %d", id, last.Object.Version, complete)
	}
	return nil
}

// deletionAfter returns the first deletion above a version; zero if there is
// none and the object was shown.
func (o *oracle) deletionAfter(id ID, version uint64) uint64 {
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

// lastBy returns the last change at or before a revision.
func (o *oracle) lastBy(id ID, revision uint64) objectapi.Change {
	var last objectapi.Change
	for _, c := range o.history[id] {
		if c.Object.Version <= revision {
			last = c
		}
	}
	return last
}

// deletedAfter reports whether the object was deleted between two versions.
func (o *oracle) deletedAfter(id ID, after, until uint64) bool {
	for _, c := range o.history[id] {
		if c.Deleted && c.Object.Version > after && c.Object.Version <= until {
			return true
		}
	}
	return false
}

// agrees fails unless a router has exactly the last accepted versions.
func (o *oracle) agrees(n *node) error {
	if err := o.check(n); err != nil {
		return err
	}
	if n.Revision() < o.read {
		return fmt.Errorf("router %s stays at %d of %d", n.self.ID, n.Revision(), o.read)
	}
	return nil
}
