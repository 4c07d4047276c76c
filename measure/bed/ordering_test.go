package bed

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// TestChangedDocumentOrdersTheEngine changes one target's document and wants
// its engine, and no other, to serve what it says.
func TestChangedDocumentOrdersTheEngine(t *testing.T) {
	b, _, ctx := startBed(t, Config{})
	ids := sortedKeys(b.engines)
	version, err := b.Change(ctx, settings.KindTargets, string(ids[0]), func(doc map[string]any) {
		doc["engine"] = map[string]any{"model": "m2", "role": "decode"}
	})
	if err != nil {
		t.Fatal(err)
	}
	client := engine.NewClient(engine.ClientConfig{})
	state := func(id fleet.TargetID) engine.State {
		s, err := client.State(ctx, b.Engine(id).Addr())
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	for state(ids[0]).Role != "decode" {
		time.Sleep(pollInterval)
	}
	if got := state(ids[0]); got.Model != "m2" || got.Fence != version {
		t.Errorf("serves %+v, document version %d", got, version)
	}
	if got := state(ids[1]); got.Model == "m2" || got.Fence != 0 {
		t.Errorf("another engine serves %+v", got)
	}
}
