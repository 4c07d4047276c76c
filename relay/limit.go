package relay

import (
	"net/http"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// maxPermitTime bounds the time that one choice of a target spends on permits. Then only
// targets without a limit are left.
const maxPermitTime = 120 * time.Millisecond

// permitLifetime is how long a permit that was taken while another attempt was in progress may be
// used.
const permitLifetime = 250 * time.Millisecond

// isOwnReply reports whether a response answers this request and comes from the target that it was sent to, and not from
// another instance at its address.
func (s *requestState) isOwnReply(reply *call.Reply) bool {
	return reply.ID == s.call.ID && reply.Status != http.StatusMisdirectedRequest
}

// recordLimit records what the response to this request says of its target's limit. An
// unsigned response without a limit says nothing, since another process may have sent it.
func (s *requestState) recordLimit(id fleet.TargetID, reply *call.Reply) {
	if !s.isOwnReply(reply) {
		return
	}
	s.recordBrittle(id, reply)
	var change targetlimit.Change
	var changed bool
	switch {
	case reply.Limit.State == call.LimitNamed:
		change, changed = s.relay.limits.RecordNamed(id, reply.Limit.PerSecond, time.Now())
	case reply.Limit.State == call.LimitNone && reply.Signed:
		change, changed = s.relay.limits.RecordUnnamed(id, time.Now())
	}
	if changed {
		s.Log(event.TargetLimitChanged).Bool("limited", change.Limited).Float64("per_second", change.PerSecond).Bool("from_peer", false).Send()
	}
}

// recordBrittle records what the response to this request says of the rejections that its
// target bears.
func (s *requestState) recordBrittle(id fleet.TargetID, reply *call.Reply) {
	limits, now := s.relay.limits, time.Now()
	changed := false
	switch {
	case reply.Brittle.State == call.LimitNamed:
		changed = limits.RecordBrittle(id, reply.Brittle.PerSecond, now)
		if reply.NotRun && reply.Status == http.StatusServiceUnavailable {
			s.relay.reportRejection(id, now)
		}
	case reply.Brittle.State == call.LimitNone && reply.Signed:
		changed = limits.RecordSound(id, now)
	}
	if changed {
		s.Log(event.TargetBrittle).Bool("brittle", reply.Brittle.State == call.LimitNamed).Float64("rejections", reply.Brittle.PerSecond).Send()
	}
}

// reportRejection tells the holder of a target's permits that the target rejected a request.
func (r *Relay) reportRejection(id fleet.TargetID, now time.Time) {
	if r.cfg.ReportRejection != nil {
		r.cfg.ReportRejection(id)
		return
	}
	r.limits.RecordRejection(id, now)
}

// choosePermitted returns the target for the next attempt, for which a permit has been
// taken if it names a limit. mean is the mean load of targets.
func (s *requestState) choosePermitted(targets *dispatch.Candidates, mean float64, signals *targetSignals) dispatch.Choice {
	defer func() { s.permit = "" }()
	for {
		choice := s.choose(targets, mean, signals)
		if choice.Target == nil || s.takePermit(choice, targets, signals) {
			return choice
		}
		signals.withheld = append(signals.withheld, choice.Target.ID)
		if signals.Cold(choice.Target) {
			signals.coldDenials++
		}
		signals.onlyUnlimited = signals.onlyUnlimited || time.Since(signals.now) > maxPermitTime
	}
}

// takePermit reports whether the request may be sent to the chosen one of targets.
func (s *requestState) takePermit(choice dispatch.Choice, targets *dispatch.Candidates, signals *targetSignals) bool {
	r, id, now := s.relay, choice.Target.ID, signals.now
	if s.permit == id && time.Since(s.permitAt) < permitLifetime {
		return true
	}
	if r.isCold(signals.view, choice.Target, now) {
		return s.takeColdPermit(choice, targets, signals)
	}
	if !r.limits.NeedsPermit(id, now) {
		return true
	}
	if r.limits.Denied(id, now) {
		return false
	}
	answer := r.requestPermit(id, s.precedence(choice, targets, signals))
	if !answer.Granted {
		r.limits.RecordDenial(id, answer.Wait, time.Now())
		s.Log(event.PermitDenied).Str("limited", string(id)).Bool("holder_answered", answer.Answered).Dur("wait", answer.Wait).Send()
	}
	return answer.Granted
}

// precedence returns the precedence of the request at a target with a limit. As long as
// others take the excess, requests with most to lose there go first; otherwise those of
// the target's own keys have equal chances.
func (s *requestState) precedence(choice dispatch.Choice, targets *dispatch.Candidates, signals *targetSignals) targetlimit.Precedence {
	switch {
	case choice.Reason == dispatch.ReasonLimit, choice.Reason == dispatch.ReasonOverflow, choice.Reason == dispatch.ReasonCold:
		return targetlimit.Foreign
	case !s.relay.anyUnlimited(signals.view, targets.Serving(), signals.now):
		return targetlimit.Home
	}
	tokens := 0
	for _, part := range call.SharedParts(s.call.Prompt) {
		tokens += part.Tokens
	}
	return targetlimit.HomePrecedence(tokens)
}

// requestPermit asks for one send to a target with a limit. While the holder of its
// permits does not answer, this router sends its own part of the limit.
func (r *Relay) requestPermit(id fleet.TargetID, precedence targetlimit.Precedence) targetlimit.Answer {
	if r.cfg.RequestPermit != nil {
		if answer := r.cfg.RequestPermit(id, precedence); answer.Answered {
			r.limits.HolderAnswered(id)
			r.countPermit(answer)
			return answer
		}
	}
	r.countPermit(targetlimit.Answer{})
	granted, wait := r.limits.TakeOwnPart(id, 1/float64(r.routerCount()), time.Now())
	return targetlimit.Answer{Granted: granted, Wait: wait}
}

func (r *Relay) countPermit(answer targetlimit.Answer) {
	result := "denied"
	switch {
	case !answer.Answered:
		result = "unanswered"
	case answer.Granted:
		result = "granted"
	}
	r.cfg.Latency.Permits.WithLabelValues(result).Inc()
}

// LimitedTargets returns the number of targets that name a limit.
func (r *Relay) LimitedTargets() int {
	return r.limits.Limited(time.Now())
}

// refuseLimited refuses a request that has not run because of the limits of its service's
// targets, or because they are cold.
func (s *requestState) refuseLimited() {
	r, now := s.relay, time.Now()
	perSecond, code := 0.0, reason.TargetsCold
	view := r.cfg.View()
	for _, t := range view.Targets[s.service] {
		if report, ok := r.limits.Report(t.ID, now); ok {
			perSecond, code = perSecond+report.PerSecond, reason.TargetLimit
		} else if r.isCold(view, t, now) {
			perSecond += view.Config.Services[s.service].ColdPerSecond
		}
	}
	if perSecond == 0 {
		s.refuse(reason.TargetLimit, overloadRetryAfter)
		return
	}
	s.refuse(code, r.returnPacer(s.service).Next(perSecond/float64(r.routerCount()), now))
}
