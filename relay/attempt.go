package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/suspicion"
	"ragwortpond.example/ragwortpond/targetconn"
)

// Errors of an attempt's answer.
var (
	errUnsigned = errors.New("relay: answer of success without a signature")
	errEncoded  = errors.New("relay: answer with an encoding that nobody asked for")
	errSilent   = errors.New("relay: target silent for too long")
	errPartial  = errors.New("relay: stream ended inside an event")
)

const (
	// wholeBody is the size up to which an answer is read whole before any of it
	// is passed on, so that a broken one can be replaced.
	wholeBody = 64 << 10
	// objectives is how many times its objective a request that may be repeated
	// waits for an answer before it is sent to another target, leastSilence the
	// least such wait.
	objectives   = 2
	leastSilence = 500 * time.Millisecond
	// pauses is how many times its longest pause a stream that can be gone on
	// with elsewhere may be silent.
	pauses = 3
)

// ended is how an attempt ended.
type ended struct {
	// whole says that the client has the whole answer.
	whole bool
	// why says how an attempt without one ended.
	why    reason.Code
	reply  call.Reply
	answer *targetconn.Answer
	// body is what was read of the answer before any of it was passed on.
	body []byte
	err  error
	// left says that the client did not take the answer.
	left bool
}

// end is the attempt as the life cycle of its request sees it.
func (e *ended) end(events int) retry.End {
	end := retry.End{
		Outcome: outcome.Dispatched, Reason: e.why, Whole: e.whole, Events: uint64(events), CallerGone: e.left,
		Status: e.reply.Status, Err: e.err,
	}
	if !e.whole && (e.why == reason.TargetDown || e.why == reason.TargetRefused) {
		end.Outcome = outcome.NotDispatched
	}
	return end
}

func (e *ended) close() {
	if e.answer != nil {
		e.answer.Close()
	}
}

// Attempt implements course.Path.
func (s *serving) Attempt(ctx context.Context, _ retry.Step) (retry.End, bool) {
	target, ok := s.place()
	if !ok {
		return retry.End{}, false
	}
	s.present.close()
	s.present = s.attempt(ctx, target)
	end := s.present.end(s.events)
	end.CallerGone = end.CallerGone || errors.Is(ctx.Err(), context.Canceled)
	return end, true
}

// placed is the target of an attempt.
type placed struct {
	*catalog.Target
	// cache is the address of another target that probably holds the cache of
	// the prompt; empty if there is none.
	cache string
}

// place chooses the next target; false means that none is left.
func (s *serving) place() (placed, bool) {
	view := s.view
	if s.attempts > 0 {
		view = s.relay.cfg.View()
	}
	now := time.Now()
	field, mean := s.relay.field(view, s.service, now)
	signs := &signs{s.relay, now}
	ask := dispatch.Ask{Domain: s.relay.cfg.Domain, Tried: s.tried, Mean: mean, Random: rand.Uint64()}
	if s.route.Affinity {
		ask.Key = dispatch.KeyOf(s.call.Prompt)
	}
	choice := dispatch.Choose(ask, field, signs, now)
	if choice.Target == nil {
		return placed{}, false
	}
	at := placed{Target: choice.Target}
	s.target = choice.Target
	line := s.Log(event.RequestPlaced)
	if ask.Key != 0 {
		line.Str("key", strconv.FormatUint(ask.Key, 36))
		if source := s.cacheSource(field, choice, signs); source != nil {
			at.cache = source.Addr
			line.Str("cache_source", string(source.ID))
		}
	}
	if s.attempts == 0 {
		s.placed = time.Since(s.arrived)
	}
	s.attempts++
	s.tried = append(s.tried, choice.Target.ID)
	line.Str("basis", string(choice.Basis)).Float64("load", choice.Load).Dur("load_age", s.relay.loads.age(choice.Target.ID, now)).
		Float64("mean", mean).Str("standing", choice.Standing.String()).Int("candidates", len(field.Serving())).
		Uint64("targets_revision", view.TargetsRevision).Send()
	return at, true
}

// cacheSource is another target that probably holds more of the prompt's cache
// than the chosen one; nil if there is none.
func (s *serving) cacheSource(field *dispatch.Field, choice dispatch.Choice, signs *signs) *catalog.Target {
	var guess fleet.TargetID
	if choice.Source != nil {
		guess = choice.Source.ID
	}
	find := func(id fleet.TargetID) *catalog.Target {
		if id == "" || id == choice.Target.ID || slices.Contains(s.tried, id) {
			return nil
		}
		t := field.Find(id)
		if t == nil || signs.Standing(t) == suspicion.Shunned {
			return nil
		}
		return t
	}
	usable := func(id fleet.TargetID) bool { return find(id) != nil }
	return find(s.relay.holders.Beyond(s.call.Prompt, choice.Target.ID, guess, signs.now, usable))
}

// attempt sends the request to a target and passes the answer on as far as it
// can be.
func (s *serving) attempt(ctx context.Context, t placed) *ended {
	done := s.relay.loads.begin(t.ID)
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	mute := func() bool { return s.relay.book.Mute(t.ID, t.Domain, time.Now()) }
	silence := newSilence(s.patience(), mute, func() { cancel(errSilent) })
	defer silence.stop()
	sent := time.Now()
	e := s.send(ctx, t, silence)
	s.note(ctx, t.Target, e)
	if !s.model() {
		s.notePace(e, time.Since(sent))
	}
	return e
}

// notePace takes what the attempt shows of the work before a plain service.
func (s *serving) notePace(e *ended, took time.Duration) {
	shedder := s.relay.shedder(s.service)
	switch {
	case e.why == reason.TargetRefused:
		shedder.Rejected(time.Now())
	case e.whole || e.why == reason.TargetFailed:
		shedder.Answered(took, s.route.Objective, time.Now())
	}
}

// patience is how long the target may be silent; zero means that another
// attempt would not be allowed, so that there is no point in giving this one up.
func (s *serving) patience() time.Duration {
	if !s.life.MayRepeat() {
		return 0
	}
	return max(objectives*s.route.Objective, leastSilence)
}

func (s *serving) send(ctx context.Context, t placed, silence *silence) *ended {
	dialect := s.relay.cfg.Dialect
	a := &call.Attempt{
		Target: t.Target, Left: time.Until(s.deadline), Rank: s.rank, After: s.last, CacheAddr: t.cache,
		Model: s.model(),
	}
	if s.account != nil {
		a.Account = s.account.Name
	}
	answer, err := s.relay.pool.Do(ctx, &targetconn.Request{
		Target: t.ID, Addr: t.Addr, Method: s.call.Method, URI: s.call.URI, Host: s.call.Host,
		Header: dialect.Encode(s.call, a), Body: s.call.Body, Fresh: s.route.Repetition == catalog.Once,
		Owns: func(status int, h http.Header) bool {
			id := dialect.Reply(status, h).ID
			return id == s.call.ID || id == ""
		},
	})
	if errors.Is(err, targetconn.ErrNotSent) {
		return &ended{why: reason.TargetDown, err: err}
	}
	if err != nil {
		return &ended{why: reason.AnswerTruncated, err: err}
	}
	e := &ended{answer: answer, reply: dialect.Reply(answer.Status, answer.Header)}
	if e.reply.Load != nil {
		s.relay.report(t.ID, e.reply.Load)
	}
	s.receive(t, e, silence)
	return e
}

// receive takes an answer from its head on.
func (s *serving) receive(t placed, e *ended, silence *silence) {
	reply := &e.reply
	switch {
	case reply.NotRun && (reply.ID == s.call.ID || !e.answer.Reused()):
		e.why = reason.TargetRefused
		_, _ = io.Copy(io.Discard, io.LimitReader(e.answer, wholeBody))
		e.close()
	case !reply.Success():
		s.receiveFailure(e)
	case !reply.Signed:
		e.why, e.err = reason.AnswerMismatch, errUnsigned
	case reply.ID != s.call.ID:
		e.why, e.err = reason.AnswerMismatch, targetconn.ErrForeign
	case e.answer.Header.Get("Content-Encoding") != "":
		e.why, e.err = reason.AnswerMismatch, errEncoded
	case s.route.Stream:
		s.receiveStream(t, e, silence)
	default:
		s.receiveBody(e)
	}
	if !e.whole && e.why != reason.TargetFailed {
		e.close()
	}
}

// receiveFailure reads a failure, so that it can be passed on if nothing better
// follows. A status that promises what the target did not say is no answer.
func (s *serving) receiveFailure(e *ended) {
	e.why = reason.TargetFailed
	body, err := io.ReadAll(io.LimitReader(e.answer, wholeBody+1))
	e.body = body
	switch {
	case err != nil:
		e.why, e.err = reason.AnswerTruncated, err
	case len(body) > wholeBody || call.PromisesNotRun(e.reply.Status):
		e.why, e.err = reason.AnswerTruncated, fmt.Errorf("relay: status %d cannot be passed on", e.reply.Status)
	}
}

// receiveBody passes an answer of success on once it is whole; one that is too
// large for that is passed on as it arrives.
func (s *serving) receiveBody(e *ended) {
	body, err := io.ReadAll(io.LimitReader(e.answer, wholeBody+1))
	if err != nil {
		e.why, e.err = reason.AnswerTruncated, err
		return
	}
	e.body = body
	s.startAnswer(e, int64(len(body)))
	if _, err := s.w.Write(body); err != nil {
		e.err, e.left = err, true
		return
	}
	if len(body) > wholeBody {
		if _, err := io.Copy(s.w, e.answer); err != nil {
			e.why, e.err = reason.AnswerTruncated, err
			return
		}
	}
	e.whole = true
}

// note takes what the attempt shows of the target.
func (s *serving) note(ctx context.Context, t *catalog.Target, e *ended) {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errSilent) {
		return
	}
	sign := suspicion.Served
	switch {
	case e.whole || e.left:
		s.relay.holders.Note(s.call.Prompt, t.ID, time.Now())
	case e.why == reason.TargetDown:
		sign = suspicion.Unreachable
		s.relay.pool.Forget(t.ID)
	case e.why == reason.TargetRefused:
		sign = suspicion.Full
	case e.why == reason.TargetFailed:
		sign = suspicion.Failure
	default:
		sign = suspicion.Broken
	}
	before, after := s.relay.book.Note(t, sign, time.Now())
	if before != after {
		s.Log(event.TargetStanding).AnErr("error", e.err).Str("before", before.String()).Str("after", after.String()).Send()
	}
}
