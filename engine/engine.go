// Package engine is the client of model engines: chat streams with resume and
// cancel, load reports, cache events, KV export and import, and orders.
package engine

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Errors of an engine call. Callers test them with errors.Is.
var (
	// ErrRefused means that the engine refused the request before running it.
	ErrRefused = errors.New("engine: refused")
	// ErrLeaving means that the engine refused because it is leaving.
	ErrLeaving = errors.New("engine: leaving")
	// ErrNotSent means that no byte of the request left for the engine.
	ErrNotSent = errors.New("engine: not sent")
	// ErrBroken means that the connection broke after the request was sent.
	ErrBroken = errors.New("engine: connection broken")
	// ErrMismatch means that the answer carries another attempt's id.
	ErrMismatch = errors.New("engine: answer of another attempt")
	// ErrTruncated means that the answer ended before its end marker.
	ErrTruncated = errors.New("engine: truncated")
	// ErrNoStream means that the engine does not hold the stream to resume.
	ErrNoStream = errors.New("engine: no such stream")
	// ErrOldFence means that the engine refused an order with an old fencing
	// number.
	ErrOldFence = errors.New("engine: old fencing number")
)

// Request is one chat request to an engine.
type Request struct {
	Attempt fleet.AttemptID
	Chat    fleet.ChatKey
	// Priority orders the engine's queue; higher goes first.
	Priority int
	// Body is the OpenAI chat completion request as JSON.
	Body []byte
	// Stream says whether the body asks for server-sent events.
	Stream bool
}

// Event is one server-sent event of an answer, or the whole body of an answer
// that is not streamed.
type Event struct {
	// Seq numbers the events of a stream from zero.
	Seq uint64
	// Data is the event's data without framing; it is valid until the next
	// call of Next.
	Data []byte
	// Done marks the end marker; Data is then empty.
	Done bool
}

// Answer is an answer under way. It is used by one goroutine; Close may be
// called at any time and cancels what is not yet read.
type Answer interface {
	// Status is the HTTP status of the answer's head.
	Status() int
	// CachedTokens is how many prompt tokens the engine found in its cache,
	// and -1 where it does not say.
	CachedTokens() int
	// Next returns the next event: ErrBroken or ErrTruncated when the answer
	// ends before its end marker.
	Next() (Event, error)
	Close() error
}

// Load is an engine's report of its own load; it lags.
type Load struct {
	Running       int       `json:"running"`
	Waiting       int       `json:"waiting"`
	PendingTokens int       `json:"pending_tokens"`
	CachedTokens  int       `json:"cached_tokens"`
	At            time.Time `json:"at"`
}

// CacheEvent tells that a chat's context was stored or evicted.
type CacheEvent struct {
	Seq    uint64        `json:"seq"`
	Chat   fleet.ChatKey `json:"chat"`
	Stored bool          `json:"stored"`
	Tokens int           `json:"tokens"`
}

// OrderKind names what an order asks of an engine.
type OrderKind string

// The kinds of order.
const (
	LoadModel   OrderKind = "load-model"
	LoadAdapter OrderKind = "load-adapter"
	LoadVersion OrderKind = "load-version"
	ChangeRole  OrderKind = "change-role"
)

// Order asks an engine to change what it serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Value is the model, adapter, version or role.
	Value string `json:"value"`
	// Fence is the fencing number, a version of the platform's.
	Fence uint64 `json:"fence"`
}

// State is what an engine serves now.
type State struct {
	Model   string `json:"model"`
	Adapter string `json:"adapter"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fence   uint64 `json:"fence"`
	Leaving bool   `json:"leaving"`
}

// Client speaks to engines by address. Implementations are safe for concurrent
// use. Errors wrap those of the package.
type Client interface {
	// Chat sends a request and returns once the answer's head has arrived.
	Chat(ctx context.Context, addr string, req Request) (Answer, error)
	// Resume goes on with an attempt's stream at event number from.
	Resume(ctx context.Context, addr string, attempt fleet.AttemptID, from uint64) (Answer, error)
	// Cancel ends an attempt.
	Cancel(ctx context.Context, addr string, attempt fleet.AttemptID) error
	Load(ctx context.Context, addr string) (Load, error)
	// CacheEvents returns events after sequence number from; a gap shows as a
	// jump in the numbers.
	CacheEvents(ctx context.Context, addr string, from uint64) ([]CacheEvent, error)
	// Export returns the KV cache of a chat: the engine's own format.
	Export(ctx context.Context, addr string, chat fleet.ChatKey) ([]byte, error)
	Import(ctx context.Context, addr string, chat fleet.ChatKey, kv []byte) error
	Order(ctx context.Context, addr string, o Order) error
	State(ctx context.Context, addr string) (State, error)
}
