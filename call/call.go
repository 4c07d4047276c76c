// Package call holds a client's request as the router works on it, and what a
// target says in reply, whatever the dialect on the wire.
package call

import (
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/fleet"
)

// Part is one part of a prompt; prompts that begin with the same parts share
// them in a target's cache.
type Part struct {
	// ID is a hash of the part's name.
	ID uint64
	// Tokens is the part's length.
	Tokens int
}

// Call is one request of a client.
type Call struct {
	// ID is the client's name for the request; targets echo it.
	ID fleet.RequestID
	// Method, URI and Host are those of the request line and the host field,
	// unchanged; Path is the URI's path.
	Method, URI, Host, Path string
	// Key authenticates a client account; empty where there is none.
	Key string
	// Patience is how long the client waits; zero means that it did not say.
	Patience time.Duration
	// Header is what is passed on to the target besides the fields that the
	// router sets.
	Header http.Header
	Body   []byte
	// Prompt is the parts of the prompt in order, the request's own part last.
	Prompt []Part
	// AnswerTokens bounds the answer of a stream; zero if the client did not say.
	AnswerTokens int
	// After is the last event that the client has of a stream; zero if none.
	After uint64
}

// Attempt is what the router tells a target beside the client's request.
type Attempt struct {
	Target *catalog.Target
	// Account is empty on public routes.
	Account fleet.AccountName
	// Left is the time that the target may take.
	Left time.Duration
	// Rank is the request's priority, 0 first.
	Rank int
	// Model says whether the request is for a model engine.
	Model bool
	// After is the last event that the client has of the stream; zero if none.
	After uint64
	// CacheAddr is host:port of another target that probably holds the cache of
	// the prompt; empty if there is none.
	CacheAddr string
}

// Load is a target's own count of its work.
type Load struct {
	Running, Waiting, Slots int
}

// Reply is what the head of a target's answer says.
type Reply struct {
	Status int
	// ID is the request that the answer belongs to; empty where it does not say.
	ID fleet.RequestID
	// Signed says that the answer carries the target's signature.
	Signed bool
	// NotRun says that the target did not run the request and never will.
	NotRun bool
	// Load is nil where the target does not tell.
	Load *Load
}

// Success reports whether the status is one of success.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300
}

// PromisesNotRun reports whether the status tells a client that its request has
// not run.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
