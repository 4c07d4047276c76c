// Package stall tells whether the process stood still, because it was stopped or its machine
// was suspended. What it knows of others is then older than its timers say.
package stall

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// interval is how often a Detector notes that the process runs.
	interval = 100 * time.Millisecond
	// threshold is the gap between two notes from which on the process stood still.
	threshold = 600 * time.Millisecond
	// catchUpTime is how long after that the process may not have caught up with what
	// happened meanwhile.
	catchUpTime = 3 * time.Second
)

// Detector detects that the process stood still. It is safe for concurrent use.
type Detector struct {
	now func() time.Duration
	// notedAt is the time of the last note, stillUntil the end of the last gap; both by now.
	notedAt, stillUntil atomic.Int64
}

// New returns a detector. It detects nothing until Run is called.
func New() *Detector {
	return newWithClock(BootTime)
}

func newWithClock(now func() time.Duration) *Detector {
	d := &Detector{now: now}
	d.stillUntil.Store(int64(-catchUpTime))
	return d
}

// BootTime returns the time since the machine was started. It includes the time in which the
// machine was suspended, which the clock of package time does not.
func BootTime() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// Run notes that the process runs until ctx ends. It returns nil.
func (d *Detector) Run(ctx context.Context) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	d.notedAt.Store(int64(d.now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			d.note()
		}
	}
}

func (d *Detector) note() {
	now := d.now()
	if d.gap(now) {
		d.stillUntil.Store(int64(now))
	}
	d.notedAt.Store(int64(now))
}

// gap reports whether the last note is too long ago.
func (d *Detector) gap(now time.Duration) bool {
	noted := time.Duration(d.notedAt.Load())
	return noted > 0 && now-noted > threshold
}

// StoodStill reports whether the process stood still until now or within catchUpTime. It may
// be called before the next note.
func (d *Detector) StoodStill() bool {
	now := d.now()
	return d.gap(now) || now-time.Duration(d.stillUntil.Load()) < catchUpTime
}
