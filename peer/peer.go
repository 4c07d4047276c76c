// Package peer carries messages between routers over QUIC with mutual TLS: one
// stream for each forwarded request, one stream for each control call, and
// datagrams for control messages that may be lost.
//
// Each frame on a stream consists of a one-byte kind, a four-byte big-endian
// length and the payload. Control payloads are CBOR. A frame that is over its
// limit or cannot be decoded closes only its stream and is counted.
package peer

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of the package. Test for them with errors.Is.
var (
	// ErrUnreachable means that no connection or stream to the peer could be
	// opened. Nothing was sent.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrBroken means that the stream broke. The peer may have processed the
	// message.
	ErrBroken = errors.New("peer: stream broken")
	// ErrBusy means that the peer refused the stream before reading any of it
	// because all its handlers are busy.
	ErrBusy = errors.New("peer: busy")
	// ErrFrameTooLarge means that a frame exceeds its limit.
	ErrFrameTooLarge = errors.New("peer: frame too large")
	// ErrBadFrame means that a frame could not be decoded.
	ErrBadFrame = errors.New("peer: bad frame")
	// ErrRemote means that the peer's handler returned an error; only its text
	// is available.
	ErrRemote = errors.New("peer: remote error")
	// ErrNoHandler means that the peer has no handler for the method.
	ErrNoHandler = errors.New("peer: no handler")
)

// Method identifies the purpose of a call, stream or datagram.
type Method uint8

// Methods. Each subsystem registers handlers for its own.
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

// String returns the method's name, which is used as a metric label.
func (m Method) String() string {
	name, ok := methodNames[m]
	if !ok {
		return "unknown"
	}
	return name
}

// CallHandler answers a control call: it decodes the CBOR payload with Decode
// and returns a value to encode. Each call runs in its own goroutine.
type CallHandler func(ctx context.Context, from fleet.RouterID, payload []byte) (any, error)

// DatagramHandler processes the CBOR payload of a datagram. Datagrams from one
// connection are passed to it in order of arrival. It must not block.
type DatagramHandler func(from fleet.RouterID, payload []byte)

// StreamHandler serves a stream. The stream is closed when the handler returns.
type StreamHandler func(ctx context.Context, from fleet.RouterID, s *Stream)

// Mux holds the handlers of one router. All handlers must be registered before
// Listen or Start is called.
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

// HandleCall registers the handler for control calls of a method.
func (m *Mux) HandleCall(method Method, h CallHandler) {
	m.calls[method] = h
}

// HandleDatagram registers the handler for datagrams of a method.
func (m *Mux) HandleDatagram(method Method, h DatagramHandler) {
	m.datagrams[method] = h
}

// HandleStream registers the handler for streams of a method.
func (m *Mux) HandleStream(method Method, h StreamHandler) {
	m.streams[method] = h
}

// Client sends control messages to other routers. *Endpoint implements it; tests
// use fakes. It is safe for concurrent use.
type Client interface {
	// Call sends req as CBOR and decodes the answer into resp, which may be
	// nil.
	Call(ctx context.Context, addr string, method Method, req, resp any) error
	// Send sends msg as one datagram without blocking; the datagram may be
	// lost. If there is no connection, one is made in the background. Messages
	// over MaxDatagramBytes return ErrFrameTooLarge.
	Send(addr string, method Method, msg any) error
}

// Size limits of messages, in bytes.
const (
	MaxDatagramBytes = 1100
	MaxControlBytes  = 4 << 20
	MaxForwardBytes  = 4 << 20
	MaxChunkBytes    = 1 << 20
)
