package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// build returns a router program made with build tags.
func build(t *testing.T, tags string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ragwort-router")
	command := exec.Command("go", "build", "-tags", tags, "-o", program, "../cmd/ragwort-router")
	if out, err := command.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

func options(program string, seed uint64) Options {
	return Options{Program: program, Seed: seed, Duration: 14 * time.Second, Routers: 6, Clients: 16, Lanes: 3}
}

// failed are the seeds that ever found something.
var failed = []uint64{
	// The stand-in's foreign and extra answers to streams were plain bodies.
	108,
}

// TestSoak plays a short run of one seed, and of each seed that ever failed.
func TestSoak(t *testing.T) {
	program := build(t, "")
	for _, seed := range append([]uint64{1}, failed...) {
		r, err := Play(t.Context(), options(program, seed))
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", r)
		if r.Violations > 0 {
			t.Errorf("seed %d: %+v", seed, r.Found)
		}
		if r.Requests < 500 || r.Served*4 < r.Requests {
			t.Errorf("seed %d: %d of %d requests served", seed, r.Served, r.Requests)
		}
	}
}

// TestSoakFindsAPlantedFault runs routers that repeat requests which may run once
// only.
func TestSoakFindsAPlantedFault(t *testing.T) {
	r, err := Play(t.Context(), options(build(t, "planted"), 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range r.Found {
		if v.Promise == "at most once" {
			return
		}
	}
	t.Errorf("not found among %+v", r.Found)
}
