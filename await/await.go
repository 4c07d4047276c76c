// Package await lets tests wait for conditions that other goroutines establish.
package await

import (
	"testing"
	"time"
)

// interval is the polling interval.
const interval = 2 * time.Millisecond

// Until polls f and returns once it returns true. It fails the test if the test's
// context ends first; what describes the condition in the failure message. It must
// be called from the test's goroutine.
func Until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for !f() {
		select {
		case <-t.Context().Done():
			t.Fatal("test ended while waiting for " + what)
		case <-time.After(interval):
		}
	}
}
