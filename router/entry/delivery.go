package entry

import (
	"errors"

	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router/wire"
)

// errUnusable ends an attempt whose answer does not continue the events already
// sent to the caller.
var errUnusable = errors.New("entry: answer does not continue the events already sent to the caller")

// delivery merges the answers of a request's attempts into one: it drops
// duplicate events, rejects gaps, and numbers the caller's events consecutively
// across attempts. The head is sent with the first event, so that an attempt
// without events sends nothing to the caller.
type delivery struct {
	out    wire.Sink
	stream bool
	// onDuplicate is called for each event that was already delivered.
	onDuplicate func()

	head wire.Head
	// extraHeader is added to the head.
	extraHeader []plain.Field
	started     bool
	// sent is the number of events sent to the caller. base is the value of sent
	// at the start of the current attempt. next is the sequence number of the
	// attempt's next event.
	sent uint64
	base uint64
	next uint64
	// callerGone is set when a write to the caller failed.
	callerGone bool
	text       answerText
}

func newDelivery(out wire.Sink, stream bool, onDuplicate func()) *delivery {
	return &delivery{out: out, stream: stream, onDuplicate: onDuplicate}
}

// beginAttempt resets the event numbering for a new attempt.
func (d *delivery) beginAttempt() {
	d.base = d.sent
	d.next = 0
}

// resumeAt prepares for the stream of an attempt of which the caller has all
// events before the given number.
func (d *delivery) resumeAt(from uint64) {
	d.sent, d.next = from, from
	d.text.opaque = true
}

// Head implements wire.Sink.
func (d *delivery) Head(h wire.Head) error {
	if !d.started {
		d.head = h
		return nil
	}
	if h.Status != d.head.Status {
		return errUnusable
	}
	return nil
}

// Event implements wire.Sink.
func (d *delivery) Event(seq uint64, data []byte) error {
	if seq < d.next {
		d.onDuplicate()
		return nil
	}
	if seq > d.next {
		return errUnusable
	}
	if err := d.sendHead(); err != nil {
		return err
	}
	if d.stream {
		d.text.add(data)
	}
	d.next++
	return d.sendEvent(data)
}

// sendHead sends the head unless it has already been sent.
func (d *delivery) sendHead() error {
	if d.started {
		return nil
	}
	d.started = true
	d.head.Header = append(d.head.Header, d.extraHeader...)
	if err := d.out.Head(d.head); err != nil {
		d.callerGone = true
		return err
	}
	return nil
}

func (d *delivery) sendEvent(data []byte) error {
	err := d.out.Event(d.sent, data)
	d.sent++
	if err != nil {
		d.callerGone = true
	}
	return err
}

// Flush implements wire.Sink.
func (d *delivery) Flush() error {
	if !d.started {
		return nil
	}
	if err := d.out.Flush(); err != nil {
		d.callerGone = true
		return err
	}
	return nil
}

// finish sends a final event with a finish reason, unless one has already been
// delivered.
func (d *delivery) finish() error {
	if d.text.finished {
		return nil
	}
	return d.sendEvent([]byte(lengthChunk))
}

// hasAnswer reports whether any event has been sent to the caller. An attempt
// that ended as complete without one brought no answer.
func (d *delivery) hasAnswer() bool {
	return d.sent > 0
}

// complete reports whether the caller has the complete answer although its end
// marker was lost. An answer that is not streamed is a single event, which the
// home has checked.
func (d *delivery) complete() bool {
	return !d.stream && d.sent > 0
}
