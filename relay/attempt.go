package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"mime"
	"net/http"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/attemptloop"
	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/retry"
	"ragwortpond.example/ragwortpond/targetconn"
	"ragwortpond.example/ragwortpond/targethealth"
)

// Errors of an attempt's response.
var (
	errUnsignedResponse    = errors.New("relay: success response without signature")
	errUnrequestedEncoding = errors.New("relay: response has a content encoding that was not requested")
	errSilenceTimeout      = errors.New("relay: target stopped sending data")
	errPartialEvent        = errors.New("relay: stream ended within an event")
	errNoEvent             = errors.New("relay: connection ended before the first event")
	errNoContinuation      = errors.New("relay: response does not continue the stream")
)

const (
	// maxBufferedBodyBytes is the size up to which a response body is buffered
	// before any of it is forwarded, so that a broken response can be replaced by
	// that of another attempt.
	maxBufferedBodyBytes = 64 << 10
	// A repeatable request that gets no complete response, or no first event of a
	// stream, within silenceObjectiveFactor times the route's latency objective is
	// sent to another target, if there is one. After its first event, a resumable
	// stream may be silent for silencePauseFactor times the route's longest pause.
	// Neither is less than minSilenceTimeout, since a sound target may pause for a
	// second, unless little time is left for another attempt.
	silenceObjectiveFactor = 2
	silencePauseFactor     = 4
	minSilenceTimeout      = 1500 * time.Millisecond
)

// attemptResult is the result of one attempt.
type attemptResult struct {
	// complete is set if the client has received the complete response.
	complete bool
	// reason tells why an attempt without a complete response ended.
	reason   reason.Code
	reply    call.Reply
	response *targetconn.Response
	// body is the part of the response body that was buffered before forwarding.
	body []byte
	err  error
	// end is the evidence of the end of a response without framing; empty until it is confirmed.
	end endEvidence
	// committed is set once the client has part of a response that no other attempt can
	// continue.
	committed bool
	// clientGone is set if writing the response to the client failed.
	clientGone bool
	// sound is set once the attempt was recorded as sound.
	sound bool
}

// retryEnd converts the result for the retry life cycle. events is the number of
// events forwarded by all attempts of the request.
func (r *attemptResult) retryEnd(events int) retry.AttemptResult {
	end := retry.AttemptResult{
		Outcome: outcome.Dispatched, Reason: r.reason, Complete: r.complete, Events: uint64(events), Committed: r.committed,
		CallerDisconnected: r.clientGone, Status: r.reply.Status, Err: r.err,
	}
	if !r.complete && (r.reason == reason.TargetDown || r.reason == reason.TargetRefused) {
		end.Outcome = outcome.NotDispatched
	}
	return end
}

// commit records that the client gets part of a response that no other attempt can
// continue, and stops the timer. It returns errSilenceTimeout, and records nothing, if the
// attempt has been abandoned.
func (r *attemptResult) commit(timer *attemptloop.GiveUpTimer) error {
	if !timer.Stop() {
		return errSilenceTimeout
	}
	r.committed = true
	return nil
}

func (r *attemptResult) close() {
	if r.response != nil {
		r.response.Close()
	}
}

// Attempt implements attemptloop.Attempter: it chooses a target and makes one attempt there.
func (s *requestState) Attempt(ctx context.Context, step retry.Step) (retry.AttemptResult, bool) {
	// Before the first attempt admitUnlessQuarantined has looked.
	if s.attempts > 0 && s.findQuarantined() {
		return retry.AttemptResult{}, false
	}
	// The request may have waited since it was accepted. A stream that has begun continues
	// for as long as it can.
	if !s.headSent && !s.finishesBeforeStop() {
		return retry.AttemptResult{}, false
	}
	target, ok := s.chooseTarget()
	if !ok {
		return retry.AttemptResult{}, false
	}
	s.current.close()
	s.current = s.attempt(ctx, target)
	s.countAttempt(step)
	end := s.current.retryEnd(s.events)
	end.CallerDisconnected = end.CallerDisconnected || errors.Is(ctx.Err(), context.Canceled)
	return end, true
}

// countAttempt counts the current attempt if it was sent to its target.
func (s *requestState) countAttempt(step retry.Step) {
	if s.current.reason == reason.TargetDown {
		return
	}
	charge := "uncharged"
	switch {
	case !s.sent:
		charge = "first"
	case step.Charged:
		charge = "charged"
	}
	s.sent = true
	s.relay.cfg.Latency.Attempts.WithLabelValues(string(s.service), charge).Inc()
}

// reserveNextAttempt reports whether another attempt can follow the one in progress, at a
// target that is not avoided and has room, and takes its retry from the budget. It is
// called while the attempt in progress waits for its target.
func (s *requestState) reserveNextAttempt() bool {
	now := time.Now()
	view := s.relay.cfg.View()
	targets, mean := s.relay.targetSet(view, s.service, now)
	signals := &targetSignals{relay: s.relay, view: view, now: now, meanPace: s.relay.meanPace(s.service)}
	choice := s.choose(targets, mean, signals)
	if choice.Target == nil || choice.Health == targethealth.Avoided {
		return false
	}
	full := choice.Target.Slots > 0 && choice.Load >= float64(choice.Target.Slots)
	if full || !s.lifecycle.Reserve(now) || !s.takePermit(choice, targets, signals) {
		return false
	}
	s.permit, s.permitAt = choice.Target.ID, time.Now()
	return true
}

// choose returns the target for the next attempt; mean is the mean load of targets.
func (s *requestState) choose(targets *dispatch.Candidates, mean float64, signals *targetSignals) dispatch.Choice {
	query := dispatch.Query{
		Domain: s.relay.cfg.Domain, Key: s.promptKey(), Version: s.version, Tried: s.tried, Mean: mean, Paced: signals.meanPace > 0, Shared: s.isModelService(), Random: rand.Uint64(),
	}
	return dispatch.Choose(query, targets, signals, signals.now)
}

// promptKey returns the key by which requests are kept on one target, or zero if the
// request has none.
func (s *requestState) promptKey() uint64 {
	if !s.route.PromptAffinity {
		return 0
	}
	return dispatch.PromptKey(s.call.Prompt)
}

// chosenTarget is the target chosen for an attempt.
type chosenTarget struct {
	*catalog.Target
	// cacheAddr is host:port of another target that probably holds the prompt's KV
	// cache; empty if there is none.
	cacheAddr string
}

// chooseTarget chooses the target of the next attempt. It returns false if no
// candidate is left.
func (s *requestState) chooseTarget() (chosenTarget, bool) {
	view := s.targetsView()
	now := time.Now()
	targets, mean := s.relay.targetSet(view, s.service, now)
	signals := &targetSignals{relay: s.relay, view: view, now: now, purpose: s.purpose(now), meanPace: s.relay.meanPace(s.service)}
	choice := s.choosePermitted(targets, mean, signals)
	if choice.Target == nil && len(s.abandoned) > 0 {
		// A target that was abandoned for its silence may answer by now.
		s.readmitAbandoned()
		choice = s.choosePermitted(targets, mean, signals)
	}
	if choice.Target == nil {
		s.limited = slices.ContainsFunc(targets.Serving(), signals.needsPermit)
		s.quietFor = signals.shortestQuiet(targets.Serving())
		s.evacuated = s.attempts == 0 && evacuatedOf(view, s.service, s.version)
		return chosenTarget{}, false
	}
	chosen := chosenTarget{Target: choice.Target}
	s.target = choice.Target
	s.relay.health.BeginTrial(choice.Target.ID, now)
	line := s.Log(event.RequestPlaced).Str("version", string(choice.Target.Version))
	if s.hasEvent {
		stream, _ := s.streamKey()
		line.Uint64("after_event", s.lastEventID).Str("resumes", string(s.call.Resumes)).Str("stream", stream.String())
	}
	if key := s.promptKey(); key != 0 {
		line.Str("key", partName(key))
		if source := s.cacheSource(targets, choice, signals); source != nil {
			chosen.cacheAddr = source.Addr
			line.Str("cache_source", string(source.ID))
		}
	}
	if s.attempts == 0 {
		s.timeToTarget = time.Since(s.arrivedAt)
	}
	s.attempts++
	s.tried = append(s.tried, choice.Target.ID)
	line.Str("basis", string(choice.Reason)).Float64("load", choice.Load).Dur("load_age", s.relay.loads.reportAge(choice.Target.ID, now)).
		Float64("mean", mean).Str("standing", choice.Health.String()).Int("candidates", len(targets.Serving())).
		Uint64("targets_revision", view.TargetsRevision)
	signals.logPace(line, choice.Target)
	line.Send()
	return chosen, true
}

// maxViewAge is how old the view of a request's arrival may be when its first target is chosen. A request that took
// longer to arrive might go to a failure domain that was evacuated meanwhile.
const maxViewAge = 200 * time.Millisecond

// targetsView returns the view to choose the next target from: that of the request's arrival for the first attempt,
// unless that is too old.
func (s *requestState) targetsView() *catalog.View {
	if s.attempts > 0 || time.Since(s.arrivedAt) > maxViewAge {
		return s.relay.cfg.View()
	}
	return s.view
}

// purpose returns the purpose of the next attempt. It may be a trial of an ejected target if it is
// the first one, and the request can be repeated at another target.
func (s *requestState) purpose(now time.Time) targethealth.Purpose {
	switch {
	case s.route.RunPolicy == catalog.RunOnce:
		return targethealth.Once
	case s.attempts == 0 && s.route.MaxTargets > 1 && s.relay.retryBudget(s.service).Allows(now):
		return targethealth.Trial
	default:
		return targethealth.Repeat
	}
}

// readmitAbandoned lets the request go once more to the targets that were abandoned for
// their silence.
func (s *requestState) readmitAbandoned() {
	s.tried = slices.DeleteFunc(s.tried, func(id fleet.TargetID) bool { return slices.Contains(s.abandoned, id) })
	s.abandoned = nil
}

// cacheSource returns another target that probably holds more of the prompt's KV
// cache than the chosen one, or nil if there is none.
func (s *requestState) cacheSource(targets *dispatch.Candidates, choice dispatch.Choice, signals *targetSignals) *catalog.Target {
	var candidate fleet.TargetID
	if choice.CacheSource != nil {
		candidate = choice.CacheSource.ID
	}
	find := func(id fleet.TargetID) *catalog.Target {
		if id == "" || id == choice.Target.ID || slices.Contains(s.tried, id) {
			return nil
		}
		t := targets.Find(id)
		if t == nil || !dispatch.CanServeCache(signals, t) {
			return nil
		}
		return t
	}
	usable := func(id fleet.TargetID) bool { return find(id) != nil }
	return find(s.relay.holders.BetterHolder(s.call.Prompt, choice.Target.ID, candidate, signals.now, usable))
}

// attempt sends the request to a target, forwards its response to the client as
// far as it is valid, and records the result for later choices.
func (s *requestState) attempt(ctx context.Context, t chosenTarget) *attemptResult {
	done := s.relay.loads.begin(t.ID)
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := attemptloop.StartGiveUpTimer(s.silenceTimeout(), func() bool {
		abandon := s.reserveNextAttempt()
		if abandon {
			cancel(errSilenceTimeout)
		}
		return abandon
	})
	defer timer.Stop()
	sentAt := time.Now()
	s.eventsBefore = s.events
	result := s.send(ctx, t, timer)
	if errors.Is(context.Cause(ctx), errSilenceTimeout) {
		s.abandoned = append(s.abandoned, t.ID)
	}
	s.recordAttempt(ctx, t.Target, result, sentAt)
	s.recordEvidence(t.Target, result, sentAt)
	s.recordRoom(result, time.Since(sentAt))
	if !s.isModelService() {
		s.recordAnswerTime(t.ID, result, time.Since(sentAt))
	}
	return result
}

// silenceTimeout is how long the target may send nothing before the attempt may be
// abandoned. Zero means no timeout: no further run is allowed.
func (s *requestState) silenceTimeout() time.Duration {
	if !s.lifecycle.CanRunAgain() {
		return 0
	}
	return max(silenceObjectiveFactor*s.route.LatencyObjective, min(minSilenceTimeout, time.Until(s.deadline)/2))
}

// send makes the exchange with the target and forwards its response.
func (s *requestState) send(ctx context.Context, t chosenTarget, timer *attemptloop.GiveUpTimer) *attemptResult {
	codec := s.relay.cfg.Codec
	attempt := &call.Attempt{
		Target: t.Target, Timeout: time.Until(s.deadline), Priority: s.priority, Continues: s.hasEvent, LastEventID: s.lastEventID, CacheAddr: t.cacheAddr,
		Model: s.isModelService(),
	}
	if s.account != nil {
		attempt.Account = s.account.Name
	}
	response, err := s.relay.pool.Do(ctx, &targetconn.Request{
		Target: t.ID, Addr: t.Addr, Method: s.call.Method, URI: s.call.URI, Host: s.call.Host,
		Header: codec.EncodeAttempt(s.call, attempt), Body: s.call.Body, RequireFreshConn: s.route.RunPolicy == catalog.RunOnce,
		Matches: func(status int, h http.Header, reused bool) bool {
			id := codec.DecodeResponse(status, h).ID
			return id == s.call.ID || (id == "" && !reused)
		},
		Identity: s.streamIdentity(t.Target),
	})
	s.relay.recordPath(t.Target, err, err == nil && response.Reused())
	if errors.Is(err, targetconn.ErrNotSent) {
		return &attemptResult{reason: reason.TargetDown, err: err}
	}
	if err != nil {
		return &attemptResult{reason: reason.AnswerTruncated, err: err}
	}
	result := &attemptResult{response: response, reply: codec.DecodeResponse(response.Status, response.Header)}
	if result.reply.ID == "" || result.reply.Status == http.StatusMisdirectedRequest {
		// On a reused connection a response without an ID counts as a late one. One that
		// misdirects requests leads to another target.
		response.DiscardConn()
	}
	s.recordLimit(t.ID, &result.reply)
	s.recordNotice(t.Target, &result.reply)
	s.recordOwnLoad(t.ID, &result.reply)
	s.recordCold(t.Target, &result.reply)
	s.readResponse(ctx, t, result, timer)
	return result
}

// readResponse validates the head of a response and forwards the response, or
// buffers it if it is a failure.
func (s *requestState) readResponse(ctx context.Context, t chosenTarget, result *attemptResult, timer *attemptloop.GiveUpTimer) {
	reply := &result.reply
	switch {
	case reply.NotRun && (reply.ID == s.call.ID || !result.response.Reused()):
		result.reason = reason.TargetRefused
		_, _ = io.Copy(io.Discard, io.LimitReader(result.response, maxBufferedBodyBytes))
		result.close()
	case !reply.Success():
		s.readFailure(ctx, t, result)
	case !reply.Signed:
		result.reason, result.err = reason.AnswerMismatch, errUnsignedResponse
	case reply.ID != s.call.ID:
		result.reason, result.err = reason.AnswerMismatch, targetconn.ErrMismatch
	case result.response.Header.Get("Content-Encoding") != "":
		result.reason, result.err = reason.AnswerMismatch, errUnrequestedEncoding
	case s.continuesStream():
		if err := s.continuationError(result.response); err != nil {
			result.reason, result.err = reason.AnswerTruncated, err
			break
		}
		s.forwardStream(ctx, t, result, timer)
	case s.route.Stream && !isJSON(result.response.Header):
		s.forwardStream(ctx, t, result, timer)
	default:
		s.forwardBody(ctx, t, result, timer)
	}
	if !result.complete && result.reason != reason.TargetFailed {
		result.close()
	}
}

// isJSON reports whether a body is JSON, such as the answer to a request for no stream
// on a route of streams. It has no events whose end could be checked.
func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && mediaType == "application/json"
}

// readFailure buffers a failure response, which is forwarded if no later attempt
// does better. A response is not forwarded if it is incomplete, if it exceeds
// maxBufferedBodyBytes, or if its status would tell the client that the request has
// not run although the target did not confirm that for this request.
func (s *requestState) readFailure(ctx context.Context, t chosenTarget, result *attemptResult) {
	result.reason = reason.TargetFailed
	body, err := io.ReadAll(io.LimitReader(result.response, maxBufferedBodyBytes+1))
	result.body = body
	if err == nil && len(body) <= maxBufferedBodyBytes {
		err = s.confirmEnd(ctx, t.Target, result)
	}
	switch {
	case err != nil:
		result.reason, result.err = reason.AnswerTruncated, err
	case len(body) > maxBufferedBodyBytes || call.StatusMeansNotRun(result.reply.Status):
		result.reason, result.err = reason.AnswerTruncated, fmt.Errorf("relay: response with status %d cannot be forwarded", result.reply.Status)
	}
}

// forwardBody forwards a success response once it is buffered completely. A body
// larger than maxBufferedBodyBytes is forwarded as it arrives.
func (s *requestState) forwardBody(ctx context.Context, t chosenTarget, result *attemptResult, timer *attemptloop.GiveUpTimer) {
	body, err := io.ReadAll(io.LimitReader(result.response, maxBufferedBodyBytes+1))
	long := len(body) > maxBufferedBodyBytes
	if err == nil && !long {
		err = s.confirmEnd(ctx, t.Target, result)
	}
	if err != nil {
		result.reason, result.err = reason.AnswerTruncated, err
		return
	}
	result.body = body
	if err := result.commit(timer); err != nil && long {
		result.reason, result.err = reason.AnswerTruncated, err
		return
	}
	s.writeHead(result, int64(len(body)))
	if _, err := s.w.Write(body); err != nil {
		result.err, result.clientGone = err, true
		return
	}
	if long {
		if err := s.forwardRest(ctx, t, result); err != nil {
			result.reason, result.err = reason.AnswerTruncated, err
			return
		}
	}
	result.complete = true
}

// forwardRest forwards the rest of a long body as it arrives.
func (s *requestState) forwardRest(ctx context.Context, t chosenTarget, result *attemptResult) error {
	if _, err := io.Copy(s.w, result.response); err != nil {
		return err
	}
	return s.confirmEnd(ctx, t.Target, result)
}
