package relay

import (
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/dispatch"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetcold"
	"ragwortpond.example/ragwortpond/targethealth"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// maxColdDenials is the number of cold targets whose permits one choice of a target may be denied.
// Then only others are left, so that a whole domain of cold targets costs little time and few
// messages.
const maxColdDenials = 2

// isCold reports whether sends to a target of a view need permits because it is cold, or was a
// moment ago.
func (r *Relay) isCold(view *catalog.View, t *catalog.Target, now time.Time) bool {
	if !r.cold.MayBeCold(t) || view.Config == nil {
		return false
	}
	service := view.Config.Services[t.Service]
	return r.cold.Cold(t, &service, now)
}

// coldWithheld reports whether no request may be sent to a cold target for the moment.
func (s *targetSignals) coldWithheld(t *catalog.Target) bool {
	return s.Cold(t) && (s.coldDenials >= maxColdDenials || s.relay.cold.Denied(t.ID, s.now))
}

// takeColdPermit reports whether the request may be sent to the chosen one of targets, which is
// cold.
func (s *requestState) takeColdPermit(choice dispatch.Choice, targets *dispatch.Candidates, signals *targetSignals) bool {
	r, id := s.relay, choice.Target.ID
	answer := r.requestColdPermit(signals.view, choice.Target, s.precedence(choice, targets, signals))
	r.countColdPermit(answer)
	if !answer.Granted {
		r.cold.RecordDenial(id, answer.Wait, time.Now())
		s.Log(event.PermitDenied).Str("limited", string(id)).Bool("cold", true).Bool("holder_answered", answer.Answered).Dur("wait", answer.Wait).Send()
	}
	return answer.Granted
}

// requestColdPermit asks for one send to a cold target. While no router that grants it answers,
// this router takes its own part of the rate.
func (r *Relay) requestColdPermit(view *catalog.View, t *catalog.Target, precedence targetlimit.Precedence) targetcold.Answer {
	answer := targetcold.Answer{Routers: r.routerCount()}
	if r.cfg.RequestColdPermit != nil {
		answer = r.cfg.RequestColdPermit(t.ID, precedence)
	}
	if !answer.Answered {
		answer.Granted, answer.Wait = r.cold.TakeOwnPart(t.ID, view.Config.Services[t.Service].ColdPerSecond, answer.Routers, time.Now())
	}
	return answer
}

func (r *Relay) countColdPermit(answer targetcold.Answer) {
	result := "denied"
	switch {
	case !answer.Answered && answer.Granted:
		result = "own-part"
	case !answer.Answered:
		result = "unanswered"
	case answer.Granted:
		result = "granted"
	}
	r.cfg.Latency.ColdPermits.WithLabelValues(result).Inc()
}

// recordCold records what the response to this request says of how long its target stays cold.
func (s *requestState) recordCold(t *catalog.Target, reply *call.Reply) {
	if s.isOwnReply(reply) {
		s.relay.recordColdAnswer(t, reply, time.Now())
	}
}

// recordColdAnswer records what a response says of how long its target stays cold.
func (r *Relay) recordColdAnswer(t *catalog.Target, reply *call.Reply, now time.Time) {
	if reply.Cold != nil {
		r.cold.RecordAnswer(t, *reply.Cold, now)
	}
}

// recordReturn takes a target that could not be reached, and now is, for a new process until its
// entry tells.
func (r *Relay) recordReturn(t *catalog.Target, before, after targethealth.Health, now time.Time) {
	view := r.cfg.View()
	if before != targethealth.Avoided || after == targethealth.Avoided || view.Config == nil {
		return
	}
	if service := view.Config.Services[t.Service]; r.cold.Bounded(&service) {
		r.cold.RecordReturn(t, service.ColdStart, now)
	}
}

// coldNotices holds what was logged of cold targets.
type coldNotices struct {
	// cold holds the cold targets as they were last logged, unknown the targets whose entries do not
	// say whether they are cold, with the start of their processes.
	cold    map[fleet.TargetID]coldNotice
	unknown map[fleet.TargetID]time.Time
	// config is the version of the configuration whose services were logged.
	config uint64
}

// coldNotice is a cold target as it was last logged.
type coldNotice struct {
	until  time.Time
	source targetcold.Source
}

// coldNoticeStep is the change of a cold time that is logged.
const coldNoticeStep = 500 * time.Millisecond

// logCold logs the targets that have become cold, that stay cold for another time, and that are
// warm again, and entries and services that do not say so in a usable way.
func (r *Relay) logCold(view *catalog.View, now time.Time) {
	if view.Config == nil || !r.cold.InForce() {
		return
	}
	before := r.coldNotices
	r.coldNotices = coldNotices{map[fleet.TargetID]coldNotice{}, map[fleet.TargetID]time.Time{}, view.Config.Version}
	for name, list := range view.Targets {
		service := view.Config.Services[name]
		if service.ColdError != nil && before.config != view.Config.Version {
			event.TargetColdUnknown.Log(r.cfg.Log).Str("service", string(name)).Err(service.ColdError).Send()
		}
		if !r.cold.Bounded(&service) {
			continue
		}
		for _, t := range list {
			r.logColdTarget(t, &service, &before, now)
		}
	}
	for id := range before.cold {
		if _, ok := r.coldNotices.cold[id]; !ok {
			event.TargetCold.Log(r.cfg.Log).Str("target", string(id)).Bool("cold", false).Send()
		}
	}
	r.coldCount.Store(int64(len(r.coldNotices.cold)))
}

// logColdTarget is logCold for one target of a service.
func (r *Relay) logColdTarget(t *catalog.Target, service *catalog.Service, before *coldNotices, now time.Time) {
	if t.ColdError != nil {
		if !before.unknown[t.ID].Equal(t.StartedAt) {
			event.TargetColdUnknown.Log(r.cfg.Log).Str("target", string(t.ID)).Uint64("revision", t.Revision).Err(t.ColdError).Send()
		}
		r.coldNotices.unknown[t.ID] = t.StartedAt
	}
	until, source := r.cold.End(t, service)
	if !until.After(now) {
		return
	}
	r.coldNotices.cold[t.ID] = coldNotice{until, source}
	known, ok := before.cold[t.ID]
	if ok && known.source == source && until.Sub(known.until).Abs() < coldNoticeStep {
		return
	}
	event.TargetCold.Log(r.cfg.Log).Str("target", string(t.ID)).Bool("cold", true).Dur("left", until.Sub(now)).
		Str("source", string(source)).Dur("entry_age", now.Sub(t.ReadAt)).Uint64("revision", t.Revision).Send()
}

// ColdTargets returns the number of cold targets of services that bound what these get.
func (r *Relay) ColdTargets() int {
	return int(r.coldCount.Load())
}
