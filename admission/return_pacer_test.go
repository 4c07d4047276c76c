package admission

import (
	"testing"
	"time"
)

func TestReturnPacerSpreadsReturnsAtAdmittedRate(t *testing.T) {
	p := &ReturnPacer{}
	var last time.Duration
	for i := range 10 {
		got := p.Next(5, epoch)
		if want := minReturnTime + time.Duration(i)*200*time.Millisecond; got != want {
			t.Errorf("refusal %d: got a return after %v, want %v", i, got, want)
		}
		last = got
	}
	later := epoch.Add(last + time.Second)
	if got := p.Next(5, later); got != minReturnTime {
		t.Errorf("after all have returned: got %v, want %v", got, minReturnTime)
	}
}

func TestReturnPacerIsBounded(t *testing.T) {
	p := &ReturnPacer{}
	for range 1000 {
		if got := p.Next(1, epoch); got < minReturnTime || got > maxReturnTime {
			t.Fatalf("got a return after %v, want %v to %v", got, minReturnTime, maxReturnTime)
		}
	}
	for _, rate := range []float64{0, 1e-300, 1e300} {
		p := &ReturnPacer{}
		for range 3 {
			if got := p.Next(rate, epoch); got < minReturnTime || got > maxReturnTime {
				t.Fatalf("rate %g: got a return after %v, want %v to %v", rate, got, minReturnTime, maxReturnTime)
			}
		}
	}
}
