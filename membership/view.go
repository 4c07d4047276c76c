package membership

import (
	"ragwortpond.example/ragwortpond/fleet"
)

// View is an immutable snapshot, safe for concurrent use.
type View struct {
	// Routers are those to give work to, sorted by id: alive or suspected,
	// not leaving. It is never empty: self is the last resort.
	Routers []fleet.Router
	// All are all known routers with their states, sorted by id.
	All []Member
	// LeavingVMs are the VMs that the platform's list names as leaving or gone.
	LeavingVMs map[string]bool
	// Neighbours are the routers that this one sends heartbeats to; connections
	// to them stand.
	Neighbours []fleet.Router
	// Version grows with each change.
	Version uint64
}

// Changed reports whether the table changed since the last View.
func (t *Table) Changed() bool {
	return t.changed
}

// View returns a snapshot of the table.
func (t *Table) View() *View {
	t.changed = false
	t.version++
	v := &View{Version: t.version, LeavingVMs: t.vms.set()}
	for _, id := range t.sortedIDs() {
		e := t.entries[id]
		leaving := e.leaving || t.vms.has(string(id))
		v.All = append(v.All, Member{Router: e.router, State: e.state, Leaving: leaving})
		if e.state != Gone && !leaving {
			v.Routers = append(v.Routers, e.router)
		}
	}
	for _, id := range t.next {
		if e := t.entries[id]; e != nil && e.present() && !e.leaving {
			v.Neighbours = append(v.Neighbours, e.router)
		}
	}
	if len(v.Routers) == 0 {
		v.Routers = append(v.Routers, t.Self())
	}
	return v
}
