package relay

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
)

// Times after which a refused client may come back; each is spread over half to
// one and a half times its value.
const (
	// notReadyAfter is about the time that a router takes to read its view.
	notReadyAfter = 500 * time.Millisecond
	// drainingAfter sends the client to another router at once.
	drainingAfter = 50 * time.Millisecond
	// refusedAfter is about the time that a request takes at a target.
	refusedAfter = 400 * time.Millisecond
)

// ofConnection are the fields of an answer that speak of one connection.
var ofConnection = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// conclusion is how a request ended, as metrics name it.
type conclusion string

// The conclusions.
const (
	completed conclusion = "completed"
	// failed means that a target's own failure was passed on.
	failed conclusion = "failed"
	notRun conclusion = "not-run"
	// unknown means that the client was told that its request may have run.
	unknown conclusion = "unknown"
	// cut means that an answer under way was broken off.
	cut        conclusion = "cut"
	clientGone conclusion = "client-gone"
)

// noRoute is the kind of requests that ended before their route was found.
const noRoute = "none"

// conclude counts the request and its times.
func (s *serving) conclude(c conclusion) {
	s.relay.cfg.Metrics.Requests.WithLabelValues(string(s.service), string(c)).Inc()
	kind := noRoute
	if s.route != nil {
		kind = s.route.Kind()
	}
	latency := s.relay.cfg.Latency
	if s.placed > 0 {
		latency.PlacedSeconds.WithLabelValues(kind, string(c)).Observe(s.placed.Seconds())
	}
	if s.first > 0 {
		latency.HeadSeconds.WithLabelValues(kind, string(c)).Observe(s.first.Seconds())
	}
	latency.WholeSeconds.WithLabelValues(kind, string(c)).Observe(time.Since(s.arrived).Seconds())
}

// startAnswer passes on the head of a target's answer; length is the size of the
// body as far as it was read, or -1 for a stream.
func (s *serving) startAnswer(e *ended, length int64) {
	s.started = true
	s.first = time.Since(s.arrived)
	h := s.w.Header()
	closing := h.Get("Connection")
	for name, values := range e.answer.Header {
		if !slices.Contains(ofConnection, name) {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	switch {
	case closing != "":
		h.Set("Connection", closing)
	case !e.answer.Framed:
		// The end of such an answer is the end of its connection, here as there.
		h.Set("Transfer-Encoding", "identity")
	}
	if length >= 0 && length <= wholeBody && e.answer.Framed {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	} else if e.answer.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(e.answer.Length, 10))
	}
	s.w.WriteHeader(e.answer.Status)
}

// done ends a request whose client has its whole answer.
func (s *serving) done() {
	s.relay.cfg.Metrics.FirstByteSeconds.WithLabelValues(string(s.service)).Observe(s.first.Seconds())
	s.conclude(completed)
	s.Log(event.RequestServed).Int("status", s.present.answer.Status).Dur("first", s.first).
		Dur("whole", time.Since(s.arrived)).Int("events", s.events).Int("attempts", s.attempts).Send()
}

// end gives the final answer to a request without a whole one.
func (s *serving) end(step retry.Step) {
	why, status := step.Reason, http.StatusBadGateway
	if why == reason.Deadline {
		why, status = reason.TimedOut, http.StatusGatewayTimeout
	}
	switch {
	case s.started:
		s.cut(why)
	case s.present.why == reason.TargetFailed:
		s.passOn()
	case step.Outcome == outcome.NotDispatched:
		s.refuseAs(http.StatusServiceUnavailable, why, refusedAfter)
	default:
		s.fail(status, why)
	}
}

// passOn gives the client a target's failure unchanged.
func (s *serving) passOn() {
	e := s.present
	s.startAnswer(e, int64(len(e.body)))
	// A client that is gone does not need the failure.
	_, _ = s.w.Write(e.body)
	s.conclude(failed)
	s.Log(event.FailurePassedOn).Int("status", e.answer.Status).Int("attempts", s.attempts).Send()
}

// cut breaks off an answer that cannot become whole.
func (s *serving) cut(why reason.Code) {
	s.conclude(cut)
	s.Log(event.AnswerCut).AnErr("error", s.present.err).Str("reason", string(why)).Int("events", s.events).Int("attempts", s.attempts).
		Dur("whole", time.Since(s.arrived)).Send()
	panic(http.ErrAbortHandler)
}

// refuse tells the client that its request has not run, or what is wrong with
// it. after is when to come back; zero means that it is no use.
func (s *serving) refuse(why reason.Code, after time.Duration) {
	s.refuseAs(reason.Describe(why).Status, why, after)
}

// refuseAs refuses with another status than the reason's usual one.
func (s *serving) refuseAs(status int, why reason.Code, after time.Duration) {
	s.relay.cfg.Metrics.Refused(why)
	s.conclude(notRun)
	if after > 0 {
		after = time.Duration(float64(after) * (0.5 + rand.Float64()))
		s.w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	s.Log(event.RequestNotRun).AnErr("error", s.present.err).Str("reason", string(why)).Dur("retry_after", after).Int("attempts", s.attempts).Send()
	s.answer(status, why)
}

// fail tells the client that its request failed and may have run.
func (s *serving) fail(status int, why reason.Code) {
	s.conclude(unknown)
	s.Log(event.RequestUnknown).AnErr("error", s.present.err).Str("reason", string(why)).Int("target_status", s.present.reply.Status).Int("attempts", s.attempts).
		Dur("whole", time.Since(s.arrived)).Send()
	s.answer(status, why)
}

// answer writes an answer of the router's own.
func (s *serving) answer(status int, why reason.Code) {
	body, err := json.Marshal(map[string]any{"error": map[string]string{"code": string(why), "message": reason.Describe(why).Text}})
	if err != nil {
		s.Log(event.RequestUnknown).Err(err).Send()
	}
	h := s.w.Header()
	s.relay.cfg.Dialect.Mark(h, s.call.ID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.w.WriteHeader(status)
	// A client that is gone does not need the answer.
	_, _ = s.w.Write(body)
}

// Log implements course.Path.
func (s *serving) Log(e event.Event) *zerolog.Event {
	line := e.Log(s.relay.cfg.Log).Str("request", string(s.call.ID))
	if s.route != nil {
		line = line.Str("route", s.route.Name).Str("service", string(s.service)).Uint64("config", s.view.Config.Version)
	}
	if s.target != nil {
		line = line.Str("target", string(s.target.ID))
	}
	return line
}
