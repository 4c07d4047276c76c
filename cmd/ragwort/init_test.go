package main

import (
	"context"
	"strings"
	"testing"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/standin"
)

func TestInit(t *testing.T) {
	p, err := standin.StartPlatform(standin.PlatformConfig{})
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	run := []string{"settings", "init", "--platform", p.Addr(), "../../examples/tocha-viva"}
	p.SetFaults(standin.Faults{DropResponses: 1})
	first := expectRun(t, 0, "fleet.json", run...)
	if again := expectRun(t, 0, "fleet.json", run...); again != first {
		t.Errorf("second run: got output\n%s\nwant that of the first run\n%s", again, first)
	}
	if lines := strings.Split(strings.TrimSpace(first), "\n"); !strings.HasPrefix(lines[len(lines)-1], "fleet.json") {
		t.Errorf("got output\n%s\nwant the fleet document last", first)
	}
	ctx := context.Background()
	o, err := p.Get(ctx, settings.KindServices, "pedidos")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Put(ctx, o.Kind, o.Name, []byte(`{"kind":"engine"}`), o.Version); err != nil {
		t.Fatal(err)
	}
	expectRun(t, exitChanged, "services/pedidos.json already exists on the platform", run...)
	p.UpdateFaults(func(f *standin.Faults) { f.Outage = true })
	expectRun(t, exitUnreachable, objectapi.ErrUnavailable.Error(), run...)
}

func TestUsageErrors(t *testing.T) {
	expectRun(t, exitBadInput, "flag provided but not defined", "settings", "check", "--wrong")
	expectRun(t, exitBadInput, "", "withdraw", "target")
}
