package admission

import (
	"time"

	"ragwortpond.example/ragwortpond/catalog"
)

// Estimated durations, used to decide whether a request finishes before the end of
// a planned stop. Most requests take less.
const (
	// plainCallTime covers a plain call with a second attempt, as long as no slower ones are
	// known.
	plainCallTime = 1600 * time.Millisecond
	// firstEventTime covers the time to a stream's first event.
	firstEventTime = time.Second
)

// defaultAnswerTokens is the assumed answer size, in tokens, of a request that sets
// no bound. Most answers are smaller.
const defaultAnswerTokens = 1000

// StopSchedule is the schedule of a planned stop.
type StopSchedule struct {
	// LeaveAt is when the platform stops sending new clients to this router; until
	// then all requests are accepted, unless a plain call could not finish.
	LeaveAt time.Time
	// EndAt is when the process exits.
	EndAt time.Time
}

// Accepts reports whether to accept a request that arrives during a planned stop.
// After LeaveAt, or shortly before EndAt, a request is accepted only if it is expected to
// finish before EndAt.
// answerTokens bounds the answer of a stream; zero means that its size is unknown. pace is
// that of the route's service.
//
// A stopping router still receives requests over kept-alive connections, and when
// its neighbors are stopping too. If it refused them all, requests whose second
// attempt reaches another stopping router would be lost.
func (s StopSchedule) Accepts(r *catalog.Route, answerTokens int, pace *Pace, now time.Time) bool {
	if now.Before(s.LeaveAt) && s.EndAt.Sub(now) >= plainCallTime {
		return true
	}
	required := pace.AnswerTime(r, answerTokens)
	if r.Timeout > 0 {
		required = min(required, r.Timeout)
	}
	return s.EndAt.Sub(now) >= required
}
