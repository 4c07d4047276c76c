package relay

import (
	"encoding/json"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
)

// Mean Retry-After values of refused requests. The value sent is drawn uniformly
// from 0.5 to 1.5 times the mean.
const (
	// notReadyRetryAfter is about the time a router takes to load its first view.
	notReadyRetryAfter = 500 * time.Millisecond
	// otherRouterRetryAfter is short because the client retries at another router.
	otherRouterRetryAfter = 50 * time.Millisecond
	// overloadRetryAfter is used if targets are overloaded, or if no target took the
	// request; it is about the time a request takes at a target.
	overloadRetryAfter = 400 * time.Millisecond
	// evacuatedRetryAfter is used if all targets that are left are evacuated. Nobody knows when the
	// operator takes that back.
	evacuatedRetryAfter = time.Second
)

// nonForwardedHeaders lists the response headers that are not forwarded: those that
// apply to a single connection, Content-Length, which writeHead sets itself, and what only
// routers may say.
var nonForwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", notTakenHeader, targetHeader,
}

// requestResult is the final result of a request, used as a metric label.
type requestResult string

// Request results.
const (
	resultCompleted requestResult = "completed"
	// resultFailed means that a failure response of a target was forwarded.
	resultFailed requestResult = "failed"
	resultNotRun requestResult = "not-run"
	// resultUnknown means that the client was told that its request may have run.
	resultUnknown requestResult = "unknown"
	// resultCut means that a response was aborted after its head was sent.
	resultCut        requestResult = "cut"
	resultClientGone requestResult = "client-gone"
	// resultForwarded means that another router answered.
	resultForwarded requestResult = "forwarded"
)

// routeKindNone is the metric label of requests that ended before their route
// was resolved.
const routeKindNone = "none"

// recordResult updates the request counter and latency histograms.
func (s *requestState) recordResult(result requestResult) {
	s.relay.cfg.Metrics.Requests.WithLabelValues(string(s.service), string(result)).Inc()
	kind := routeKindNone
	if s.route != nil {
		kind = s.route.Kind()
	}
	latency := s.relay.cfg.Latency
	if s.timeToTarget > 0 {
		latency.PlacedSeconds.WithLabelValues(kind, string(result)).Observe(s.timeToTarget.Seconds())
	}
	if s.timeToHead > 0 {
		latency.HeadSeconds.WithLabelValues(kind, string(result)).Observe(s.timeToHead.Seconds())
	}
	latency.WholeSeconds.WithLabelValues(kind, string(result)).Observe(time.Since(s.arrivedAt).Seconds())
}

// writeHead forwards the head of a target's response. bufferedBytes is the number of
// body bytes read so far, or -1 for a stream; the body is complete if this is from 0 to
// maxBufferedBodyBytes.
func (s *requestState) writeHead(result *attemptResult, bufferedBytes int64) {
	s.headSent = true
	// A media type that cannot be read is never that of a continuation.
	s.mediaType, _, _ = mime.ParseMediaType(result.response.Header.Get("Content-Type"))
	s.timeToHead = time.Since(s.arrivedAt)
	s.recordFirst()
	h := s.w.Header()
	for name, values := range result.response.Header {
		if !slices.Contains(nonForwardedHeaders, name) {
			h[name] = values
		}
	}
	if s.forwardedBy.wantsTarget && s.target != nil {
		h.Set(targetHeader, formatTarget(s.target))
	}
	// nil keeps net/http from adding its own Content-Type and Date.
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if _, ok := h["Date"]; !ok {
		h["Date"] = nil
	}
	// A response to HEAD has no body to take the length from.
	whole := bufferedBytes >= 0 && bufferedBytes <= maxBufferedBodyBytes && s.call.Method != http.MethodHead
	switch {
	case whole:
		h.Set("Content-Length", strconv.FormatInt(bufferedBytes, 10))
	case result.response.Length >= 0 && (bufferedBytes >= 0 || s.route.RunPolicy != catalog.Resumable):
		// The rest of a stream that another target continues may have another length.
		h.Set("Content-Length", strconv.FormatInt(result.response.Length, 10))
	case !s.request.ProtoAtLeast(1, 1):
		// Clients of HTTP/1.0 know no chunks: the end of the connection marks the end of the response.
		s.completeClose = s.relay.cfg.GuardClose(s.request.Context())
	}
	s.endConnectionWhileStopping()
	s.w.WriteHeader(result.response.Status)
}

// endConnectionWhileStopping makes the response the last one of its connection if the router
// stops, so that the client sends its next request elsewhere.
func (s *requestState) endConnectionWhileStopping() {
	if s.relay.stop.Load() != nil {
		s.w.Header().Set("Connection", "close")
	}
}

// completeResponse lets the connection of a response whose end is the end of the
// connection close normally. If the rest of the response cannot be written, it ends the
// request and panics with http.ErrAbortHandler, which closes the client's connection.
func (s *requestState) completeResponse() {
	if s.completeClose == nil {
		return
	}
	if err := http.NewResponseController(s.w).Flush(); err != nil {
		s.recordResult(resultClientGone)
		s.Log(event.ClientGone).Err(err).Int("events", s.events).Send()
		panic(http.ErrAbortHandler)
	}
	s.completeClose()
}

// finish ends a request whose client has received the complete response.
func (s *requestState) finish() {
	s.completeResponse()
	s.relay.cfg.Metrics.FirstByteSeconds.WithLabelValues(string(s.service)).Observe(s.timeToHead.Seconds())
	s.recordResult(resultCompleted)
	s.recordPace()
	s.Log(event.RequestServed).Int("status", s.current.response.Status).Dur("first", s.timeToHead).
		Dur("whole", time.Since(s.arrivedAt)).Int("events", s.events).Bool("delimited", s.current.response.Delimited).
		Str("end", string(s.current.endEvidence())).Int("attempts", s.attempts).Send()
}

// recordPace records how long a complete answer took from the arrival of the whole request.
func (s *requestState) recordPace() {
	pace, took := s.relay.pace(s.service), time.Since(s.receivedAt)
	switch {
	case !s.route.Stream:
		pace.RecordCall(took)
	case !s.call.TakesUp:
		pace.RecordStream(s.call.AnswerTokens, took)
	}
}

// finishIncomplete ends a request for which no attempt delivered a complete
// response: it aborts a response already started, forwards the target's failure,
// or writes an error response.
func (s *requestState) finishIncomplete(step retry.Step) {
	code, status := step.Reason, http.StatusBadGateway
	if code == reason.Deadline {
		code, status = reason.TimedOut, http.StatusGatewayTimeout
	}
	switch {
	case s.headSent:
		s.abortResponse(code)
	case s.current.reason == reason.TargetFailed:
		s.forwardFailure()
	case step.Outcome == outcome.NotDispatched && s.quarantined == nil && !s.finishesBeforeStop():
		s.refuseWhileStopping()
	case s.forwardUnreached(step.Outcome, code):
	case step.Outcome == outcome.NotDispatched && s.quarantined != nil:
		s.refuseQuarantined()
	case step.Outcome == outcome.NotDispatched && s.quietFor > 0:
		s.refuseAfter(reason.Describe(reason.TargetsWantQuiet).Status, reason.TargetsWantQuiet, s.quietFor+rand.N(overloadRetryAfter))
	case step.Outcome == outcome.NotDispatched && s.limited:
		s.refuseLimited()
	case step.Outcome == outcome.NotDispatched && s.evacuated:
		s.refuse(reason.DomainEvacuated, evacuatedRetryAfter)
	case step.Outcome == outcome.NotDispatched && !s.isModelService() && s.showsFullTarget(&s.current.reply, time.Now()):
		s.refuseAfter(http.StatusServiceUnavailable, code, s.relay.room(s.service).ReturnTime(s.roomRequest(), time.Now()))
	case step.Outcome == outcome.NotDispatched:
		s.refuseWithStatus(http.StatusServiceUnavailable, code, overloadRetryAfter)
	default:
		s.failUnknown(status, code)
	}
}

// forwardFailure forwards a target's failure response unchanged.
func (s *requestState) forwardFailure() {
	result := s.current
	s.writeHead(result, int64(len(result.body)))
	// Write errors are ignored: the client has disconnected, or completeResponse fails too.
	_, _ = s.w.Write(result.body)
	s.completeResponse()
	s.recordResult(resultFailed)
	s.Log(event.FailureForwarded).Int("status", result.response.Status).Str("end", string(result.endEvidence())).Int("attempts", s.attempts).Send()
}

// abortResponse aborts a response that has begun and cannot be completed. It panics
// with http.ErrAbortHandler, which closes the client's connection.
func (s *requestState) abortResponse(code reason.Code) {
	s.recordResult(resultCut)
	s.Log(event.AnswerAborted).AnErr("error", s.current.err).Str("reason", string(code)).Int("events", s.events).Int("attempts", s.attempts).
		Dur("whole", time.Since(s.arrivedAt)).Send()
	panic(http.ErrAbortHandler)
}

// refuse writes an error response for a request that is invalid or has not run.
// retryAfter is the mean Retry-After; zero means that a retry is of no use.
func (s *requestState) refuse(code reason.Code, retryAfter time.Duration) {
	s.refuseWithStatus(reason.Describe(code).Status, code, retryAfter)
}

// refuseWithStatus is refuse with a status other than the default of the reason
// code.
func (s *requestState) refuseWithStatus(status int, code reason.Code, retryAfter time.Duration) {
	s.refuseAfter(status, code, time.Duration(float64(retryAfter)*(0.5+rand.Float64())))
}

// refuseAfter is refuseWithStatus with the exact Retry-After.
func (s *requestState) refuseAfter(status int, code reason.Code, retryAfter time.Duration) {
	s.relay.cfg.Metrics.CountRefusal(code)
	s.recordResult(resultNotRun)
	if retryAfter > 0 {
		s.w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	s.Log(event.RequestNotRun).AnErr("error", s.current.err).Str("reason", string(code)).Dur("retry_after", retryAfter).Int("attempts", s.attempts).
		Dur("whole", time.Since(s.arrivedAt)).Send()
	s.writeError(status, code)
}

// failUnknown writes an error response for a request that failed and may have
// run.
func (s *requestState) failUnknown(status int, code reason.Code) {
	s.recordResult(resultUnknown)
	s.Log(event.RequestUnknown).AnErr("error", s.current.err).Str("reason", string(code)).Int("target_status", s.current.reply.Status).Int("attempts", s.attempts).
		Dur("whole", time.Since(s.arrivedAt)).Send()
	s.writeError(status, code)
}

// writeError writes an error response that originates from the router.
func (s *requestState) writeError(status int, code reason.Code) {
	body, err := json.Marshal(map[string]any{"error": map[string]string{"code": string(code), "message": reason.Describe(code).Text}})
	if err != nil {
		s.Log(event.RequestUnknown).Err(err).Send()
	}
	h := s.w.Header()
	s.relay.cfg.Codec.SetRequestID(h, s.call.ID)
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	s.endConnectionWhileStopping()
	s.w.WriteHeader(status)
	// Write errors are ignored: the client has disconnected.
	_, _ = s.w.Write(body)
}

// Log implements attemptloop.Attempter. The line carries the request ID and, once they are
// known, the route and the target.
func (s *requestState) Log(e event.Event) *zerolog.Event {
	line := e.Log(s.relay.cfg.Log).Str("request", string(s.call.ID))
	if s.route != nil {
		line = line.Str("route", s.route.Name).Str("service", string(s.service)).Uint64("config", s.view.Config.Version)
	}
	if s.target != nil {
		line = line.Str("target", string(s.target.ID))
	}
	return line
}
