package engine

import (
	"errors"
	"io"
)

// errEventTooLarge means that an event, with what precedes it, exceeds the limit.
var errEventTooLarge = errors.New("engine: event too large")

// eventLimit fails a read once more than a number of bytes were read since the last event. The
// reader of events bounds a line, not the lines of an event.
type eventLimit struct {
	r io.Reader
	// limit is the number of bytes that may be read for one event, left what is left of it.
	limit, left int
}

// newEventLimit returns a limit for events of up to maxEventBytes. The reader of events reads
// ahead by as much at most.
func newEventLimit(r io.Reader, maxEventBytes int) *eventLimit {
	return &eventLimit{r: r, limit: 2 * maxEventBytes, left: 2 * maxEventBytes}
}

// Read implements io.Reader.
func (l *eventLimit) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errEventTooLarge
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// nextEvent starts the account of the next event.
func (l *eventLimit) nextEvent() {
	l.left = l.limit
}
