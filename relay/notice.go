package relay

import (
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
)

// recordNotice records what the response to this request says of the requests that its target
// wants from this router.
func (s *requestState) recordNotice(t *catalog.Target, reply *call.Reply) {
	if reply.ID != s.call.ID {
		return
	}
	now := time.Now()
	if reply.Leaving && s.relay.notices.RecordLeaving(t, now) {
		s.Log(event.TargetLeaves).Str("leaving", string(t.ID)).Send()
	}
	if s.relay.notices.RecordQuiet(t, reply.RetryAfter, now) {
		s.Log(event.TargetWantsQuiet).Str("quiet", string(t.ID)).Dur("retry_after", reply.RetryAfter).Send()
	}
}

// shortestQuiet returns the time until the first of those targets that want no requests takes
// them again, or zero if there is no such target.
func (s *targetSignals) shortestQuiet(targets []*catalog.Target) time.Duration {
	shortest := time.Duration(0)
	for _, t := range targets {
		if quiet := s.relay.notices.Remaining(t, s.now); quiet > 0 && (shortest == 0 || quiet < shortest) {
			shortest = quiet
		}
	}
	return shortest
}
