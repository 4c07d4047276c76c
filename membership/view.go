package membership

import (
	"ragwortpond.example/ragwortpond/fleet"
)

// View is an immutable snapshot, safe for concurrent use.
type View struct {
	// Routers are the routers that may receive work, sorted by ID: alive or
	// suspected, and not leaving. If there is none, it holds self, so it is never
	// empty.
	Routers []fleet.Router
	// Members holds every router in the table with its state, sorted by ID.
	Members []Member
	// LeavingVMs holds the names of the VMs that the platform lists as leaving or
	// gone.
	LeavingVMs map[string]bool
	// Neighbours are the routers that this one sends heartbeats to and that are
	// not leaving. Connections to them are kept open.
	Neighbours []fleet.Router
	// Version increases with each View of the same Table.
	Version uint64
}

// Changed reports whether the table has changed since the last call of View.
func (t *Table) Changed() bool {
	return t.changed
}

// View returns a snapshot of the table and resets Changed.
func (t *Table) View() *View {
	t.changed = false
	t.version++
	v := &View{Version: t.version, LeavingVMs: t.leavingVMs.set()}
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		leaving := e.leaving || t.leavingVMs.has(string(id))
		v.Members = append(v.Members, Member{Router: e.router, State: e.state, Leaving: leaving})
		if e.state != Removed && !leaving {
			v.Routers = append(v.Routers, e.router)
		}
	}
	for _, id := range t.successors {
		if e := t.entries[id]; e != nil && e.present() && !e.leaving {
			v.Neighbours = append(v.Neighbours, e.router)
		}
	}
	if len(v.Routers) == 0 {
		v.Routers = append(v.Routers, t.Self())
	}
	return v
}
