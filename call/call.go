// Package call defines client requests, attempts and replies of targets in a form
// that is independent of the wire format.
package call

import (
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Part is one part of a prompt. Prompts with the same leading parts share them in a
// target's cache.
type Part struct {
	// ID is a hash of the part's name.
	ID uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}

// SharedParts returns the parts of a prompt that other requests may share: all but the
// last one.
func SharedParts(prompt []Part) []Part {
	return prompt[:max(len(prompt)-1, 0)]
}

// Call is one request of a client.
type Call struct {
	// ID is the client's ID of the request; targets return it with the answer.
	ID fleet.RequestID
	// Method, URI and Host are the values of the request line and the Host header,
	// unchanged; Path is the path of the URI.
	Method, URI, Host, Path string
	// Key authenticates a client account; empty if the request has none.
	Key string
	// ClientTimeout is the client's timeout; zero if the client gave none.
	ClientTimeout time.Duration
	// Header holds the header fields that are forwarded to the target, in addition
	// to those that the router sets.
	Header http.Header
	Body   []byte
	// Prompt holds the parts of the prompt in order; the last one belongs to this
	// request alone.
	Prompt []Part
	// AnswerTokens limits the length of a streamed answer in tokens; zero if the
	// client gave no limit.
	AnswerTokens int
	// TakesUp is set if the client takes a stream up, of which it has the events up to
	// LastEventID.
	TakesUp     bool
	LastEventID uint64
	// Resumes is the ID of the request that brought the first event of the stream that the
	// client resumes; empty if it names none.
	Resumes fleet.RequestID
}

// Attempt holds what the router sends to a target in addition to the client's
// request.
type Attempt struct {
	Target *catalog.Target
	// Account is empty on public routes.
	Account fleet.AccountName
	// Timeout is the remaining time until the deadline of the request.
	Timeout time.Duration
	// Priority is the priority of the request: smaller numbers are more urgent, and 0
	// is the most urgent.
	Priority int
	// Model means that the request is for a model engine.
	Model bool
	// Continues is set if the target is to continue a stream after LastEventID.
	Continues   bool
	LastEventID uint64
	// CacheAddr is host:port of another target that probably has the prompt in its
	// cache; empty if there is none.
	CacheAddr string
}

// Load is the load that a target reports: its running and waiting requests and its
// slots.
type Load struct {
	Running, Waiting, Slots int
	// Pace is how long work takes at the target at present, as a multiple of the usual time; 0 if
	// the target does not tell.
	Pace float64
}

// Reply holds the status and header values of a target's answer.
type Reply struct {
	Status int
	// ID is the request that the answer belongs to; empty if the answer has none.
	ID fleet.RequestID
	// Signed reports whether the answer carries a signature, which is not verified
	// here.
	Signed bool
	// NotRun means that the target did not run the request and never will.
	NotRun bool
	// Target is the target that names itself in the answer; empty if none does. Only answers
	// at the health path and those that misdirected a request have it.
	Target fleet.TargetID
	// Leaving means that the target is about to stop and wants no more requests.
	Leaving bool
	// RetryAfter is the time for which the target wants no requests from this router; zero if
	// it does not say so.
	RetryAfter time.Duration
	// Load is nil if the target does not report its load. LoadInvalid means that it reports one
	// that cannot be read.
	Load        *Load
	LoadInvalid bool
	Limit       Limit
	// Brittle names the rejections per second beyond which the target falls over.
	Brittle Limit
	// Cold is how much longer the target stays cold; nil if it does not say so.
	Cold *time.Duration
}

// Limit is what a target's answer says of the requests that the target takes, or of the
// rejections that it bears.
type Limit struct {
	State LimitState
	// PerSecond is the limit per second, for all routers together.
	PerSecond float64
}

// LimitState tells whether an answer names a limit.
type LimitState uint8

// States of a limit. The value of one that is unclear could not be read.
const (
	LimitNone LimitState = iota
	LimitNamed
	LimitUnclear
)

// Success reports whether the status is 2xx.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300
}

// StatusMeansNotRun reports whether a status guarantees to the client that its request
// was not run.
func StatusMeansNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
