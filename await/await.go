// Package await lets tests wait for what other goroutines bring about.
package await

import (
	"testing"
	"time"
)

// interval is the time between two looks.
const interval = 2 * time.Millisecond

// Until returns once f does, and fails the test if it ends before; what names
// that which is waited for.
func Until(t testing.TB, what string, f func() bool) {
	t.Helper()
	for !f() {
		select {
		case <-t.Context().Done():
			t.Fatal("waited in vain for " + what)
		case <-time.After(interval):
		}
	}
}
