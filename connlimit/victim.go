package connlimit

import (
	"iter"
	"time"
)

// phase is what a connection does.
type phase int

const (
	// readingHead: no whole head was sent since the connection was opened, or since the first byte of a request.
	readingHead phase = iota
	// idle: an earlier request is done, and no byte of another one was received.
	idle
	// serving: a request is in progress.
	serving
)

// state is what decides which connection is closed.
type state struct {
	phase phase
	// since is when the phase began.
	since time.Time
	// headBytes is the size of the head so far.
	headBytes int64
}

// longestWaiting returns the connection that has been at its head the longest or, if none is, that has been idle the longest. Those that
// began that after a time are left out. It returns the zero value if there is none.
func longestWaiting[C comparable](conns iter.Seq2[C, *state], before time.Time) C {
	var chosen C
	var best *state
	for c, s := range conns {
		switch {
		case s.phase == serving || s.since.After(before):
		case best == nil, s.phase < best.phase, s.phase == best.phase && s.since.Before(best.since):
			chosen, best = c, s
		}
	}
	return chosen
}

// longestServing returns the connection whose request has been in progress the longest, of those that began before a time. It returns the zero
// value if there is none.
func longestServing[C comparable](conns iter.Seq2[C, *state], before time.Time) C {
	var chosen C
	var best *state
	for c, s := range conns {
		if s.phase == serving && s.since.Before(before) && (best == nil || s.since.Before(best.since)) {
			chosen, best = c, s
		}
	}
	return chosen
}

// largestHead returns the connection with the largest head among those that have not sent a whole one; of equal ones that which has been
// at it the longest. It returns the zero value if there is none.
func largestHead[C comparable](conns iter.Seq2[C, *state]) C {
	var chosen C
	var best *state
	for c, s := range conns {
		switch {
		case s.phase != readingHead:
		case best == nil, s.headBytes > best.headBytes, s.headBytes == best.headBytes && s.since.Before(best.since):
			chosen, best = c, s
		}
	}
	return chosen
}
