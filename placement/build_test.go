package placement

import (
	"fmt"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
)

// twoYearView is the fleet of docs/CAPACITY.md: 10,000 targets of 36 services
// and 2,500 routers in 15 failure domains of 5 regions.
func twoYearView() View {
	v := View{
		Targets: map[fleet.ServiceName][]fleet.Target{},
		Region:  func(d fleet.DomainName) fleet.RegionName { return fleet.RegionName("region-" + string(d[len(d)-1:])) },
	}
	for i := range 10_000 {
		service := fleet.ServiceName(fmt.Sprintf("model-%02d", i%36))
		id := fleet.TargetID(fmt.Sprintf("engine-%05d", i))
		v.Targets[service] = append(v.Targets[service], fleet.Target{ID: id, Service: service, Domain: twoYearDomain(i / 36)})
	}
	for i := range 2500 {
		d := twoYearDomain(i)
		v.Routers = append(v.Routers, fleet.Router{ID: fleet.RouterID(fmt.Sprintf("router-%04d", i)), Domain: d, Region: v.Region(d)})
	}
	return v
}

func twoYearDomain(i int) fleet.DomainName {
	return fleet.DomainName(fmt.Sprintf("domain-%d-%d", i%3, i/3%5))
}

func BenchmarkBuildTwoYears(b *testing.B) {
	v := twoYearView()
	b.ReportAllocs()
	for b.Loop() {
		NewPicker(v)
	}
}
