// Package wire holds the messages between the entry role and the home role.
// They travel as frames of a peer stream, or by direct calls where a router is
// both.
package wire

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
)

// Forward asks the home of Target to dispatch one attempt.
type Forward struct {
	Request fleet.RequestID   `cbor:"1,keyasint"`
	Attempt fleet.AttemptID   `cbor:"2,keyasint"`
	Service fleet.ServiceName `cbor:"3,keyasint"`
	Target  fleet.TargetID    `cbor:"4,keyasint"`
	Kind    fleet.TargetKind  `cbor:"5,keyasint"`
	Account fleet.AccountName `cbor:"6,keyasint"`
	Chat    fleet.ChatKey     `cbor:"7,keyasint,omitempty"`
	Prefix  fleet.PrefixKey   `cbor:"8,keyasint,omitempty"`
	// Spread is the number of targets that the prefix group uses.
	Spread   int `cbor:"24,keyasint,omitempty"`
	Priority int `cbor:"9,keyasint,omitempty"`
	// DeadlineMS is the time left in milliseconds; zero means none.
	DeadlineMS int64 `cbor:"10,keyasint,omitempty"`
	// PromptTokens and AnswerTokens estimate the work.
	PromptTokens int `cbor:"11,keyasint,omitempty"`
	AnswerTokens int `cbor:"12,keyasint,omitempty"`
	// Wait says that the home may queue the attempt; otherwise it refuses at
	// once when the target is at its bound.
	Wait bool `cbor:"13,keyasint,omitempty"`
	// WaitMS is the longest such wait in milliseconds.
	WaitMS int64 `cbor:"17,keyasint,omitempty"`
	// Returning says that the chat has context somewhere.
	Returning bool `cbor:"14,keyasint,omitempty"`
	// Redirected says that the target was chosen from a home's hint, so that
	// its home does not redirect again.
	Redirected bool `cbor:"15,keyasint,omitempty"`
	// ContextOnly says that the home is to take the attempt only if it knows
	// that the target holds the chat's context.
	ContextOnly bool `cbor:"16,keyasint,omitempty"`
	// Weight is the client account's share in fair queueing.
	Weight float64 `cbor:"17,keyasint,omitempty"`

	// Body is the chat request, or the body of a plain call.
	Body   []byte `cbor:"20,keyasint,omitempty"`
	Stream bool   `cbor:"21,keyasint,omitempty"`
	// Resume asks for the stream of attempt Attempt from event ResumeFrom on.
	Resume     bool   `cbor:"22,keyasint,omitempty"`
	ResumeFrom uint64 `cbor:"23,keyasint,omitempty"`

	Method         string        `cbor:"30,keyasint,omitempty"`
	Path           string        `cbor:"31,keyasint,omitempty"`
	Header         []plain.Field `cbor:"32,keyasint,omitempty"`
	IdempotencyKey string        `cbor:"33,keyasint,omitempty"`
}

// Hint is what a home tells of its target with a refusal or an answer.
type Hint struct {
	// Target is where the chat's context is, when that is elsewhere.
	Target fleet.TargetID `cbor:"1,keyasint,omitempty"`
	// Load and Bound are in units of work; a target is full at Load >= Bound.
	Load  float64 `cbor:"2,keyasint,omitempty"`
	Bound float64 `cbor:"3,keyasint,omitempty"`
	// RetryAfterMS says when a repeat is useful, in milliseconds.
	RetryAfterMS int64 `cbor:"4,keyasint,omitempty"`
}

// Head is the head of a target's answer. Exactly one Head comes before the
// first event; a refused attempt has none.
type Head struct {
	Status int           `cbor:"1,keyasint"`
	Header []plain.Field `cbor:"2,keyasint,omitempty"`
	// CachedTokens is how many prompt tokens the engine found in its cache; -1
	// where it does not say.
	CachedTokens int `cbor:"3,keyasint"`
}

// End ends an attempt.
type End struct {
	Outcome outcome.State `cbor:"1,keyasint"`
	// Reason says why the attempt did not end with a whole answer.
	Reason reason.Code `cbor:"2,keyasint,omitempty"`
	Hint   Hint        `cbor:"3,keyasint,omitempty"`
}

// Whole reports whether the target's whole answer was delivered.
func (e End) Whole() bool {
	return e.Outcome == outcome.Answered && e.Reason == reason.None
}

// Refused returns the end of an attempt that was not dispatched.
func Refused(code reason.Code, hint Hint) End {
	return End{Outcome: outcome.NotDispatched, Reason: code, Hint: hint}
}

// Sink takes an answer as it comes. Its methods are called from one goroutine;
// an error ends the attempt. Data is valid during the call only.
type Sink interface {
	Head(h Head) error
	// Event takes one event of a stream, or the whole body of an answer that
	// is not streamed, numbered from zero.
	Event(seq uint64, data []byte) error
	// Flush says that no more is at hand for the moment.
	Flush() error
}

// ChatNotes tells a home where chats have their context; it goes as a datagram
// or, in a hand-over, as a call.
type ChatNotes struct {
	Notes []placement.ChatNote `cbor:"1,keyasint"`
}
