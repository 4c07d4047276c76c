package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/reason"
	"ragwortpond.example/ragwortpond/targethealth"
)

// errHealthFailed means that a target answered a probe of its health with a failure.
var errHealthFailed = errors.New("relay: health probe failed")

// recordAttempt updates the target's health state and the record of cache holders. Attempts
// cancelled for another reason than the target's silence are ignored.
func (s *requestState) recordAttempt(ctx context.Context, t *catalog.Target, result *attemptResult, sentAt time.Time) {
	if cause := context.Cause(ctx); cause != nil && !errors.Is(cause, errSilenceTimeout) {
		return
	}
	signal := targethealth.Succeeded
	switch {
	case result.complete || result.clientGone:
		s.relay.holders.Record(s.call.Prompt, t.ID, time.Now())
	case result.reason == reason.TargetDown:
		signal = targethealth.Unreachable
		s.relay.pool.CloseIdle(t.ID)
	case result.reason == reason.TargetRefused:
		signal = targethealth.Rejected
	case result.reason == reason.TargetFailed:
		signal = targethealth.Failed
	default:
		signal = targethealth.Incomplete
	}
	before, after := s.relay.health.Record(t, signal, time.Now())
	s.relay.recordReturn(t, before, after, time.Now())
	if before != after {
		s.Log(event.TargetHealthChanged).AnErr("error", result.err).Str("before", before.String()).Str("after", after.String()).Send()
	}
	if ctx.Err() == nil {
		s.recordAnswer(t, signal, result, sentAt)
	}
}

// recordAnswer records whether an attempt brought anything sound, unless that was recorded as its
// stream began. A target that rejects the request, or cannot be reached, says nothing of its answers.
func (s *requestState) recordAnswer(t *catalog.Target, signal targethealth.Observation, result *attemptResult, sentAt time.Time) {
	if result.sound {
		return
	}
	switch signal {
	case targethealth.Rejected, targethealth.Unreachable:
	case targethealth.Succeeded:
		s.recordSoundness(t, targethealth.Sound, nil, sentAt)
	case targethealth.Failed:
		answer := targethealth.Unsound
		if result.reply.Signed {
			answer = targethealth.Sound
		}
		s.recordSoundness(t, answer, errUnsignedResponse, sentAt)
	default:
		s.recordSoundness(t, targethealth.Unsound, result.err, sentAt)
	}
}

// recordBeginning records that a stream has begun, which is sound whatever becomes of it.
func (s *requestState) recordBeginning(t *catalog.Target, result *attemptResult) {
	result.sound = true
	s.recordSoundness(t, targethealth.Sound, nil, time.Now())
}

// recordSoundness records whether an attempt that was sent at a time brought anything sound; err
// tells what was wrong if it did not.
func (s *requestState) recordSoundness(t *catalog.Target, a targethealth.Answer, err error, sentAt time.Time) {
	before, after := s.relay.health.RecordAnswer(t, a, sentAt, time.Now())
	if before != after {
		s.Log(event.TargetEjected).AnErr("error", err).Bool("ejected", after).Send()
	}
}

// probeEjected asks the ejected targets that are due for their health, which requests that may run
// once wait for.
func (r *Relay) probeEjected(ctx context.Context, now time.Time) {
	due := r.health.DueHealthProbes(now)
	if len(due) == 0 {
		return
	}
	view := r.cfg.View()
	for service, list := range view.Targets {
		path := view.Config.Services[service].HealthPath
		for _, t := range list {
			if slices.Contains(due, t.ID) {
				go r.probeHealth(ctx, t, path)
			}
		}
	}
}

// probeHealth asks a target for its health, or, without a path for that, opens a connection, and
// records whether it served.
func (r *Relay) probeHealth(ctx context.Context, t *catalog.Target, path string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var err error
	if path == "" {
		err = r.pool.ProbeOpen(ctx, t.ID, t.Addr, crashCheckDelay)
	} else {
		var reply call.Reply
		if reply, _, err = r.askHealth(ctx, t, path); err == nil && !reply.Success() {
			err = fmt.Errorf("%w: status %d", errHealthFailed, reply.Status)
		}
	}
	answer := targethealth.Sound
	if err != nil {
		answer = targethealth.Unsound
	}
	r.health.RecordHealthProbe(t.ID, answer)
	event.EjectedTargetProbed.Log(r.cfg.Log).Str("target", string(t.ID)).AnErr("error", err).Send()
}

// UnsoundReports returns what this router reports to others of targets that answer nothing sound.
func (r *Relay) UnsoundReports(now time.Time) []targethealth.Report {
	return r.health.Reports(now)
}

// MergeUnsoundReport adds what another router reports of a target.
func (r *Relay) MergeUnsoundReport(from fleet.RouterID, report targethealth.Report, now time.Time) {
	r.health.MergeReport(from, report, now)
}

// settleHearsay decides which reports of other routers count.
func (r *Relay) settleHearsay(now time.Time) {
	for _, v := range r.health.SettleHearsay(r.cfg.View().Targets, now) {
		reporters := make([]string, len(v.Reporters))
		for i, from := range v.Reporters {
			reporters[i] = string(from)
		}
		event.TargetReportedUnsound.Log(r.cfg.Log).Str("target", string(v.Target)).Bool("avoided", v.Avoided).Strs("reporters", reporters).Send()
	}
}
