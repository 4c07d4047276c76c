// Package entry implements the entry role: it accepts a caller's request,
// selects targets, forwards attempts to their home routers, and delivers one
// complete answer.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/plain"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/router/wire"
	"ragwortpond.example/ragwortpond/settings"
)

// Request is one caller's request after validation and authentication.
type Request struct {
	ID      fleet.RequestID
	Account fleet.AccountName
	Service fleet.ServiceName
	Kind    fleet.TargetKind
	Values  *settings.Values
	// Deadline is zero if the request has none.
	Deadline time.Time

	// Fields of chat requests.
	Chat   fleet.ChatKey
	Prefix fleet.PrefixKey
	// Context is the context token that the caller sent, empty for none.
	Context   string
	Returning bool
	Stream    bool
	// Resume is the resume token of a stream that the caller resumes, starting
	// at event number ResumeFrom; empty for none.
	Resume       string
	ResumeFrom   uint64
	PromptTokens int
	AnswerTokens int

	// Fields of plain calls.
	Method         string
	Path           string
	Header         []plain.Field
	IdempotencyKey string
	Repeatable     bool

	Body []byte
}

// Result describes how a request ended.
type Result struct {
	Outcome outcome.State
	Reason  reason.Code
	// RetryAfter is the delay after which a retry is useful; zero if unknown.
	RetryAfter time.Duration
	// HeadSent is set once the head of the answer was passed to the sink.
	HeadSent bool
	// Target is the target of the last attempt.
	Target   fleet.TargetID
	Attempts int
}

// Complete reports whether the caller received the complete answer.
func (r Result) Complete() bool {
	return r.Outcome == outcome.Answered && r.Reason == reason.None
}

// Forwarder sends an attempt to a home router. Implementations are safe for
// concurrent use.
type Forwarder interface {
	// Forward sends an attempt and passes its answer to sink. An attempt that its
	// home does not accept is given up only once mayGiveUp returns true. mayGiveUp
	// is not called after sink has been used and not after Forward has returned.
	Forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink, mayGiveUp func() bool) wire.End
}

// Notifier notifies a home router that a chat's context is now on another
// target than the one expected there. Notify must not block. Implementations
// are safe for concurrent use.
type Notifier interface {
	Notify(home fleet.Router, note placement.ChatRecord)
}

// Config configures an Entry.
type Config struct {
	Self      fleet.Router
	Snapshot  func() *settings.Snapshot
	Targets   *targets.Tracker
	Forwarder Forwarder
	Notifier  Notifier
	Clock     func() time.Time
	Random    func() uint64
	// Peers returns the use of a limit by other routers; nil means that there
	// are no other routers.
	Peers   func(admission.Scope) admission.PeerUsage
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Entry serves requests. It is safe for concurrent use.
type Entry struct {
	cfg         Config
	retryBudget *retry.Budget
	groups      prefixGroups
	loads       attemptCounts
	limits      *limits
	ring        tokenKeyring
}

// New returns an Entry with the given configuration.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, retryBudget: retry.NewStandaloneBudget(cfg.Clock()), limits: newLimits(cfg.Peers)}
}

// Do serves one request and passes the answer to out. It returns when the
// answer is complete or no further attempt is made. It does not enforce limits;
// see Limit.
func (e *Entry) Do(ctx context.Context, req *Request, out wire.Sink) Result {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	gauge := e.cfg.Metrics.InFlight.WithLabelValues("entry")
	gauge.Inc()
	defer gauge.Dec()
	result := e.run(ctx, req, out)
	e.cfg.Metrics.Requests.WithLabelValues(string(req.Service), string(result.Outcome.Label())).Inc()
	return result
}

// NewAttemptID returns a random attempt ID of 32 hexadecimal digits.
func NewAttemptID() fleet.AttemptID {
	return fleet.AttemptID(randomHex())
}

// NewRequestID returns a random request ID of 32 hexadecimal digits.
func NewRequestID() fleet.RequestID {
	return fleet.RequestID(randomHex())
}

func randomHex() string {
	var raw [16]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
