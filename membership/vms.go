package membership

import (
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
)

// vmList holds the names of leaving VMs: those of the last list read by this
// router, and those told by others within leavingVMLife.
type vmList struct {
	listed map[string]bool
	told   map[string]time.Time
}

func newVMList() vmList {
	return vmList{listed: map[string]bool{}, told: map[string]time.Time{}}
}

func (l *vmList) has(name string) bool {
	_, told := l.told[name]
	return told || l.listed[name]
}

func (l *vmList) expire(now time.Time) {
	for name, at := range l.told {
		if now.Sub(at) >= leavingVMLife {
			delete(l.told, name)
		}
	}
}

func (l *vmList) names() []string {
	names := make([]string, 0, len(l.listed)+len(l.told))
	for name := range l.set() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (l *vmList) set() map[string]bool {
	set := make(map[string]bool, len(l.listed)+len(l.told))
	for name := range l.listed {
		set[name] = true
	}
	for name := range l.told {
		set[name] = true
	}
	return set
}

// mergeVM takes in a rumour of a leaving VM.
func (t *Table) mergeVM(r Rumour, now time.Time) bool {
	if t.vms.has(r.VM) || len(t.vms.told) >= maxLeavingVMs {
		return false
	}
	t.vms.told[r.VM] = now
	t.changed = true
	return true
}

// AddSeeds names routers to greet while they have not been heard of.
func (t *Table) AddSeeds(seeds []fleet.Router, now time.Time) {
	for _, s := range seeds {
		t.list(s, now)
	}
}

// ApplyVMList takes in the platform's list. An empty list is ignored.
func (t *Table) ApplyVMList(vms []objectapi.VM, now time.Time) {
	if len(vms) == 0 {
		return
	}
	leaving := map[string]bool{}
	regions := t.regions()
	base := map[fleet.RouterID]fleet.Router{}
	for _, vm := range vms {
		if vm.State != fleet.Live {
			leaving[vm.Name] = true
		}
		if vm.State == fleet.Live && vm.PeerAddr != "" {
			id := fleet.RouterID(vm.Name)
			base[id] = fleet.Router{ID: id, Domain: vm.Domain, Region: regions[vm.Domain], PeerAddr: vm.PeerAddr}
		}
	}
	t.spreadLeaving(leaving)
	t.vms.listed = leaving
	t.base = map[fleet.RouterID]fleet.Router{}
	for _, r := range base {
		t.list(r, now)
	}
}

func (t *Table) spreadLeaving(leaving map[string]bool) {
	for name := range leaving {
		if !t.vms.has(name) {
			t.queue.add(Rumour{VM: name})
			t.changed = true
		}
		delete(t.vms.told, name)
	}
	for name := range t.vms.listed {
		if !leaving[name] {
			t.changed = true
		}
	}
}

// list adds a router to the base, and to the table if it is new.
func (t *Table) list(r fleet.Router, now time.Time) {
	if r.ID == t.self {
		return
	}
	r.Incarnation = 0
	t.base[r.ID] = r
	if _, known := t.entries[r.ID]; !known && len(t.entries) < maxEntries {
		t.put(&entry{router: r, since: now})
	}
}

// regions returns the region of each failure domain that a known router is in.
func (t *Table) regions() map[fleet.DomainName]fleet.RegionName {
	regions := map[fleet.DomainName]fleet.RegionName{}
	for _, e := range t.entries {
		if e.router.Region != "" {
			regions[e.router.Domain] = e.router.Region
		}
	}
	return regions
}
