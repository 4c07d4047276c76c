package soak

import (
	"sync"
	"testing"
)

// TestConcurrentRestartsStartOneProcess guards against several lanes of faults that
// wait for the end of the same router process and each start a new one: all but one
// of the new processes would never be stopped.
func TestConcurrentRestartsStartOneProcess(t *testing.T) {
	program := "/bin/true"
	env := &environment{}
	r := &router{name: "r", program: program}
	if err := env.startRouter(r); err != nil {
		t.Fatal(err)
	}
	var lanes sync.WaitGroup
	for range 4 {
		exited := r.exitChannel()
		lanes.Go(func() {
			<-exited
			if err := env.restartRouter(r, exited); err != nil {
				t.Error(err)
			}
		})
	}
	lanes.Wait()
	<-r.exitChannel()
	if r.starts != 2 {
		t.Errorf("got %d started processes, want 2", r.starts)
	}
}
