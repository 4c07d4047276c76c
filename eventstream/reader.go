// Package eventstream splits a stream of server-sent events into complete
// events, so that a stream which breaks inside an event can be resumed after
// the last complete one.
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
	// maxEventBytes bounds an event.
	maxEventBytes = 256 << 10
	// readBufferBytes is large enough for a few events.
	readBufferBytes = 1 << 10
)

// crEmptyLine ends an event whose lines end with CR alone.
var crEmptyLine = []byte("\r\r")

// Event is one event of a stream.
type Event struct {
	// Raw holds the bytes of the event with its terminating empty line. It is
	// valid until the next call of Next.
	Raw []byte
	// ID is the number in the event's id field. HasID is set if there is one.
	ID    uint64
	HasID bool
	// HasFields is set if a line is neither empty nor a comment.
	HasFields bool
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	in  *bufio.Reader
	buf []byte
}

// NewReader returns a reader of the events of the stream in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, readBufferBytes)}
}

// Next returns the next complete event. At the end of the stream it returns
// io.EOF, with the bytes of an incomplete event, if any, in Raw. Events whose lines
// end with CR alone are returned together, without ID, at the end of the stream. It returns
// ErrTooLong if an event is too long; any other error means that reading the
// stream failed.
func (r *Reader) Next() (Event, error) {
	r.buf = r.buf[:0]
	event := Event{}
	lineStart := 0
	for {
		chunk, err := r.in.ReadSlice('\n')
		if len(r.buf)+len(chunk) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		r.buf = append(r.buf, chunk...)
		if errors.Is(err, bufio.ErrBufferFull) {
			continue
		}
		if errors.Is(err, io.EOF) && bytes.HasSuffix(r.buf, crEmptyLine) {
			return Event{Raw: r.buf, HasFields: true}, nil
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
		event.HasFields = event.HasFields || line[0] != ':'
		if id, ok := eventID(line); ok {
			event.ID, event.HasID = id, true
		}
	}
}

// Buffered reports whether bytes of another event have already been received.
func (r *Reader) Buffered() bool {
	return r.in.Buffered() > 0
}

// eventID parses an id line. It returns false if the line has another field or
// its value is not a number.
func eventID(line []byte) (uint64, bool) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 64)
	return id, err == nil
}
