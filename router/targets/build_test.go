package targets

import (
	"fmt"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/settings"
)

// twoYearFleet returns the fleet size of docs/CAPACITY.md: 10,000 targets of 36
// services and 2,500 routers in 15 failure domains of 5 regions.
func twoYearFleet() (*settings.Snapshot, []fleet.Router) {
	s := &settings.Snapshot{
		Targets: map[fleet.ServiceName][]fleet.Target{},
		Domains: map[fleet.DomainName]fleet.RegionName{},
	}
	domain := func(i int) fleet.DomainName { return fleet.DomainName(fmt.Sprintf("domain-%02d", i%15)) }
	for i := range 15 {
		s.Domains[domain(i)] = fleet.RegionName(fmt.Sprintf("region-%d", i/3))
	}
	for i := range 10_000 {
		service := fleet.ServiceName(fmt.Sprintf("model-%02d", i%36))
		id := fleet.TargetID(fmt.Sprintf("engine-%05d", i))
		s.Targets[service] = append(s.Targets[service], fleet.Target{ID: id, Service: service, Domain: domain(i / 36)})
	}
	var routers []fleet.Router
	for i := range 2500 {
		id := fleet.RouterID(fmt.Sprintf("router-%04d", i))
		routers = append(routers, fleet.Router{ID: id, Domain: domain(i), Region: s.Domains[domain(i)]})
	}
	return s, routers
}

// BenchmarkTrackerTwoYears measures rebuilding the picker when another router
// leaves or joins, at the fleet size of docs/CAPACITY.md.
func BenchmarkTrackerTwoYears(b *testing.B) {
	snapshot, routers := twoYearFleet()
	views := [2]*membership.View{{Routers: routers}, {Routers: routers[1:]}}
	view := views[0]
	t := New(Config{
		Self:     routers[5],
		Snapshot: func() *settings.Snapshot { return snapshot },
		View:     func() *membership.View { return view },
		Policy:   placement.Policy(""),
		Clock:    func() time.Time { return time.Unix(1_800_000_000, 0) },
	})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		view = views[i%2]
		t.Picker()
	}
}
