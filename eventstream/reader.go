// Package eventstream cuts a stream of server-sent events into whole events, so
// that a stream which breaks inside an event can be gone on with after the last
// whole one.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// ErrTooLong means that an event is over the limit.
var ErrTooLong = errors.New("eventstream: event too long")

const (
	// maxEvent bounds one event.
	maxEvent = 1 << 20
	// readBuffer holds a few events.
	readBuffer = 1 << 10
)

// Event is one event with its terminating empty line; it is valid until the
// next call of Next.
type Event struct {
	Raw []byte
	// ID is the event's number; Numbered says that it has one.
	ID       uint64
	Numbered bool
}

// Reader reads events. It belongs to one goroutine.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader reads events from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBuffer)}
}

// Next returns the next whole event. At the end of the stream the error is
// io.EOF, with the bytes of an incomplete event in Raw if there were any; any
// other error means that the stream broke.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	event := Event{}
	lineStart := 0
	for {
		chunk, err := r.in.ReadSlice('\n')
		r.buf = append(r.buf, chunk...)
		if errors.Is(err, bufio.ErrBufferFull) {
			if len(r.buf) > maxEvent {
				return Event{}, ErrTooLong
			}
			continue
		}
		if err != nil {
			return Event{Raw: r.buf}, err
		}
		line := bytes.TrimRight(r.buf[lineStart:], "\r\n")
		lineStart = len(r.buf)
		if len(line) == 0 {
			event.Raw = r.buf
			return event, nil
		}
		if id, ok := eventID(line); ok {
			event.ID, event.Numbered = id, true
		}
	}
}

// Buffered reports whether bytes of a further event have arrived.
func (r *Reader) Buffered() bool {
	return r.in.Buffered() > 0
}

func eventID(line []byte) (uint64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
