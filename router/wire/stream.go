package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/reason"
)

// Frames of a forwarded request's stream.
const (
	FrameForward peer.FrameKind = iota + 1
	FrameHead
	FrameEvent
	FrameAccepted
	FrameEnd
)

const seqBytes = 8

// StreamSink writes an answer to a peer stream.
type StreamSink struct {
	stream *peer.Stream
	seq    [seqBytes]byte
}

// NewStreamSink returns a sink on s.
func NewStreamSink(s *peer.Stream) *StreamSink {
	return &StreamSink{stream: s}
}

// Accepted tells the entry that the home is alive and has the attempt.
func (k *StreamSink) Accepted() error {
	return k.stream.Send(FrameAccepted, nil)
}

// Head implements Sink.
func (k *StreamSink) Head(h Head) error {
	payload, err := peer.Encode(h)
	if err != nil {
		return err
	}
	return k.stream.Queue(FrameHead, payload)
}

// Event implements Sink.
func (k *StreamSink) Event(seq uint64, data []byte) error {
	binary.BigEndian.PutUint64(k.seq[:], seq)
	return k.stream.Queue(FrameEvent, k.seq[:], data)
}

// Flush implements Sink.
func (k *StreamSink) Flush() error {
	return k.stream.Flush()
}

// End sends the end of the attempt.
func (k *StreamSink) End(e End) error {
	return k.stream.SendValue(FrameEnd, e)
}

// Relay reads an answer from a peer stream into sink until its end. An answer
// that breaks off is returned as dispatched, since the home may have sent it
// on; the error then says what broke. Accepted is called when the home says that
// it has the attempt.
func Relay(ctx context.Context, s *peer.Stream, sink Sink, accepted func()) (End, error) {
	for {
		kind, payload, err := s.Receive()
		if err != nil {
			return broken(ctx, err), err
		}
		if kind == FrameAccepted {
			accepted()
			continue
		}
		end, done, err := relayFrame(kind, payload, sink)
		if errors.Is(err, peer.ErrBadFrame) {
			s.Reject()
			return broken(ctx, err), err
		}
		if err == nil && !done && !s.Buffered() {
			err = sink.Flush()
		}
		if err != nil {
			s.Cancel()
			return End{Outcome: outcome.Dispatched, Reason: reason.StreamBroken}, err
		}
		if done {
			return end, nil
		}
	}
}

func relayFrame(kind peer.FrameKind, payload []byte, sink Sink) (End, bool, error) {
	switch kind {
	case FrameHead:
		var h Head
		if err := peer.Decode(payload, &h); err != nil {
			return End{}, false, err
		}
		return End{}, false, sink.Head(h)
	case FrameEvent:
		if len(payload) < seqBytes {
			return End{}, false, fmt.Errorf("%w: short event", peer.ErrBadFrame)
		}
		return End{}, false, sink.Event(binary.BigEndian.Uint64(payload), payload[seqBytes:])
	case FrameEnd:
		var e End
		if err := peer.Decode(payload, &e); err != nil {
			return End{}, false, err
		}
		return e, true, nil
	default:
		return End{}, false, fmt.Errorf("%w: kind %d", peer.ErrBadFrame, kind)
	}
}

func broken(ctx context.Context, err error) End {
	if errors.Is(err, peer.ErrBusy) {
		return Refused(reason.HomeUnreachable, Hint{})
	}
	if ctx.Err() != nil {
		return End{Outcome: outcome.Dispatched, Reason: reason.Deadline}
	}
	if errors.Is(err, io.EOF) {
		return End{Outcome: outcome.Dispatched, Reason: reason.AnswerTruncated}
	}
	return End{Outcome: outcome.Dispatched, Reason: reason.HomeUnreachable}
}
