package soak

import (
	"sync"
	"testing"
)

// TestTwoLanesStartOneProcess lets two lanes of faults wait for the end of the same
// router: it is started once, so that no process is left that nobody knows.
func TestTwoLanesStartOneProcess(t *testing.T) {
	program := "/bin/true"
	w := &world{program: program}
	r := &router{name: "r"}
	if err := w.startRouter(r); err != nil {
		t.Fatal(err)
	}
	var lanes sync.WaitGroup
	for range 4 {
		gone := r.ended()
		lanes.Go(func() {
			<-gone
			if err := w.restartRouter(r, gone); err != nil {
				t.Error(err)
			}
		})
	}
	lanes.Wait()
	<-r.ended()
	if r.starts != 2 {
		t.Errorf("%d processes were started, want 2", r.starts)
	}
}
