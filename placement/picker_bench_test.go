package placement

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
)

// twoYearFleetView returns the fleet of docs/CAPACITY.md: 10,000 targets of 36
// services and 2,500 routers in 15 failure domains of 5 regions.
func twoYearFleetView() View {
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

func BenchmarkNewPickerTwoYearFleet(b *testing.B) {
	v := twoYearFleetView()
	b.ReportAllocs()
	for b.Loop() {
		NewPicker(v)
	}
}

// BenchmarkPickerNextTwoYearFleet applies alternating changes to the fleet of
// twoYearFleetView: a router leaves and returns, a target leaves and returns,
// or nothing changes.
func BenchmarkPickerNextTwoYearFleet(b *testing.B) {
	full := twoYearFleetView()
	fewerRouters, fewerTargets := full, full
	fewerRouters.Routers = append(slices.Clone(full.Routers[:700]), full.Routers[701:]...)
	fewerTargets.Targets = maps.Clone(full.Targets)
	fewerTargets.Targets["model-05"] = append(slices.Clone(full.Targets["model-05"][:90]), full.Targets["model-05"][91:]...)
	for name, other := range map[string]View{"router": fewerRouters, "target": fewerTargets, "nothing": full} {
		b.Run(name, func(b *testing.B) {
			views := [2]View{other, full}
			p := NewPicker(full)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				p = p.WithView(views[i%2])
			}
		})
	}
}
