package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/course"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
)

// errTimedOut is the cause of a request's end at its route's timeout.
var errTimedOut = errors.New("relay: the route's timeout passed")

// defaultLimit bounds requests whose route has no timeout and whose client does
// not say how long it waits.
const defaultLimit = time.Minute

// ServeHTTP serves one request of a client.
func (r *Relay) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	r.serving.Add(1)
	defer func() {
		r.lastEnd.Store(time.Now().UnixNano())
		r.serving.Add(-1)
	}()
	stop := r.stop.Load()
	if stop != nil {
		w.Header().Set("Connection", "close")
	}
	s := &serving{relay: r, w: w, arrived: time.Now(), view: r.cfg.View(), present: &ended{}}
	c, err := r.cfg.Dialect.Decode(req)
	if err != nil {
		s.call = &call.Call{Method: req.Method, Host: req.Host, Path: req.URL.Path}
		s.refuse(reason.MalformedRequest, 0)
		return
	}
	s.call = c
	if !s.view.Ready() {
		s.refuse(reason.NotReady, notReadyAfter)
		return
	}
	if !s.withinHead(req) || !s.admit() {
		return
	}
	if stop != nil && !stop.Takes(s.route, s.call.AnswerTokens, s.arrived) {
		s.refuse(reason.Draining, drainingAfter)
		return
	}
	if !s.readBody(req) || !s.take() {
		return
	}
	s.serve(req.Context())
}

// serving is one request on its way. It belongs to the goroutine of its request.
type serving struct {
	relay   *Relay
	w       http.ResponseWriter
	arrived time.Time
	view    *catalog.View
	call    *call.Call
	route   *catalog.Route
	account *catalog.Account
	service fleet.ServiceName
	rank    int
	life    *retry.Request
	tried   []fleet.TargetID
	// present is the present attempt; there is an empty one before the first.
	present *ended
	// deadline is the time of the final answer.
	deadline time.Time
	// started says that the head of the answer was passed on, last the number of
	// the last event that the client has.
	started  bool
	last     uint64
	events   int
	attempts int
	target   *catalog.Target
	// placed is the time to the first attempt, first that to the head of the
	// answer; zero where it did not come so far.
	placed, first time.Duration
}

// withinHead holds the request's head to the configuration's limit.
func (s *serving) withinHead(req *http.Request) bool {
	limit := s.view.Config.Limits.HeaderBytes
	if limit <= 0 {
		return true
	}
	size := len(req.Method) + len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldBytes
		}
	}
	if size > limit {
		s.refuse(reason.HeaderTooLarge, 0)
		return false
	}
	return true
}

// fieldBytes is what a header field takes besides its name and value.
const fieldBytes = len(": \r\n")

// admit finds route and client account.
func (s *serving) admit() bool {
	config := s.view.Config
	route, ok := config.Route(s.call.Host, s.call.Path)
	if !ok {
		s.refuse(reason.UnknownPath, 0)
		return false
	}
	s.route, s.rank = route, route.Priority
	if config.Keyed() && !route.Public {
		if s.account, ok = config.Account(s.call.Key); !ok {
			s.refuse(reason.Unauthenticated, 0)
			return false
		}
		if s.account.Priority != nil {
			s.rank = *s.account.Priority
		}
	}
	s.service = route.ServiceAt(rand.Float64())
	s.deadline = s.arrived.Add(defaultLimit)
	if s.call.Patience > 0 {
		s.deadline = s.arrived.Add(s.call.Patience)
	}
	if at := s.arrived.Add(route.Timeout); route.Timeout > 0 && at.Before(s.deadline) {
		s.deadline = at
	}
	return true
}

// take refuses a part of the requests while the targets of a plain service have
// more work than they can do in time.
func (s *serving) take() bool {
	if s.model() {
		return true
	}
	shedder := s.relay.shedder(s.service)
	if shedder.Take(rand.Float64()) {
		return true
	}
	s.Log(event.RequestShed).Float64("taken", shedder.Taken()).Send()
	s.refuse(reason.Overload, refusedAfter)
	return false
}

// model says whether the request is for a model engine.
func (s *serving) model() bool {
	return s.view.Config.Services[s.service].Slots > 0
}

// readBody reads the whole body, so that a request can be sent again and a
// target that answers early never waits for the rest of it.
func (s *serving) readBody(req *http.Request) bool {
	if req.Body == nil || req.Body == http.NoBody {
		return true
	}
	limit := s.view.Config.Limits.BodyBytes
	if limit > 0 && req.ContentLength > limit {
		s.refuse(reason.BodyTooLarge, 0)
		return false
	}
	_ = http.NewResponseController(s.w).SetReadDeadline(s.deadline)
	body, err := readAll(req, limit)
	if err != nil {
		if req.Context().Err() != nil {
			s.Log(event.ClientGone).Send()
			return false
		}
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

func readAll(req *http.Request, limit int64) ([]byte, error) {
	in := io.Reader(req.Body)
	if limit > 0 {
		in = io.LimitReader(req.Body, limit+1)
	}
	if req.ContentLength <= 0 {
		return io.ReadAll(in)
	}
	body := make([]byte, req.ContentLength)
	_, err := io.ReadFull(in, body)
	return body, err
}

// Bounds of one request's attempts beside those of its route.
const (
	// mostUnreached is how many targets that cannot be reached are passed over.
	mostUnreached = 4
	// mostRejections is how many targets may reject a request; each rejection is
	// an arrival that counts as a repeat.
	mostRejections = 3
)

// serve makes the attempts and ends the request.
func (s *serving) serve(ctx context.Context) {
	r := s.relay
	_ = http.NewResponseController(s.w).SetWriteDeadline(s.deadline.Add(time.Second))
	ctx, cancel := context.WithDeadlineCause(ctx, s.deadline, errTimedOut)
	defer cancel()
	s.last = s.call.After
	s.life = retry.New(retry.Config{
		Repeatable: s.route.Repetition != catalog.Once, Deadline: s.deadline,
		Terms: retry.Terms{
			Runs: s.route.MaxTargets, Unreached: mostUnreached, Rejections: mostRejections,
			UnreachedFree: true, RejectionsProve: true, Share: r.cfg.Allowance.Share(),
		},
	}, r.allowance(s.service), s.arrived)
	step := course.Run(ctx, s.life, s, r.cfg.Metrics)
	defer s.present.close()
	switch {
	case step.Action == retry.Finish:
		s.done()
	case s.present.left || (ctx.Err() != nil && !errors.Is(context.Cause(ctx), errTimedOut)):
		s.conclude(clientGone)
		s.Log(event.ClientGone).Int("events", s.events).Send()
		panic(http.ErrAbortHandler)
	default:
		s.end(step)
	}
}
