package testbed

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/settings"
)

// Guards against a change of a target's document that does not reach its engine
// or reaches another one: after the change, the engine must serve the new model
// and role with the document's version as its fence, and another engine must not.
func TestTargetDocumentChangeReconfiguresEngine(t *testing.T) {
	b, _, ctx := startTestbed(t, Config{})
	ids := sortedKeys(b.engines)
	version, err := b.UpdateDocument(ctx, settings.KindTargets, string(ids[0]), func(doc map[string]any) {
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
		t.Errorf("got %+v, want model m2 and fence %d", got, version)
	}
	if got := state(ids[1]); got.Model == "m2" || got.Fence != 0 {
		t.Errorf("other engine: got %+v, want another model than m2 and fence 0", got)
	}
}
