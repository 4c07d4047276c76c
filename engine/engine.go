// Package engine implements a client for model engines: chat streams that can
// be resumed and cancelled, load reports, cache events, KV cache export and
// import, and orders.
package engine

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of an engine call. Callers test them with errors.Is.
var (
	// ErrRefused means that the engine refused the request before running it, or
	// responded to a control call with an unexpected status.
	ErrRefused = errors.New("engine: refused")
	// ErrLeaving means that the engine refused because it is leaving.
	ErrLeaving = errors.New("engine: leaving")
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.New("engine: not sent")
	// ErrBroken means that the exchange failed after the client began to send the
	// request: the connection failed, the context ended, or the response was too
	// large or its events out of sequence.
	ErrBroken = errors.New("engine: connection broken")
	// ErrMismatch means that the response carries the ID of another attempt.
	ErrMismatch = errors.New("engine: response to another attempt")
	// ErrTruncated means that the response ended before its end marker, or that a
	// body or event is not valid JSON.
	ErrTruncated = errors.New("engine: truncated response")
	// ErrNoStream means that the engine does not hold the requested stream. It is
	// returned for status 404 of every call, such as Export of a chat that is not
	// in the engine's KV cache.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrStaleFence means that the engine refused an order because it has an older
	// fencing number than the engine's last order.
	ErrStaleFence = errors.New("engine: old fencing number")
)

// Request is one chat request to an engine.
type Request struct {
	Attempt fleet.AttemptID
	Chat    fleet.ChatKey
	// Priority is the priority in the engine's queue; higher values go first.
	Priority int
	// Body is the OpenAI chat completion request as JSON.
	Body []byte
	// Stream is set if the body requests server-sent events.
	Stream bool
}

// Event is one server-sent event of a response, or the complete body of a
// response that is not streamed.
type Event struct {
	// Seq is the event's sequence number in the stream, starting at zero.
	Seq uint64
	// Data is the event's data without framing; it is valid until the next
	// call of Next.
	Data []byte
	// Done is set if the event is the end marker; Data is then empty.
	Done bool
}

// Response is a response whose events are still being read. It must be used by one
// goroutine only, except for Close, which may be called at any time.
type Response interface {
	// Status returns the HTTP status of the response.
	Status() int
	// CachedTokens returns the number of prompt tokens that the engine found in
	// its cache, or -1 if the engine does not report it.
	CachedTokens() int
	// Next returns the next event. It returns io.EOF after the end marker, and
	// ErrBroken or ErrTruncated if the response ends before its end marker.
	Next() (Event, error)
	// Close closes the connection and cancels the rest of the response.
	Close() error
}

// Load is an engine's report of its own load. It lags behind the actual load.
type Load struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	PendingTokens int       `json:"pending_tokens"`
	CachedTokens  int       `json:"cached_tokens"`
	At            time.Time `json:"at"`
}

// CacheEvent reports that an engine stored or evicted a chat's context in its KV
// cache.
type CacheEvent struct {
	// Seq is the event's sequence number at the engine.
	Seq  uint64        `json:"seq"`
	Chat fleet.ChatKey `json:"chat"`
	// Stored is false if the context was evicted.
	Stored bool `json:"stored"`
	Tokens int  `json:"tokens"`
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load-model"
	LoadAdapter OrderKind = "load-adapter"
	LoadVersion OrderKind = "load-version"
	ChangeRole  OrderKind = "change-role"
)

// Order requests an engine to change what it serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// Fence is the order's fencing number, which is the version of an object of
	// the platform.
	Fence uint64 `json:"fence"`
}

// State is what an engine currently serves.
type State struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// Fence is the highest fencing number among the engine's orders.
	Fence uint64 `json:"fence"`
	// Leaving is set if the engine refuses new requests because it is leaving.
	Leaving bool `json:"leaving"`
}

// Client calls engines by their address, host:port. Implementations must be
// safe for concurrent use. Errors wrap those of the package.
type Client interface {
	// Chat sends a request and returns once the header of the response has
	// arrived.
	Chat(ctx context.Context, addr string, req Request) (Response, error)
	// Resume continues the stream of an attempt at event number from.
	Resume(ctx context.Context, addr string, attempt fleet.AttemptID, from uint64) (Response, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, addr string, attempt fleet.AttemptID) error
	// Load returns the engine's load report.
	Load(ctx context.Context, addr string) (Load, error)
	// CacheEvents returns the events after sequence number from. If events were
	// lost, the sequence numbers have a gap.
	CacheEvents(ctx context.Context, addr string, from uint64) ([]CacheEvent, error)
	// Export returns the KV cache of a chat in the engine's own format.
	Export(ctx context.Context, addr string, chat fleet.ChatKey) ([]byte, error)
	// Import stores the KV cache of a chat that Export returned.
	Import(ctx context.Context, addr string, chat fleet.ChatKey, kv []byte) error
	// Order sends an order.
	Order(ctx context.Context, addr string, o Order) error
	// State returns what the engine currently serves.
	State(ctx context.Context, addr string) (State, error)
}
