package wire

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/reason"
)

// Frame kinds of a forwarded request's stream.
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
	// mu guards the sending side of stream.
	mu     sync.Mutex
	stream *peer.Stream
	seq    [seqBytes]byte
	// keepAlive sends a frame while the attempt is silent; nil until the attempt is
	// accepted and after its end.
	keepAlive *time.Timer
}

// NewStreamSink returns a sink that writes to s.
func NewStreamSink(s *peer.Stream) *StreamSink {
	return &StreamSink{stream: s}
}

// SendAccepted notifies the entry router that the home is alive and has accepted the
// attempt. It is repeated until SendEnd, so that a target that is silent for long does
// not let the connection between the routers become idle.
func (s *StreamSink) SendAccepted() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.stream.Send(FrameAccepted, nil); err != nil {
		return err
	}
	s.keepAlive = time.AfterFunc(s.stream.KeepAliveInterval(), s.repeatAccepted)
	return nil
}

func (s *StreamSink) repeatAccepted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepAlive == nil {
		return
	}
	// A stream that fails here fails for the answer too.
	if s.stream.Send(FrameAccepted, nil) == nil {
		s.keepAlive.Reset(s.stream.KeepAliveInterval())
	}
}

// Head implements Sink.
func (s *StreamSink) Head(h Head) error {
	payload, err := peer.Encode(h)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Queue(FrameHead, payload)
}

// Event implements Sink.
func (s *StreamSink) Event(seq uint64, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	binary.BigEndian.PutUint64(s.seq[:], seq)
	return s.stream.Queue(FrameEvent, s.seq[:], data)
}

// Flush implements Sink.
func (s *StreamSink) Flush() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Flush()
}

// SendEnd sends the end of the attempt. The sink must not be used afterwards.
func (s *StreamSink) SendEnd(e End) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keepAlive != nil {
		s.keepAlive.Stop()
		s.keepAlive = nil
	}
	return s.stream.SendValue(FrameEnd, e)
}

// Relay copies an answer from a peer stream to sink until the answer ends. An
// answer that is cut off is returned as dispatched, since the home may have
// sent the attempt to its target; the error then says why. A stream that the
// peer rejected as busy is returned as refused. Relay calls accepted when the
// home reports that it has accepted the attempt, and before anything else that
// the home sends is passed on.
func Relay(ctx context.Context, s *peer.Stream, sink Sink, accepted func()) (End, error) {
	heard := false
	for {
		kind, payload, err := s.Receive()
		if err != nil {
			return brokenEnd(ctx, err), err
		}
		if !heard {
			accepted()
			heard = true
		}
		if kind == FrameAccepted {
			continue
		}
		end, done, err := deliverFrame(kind, payload, sink)
		if errors.Is(err, peer.ErrBadFrame) {
			s.RejectFrame()
			return brokenEnd(ctx, err), err
		}
		if err == nil && !done && !s.HasBufferedFrame() {
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

func deliverFrame(kind peer.FrameKind, payload []byte, sink Sink) (End, bool, error) {
	switch kind {
	case FrameHead:
		var h Head
		if err := peer.Decode(payload, &h); err != nil {
			return End{}, false, err
		}
		return End{}, false, sink.Head(h)
	case FrameEvent:
		if len(payload) < seqBytes {
			return End{}, false, fmt.Errorf("%w: event payload shorter than its sequence number", peer.ErrBadFrame)
		}
		return End{}, false, sink.Event(binary.BigEndian.Uint64(payload), payload[seqBytes:])
	case FrameEnd:
		var e End
		if err := peer.Decode(payload, &e); err != nil {
			return End{}, false, err
		}
		return e, true, nil
	default:
		return End{}, false, fmt.Errorf("%w: unexpected frame kind %d", peer.ErrBadFrame, kind)
	}
}

func brokenEnd(ctx context.Context, err error) End {
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
