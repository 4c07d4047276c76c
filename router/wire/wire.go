// Package wire defines the messages between the entry role and the home role.
// They are sent as frames of a peer stream, or passed by direct calls if one
// router has both roles for an attempt.
package wire

import (
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
)

// Forward requests that the home of Target dispatches one attempt.
type Forward struct {
	Request fleet.RequestID   `cbor:"1,keyasint"`
	Attempt fleet.AttemptID   `cbor:"2,keyasint"`
	Service fleet.ServiceName `cbor:"3,keyasint"`
	Target  fleet.TargetID    `cbor:"4,keyasint"`
	Kind    fleet.TargetKind  `cbor:"5,keyasint"`
	Account fleet.AccountName `cbor:"6,keyasint"`
	Chat    fleet.ChatKey     `cbor:"7,keyasint,omitempty"`
	Prefix  fleet.PrefixKey   `cbor:"8,keyasint,omitempty"`
	// Spread is the number of targets used by the prefix group.
	Spread   int `cbor:"24,keyasint,omitempty"`
	Priority int `cbor:"9,keyasint,omitempty"`
	// DeadlineMS is the remaining time in milliseconds; zero means no deadline.
	DeadlineMS int64 `cbor:"10,keyasint,omitempty"`
	// PromptTokens and AnswerTokens are the estimated work.
	PromptTokens int `cbor:"11,keyasint,omitempty"`
	AnswerTokens int `cbor:"12,keyasint,omitempty"`
	// Wait allows the home to queue the attempt. Otherwise the home refuses it
	// immediately if the target is at its load bound.
	Wait bool `cbor:"13,keyasint,omitempty"`
	// WaitMS is the maximum time in the queue in milliseconds; zero means the
	// limit of the settings.
	WaitMS int64 `cbor:"17,keyasint,omitempty"`
	// Returning is set if the chat has had an answer before, so that a target
	// may hold its context.
	Returning bool `cbor:"14,keyasint,omitempty"`
	// Redirected is set if the target was chosen by a home's hint or a context
	// token, or if the chat's recorded context is not available. The home then
	// does not redirect the attempt.
	Redirected bool `cbor:"15,keyasint,omitempty"`
	// ContextOnly asks the home to accept the attempt only if it has a record
	// that the target holds the chat's context.
	ContextOnly bool `cbor:"16,keyasint,omitempty"`
	// Weight is the client account's share in fair queueing.
	Weight float64 `cbor:"18,keyasint,omitempty"`

	// Body is the chat request, or the body of a plain call.
	Body   []byte `cbor:"20,keyasint,omitempty"`
	Stream bool   `cbor:"21,keyasint,omitempty"`
	// Resume requests the stream of attempt Attempt, starting at event number
	// ResumeFrom.
	Resume     bool   `cbor:"22,keyasint,omitempty"`
	ResumeFrom uint64 `cbor:"23,keyasint,omitempty"`

	Method         string        `cbor:"30,keyasint,omitempty"`
	Path           string        `cbor:"31,keyasint,omitempty"`
	Header         []plain.Field `cbor:"32,keyasint,omitempty"`
	IdempotencyKey string        `cbor:"33,keyasint,omitempty"`
}

// Hint is information about a home's target, sent with a refusal or an answer.
type Hint struct {
	// Target is the target that holds the chat's context, if it is another one.
	Target fleet.TargetID `cbor:"1,keyasint,omitempty"`
	// Load and Bound are in requests. A target is full when Load >= Bound.
	Load  float64 `cbor:"2,keyasint,omitempty"`
	Bound float64 `cbor:"3,keyasint,omitempty"`
	// RetryAfterMS is the delay in milliseconds after which a retry is useful.
	RetryAfterMS int64 `cbor:"4,keyasint,omitempty"`
}

// Head is the head of a target's answer. Exactly one Head precedes the first
// event; a refused attempt has none.
type Head struct {
	Status int           `cbor:"1,keyasint"`
	Header []plain.Field `cbor:"2,keyasint,omitempty"`
	// CachedTokens is the number of prompt tokens that the engine found in its
	// cache; -1 if the engine does not report it.
	CachedTokens int `cbor:"3,keyasint"`
}

// End describes how an attempt ended.
type End struct {
	Outcome outcome.State `cbor:"1,keyasint"`
	// Reason is why the attempt did not end with a complete answer.
	Reason reason.Code `cbor:"2,keyasint,omitempty"`
	Hint   Hint        `cbor:"3,keyasint,omitempty"`
}

// Complete reports whether the target's complete answer was delivered.
func (e End) Complete() bool {
	return e.Outcome == outcome.Answered && e.Reason == reason.None
}

// Refused returns the end of an attempt that was not dispatched.
func Refused(code reason.Code, hint Hint) End {
	return End{Outcome: outcome.NotDispatched, Reason: code, Hint: hint}
}

// Sink receives an answer piece by piece. Its methods are called from one
// goroutine, and an error ends the attempt. Data is valid only during the call.
type Sink interface {
	Head(h Head) error
	// Event receives one event of a stream, numbered from zero, or the complete
	// body of an answer that is not streamed, with number zero.
	Event(seq uint64, data []byte) error
	// Flush is called when no further data is available at the moment.
	Flush() error
}

// ChatNotes carries the targets that hold the contexts of chats to a home
// router. It is sent as a datagram, or as a call during a handover.
type ChatNotes struct {
	Notes []placement.ChatRecord `cbor:"1,keyasint"`
}
