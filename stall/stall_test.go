package stall

import (
	"testing"
	"time"
)

func TestStandstillIsDetectedBeforeNextNote(t *testing.T) {
	now := time.Hour
	d := newWithClock(func() time.Duration { return now })
	check := func(what string, want bool) {
		t.Helper()
		if got := d.StoodStill(); got != want {
			t.Errorf("%s: got %t, want %t", what, got, want)
		}
	}
	check("before the first note", false)
	for range 5 {
		d.note()
		now += interval
		check("running", false)
	}
	now += 5 * time.Second
	check("at the end of a standstill", true)
	d.note()
	check("after the next note", true)
	for range int(catchUpTime / interval) {
		now += interval
		d.note()
	}
	check("after the time to catch up", false)
}

func TestBootTimePasses(t *testing.T) {
	before := BootTime()
	time.Sleep(time.Millisecond)
	if after := BootTime(); before <= 0 || after <= before {
		t.Errorf("got %v and then %v, want a clock that runs", before, after)
	}
}
