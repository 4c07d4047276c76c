package streamversion

import (
	"context"
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/sleep"
)

// TestStreamsWaitForTheOnlyVersionThatIsLeft guards against refusing new streams for as long as the old version leaves
// and the new one may not receive any yet.
func TestStreamsWaitForTheOnlyVersionThatIsLeft(t *testing.T) {
	f := newFakeFleet(3)
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6})
	f.advance(time.Minute)
	r, waited := f.routers[1], time.Duration(0)
	r.service.sleep = func(ctx context.Context, d time.Duration) error {
		waited += d
		f.advance(d)
		return sleep.For(ctx, 0)
	}
	old := f.targets
	f.targets = targetsOf(map[fleet.SoftwareVersion]int{"v1": 6, "v2": 6})
	f.advance(checkInterval)
	f.targets, f.leaving = targetsOf(map[fleet.SoftwareVersion]int{"v2": 6}), old
	f.advance(checkInterval)
	// The fake fleet counts its time from 1970.
	short, cancel := context.WithDeadline(t.Context(), f.now.Add(beginDelay/2))
	defer cancel()
	if version, ok := r.service.Begin(short, "s", 1); ok || waited > 0 {
		t.Errorf("got version %q after %v for a stream that ends before, want a refusal at once", version, waited)
	}
	if version, ok := r.service.Begin(t.Context(), "s", 2); !ok || version != "v2" || waited > beginDelay {
		t.Errorf("got version %q, %t, after %v, want v2 after %v at most", version, ok, waited, beginDelay)
	}
}
