package admission

import (
	"time"
)

// StopSchedule is the schedule of a planned stop.
type StopSchedule struct {
	// LeaveAt is when the platform stops sending new clients to this router.
	LeaveAt time.Time
	// EndAt is when the process exits.
	EndAt time.Time
}

// RequestTime is what is known of the time that a request takes.
type RequestTime struct {
	// Limit is the time after which the request ends in any case, by its deadline.
	Limit time.Duration
	// Expected is the time that most requests like it take; zero if that is not known.
	Expected time.Duration
}

// Accepts reports whether to accept a request that arrives during a planned stop.
//
// The length of an answer is not known before its end, and an estimate can be wrong by any
// factor. An estimate therefore only ever leads to a refusal:
//
//   - Until LeaveAt a client that is refused may be sent here again. A request is accepted
//     unless it is expected to outlast EndAt.
//   - From LeaveAt on a client that is refused is sent to another router, and what is
//     accepted has to end in time. A request is accepted if its limit is before EndAt.
//
// A stopping router still receives requests over kept-alive connections, and when its
// neighbors are stopping too. If it refused them all, requests whose second attempt reaches
// another stopping router would be lost.
func (s StopSchedule) Accepts(t RequestTime, now time.Time) bool {
	left := s.EndAt.Sub(now)
	if t.Limit <= left {
		return true
	}
	return now.Before(s.LeaveAt) && max(t.Expected, plainCallTime) <= left
}
