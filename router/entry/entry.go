// Package entry is the entry role: it takes a caller's request, chooses
// targets, forwards attempts to their homes and passes on one whole answer.
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

// Request is one caller's request, checked and with its account known.
type Request struct {
	ID      fleet.RequestID
	Account fleet.AccountName
	Service fleet.ServiceName
	Kind    fleet.TargetKind
	Values  *settings.Values
	// Deadline is zero where there is none.
	Deadline time.Time

	// Chat requests.
	Chat      fleet.ChatKey
	Prefix    fleet.PrefixKey
	Context   string
	Returning bool
	Stream    bool
	// Resume is the token of a stream that the caller goes on with, from event
	// number ResumeFrom on.
	Resume       string
	ResumeFrom   uint64
	PromptTokens int
	AnswerTokens int

	// Plain calls.
	Method         string
	Path           string
	Header         []plain.Field
	IdempotencyKey string
	Repeatable     bool

	Body []byte
}

// Result says how a request ended.
type Result struct {
	Outcome outcome.State
	Reason  reason.Code
	// RetryAfter is when a repeat is useful; zero where it is not known.
	RetryAfter time.Duration
	// Started says that the answer's head reached the sink.
	Started bool
	// Target served the last attempt.
	Target   fleet.TargetID
	Attempts int
}

// Whole reports whether the caller has its whole answer.
func (r Result) Whole() bool {
	return r.Outcome == outcome.Answered && r.Reason == reason.None
}

// Forwarder carries an attempt to a home router. It is safe for concurrent use.
type Forwarder interface {
	Forward(ctx context.Context, to fleet.Router, fwd *wire.Forward, sink wire.Sink) wire.End
}

// Notifier tells a home where a chat went instead of to its target. It must not
// block and is safe for concurrent use.
type Notifier interface {
	Notify(home fleet.Router, note placement.ChatNote)
}

// Config is what an entry needs.
type Config struct {
	Self      fleet.Router
	Snapshot  func() *settings.Snapshot
	Targets   *targets.Tracker
	Forwarder Forwarder
	Notifier  Notifier
	Clock     func() time.Time
	Random    func() uint64
	// Peers tells what other routers use of a limit; nil means that there are
	// none.
	Peers   func(admission.Scope) admission.Peers
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Entry serves requests. It is safe for concurrent use.
type Entry struct {
	cfg       Config
	allowance *retry.Allowance
	groups    groups
	loads     loads
	limits    *limits
	ring      tokenRing
}

// New returns an entry.
func New(cfg Config) *Entry {
	return &Entry{cfg: cfg, allowance: retry.NewReserve(cfg.Clock()), limits: newLimits(cfg.Peers)}
}

// Do serves one request and passes the answer to out. It returns when the
// answer is whole or no further attempt is made. Limits are not its matter: see
// Limit.
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
	e.cfg.Metrics.Requests.WithLabelValues(string(req.Service), string(result.Outcome.Word())).Inc()
	return result
}

// NewAttemptID returns a random attempt id.
func NewAttemptID() fleet.AttemptID {
	return fleet.AttemptID(randomHex())
}

// NewRequestID returns a random request id.
func NewRequestID() fleet.RequestID {
	return fleet.RequestID(randomHex())
}

func randomHex() string {
	var raw [16]byte
	rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}
