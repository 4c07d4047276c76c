package entry

import (
	"errors"

	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/router/wire"
)

// errUnusable ends an attempt whose answer does not fit what the caller has.
var errUnusable = errors.New("entry: answer does not continue what was sent")

// delivery passes the answers of a request's attempts on as one: it drops
// events that came before, refuses gaps, and numbers the caller's events
// without a break across attempts. The head goes out with the first event, so
// that an attempt which brings none leaves no trace.
type delivery struct {
	out    wire.Sink
	stream bool
	// dropped is called for every event that came a second time.
	dropped func()

	head wire.Head
	// extra are fields added to the head.
	extra   []plain.Field
	started bool
	// sent counts the caller's events; base is that count at the start of the
	// present attempt and next the number of its next event.
	sent uint64
	base uint64
	next uint64
	// gone says that the caller can no longer be written to.
	gone bool
	text text
}

func newDelivery(out wire.Sink, stream bool, dropped func()) *delivery {
	return &delivery{out: out, stream: stream, dropped: dropped}
}

// attempt begins a further attempt.
func (d *delivery) attempt() {
	d.base = d.sent
	d.next = 0
}

// takeUp goes on with the stream of an attempt of which the caller has all
// events before number from.
func (d *delivery) takeUp(from uint64) {
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
		d.dropped()
		return nil
	}
	if seq > d.next {
		return errUnusable
	}
	if err := d.begin(); err != nil {
		return err
	}
	if d.stream {
		d.text.add(data)
	}
	d.next++
	return d.pass(data)
}

// begin sends the head if it has not been sent.
func (d *delivery) begin() error {
	if d.started {
		return nil
	}
	d.started = true
	d.head.Header = append(d.head.Header, d.extra...)
	if err := d.out.Head(d.head); err != nil {
		d.gone = true
		return err
	}
	return nil
}

func (d *delivery) pass(data []byte) error {
	err := d.out.Event(d.sent, data)
	d.sent++
	if err != nil {
		d.gone = true
	}
	return err
}

// Flush implements wire.Sink.
func (d *delivery) Flush() error {
	if !d.started {
		return nil
	}
	if err := d.out.Flush(); err != nil {
		d.gone = true
		return err
	}
	return nil
}

// finish sends the event that ends a text which is all there.
func (d *delivery) finish() error {
	if d.text.finished {
		return nil
	}
	return d.pass([]byte(lengthChunk))
}

// received reports whether an attempt that is said to be whole brought an
// answer.
func (d *delivery) received() bool {
	return d.sent > 0
}

// complete reports whether the caller has the whole answer although its end
// marker was lost: an answer that is not streamed comes in one piece, checked
// by the home.
func (d *delivery) complete() bool {
	return !d.stream && d.sent > 0
}
