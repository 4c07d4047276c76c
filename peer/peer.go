// Package peer carries messages between routers over QUIC with mutual TLS: a
// stream for each forwarded request, a stream for each control call, and
// datagrams for control messages that may be lost.
//
// Frames on a stream are a one-byte kind, a four-byte big-endian length and the
// payload. Control payloads are CBOR. A frame over its limit or one that cannot
// be decoded closes its stream only, and is counted.
package peer

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of the package. Callers test them with errors.Is.
var (
	// ErrUnreachable means that no connection could be had: nothing was sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken means that the stream broke: the peer may have acted.
	ErrBroken = errors.New("peer: stream broken")
	// ErrBusy means that the peer refused the stream before reading anything
	// of it, since all its handlers are busy.
	ErrBusy = errors.New("peer: busy")
	// ErrFrameTooLarge means that a frame is over its limit.
	ErrFrameTooLarge = errors.New("peer: frame too large")
	// ErrBadFrame means that a frame could not be decoded.
	ErrBadFrame = errors.New("peer: bad frame")
	// ErrRemote means that the peer's handler returned an error; nothing else
	// is known of it than its text.
	ErrRemote = errors.New("peer: remote error")
	// ErrNoHandler means that the peer does not know the method.
	ErrNoHandler = errors.New("peer: no handler")
)

// Method names what a call, stream or datagram is for.
type Method uint8

// The methods. Each subsystem registers handlers for its own.
const (
	MethodForward Method = iota + 1
	MethodHeartbeat
	MethodMembershipSync
	MethodLoad
	MethodSettingsPush
	MethodSettingsDigest
	MethodSettingsFetch
	MethodJournal
	MethodChatTable
	MethodStatus
)

var methodNames = map[Method]string{
	MethodForward:        "forward",
	MethodHeartbeat:      "heartbeat",
	MethodMembershipSync: "membership-sync",
	MethodLoad:           "load",
	MethodSettingsPush:   "settings-push",
	MethodSettingsDigest: "settings-digest",
	MethodSettingsFetch:  "settings-fetch",
	MethodJournal:        "journal",
	MethodChatTable:      "chat-table",
	MethodStatus:         "status",
}

// String returns the method's name, used as a metric label.
func (m Method) String() string {
	name, ok := methodNames[m]
	if !ok {
		return "unknown"
	}
	return name
}

// CallHandler answers a control call: it decodes the CBOR payload with Decode
// and returns a value to encode. It is called on a goroutine of its own.
type CallHandler func(ctx context.Context, from fleet.RouterID, payload []byte) (any, error)

// DatagramHandler takes a datagram's CBOR payload. It is called in the order of
// arrival from one peer and must not block.
type DatagramHandler func(from fleet.RouterID, payload []byte)

// StreamHandler serves a stream; the stream is closed when it returns.
type StreamHandler func(ctx context.Context, from fleet.RouterID, s *Stream)

// Mux holds the handlers of one router. Register all before Listen.
type Mux struct {
	calls     map[Method]CallHandler
	datagrams map[Method]DatagramHandler
	streams   map[Method]StreamHandler
}

// NewMux returns a Mux without handlers.
func NewMux() *Mux {
	return &Mux{
		calls:     map[Method]CallHandler{},
		datagrams: map[Method]DatagramHandler{},
		streams:   map[Method]StreamHandler{},
	}
}

// HandleCall registers the handler of a control call.
func (m *Mux) HandleCall(method Method, h CallHandler) {
	m.calls[method] = h
}

// HandleDatagram registers the handler of a datagram.
func (m *Mux) HandleDatagram(method Method, h DatagramHandler) {
	m.datagrams[method] = h
}

// HandleStream registers the handler of a stream.
func (m *Mux) HandleStream(method Method, h StreamHandler) {
	m.streams[method] = h
}

// Caller is what subsystems use to reach other routers; *Node implements it and
// tests use fakes. It is safe for concurrent use.
type Caller interface {
	// Call sends req as CBOR and decodes the answer into resp.
	Call(ctx context.Context, addr string, method Method, req, resp any) error
	// Send sends msg as one datagram without blocking; it may be lost. A
	// connection is made in the background where there is none. Messages over
	// MaxDatagramBytes return ErrFrameTooLarge.
	Send(addr string, method Method, msg any) error
}

// Limits of frames in bytes.
const (
	MaxDatagramBytes = 1100
	MaxControlBytes  = 4 << 20
	MaxForwardBytes  = 4 << 20
	MaxChunkBytes    = 1 << 20
)
