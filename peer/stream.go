package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/quic-go/quic-go"
)

const (
	frameHeaderBytes = 5
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10

	codeCancelled quic.StreamErrorCode = 1
	codeBadFrame  quic.StreamErrorCode = 2
	codeBusy      quic.StreamErrorCode = 3
)

// FrameKind distinguishes the frames of a stream. Each method defines its own
// kinds.
type FrameKind uint8

// Stream is a bidirectional sequence of frames. One goroutine may send while
// another receives. Cancel may be called at any time.
type Stream struct {
	quic   *quic.Stream
	in     *bufio.Reader
	out    []byte
	frame  []byte
	limit  int
	node   *Endpoint
	class  streamClass
	method Method
}

func newStream(q *quic.Stream, n *Endpoint, class streamClass, method Method) *Stream {
	return &Stream{
		quic: q, in: bufio.NewReaderSize(q, readBufferBytes), limit: MaxForwardBytes,
		node: n, class: class, method: method,
	}
}

// Queue adds a frame to the send buffer and flushes the buffer once it holds
// writeBufferBytes.
func (s *Stream) Queue(kind FrameKind, parts ...[]byte) error {
	size := 0
	for _, p := range parts {
		size += len(p)
	}
	if size > s.limit {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	s.out = append(s.out, byte(kind))
	s.out = binary.BigEndian.AppendUint32(s.out, uint32(size))
	for _, p := range parts {
		s.out = append(s.out, p...)
	}
	if len(s.out) < writeBufferBytes {
		return nil
	}
	return s.Flush()
}

// Flush sends the queued frames.
func (s *Stream) Flush() error {
	if len(s.out) == 0 {
		return nil
	}
	_, err := s.quic.Write(s.out)
	s.node.countBytes(s.class, s.method, directionSent, len(s.out))
	s.out = s.out[:0]
	if err != nil {
		return fmt.Errorf("%w: %v", ErrBroken, err)
	}
	return nil
}

// Send queues one frame and flushes the send buffer.
func (s *Stream) Send(kind FrameKind, payload []byte) error {
	if err := s.Queue(kind, payload); err != nil {
		return err
	}
	return s.Flush()
}

// SendValue sends v as the CBOR payload of one frame.
func (s *Stream) SendValue(kind FrameKind, v any) error {
	payload, err := Encode(v)
	if err != nil {
		return err
	}
	return s.Send(kind, payload)
}

// Receive returns the next frame; its payload is valid until the next call. It
// returns io.EOF after the peer's last frame, ErrFrameTooLarge for a frame over
// the limit, ErrBusy if the peer refused the stream and ErrBroken if the stream
// breaks.
func (s *Stream) Receive() (FrameKind, []byte, error) {
	kind, payload, err := readFrame(s.in, s.frame, s.limit)
	if errors.Is(err, ErrFrameTooLarge) {
		s.reject()
	}
	if err != nil {
		return 0, nil, err
	}
	s.frame = payload[:cap(payload)]
	s.node.countBytes(s.class, s.method, directionReceived, len(payload)+frameHeaderBytes)
	return kind, payload, nil
}

// readFrame reads one frame into buffer, or into a new buffer if that is too
// small. The length is checked before a buffer is allocated.
func readFrame(r io.Reader, buffer []byte, limit int) (FrameKind, []byte, error) {
	var header [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, wrapReceiveError(err, errors.Is(err, io.EOF))
	}
	size := int(binary.BigEndian.Uint32(header[1:]))
	if size > limit {
		return 0, nil, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, size)
	}
	if cap(buffer) < size {
		buffer = make([]byte, size)
	}
	payload := buffer[:size]
	if _, err := io.ReadFull(r, payload); err != nil {
		return 0, nil, wrapReceiveError(err, false)
	}
	return FrameKind(header[0]), payload, nil
}

// HasBufferedFrame reports whether another complete frame has already arrived.
func (s *Stream) HasBufferedFrame() bool {
	if s.in.Buffered() < frameHeaderBytes {
		return false
	}
	header, err := s.in.Peek(frameHeaderBytes)
	if err != nil {
		return false
	}
	return s.in.Buffered() >= frameHeaderBytes+int(binary.BigEndian.Uint32(header[1:]))
}

// RejectFrame closes the stream because of a frame that could not be decoded, and
// counts the frame.
func (s *Stream) RejectFrame() {
	s.reject()
}

func (s *Stream) reject() {
	s.node.badFrames.Add(1)
	s.quic.CancelRead(codeBadFrame)
	s.quic.CancelWrite(codeBadFrame)
}

// keepAliveShare is the share of the idle timeout within which a stream must send a
// frame for its connection to stay open, so that two frames may be lost.
const keepAliveShare = 0.3

// KeepAliveInterval returns the time within which a frame must be sent for the
// connection to stay open although nothing else uses it.
func (s *Stream) KeepAliveInterval() time.Duration {
	return time.Duration(keepAliveShare * float64(s.node.cfg.IdleTimeout))
}

// Cancel aborts the stream in both directions.
func (s *Stream) Cancel() {
	s.quic.CancelRead(codeCancelled)
	s.quic.CancelWrite(codeCancelled)
}

// Close sends the queued frames and closes the sending side; the peer then
// receives io.EOF.
func (s *Stream) Close() error {
	if err := s.Flush(); err != nil {
		return err
	}
	return s.quic.Close()
}

func wrapReceiveError(err error, atBoundary bool) error {
	if atBoundary {
		return io.EOF
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) && reset.ErrorCode == codeBusy {
		return ErrBusy
	}
	return fmt.Errorf("%w: %v", ErrBroken, err)
}

var decoder = mustDecoder()

func mustDecoder() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 16, MaxArrayElements: 1 << 20, MaxMapPairs: 1 << 20}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	payload, err := cbor.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("peer: encode %T: %w", v, err)
	}
	return payload, nil
}

// Decode decodes CBOR into v. It returns ErrBadFrame if payload is not a valid
// encoding of v's type.
func Decode(payload []byte, v any) error {
	if err := decoder.Unmarshal(payload, v); err != nil {
		return fmt.Errorf("%w: %v", ErrBadFrame, err)
	}
	return nil
}
