package settings_test

import (
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
)

func buildTarget(kind, engine string) (*settings.Snapshot, settings.Findings) {
	object := func(kind, name string, version uint64, data string) objectapi.Object {
		return objectapi.Object{Kind: kind, Name: name, Version: version, Data: []byte(data)}
	}
	return settings.NewBuilder().Build([]objectapi.Object{
		object(settings.KindFleet, "fleet", 1, `{}`),
		object(settings.KindDomains, "d", 2, `{"region": "r"}`),
		object(settings.KindServices, "s", 9, `{"kind": "`+kind+`"}`),
		object(settings.KindTargets, "t", 7, `{"service": "s", "failure_domain": "d", "addr": "127.0.0.1:1", "engine": `+engine+`}`),
	})
}

func TestTargetEngineState(t *testing.T) {
	s, findings := buildTarget("engine", `{"model": "m", "role": "prefill"}`)
	if len(findings) != 0 {
		t.Fatal(findings)
	}
	got := s.Targets["s"][0]
	if want := (fleet.EngineState{Model: "m", Role: "prefill"}); got.Engine != want || got.Fence != 7 {
		t.Errorf("got %+v with fence %d, want %+v with fence 7", got.Engine, got.Fence, want)
	}
}

func TestEngineFindings(t *testing.T) {
	for _, c := range []struct{ kind, engine, pointer string }{
		{"plain", `{"model": "m"}`, "/engine"},
		{"engine", `{"model": ""}`, "/engine/model"},
		{"engine", `{"modle": "m"}`, "/engine/modle"},
		{"engine", `{"role": "` + strings.Repeat("x", 201) + `"}`, "/engine/role"},
	} {
		s, findings := buildTarget(c.kind, c.engine)
		if len(findings) != 1 || findings[0].Pointer != c.pointer {
			t.Errorf("%s: got findings %v, want one at %s", c.engine, findings, c.pointer)
		}
		for _, target := range s.Targets["s"] {
			if c.kind == "plain" && target.Engine != (fleet.EngineState{}) {
				t.Errorf("desired engine state of a plain target: got %+v, want none", target.Engine)
			}
		}
	}
}
