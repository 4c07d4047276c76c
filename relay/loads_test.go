package relay

import (
	"testing"
	"time"

	"ragwortpond.example/ragwortpond/call"
)

func TestLoadsCountOwnAndOthersWork(t *testing.T) {
	l, now := newLoads(), time.Unix(100, 0)
	done := l.begin("t")
	l.report("t", &call.Load{Running: 5, Waiting: 2}, now)
	for age, want := range map[time.Duration]float64{0: 7, reportFull: 7, 2 * time.Second: 4, reportLife: 1, time.Hour: 1} {
		if got := l.of("t", now.Add(age)); got != want {
			t.Errorf("after %v: %v, want %v", age, got, want)
		}
	}
	l.heard("t", 3, now.Add(-time.Second))
	if got := l.of("t", now); got != 7 {
		t.Errorf("an older count of another router was taken: %v", got)
	}
	l.heard("t", 3, now.Add(time.Second))
	if got := l.of("t", now.Add(time.Second)); got != 3 {
		t.Errorf("a newer count was not taken: %v", got)
	}
	done()
	if got := l.of("t", now.Add(time.Second)); got != 2 {
		t.Errorf("own work that ended still counts: %v", got)
	}
	if got := l.of("other", now); got != 0 {
		t.Errorf("an unknown target has load %v", got)
	}
}
