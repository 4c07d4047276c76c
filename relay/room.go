package relay

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/overload"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// admissionSeed makes the point of a request independent of other uses of its ID.
const admissionSeed = 0xad317

// admit refuses a request whose refusal costs callers least while the targets of its service have too little room, and
// reports whether the request was admitted. See package overload. A client that takes a stream up goes on.
func (s *requestState) admit() bool {
	if s.call.TakesUp {
		return true
	}
	room, now := s.relay.room(s.service), time.Now()
	if slots := s.view.Config.Services[s.service].Slots; slots > 0 {
		_, mean := s.relay.targetSet(s.view, s.service, now)
		room.RecordOccupancy(mean / float64(slots))
	}
	d := room.Decide(s.roomRequest(), rendezvous.Unit(rendezvous.Mix(admissionSeed, xxhash.Sum64String(string(s.call.ID)))), now)
	if d.Admit {
		return true
	}
	s.relay.cfg.Latency.RoomRefusals.WithLabelValues(string(s.service), strconv.Itoa(s.priority), string(d.Cause)).Inc()
	s.relay.cfg.Latency.ReturnSeconds.WithLabelValues(string(d.Cause)).Observe(d.RetryAfter.Seconds())
	s.Log(event.RequestShed).Str("cause", string(d.Cause)).Float64("pressure", d.Pressure).Float64("refused", d.Refused).Int("priority", s.priority).Send()
	s.refuseAfter(reason.Describe(reason.Overload).Status, reason.Overload, d.RetryAfter)
	return false
}

// roomRequest returns what the decision takes into account of the request.
func (s *requestState) roomRequest() overload.Request {
	r := overload.Request{Priority: s.priority, Route: xxhash.Sum64String(s.route.Name), Objective: s.route.LatencyObjective, Left: s.call.ClientTimeout}
	if s.isModelService() {
		r.Work = modelWork(s.call)
	}
	if s.account != nil {
		r.Account = xxhash.Sum64String(string(s.account.Name))
	}
	return r
}

// recordRoom records what an attempt's result and duration show of the room of the service's targets. Answers of model
// engines are recorded by recordFirst.
func (s *requestState) recordRoom(result *attemptResult, elapsed time.Duration) {
	room, now := s.relay.room(s.service), time.Now()
	before, wasShort := room.State(now)
	switch {
	case result.reason == reason.TargetRefused:
		if s.showsFullTarget(&result.reply, now) {
			room.RecordRejection(s.priority, now)
		}
	case s.isModelService():
	case result.complete || result.reason == reason.TargetFailed:
		room.RecordAnswer(s.roomRequest(), elapsed, now)
	}
	s.reportRoom(before, wasShort, elapsed)
}

// recordFirst records the time to the first part of an answer of a model engine.
func (s *requestState) recordFirst() {
	if s.target == nil || !s.isModelService() || s.call.TakesUp {
		return
	}
	room, now := s.relay.room(s.service), time.Now()
	before, wasShort := room.State(now)
	room.RecordAnswer(s.roomRequest(), s.timeToHead, now)
	s.reportRoom(before, wasShort, s.timeToHead)
}

// reportRoom logs that evidence of want of room comes up, or is gone, and sets the gauge of the pressure.
func (s *requestState) reportRoom(before float64, wasShort bool, elapsed time.Duration) {
	after, short := s.relay.room(s.service).State(time.Now())
	if before != after {
		s.relay.cfg.Latency.RoomPressure.WithLabelValues(string(s.service)).Set(after)
	}
	if short != wasShort {
		s.Log(event.RoomChanged).Bool("short", short).Float64("pressure", after).Dur("elapsed", elapsed).Send()
	}
}

// showsFullTarget reports whether a rejection that was received at a time shows that its target
// has no room. It does not if another instance at the address rejected the request, if the
// status has another meaning, if the target leaves or names a time without requests, or if the
// request's time was over.
func (s *requestState) showsFullTarget(reply *call.Reply, at time.Time) bool {
	return s.isOwnReply(reply) && reply.Status == http.StatusServiceUnavailable &&
		!reply.Leaving && reply.RetryAfter == 0 && at.Before(s.deadline)
}

const (
	// answerTokenWork is the work of a token of an answer in that of a token of a prompt: a prompt is read many tokens
	// at a time.
	answerTokenWork = 10
	// sharedTokenWork is that of a token of a part of a prompt that other requests share, and that is probably cached.
	sharedTokenWork = 0.1
)

// modelWork returns the work that a request to a model engine needs, in tokens of a prompt; zero if it tells nothing.
func modelWork(c *call.Call) float64 {
	work := answerTokenWork * float64(c.AnswerTokens)
	for i, part := range c.Prompt {
		if i < len(c.Prompt)-1 {
			work += sharedTokenWork * float64(part.Tokens)
		} else {
			work += float64(part.Tokens)
		}
	}
	return work
}
