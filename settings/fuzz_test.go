package settings

import (
	"encoding/json"
	"testing"

	"ragwortpond.example/ragwortpond/objectapi"
)

// FuzzDocument gives the decoder any bytes for each kind: a document without
// findings must decode, and whatever is in force must lie in its range.
func FuzzDocument(f *testing.F) {
	for _, o := range sound() {
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
			for _, found := range findings {
				if found.Pointer == "" {
					t.Fatalf("checked, yet not decoded: %v", found)
				}
			}
		}
		checkRanges(t, s.Effective(FleetName, FleetName, FleetName))
	})
}

func checkRanges(t *testing.T, v *Values) {
	for _, k := range table {
		n, err := json.Number(k.In(*v)).Float64()
		if err != nil || n < k.Min || n > k.Max {
			t.Fatalf("%s is %v, out of %s", k.Name, n, k.Range())
		}
	}
}
