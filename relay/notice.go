package relay

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
)

// recordNotice records what the response to this request says of the requests that its target
// wants from this router.
func (s *requestState) recordNotice(t *catalog.Target, reply *call.Reply) {
	if !s.isOwnReply(reply) {
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

// checkNotices asks the targets which have a new process, but have said that they leave, whether
// this still holds: the new process may have said it before its entry was known here.
func (r *Relay) checkNotices(ctx context.Context, now time.Time) {
	view := r.cfg.View()
	if view.Config == nil {
		return
	}
	for service, targets := range view.Targets {
		path := view.Config.Services[service].HealthPath
		for _, t := range targets {
			switch {
			case !r.notices.DueCheck(t, now):
			case path == "":
				r.notices.RecordCheck(t, false)
			default:
				go r.checkNotice(ctx, t, path)
			}
		}
	}
}

// checkNotice asks a target's present process whether it leaves. Without an answer the notice
// holds.
func (r *Relay) checkNotice(ctx context.Context, t *catalog.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	reply, _, err := r.askHealth(ctx, t, path)
	if err == nil {
		r.notices.RecordCheck(t, reply.Leaving)
	}
	event.TargetNoticeChecked.Log(r.cfg.Log).Str("target", string(t.ID)).Bool("leaving", reply.Leaving).AnErr("error", err).Send()
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
