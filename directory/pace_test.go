package directory

import (
	"testing"
	"time"
)

// TestPaceLeavesTimeForPropagation checks that a change that a standby reads as late as
// possible still reaches all routers in time: after its wait come the fetch of those
// that missed the push and the delay before it.
func TestPaceLeavesTimeForPropagation(t *testing.T) {
	const missedPush = time.Second
	for _, bound := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		pace := NewPace(bound)
		if pace.Primary <= 0 || pace.Primary >= pace.Standby || pace.Standby+missedPush > bound {
			t.Errorf("bound %v: got waits of %v and %v", bound, pace.Primary, pace.Standby)
		}
	}
}
