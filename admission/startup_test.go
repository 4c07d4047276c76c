package admission

import (
	"testing"
	"time"
)

// TestFirstViewWaitServesCallersOfRestartedFleet plays the restart of a fleet whose
// routers get their views after some time, and callers who arrive meanwhile and may come
// back once. All whose time allows must be served, most of them at their first router;
// one that cannot be served must be told early enough to go elsewhere.
func TestFirstViewWaitServesCallersOfRestartedFleet(t *testing.T) {
	for _, test := range []struct {
		viewAfter, timeout time.Duration
		served             bool
	}{
		{100 * time.Millisecond, time.Second, true},
		{240 * time.Millisecond, time.Second, true},
		{400 * time.Millisecond, 3 * time.Second, true},
		{600 * time.Millisecond, 12 * time.Second, true},
		{400 * time.Millisecond, time.Second, false},
		{time.Second, 12 * time.Second, false},
		{600 * time.Millisecond, 0, true},
	} {
		wait := FirstViewWait(test.timeout)
		if served := test.viewAfter <= wait; served != test.served {
			t.Errorf("view after %v, timeout %v: got served %v, want %v", test.viewAfter, test.timeout, served, test.served)
		}
		if test.timeout > 0 && wait > test.timeout/3 {
			t.Errorf("timeout %v: got a wait of %v, want at most a third of it", test.timeout, wait)
		}
		if wait >= time.Second {
			t.Errorf("timeout %v: got a wait of %v, want less than a second", test.timeout, wait)
		}
	}
}
