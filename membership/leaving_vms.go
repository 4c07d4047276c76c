package membership

import (
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

// leavingVMs holds the names of leaving VMs: those in the last list read by
// this router, and those that other routers reported within leavingVMTTL.
type leavingVMs struct {
	listed   map[string]bool
	gossiped map[string]time.Time
}

func newLeavingVMs() leavingVMs {
	return leavingVMs{listed: map[string]bool{}, gossiped: map[string]time.Time{}}
}

func (l *leavingVMs) has(name string) bool {
	_, gossiped := l.gossiped[name]
	return gossiped || l.listed[name]
}

func (l *leavingVMs) expire(now time.Time) {
	for name, at := range l.gossiped {
		if now.Sub(at) >= leavingVMTTL {
			delete(l.gossiped, name)
		}
	}
}

func (l *leavingVMs) names() []string {
	names := make([]string, 0, len(l.listed)+len(l.gossiped))
	for name := range l.set() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l *leavingVMs) set() map[string]bool {
	set := make(map[string]bool, len(l.listed)+len(l.gossiped))
	for name := range l.listed {
		set[name] = true
	}
	for name := range l.gossiped {
		set[name] = true
	}
	return set
}

// mergeVM applies an update about a leaving VM.
func (t *Table) mergeVM(r Update, now time.Time) bool {
	if t.leavingVMs.has(r.VM) || len(t.leavingVMs.gossiped) >= maxLeavingVMs {
		return false
	}
	t.leavingVMs.gossiped[r.VM] = now
	t.changed = true
	return true
}

// AddSeeds adds routers to contact until the first VM list replaces them.
func (t *Table) AddSeeds(seeds []fleet.Router, now time.Time) {
	for _, s := range seeds {
		t.addListed(s, now)
	}
}

// ApplyVMList applies the platform's VM list. An empty list is ignored.
func (t *Table) ApplyVMList(vms []objectapi.VM, now time.Time) {
	if len(vms) == 0 {
		return
	}
	leaving := map[string]bool{}
	regions := t.regions()
	listed := map[fleet.RouterID]fleet.Router{}
	for _, vm := range vms {
		if vm.State != fleet.Live {
			leaving[vm.Name] = true
		}
		if vm.State == fleet.Live && vm.PeerAddr != "" {
			id := fleet.RouterID(vm.Name)
			listed[id] = fleet.Router{ID: id, Domain: vm.Domain, Region: regions[vm.Domain], PeerAddr: vm.PeerAddr}
		}
	}
	t.queueLeavingVMs(leaving)
	t.leavingVMs.listed = leaving
	t.listed = map[fleet.RouterID]fleet.Router{}
	for _, r := range listed {
		t.addListed(r, now)
	}
}

// queueLeavingVMs queues updates about VMs that are newly listed as leaving.
func (t *Table) queueLeavingVMs(leaving map[string]bool) {
	for name := range leaving {
		if !t.leavingVMs.has(name) {
			t.updates.add(Update{VM: name})
			t.changed = true
		}
		delete(t.leavingVMs.gossiped, name)
	}
	for name := range t.leavingVMs.listed {
		if !leaving[name] {
			t.changed = true
		}
	}
}

// addListed adds a router to the listed ones, and to the table if it is new.
func (t *Table) addListed(r fleet.Router, now time.Time) {
	if r.ID == t.self {
		return
	}
	r.Incarnation = 0
	t.listed[r.ID] = r
	if _, known := t.entries[r.ID]; !known && len(t.entries) < maxEntries {
		t.store(&entry{router: r, since: now})
	}
}

// regions returns the region of each failure domain that has a router in the
// table.
func (t *Table) regions() map[fleet.DomainName]fleet.RegionName {
	regions := map[fleet.DomainName]fleet.RegionName{}
	for _, e := range t.entries {
		if e.router.Region != "" {
			regions[e.router.Domain] = e.router.Region
		}
	}
	return regions
}
