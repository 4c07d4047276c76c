// Package soak runs the router as separate processes before stand-ins of the
// platform, injects faults from outside them, and checks the promises of the
// system by what clients and targets see.
package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
)

// Kind is a kind of request.
type Kind struct {
	Name string
	// Path is the prefix of its route.
	Path string
	// Once says that a request may run once at most.
	Once bool
	// Stream says that its answers are streams, Resumable that another target can
	// go on with them.
	Stream, Resumable bool
	// MaxRuns is the number of targets at which one request may run.
	MaxRuns int
}

// Request is one request as its client saw it.
type Request struct {
	ID      string
	Kind    Kind
	Account string
	Router  string
	Sent    time.Time
	Ended   time.Time
	// After is the last event that the client had of a stream before.
	After int
	// Status is zero where no head of an answer came.
	Status int
	// Seal is the target's signature.
	Seal string
	Body string
	// Err says why the answer is not whole; empty if it is.
	Err string
}

// Run is one run as the target saw it.
type Run struct {
	Target  string
	ID      string
	Account string
	// Credential is what reached the target of the client's key.
	Credential string
	At         time.Time
}

// Arrival is one request that reached a target of a service.
type Arrival struct {
	Service string
	ID      string
	At      time.Time
}

// Span is a time in which something was wrong.
type Span struct {
	Kind     string
	From, To time.Time
}

// Mark is a change that must be in force some time later.
type Mark struct {
	At time.Time
	// Target was said to be leaving, or Account lost its keys.
	Target, Account string
}

// History is all that was seen.
type History struct {
	Requests []Request
	Runs     []Run
	Faults   []Span
	Marks    []Mark
	// Arrivals are all requests that reached a target, rejected ones included, and
	// Repeats the terms for those beyond the first of each request.
	Arrivals []Arrival
	Repeats  settings.Repeats
	// Events is the number of events of each stream.
	Events int
	// PlainBody and Event give what targets answer.
	PlainBody func(target string) string
	Event     func(i int) string
}

// Violation is a promise that was broken.
type Violation struct {
	Promise string `json:"promise"`
	Request string `json:"request,omitempty"`
	Text    string `json:"text"`
}

// Times of the promises.
const (
	// inForce is how long a change in the store may take to be in force.
	inForce = 2 * time.Second
	// touch is how long a router must have been undisturbed for a bound in time to
	// hold, slack what a busy machine adds.
	touch = 4 * time.Second
	slack = time.Second
)

// Check returns the promises that a history breaks. It knows nothing of the
// routers.
func Check(h *History) []Violation {
	c := &checker{h: h, runs: map[string][]Run{}}
	for _, r := range h.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for i := range h.Requests {
		c.request(&h.Requests[i])
	}
	c.foreign()
	c.repeats()
	for _, m := range h.Marks {
		c.mark(m)
	}
	return c.found
}

type checker struct {
	h     *History
	runs  map[string][]Run
	found []Violation
}

func (c *checker) add(promise, request, format string, args ...any) {
	c.found = append(c.found, Violation{promise, request, fmt.Sprintf(format, args...)})
}

func (c *checker) request(r *Request) {
	runs := c.runs[r.ID]
	if r.Kind.Once && len(runs) > 1 {
		c.add("at most once", r.ID, "%s ran %d times", r.Kind.Name, len(runs))
	}
	if len(runs) > r.Kind.MaxRuns {
		c.add("most targets", r.ID, "%s ran at %d targets", r.Kind.Name, len(runs))
	}
	if promisesNotRun(r.Status) && r.Kind.Once && len(runs) > 0 {
		c.add("refusals are true", r.ID, "answered %d and ran at %s", r.Status, runs[0].Target)
	}
	for _, run := range runs {
		if run.Account != r.Account || run.Credential != "" {
			c.add("client account", r.ID, "%s ran it for %q with credential %q, it is of %q", run.Target, run.Account, run.Credential, r.Account)
		}
	}
	if r.Status == http.StatusOK && r.Err == "" {
		c.whole(r, runs)
	}
	if r.Status != http.StatusOK && c.calm(r.Sent.Add(-touch), r.Ended) && !c.revoked(r) {
		c.add("calm", r.ID, "%s got %d %s with nothing wrong", r.Kind.Name, r.Status, r.Err)
	}
}

// whole checks an answer that looks complete.
func (c *checker) whole(r *Request, runs []Run) {
	signer := ""
	for _, run := range runs {
		if standin.Signer(r.Seal) == run.Target {
			signer = run.Target
		}
	}
	if signer == "" {
		c.add("own answers", r.ID, "the seal %q is of no target that ran it", r.Seal)
		return
	}
	want := c.h.PlainBody(signer)
	if r.Kind.Stream {
		want = ""
		for i := r.After + 1; i <= c.h.Events; i++ {
			want += c.h.Event(i)
		}
	}
	if r.Body != want {
		c.add("whole answers", r.ID, "got %q, want %q", r.Body, want)
	}
}

func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// foreign finds runs that no client asked for.
func (c *checker) foreign() {
	sent := map[string]bool{}
	for i := range c.h.Requests {
		sent[c.h.Requests[i].ID] = true
	}
	for id, runs := range c.runs {
		if !sent[id] {
			c.add("asked for", id, "%s ran what no client sent", runs[0].Target)
		}
	}
}

// repeats checks that no service gets more arrivals beyond the first of each
// request than the terms allow in a window.
func (c *checker) repeats() {
	if c.h.Repeats.WindowS == 0 {
		return
	}
	slices.SortFunc(c.h.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	known := map[string]bool{}
	first, again := map[string][]time.Time{}, map[string][]time.Time{}
	for _, a := range c.h.Arrivals {
		list := first
		if known[a.ID] {
			list = again
		}
		known[a.ID] = true
		list[a.Service] = append(list[a.Service], a.At)
	}
	window := c.h.Repeats.Window()
	for service, times := range again {
		for i, to := range times {
			n := i + 1 - before(times, to.Add(-window))
			asked := func(to time.Time) int { return before(first[service], to) - before(first[service], to.Add(-window)) }
			most := max(asked(to), asked(to.Add(-window/2)), asked(to.Add(-window)))
			if allowed := c.h.Repeats.Ratio*float64(most) + c.h.Repeats.Extra; float64(n) > allowed {
				c.add("repeats", "", "%d at %s in %v for %d requests", n, service, window, most)
				break
			}
		}
	}
}

// before is the number of times, in order, that lie before a moment.
func before(times []time.Time, moment time.Time) int {
	n, _ := slices.BinarySearchFunc(times, moment, time.Time.Compare)
	return n
}

// mark checks that a change is in force in time.
func (c *checker) mark(m Mark) {
	for _, run := range c.h.Runs {
		late := run.At.Sub(m.At) > inForce+slack
		concerns := (m.Target != "" && run.Target == m.Target) || (m.Account != "" && run.Account == m.Account)
		if late && concerns && c.calm(m.At.Add(-touch), run.At) {
			c.add("in force", run.ID, "ran at %s for %s %v after the change", run.Target, run.Account, run.At.Sub(m.At))
		}
	}
}

// calm reports whether nothing was wrong in a span of time.
func (c *checker) calm(from, to time.Time) bool {
	for _, f := range c.h.Faults {
		if f.From.Before(to) && f.To.Add(touch).After(from) {
			return false
		}
	}
	return true
}

// revoked reports whether a request's account had lost its keys, or was about to.
func (c *checker) revoked(r *Request) bool {
	for _, m := range c.h.Marks {
		if m.Account == r.Account && m.At.Before(r.Ended) {
			return true
		}
	}
	return false
}
