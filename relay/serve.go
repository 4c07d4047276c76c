package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"ragwortpond.example/ragwortpond/admission"
	"ragwortpond.example/ragwortpond/attemptloop"
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/retry"
)

// errRequestDeadline is the cancellation cause of a request that reached its
// deadline.
var errRequestDeadline = errors.New("relay: request deadline exceeded")

// ErrRouterStopped is the cancellation cause of requests that end because the router
// stops. Those whose response has not begun are answered with what is known of them.
var ErrRouterStopped = errors.New("relay: router stopped")

// defaultTimeout bounds requests whose client sent no deadline. A timeout of the
// route applies only if it is shorter.
const defaultTimeout = time.Minute

// ServeHTTP serves one client request.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.serveRequest(w, req, forwarder{})
}

// serveRequest serves one request, which another router may have passed on.
func (r *Relay) serveRequest(w http.ResponseWriter, req *http.Request, forwardedBy forwarder) {
	r.inFlight.Add(1)
	defer func() {
		r.lastEndUnixNano.Store(time.Now().UnixNano())
		r.inFlight.Add(-1)
	}()
	s := &requestState{relay: r, w: w, request: req, forwardedBy: forwardedBy, arrivedAt: time.Now(), view: r.cfg.View(), current: &attemptResult{}}
	defer s.releaseBody()
	c, err := r.cfg.Codec.DecodeRequest(req)
	if err != nil {
		s.call = &call.Call{Method: req.Method, Host: req.Host, Path: req.URL.Path}
		s.refuse(reason.MalformedRequest, 0)
		return
	}
	s.call = c
	if !s.awaitView(req.Context()) {
		s.refuse(reason.NotReady, notReadyRetryAfter)
		return
	}
	if !s.checkHeaderSize(req) || !s.resolveRoute() || s.refuseEvacuated() {
		return
	}
	if !s.acceptWhileStopping() || !s.readBody(req) || !s.acceptWhileStopping() || s.forwardOrRefuse() || !s.admitUnlessQuarantined() || !s.admit() || !s.bindVersion(req.Context()) {
		return
	}
	s.serve(req.Context())
}

// acceptWhileStopping refuses a request that this router cannot finish before it stops, and
// reports whether the request was accepted.
func (s *requestState) acceptWhileStopping() bool {
	s.receivedAt = time.Now()
	if s.finishesBeforeStop() {
		return true
	}
	s.refuseWhileStopping()
	return false
}

// refuseWhileStopping refuses a request that has not run and that this router cannot finish before
// it stops. A router that passed it on asks another one.
func (s *requestState) refuseWhileStopping() {
	if s.forwardedBy.id != "" {
		s.w.Header().Set(notTakenHeader, "1")
	}
	s.refuse(reason.Draining, otherRouterRetryAfter)
}

// finishesBeforeStop reports whether a request that is sent to a target now may be accepted
// although this router stops, or whether it does not stop; see admission.StopSchedule.
func (s *requestState) finishesBeforeStop() bool {
	schedule := s.relay.stop.Load()
	if schedule == nil {
		return true
	}
	now, stop := time.Now(), *schedule
	if s.forwardedBy.id != "" {
		// The router that passed the request on can ask another one at once.
		stop.LeaveAt = time.Time{}
	}
	t := admission.RequestTime{Limit: s.deadline.Sub(now)}
	// How much of a stream that a client takes up is left is not known.
	if !s.call.TakesUp {
		t.Expected = s.relay.pace(s.service).AnswerTime(s.route, s.call.AnswerTokens)
	}
	accepted := stop.Accepts(t, now)
	s.Log(event.StopDecision).Bool("accepted", accepted).Dur("left", stop.EndAt.Sub(now)).Dur("expected", t.Expected).Dur("limit", t.Limit).
		Int("attempts", s.attempts).Send()
	return accepted
}

// requestState is the state of one in-flight request. It is used by the request's
// goroutine only.
type requestState struct {
	relay       *Relay
	w           http.ResponseWriter
	request     *http.Request
	forwardedBy forwarder
	arrivedAt   time.Time
	// receivedAt is when the request had arrived as far as it was read.
	receivedAt time.Time
	view       *catalog.View
	call       *call.Call
	// body counts the body's bytes; nil if none was read.
	body     *chargedBody
	route    *catalog.Route
	account  *catalog.Account
	service  fleet.ServiceName
	priority int
	// version is the software version at which a resumable stream has to run; empty means
	// any.
	version   fleet.SoftwareVersion
	lifecycle *retry.Request
	tried     []fleet.TargetID
	// abandoned holds those of tried that were given up for their silence.
	abandoned []fleet.TargetID
	// current is the result of the latest attempt, empty before the first.
	current *attemptResult
	// deadline is the time by which the response must be complete.
	deadline time.Time
	// headSent is set once the response head was sent to the client.
	headSent bool
	// hasEvent is set once the client has an event with an ID; lastEventID is the last one.
	hasEvent    bool
	lastEventID uint64
	// mediaType is that of the response whose head was sent.
	mediaType string
	// completeClose is called once the response is complete; see Config.GuardClose. It is
	// nil if the close of the connection does not mark the end of the response.
	completeClose func()
	events        int
	// eventsBefore is the number of events before the current attempt.
	eventsBefore int
	attempts     int
	// sent is set once an attempt was sent to its target.
	sent bool
	// digest stands for what the request asks; zero until asked has computed it.
	digest uint64
	// quarantined is set once a verdict kept the request from a target, onTrial once it was
	// admitted although a verdict concerns it.
	quarantined *quarantinedAs
	onTrial     bool
	// limited is set once no target was left because of the limits that targets name.
	limited bool
	// quietFor is the time until the first target takes requests again, once none was left
	// and some want no requests; zero otherwise.
	quietFor time.Duration
	// evacuated is set once no target was left for the first attempt while there are some in evacuated
	// failure domains.
	evacuated bool
	// permit is the target for which a permit was taken while the attempt before was in
	// progress; empty if there is none.
	permit   fleet.TargetID
	permitAt time.Time
	target   *catalog.Target
	// timeToTarget is the time from arrival to the choice of the first target,
	// timeToHead that to sending the response head; zero if not reached.
	timeToTarget, timeToHead time.Duration
}

// awaitView waits for the first view of a router that has just started, as long as
// admission.FirstViewWait allows, and reports whether there is one.
func (s *requestState) awaitView(ctx context.Context) bool {
	if s.view.Ready() {
		return true
	}
	if s.relay.cfg.FirstView == nil {
		return false
	}
	timer := time.NewTimer(admission.FirstViewWait(s.call.ClientTimeout))
	defer timer.Stop()
	select {
	case <-s.relay.cfg.FirstView:
	case <-timer.C:
	case <-ctx.Done():
	}
	s.view = s.relay.cfg.View()
	return s.view.Ready()
}

// checkHeaderSize refuses the request if its head exceeds the configured limit, and
// reports whether it is within the limit.
func (s *requestState) checkHeaderSize(req *http.Request) bool {
	limit := s.view.Config.Limits.HeaderBytes
	if limit <= 0 {
		return true
	}
	size := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + headerFieldOverheadBytes
		}
	}
	if size > limit {
		s.refuse(reason.HeaderTooLarge, 0)
		return false
	}
	return true
}

// headerFieldOverheadBytes is the size of a header field without its name and
// value.
const headerFieldOverheadBytes = len(": \r\n")

// resolveRoute finds the route, client account, service and deadline of the
// request. It refuses the request and returns false if the path is unknown or the
// key is invalid.
func (s *requestState) resolveRoute() bool {
	config := s.view.Config
	route, ok := config.Route(s.call.Host, s.call.Path)
	if !ok {
		s.refuse(reason.UnknownPath, 0)
		return false
	}
	s.route, s.priority = route, route.Priority
	if config.RequiresKey() && !route.Public {
		if s.account, ok = config.Account(s.call.Key); !ok {
			s.refuse(reason.Unauthenticated, 0)
			return false
		}
		if s.account.Priority != nil {
			s.priority = *s.account.Priority
		}
	}
	s.service = route.ServiceAt(s.servicePoint())
	s.deadline = s.arrivedAt.Add(defaultTimeout)
	if s.call.ClientTimeout > 0 {
		s.deadline = s.arrivedAt.Add(s.call.ClientTimeout)
	}
	if routeDeadline := s.arrivedAt.Add(route.Timeout); route.Timeout > 0 && routeDeadline.Before(s.deadline) {
		s.deadline = routeDeadline
	}
	return true
}

// servicePoint returns the point of the route's weighted shares at which the request's
// service is: at random, except that a resumed stream has the service of the request that
// began it.
func (s *requestState) servicePoint() float64 {
	if s.route.RunPolicy != catalog.Resumable {
		return rand.Float64()
	}
	key, _ := s.streamKey()
	return rendezvous.Unit(rendezvous.Mix(servicePointSeed, uint64(key)))
}

// servicePointSeed makes the choice of a stream's service independent of other uses of its
// key.
const servicePointSeed = 0x5e7

// isModelService reports whether the request goes to a model engine.
func (s *requestState) isModelService() bool {
	return s.view.Config.Services[s.service].Slots > 0
}

// readBody reads the complete body, so that the request can be sent again to another
// target, and no target, not even one that responds early, has to wait for a slow
// client. It returns false if the request was refused, and panics with
// http.ErrAbortHandler if the client disconnected.
func (s *requestState) readBody(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	limit := s.view.Config.Limits.BodyBytes
	if limit > 0 && req.ContentLength > limit {
		s.refuse(reason.BodyTooLarge, 0)
		return false
	}
	_ = http.NewResponseController(s.w).SetReadDeadline(s.deadline)
	s.body = &chargedBody{ReadCloser: req.Body, memory: &s.relay.bodies}
	req.Body = s.body
	body, err := readAll(req, limit)
	switch {
	case errors.Is(err, errBodyMemory):
		s.Log(event.RequestBodyUnread).Err(err).Send()
		s.w.Header().Set("Connection", "close")
		s.refuse(reason.Overload, overloadRetryAfter)
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.Log(event.RequestBodyUnread).Err(err).Send()
		s.w.Header().Set("Connection", "close")
		s.refuse(reason.RequestTimeout, 0)
		return false
	case err != nil && req.Context().Err() != nil:
		s.recordResult(resultClientGone)
		s.Log(event.ClientGone).Err(err).Send()
		panic(http.ErrAbortHandler)
	case err != nil:
		s.Log(event.RequestBodyUnread).Err(err).Send()
		s.refuse(reason.MalformedRequest, 0)
		return false
	}
	if limit > 0 && int64(len(body)) > limit {
		s.refuse(reason.BodyTooLarge, 0)
		return false
	}
	_ = http.NewResponseController(s.w).SetReadDeadline(time.Time{})
	s.call.Body = body
	return true
}

// releaseBody ends the account of the body's memory, if it was read.
func (s *requestState) releaseBody() {
	if s.body != nil {
		s.body.release()
	}
}

// maxBodyPrealloc bounds the memory reserved for a body by its announced length. A
// longer body takes memory as it arrives, so that a client cannot reserve memory by
// announcing a length.
const maxBodyPrealloc = 64 << 10

// readAll reads the body. If limit is set and the length is not announced, it reads
// at most limit+1 bytes, so that the caller can detect a body that is too large.
func readAll(req *http.Request, limit int64) ([]byte, error) {
	reader := io.Reader(req.Body)
	if limit > 0 {
		reader = io.LimitReader(req.Body, limit+1)
	}
	if req.ContentLength <= 0 || req.ContentLength > maxBodyPrealloc {
		return io.ReadAll(reader)
	}
	body := make([]byte, req.ContentLength)
	_, err := io.ReadFull(reader, body)
	return body, err
}

// Bounds of a request's attempts in addition to those of its route.
const (
	// maxUnreachable and maxRejections are how many targets may be unreachable, or
	// reject the request, before it is given up at the next one. A rejected request
	// has arrived at a target, so that each rejection counts as a repeat.
	maxUnreachable = 4
	maxRejections  = 3
)

// serve makes the attempts and writes the final response.
func (s *requestState) serve(ctx context.Context) {
	r := s.relay
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.deadline.Add(time.Second))
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, errRequestDeadline)
	defer cancel()
	s.hasEvent, s.lastEventID = s.call.TakesUp, s.call.LastEventID
	s.lifecycle = retry.New(retry.Config{
		Repeatable: s.route.RunPolicy != catalog.RunOnce, Deadline: s.deadline,
		Policy: retry.Policy{
			MaxRuns: s.route.MaxTargets, MaxUnreached: maxUnreachable, MaxRejections: maxRejections,
			UnreachedNotCharged: true, RejectionMeansNotRun: true, BudgetShare: r.cfg.RetryBudget.PerRequest(),
		},
	}, r.retryBudget(s.service), s.arrivedAt)
	step := attemptloop.Run(ctx, s.lifecycle, s, r.cfg.Metrics)
	defer s.current.close()
	cause := context.Cause(ctx)
	switch {
	case step.Action == retry.Finish:
		s.finish()
	case !s.current.clientGone && errors.Is(cause, ErrRouterStopped):
		step.Reason = reason.Draining
		s.finishIncomplete(step)
	case s.current.clientGone || (cause != nil && !errors.Is(cause, errRequestDeadline)):
		s.recordResult(resultClientGone)
		s.Log(event.ClientGone).Int("events", s.events).Send()
		panic(http.ErrAbortHandler)
	default:
		s.finishIncomplete(step)
	}
}
