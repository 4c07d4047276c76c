package settings

import (
	"fmt"
	"testing"

	"ragwortpond.example/ragwortpond/objectapi"
)

// twoYearDocuments returns the documents of a fleet at the two-year size: 15
// failure domains, 36 services, 420 client accounts, 10,000 targets.
func twoYearDocuments() []objectapi.Object {
	const domains, services, accounts, targets = 15, 36, 420, 10_000
	objs := []objectapi.Object{doc(KindFleet, FleetName, `{}`)}
	add := func(kind, name, data string) {
		objs = append(objs, objectapi.Object{Kind: kind, Name: name, Version: uint64(len(objs) + 1), Data: []byte(data)})
	}
	for i := range domains {
		add(KindDomains, fmt.Sprintf("domain-%d", i), `{"region":"region-1"}`)
	}
	for i := range services {
		add(KindServices, fmt.Sprintf("service-%d", i), `{"kind":"engine","settings":{"placement":{"load_multiple":1.3}}}`)
	}
	for i := range accounts {
		add(KindAccounts, fmt.Sprintf("account-%d", i),
			fmt.Sprintf(`{"key_hashes":["%064x"],"settings":{"limits":{"requests_per_second":200,"burst":400}}}`, i))
	}
	for i := range targets {
		add(KindTargets, fmt.Sprintf("target-%d", i),
			fmt.Sprintf(`{"service":"service-%d","failure_domain":"domain-%d","addr":"192.0.2.1:8000","weight":1}`, i%services, i%domains))
	}
	return objs
}

// BenchmarkBuildTwoYears measures a build without a cache at the two-year size.
func BenchmarkBuildTwoYears(b *testing.B) {
	objs := twoYearDocuments()
	b.ReportAllocs()
	for b.Loop() {
		if _, findings := Build(objs); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}

// BenchmarkRebuildTwoYears measures a build after one change at the two-year
// size.
func BenchmarkRebuildTwoYears(b *testing.B) {
	objs := twoYearDocuments()
	builder := NewBuilder()
	builder.Build(objs)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		objs[len(objs)-1].Data = fmt.Appendf(nil, `{"service":"service-1","failure_domain":"domain-1","addr":"192.0.2.1:%d"}`, 1000+i%1000)
		if _, findings := builder.Build(objs); len(findings) > 0 {
			b.Fatal(findings[0])
		}
	}
}
