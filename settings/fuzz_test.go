package settings

import (
	"encoding/json"
	"testing"

	"ragwortpond.example/ragwortpond/objectapi"
)

// FuzzDocument builds arbitrary bytes as a document of each kind. A document
// without findings must decode, and every value in force must be in its range.
func FuzzDocument(f *testing.F) {
	for _, o := range validDocuments() {
		f.Add(o.Kind, o.Data)
	}
	f.Add(KindServices, []byte(`{"kind":"engine","settings":{"queue":{"length":1e3}}}`))
	f.Add(KindServices, []byte(`{"kind":"engine","settings":{"limits":{"burst":1e999,"weight":-0}}}`))
	f.Add(KindServices, []byte(`{"kind":"engine","kind":null,"settings":{"queue":{"LENGTH":-1}}}`))
	f.Add(KindFleet, []byte(`{"settings":{"queue":{"length":-1},"queue":{}}}`))
	f.Add(KindFleet, []byte(`{"settings":{"queue":{"length":5},"Queue":{"Length":-1}}}`))
	f.Add(KindTargets, []byte(`[]`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		o := objectapi.Object{Kind: kind, Name: FleetName, Version: 1, Data: data}
		s, findings := Build([]objectapi.Object{o})
		if len(CheckDocument(o)) == 0 {
			for _, finding := range findings {
				if finding.Pointer == "" {
					t.Fatalf("document without findings was not decoded: %v", finding)
				}
			}
		}
		checkRanges(t, s.Effective(FleetName, FleetName, FleetName))
	})
}

func checkRanges(t *testing.T, v *Values) {
	for _, k := range table {
		value, err := json.Number(k.In(*v)).Float64()
		if err != nil || value < k.Min || value > k.Max {
			t.Fatalf("%s: got %v, want %s", k.Name, value, k.Range())
		}
	}
}
