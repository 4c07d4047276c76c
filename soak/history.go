// Package soak runs routers as separate processes against stand-ins of the
// platform, injects faults from outside, and checks the guarantees of the system
// against what clients and targets observe.
package soak

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
	"ragwortpond.example/ragwortpond/settings"
)

// Kind describes a kind of request and the guarantees of its route.
type Kind struct {
	Name string
	// Path is the prefix of its route.
	Path string
	// Once means that a request may run at most once.
	Once bool
	// Stream means that answers are streams, Resumable that another target can
	// continue a stream.
	Stream, Resumable bool
	// MaxRuns is the maximum number of targets that may run one request.
	MaxRuns int
}

// Request is one request as observed by its client.
type Request struct {
	ID      string
	Kind    Kind
	Account string
	Router  string
	Sent    time.Time
	Ended   time.Time
	// After is the number of the last event that the client received before,
	// sent to resume a stream; zero if none.
	After int
	// Resumes is the ID of the request that began the stream that this one resumes; empty if
	// it begins one.
	Resumes string
	// Crashing is set if the request, or a part of its prompt, crashes targets.
	Crashing bool
	// Limited is set if the answer names a limit of its target.
	Limited bool
	// Leaving is set if the answer says that its target leaves.
	Leaving bool
	// Status is the HTTP status; zero if no response headers arrived.
	Status int
	// RetryAfter is the time after which a refused request may come back; zero if the answer
	// names none.
	RetryAfter time.Duration
	// Seal is the target's signature of the answer.
	Seal string
	Body string
	// Err says why the answer is incomplete; empty if it is complete.
	Err string
}

// Run is one execution of a request as observed by its target.
type Run struct {
	Target  string
	ID      string
	Account string
	// Credential is the part of the client's key that reached the target; it
	// must be empty.
	Credential string
	At         time.Time
	// Version is the software version of the target.
	Version string
}

// Arrival is one request that reached a target of a service, also if the target
// rejected it.
type Arrival struct {
	Service string
	Target  string
	// Domain is the target's failure domain.
	Domain string
	ID     string
	At     time.Time
	// Quiet is the time for which the target asked the router for no requests as it
	// rejected this one; zero if it did not.
	Quiet time.Duration
}

// FaultInterval is an interval in which a fault was present.
type FaultInterval struct {
	Kind     string
	From, To time.Time
	// Router is the router whose process was killed, paused or away; empty for others.
	Router string
}

// Crash is the crash of a target of a service on a request.
type Crash struct {
	Service string
	At      time.Time
}

// Limit is a rate limit that a target named for a time.
type Limit struct {
	Target    string
	PerSecond int
	From, To  time.Time
}

// Change is a change in the store that routers must apply within maxApplyDelay.
type Change struct {
	At time.Time
	// Target is the target that was marked as draining, or Account the client
	// account whose keys were removed.
	Target, Account string
}

// History holds everything that was observed in a soak.
type History struct {
	Requests []Request
	Runs     []Run
	Faults   []FaultInterval
	Changes  []Change
	// Arrivals are all requests that reached a target, including rejected ones.
	// Repeats limits the arrivals beyond the first of each request.
	Arrivals []Arrival
	Repeats  settings.RetryBudget
	// Crashes are the crashes of targets on a prompt part or a request.
	Crashes []Crash
	// CrashesToQuarantine is the number of crashes of each service from which on what
	// crashes its targets must be quarantined.
	CrashesToQuarantine map[string]int
	Limits              []Limit
	Evacuations         []Evacuation
	// Stops are the planned stops of stopRouters.
	Stops []Stop
	// Skewed counts the streams of services whose versions changed while routers were out of step.
	Skewed SkewedStreams
	// Colds are the times in which targets were cold.
	Colds []ColdTime
	// SeveralVersions is set if targets of several software versions serve side by side, so
	// that the version of a stream to resume may not be known.
	SeveralVersions bool
	// Events is the number of events of each stream.
	Events int
	// PlainBody and Event return the expected answers of targets: the body from a
	// target of a plain service, and event number i of a stream.
	PlainBody func(target string) string
	Event     func(i int) string
}

// Violation is a guarantee that was violated.
type Violation struct {
	Guarantee string `json:"promise"`
	Request   string `json:"request,omitempty"`
	Text      string `json:"text"`
}

// Time bounds of the guarantees.
const (
	// maxApplyDelay is the maximum time until a change in the store is applied.
	maxApplyDelay = 2 * time.Second
	// settleTime is the time without faults after which time bounds must hold;
	// slack is the additional delay allowed for a busy machine.
	settleTime = 4 * time.Second
	slack      = time.Second
	// quarantineDelay is the maximum time until a prompt part or request that crashes
	// targets is quarantined, from crash number crashesOfPart or crashesOfRequest. Up to
	// maxCrashingArrivals requests with it may still arrive at targets afterwards.
	quarantineDelay     = 3 * time.Second
	maxCrashingArrivals = 3
	crashesOfPart       = 5
	crashesOfRequest    = 3
	// limitDelay is the time from the first response that names a limit until it must be
	// kept, toldDelay that from the response that a router has forwarded until its own
	// requests count. In limitWindow a target may get limitFactor times what its limit
	// allows and limitMargin requests more.
	limitDelay  = 3 * time.Second
	toldDelay   = 500 * time.Millisecond
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitMargin = 5
	// quietDelay is the time from a rejection with which a target asks for quiet until it
	// must be kept; then up to maxQuietArrivals requests of the same router may still come.
	quietDelay       = 500 * time.Millisecond
	maxQuietArrivals = 2
)

// Check returns the violations in a history. It uses only the history, no state of
// the routers.
func Check(h *History) []Violation {
	c := &checker{h: h, runs: map[string][]Run{}}
	for _, r := range h.Runs {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for i := range h.Requests {
		c.checkRequest(&h.Requests[i])
	}
	c.checkUnknownRuns()
	c.checkVersions()
	c.checkRepeats()
	c.checkQuarantine()
	c.checkQuiet()
	c.checkLeaving()
	for _, l := range h.Limits {
		c.checkLimit(l)
	}
	for _, e := range h.Evacuations {
		c.checkEvacuation(e)
	}
	for _, cold := range h.Colds {
		c.checkCold(cold)
	}
	for _, m := range h.Changes {
		c.checkChange(m)
	}
	return c.found
}

type checker struct {
	h     *History
	runs  map[string][]Run
	found []Violation
}

func (c *checker) add(guarantee, request, format string, args ...any) {
	c.found = append(c.found, Violation{guarantee, request, fmt.Sprintf(format, args...)})
}

func (c *checker) checkRequest(r *Request) {
	runs := c.runs[r.ID]
	if r.Kind.Once && len(runs) > 1 {
		c.add("at most once", r.ID, "%s request ran %d times, want at most 1", r.Kind.Name, len(runs))
	}
	if len(runs) > r.Kind.MaxRuns {
		c.add("most targets", r.ID, "%s request ran at %d targets, want at most %d", r.Kind.Name, len(runs), r.Kind.MaxRuns)
	}
	if promisesNotRun(r.Status) && r.Kind.Once && len(runs) > 0 {
		c.add("refusals are true", r.ID, "got status %d, which means not run, but it ran at %s", r.Status, runs[0].Target)
	}
	for _, run := range runs {
		if run.Account != r.Account || run.Credential != "" {
			c.add("client account", r.ID, "target %s ran it for account %q with credential %q, want account %q and no credential", run.Target, run.Account, run.Credential, r.Account)
		}
	}
	if r.Status == http.StatusOK && r.Err == "" {
		c.checkAnswer(r, runs)
	}
	c.checkStop(r)
	_, stopping := c.h.stopOf(r)
	refusedByStop := stopping && r.Status == http.StatusServiceUnavailable
	refusedVersion := c.h.SeveralVersions && r.Resumes != "" && r.Status == http.StatusServiceUnavailable
	if r.Status != http.StatusOK && !r.Crashing && !refusedVersion && !refusedByStop && c.calm(r.Sent.Add(-settleTime), r.Ended) && !c.revoked(r) {
		c.add("calm", r.ID, "%s request got status %d %s without any fault", r.Kind.Name, r.Status, r.Err)
	}
}

// checkAnswer checks the signature and the content of an answer that was received
// without an error.
func (c *checker) checkAnswer(r *Request, runs []Run) {
	signer := ""
	for _, run := range runs {
		if standin.SignatureTarget(r.Seal) == run.Target {
			signer = run.Target
		}
	}
	if signer == "" {
		c.add("own answers", r.ID, "seal %q is from no target that ran the request", r.Seal)
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

// checkVersions checks that all runs of a stream, over all requests of its client, are at one
// software version.
func (c *checker) checkVersions() {
	begun := map[string]string{}
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		stream := cmp.Or(r.Resumes, r.ID)
		for _, run := range c.runs[r.ID] {
			if r.Resumes == "" && r.Status != http.StatusOK {
				// The client has no event, and may begin anew elsewhere.
				continue
			}
			if before, ok := begun[stream]; ok && r.Kind.Resumable && before != run.Version {
				c.add("one version", r.ID, "stream %s runs at versions %s and %s", stream, before, run.Version)
			}
			begun[stream] = run.Version
		}
	}
}

// checkUnknownRuns reports runs of requests that no client sent.
func (c *checker) checkUnknownRuns() {
	sent := map[string]bool{}
	for i := range c.h.Requests {
		sent[c.h.Requests[i].ID] = true
	}
	for id, runs := range c.runs {
		if !sent[id] {
			c.add("asked for", id, "target %s ran a request that no client sent", runs[0].Target)
		}
	}
}

// checkRepeats checks that no service receives more repeated arrivals in a window
// than RetryBudget allows. The retry budget is based on the largest number of first
// arrivals among the windows that end at, half a window before and one window
// before the last repeated arrival.
func (c *checker) checkRepeats() {
	if c.h.Repeats.WindowSeconds == 0 {
		return
	}
	slices.SortFunc(c.h.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	seen := map[string]bool{}
	first, repeated := map[string][]time.Time{}, map[string][]time.Time{}
	for _, a := range c.h.Arrivals {
		list := first
		if seen[a.ID] {
			list = repeated
		}
		seen[a.ID] = true
		list[a.Service] = append(list[a.Service], a.At)
	}
	window := c.h.Repeats.Window()
	for service, times := range repeated {
		for i, to := range times {
			n := i + 1 - countBefore(times, to.Add(-window))
			firstArrivals := func(to time.Time) int {
				return countBefore(first[service], to) - countBefore(first[service], to.Add(-window))
			}
			maxFirst := max(firstArrivals(to), firstArrivals(to.Add(-window/2)), firstArrivals(to.Add(-window)))
			if allowed := c.h.Repeats.Ratio*float64(maxFirst) + c.h.Repeats.Extra; float64(n) > allowed {
				c.add("repeats", "", "%d repeats at service %s in %v for %d requests", n, service, window, maxFirst)
				break
			}
		}
	}
}

// checkQuarantine checks that requests that crash targets stop arriving at them.
func (c *checker) checkQuarantine() {
	crashing := map[string]bool{}
	for i := range c.h.Requests {
		crashing[c.h.Requests[i].ID] = c.h.Requests[i].Crashing
	}
	slices.SortFunc(c.h.Crashes, func(a, b Crash) int { return a.At.Compare(b.At) })
	for service, first := range c.h.CrashesToQuarantine {
		var times []time.Time
		for _, crash := range c.h.Crashes {
			if crash.Service == service {
				times = append(times, crash.At)
			}
		}
		if len(times) < first {
			continue
		}
		due := times[first-1].Add(quarantineDelay)
		n := 0
		for _, a := range c.h.Arrivals {
			if a.Service == service && crashing[a.ID] && a.At.After(due) {
				n++
			}
		}
		if n > maxCrashingArrivals {
			c.add("quarantine", "", "%d requests that crash targets of service %s arrived later than %v after crash %d of %d, want at most %d",
				n, service, quarantineDelay, first, len(times), maxCrashingArrivals)
		}
	}
}

// checkLimit checks that a target gets no more requests than its limit allows from routers
// that know it and have run all the while.
func (c *checker) checkLimit(l Limit) {
	routers, told := map[string]string{}, map[string]time.Time{}
	for i := range c.h.Requests {
		r := &c.h.Requests[i]
		routers[r.ID] = r.Router
		at := r.Ended.Add(toldDelay)
		if first, ok := told[r.Router]; r.Limited && standin.SignatureTarget(r.Seal) == l.Target && (!ok || at.Before(first)) {
			told[r.Router] = at
		}
	}
	var times []time.Time
	for _, a := range c.h.Arrivals {
		since, ok := told[routers[a.ID]]
		if a.Target == l.Target && ok && a.At.After(since) && a.At.After(l.From.Add(limitDelay)) && a.At.Before(l.To) && !c.disturbed(routers[a.ID], l.From, a.At) {
			times = append(times, a.At)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	allowed := limitFactor*limitWindow.Seconds()*float64(l.PerSecond) + limitMargin
	for i, to := range times {
		if n := i + 1 - countBefore(times, to.Add(-limitWindow)); float64(n) > allowed {
			c.add("limits", "", "target %s with a limit of %d per second got %d requests in %v, want at most %.0f", l.Target, l.PerSecond, n, limitWindow, allowed)
			return
		}
	}
}

// checkQuiet checks that a router keeps the quiet that a target asked it for.
func (c *checker) checkQuiet() {
	routers := map[string]string{}
	for i := range c.h.Requests {
		routers[c.h.Requests[i].ID] = c.h.Requests[i].Router
	}
	type pair struct{ router, target string }
	arrivals := map[pair][]time.Time{}
	for _, a := range c.h.Arrivals {
		p := pair{routers[a.ID], a.Target}
		arrivals[p] = append(arrivals[p], a.At)
	}
	for _, a := range c.h.Arrivals {
		p := pair{routers[a.ID], a.Target}
		until := a.At.Add(a.Quiet)
		if a.Quiet <= quietDelay || c.disturbed(p.router, a.At, until) {
			continue
		}
		n := countBefore(arrivals[p], until) - countBefore(arrivals[p], a.At.Add(quietDelay))
		if n > maxQuietArrivals {
			c.add("quiet", a.ID, "target %s asked router %s for no requests for %v and got %d later than %v, want at most %d", a.Target, p.router, a.Quiet, n, quietDelay, maxQuietArrivals)
		}
	}
}

// disturbed reports whether a router's process was killed, paused or away in an interval.
func (c *checker) disturbed(router string, from, to time.Time) bool {
	return slices.ContainsFunc(c.h.Faults, func(f FaultInterval) bool {
		return f.Router == router && f.From.Before(to) && f.To.After(from)
	})
}

// countBefore returns how many of the sorted times are before moment.
func countBefore(times []time.Time, moment time.Time) int {
	n, _ := slices.BinarySearchFunc(times, moment, time.Time.Compare)
	return n
}

// checkChange checks that no run contradicts a change that had to be applied by
// then. Runs that are not preceded by a calm period are skipped.
func (c *checker) checkChange(m Change) {
	for _, run := range c.h.Runs {
		overdue := run.At.Sub(m.At) > maxApplyDelay+slack
		affected := (m.Target != "" && run.Target == m.Target) || (m.Account != "" && run.Account == m.Account)
		if overdue && affected && c.calm(m.At.Add(-settleTime), run.At) {
			c.add("in force", run.ID, "ran at target %s for account %s %v after the change", run.Target, run.Account, run.At.Sub(m.At))
		}
	}
}

// calm reports whether no fault was present in an interval or within settleTime
// before it.
func (c *checker) calm(from, to time.Time) bool {
	return c.calmBut("", from, to)
}

// calmBut is calm for faults of all kinds but one.
func (c *checker) calmBut(kind string, from, to time.Time) bool {
	for _, f := range c.h.Faults {
		if f.Kind != kind && f.From.Before(to) && f.To.Add(settleTime).After(from) {
			return false
		}
	}
	return true
}

// revoked reports whether the keys of the request's account were removed before the
// request ended.
func (c *checker) revoked(r *Request) bool {
	for _, m := range c.h.Changes {
		if m.Account == r.Account && m.At.Before(r.Ended) {
			return true
		}
	}
	return false
}
