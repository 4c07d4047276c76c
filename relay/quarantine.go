package relay

import (
	"strconv"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/reason"
)

// maxQuarantineRetryAfter bounds the mean Retry-After of requests with a quarantined part,
// whose verdict may be lifted earlier than it expires.
const maxQuarantineRetryAfter = 30 * time.Second

// quarantinedPart is a quarantined part of a request's prompt, or the digest of a
// quarantined request.
type quarantinedPart struct {
	id        uint64
	isRequest bool
	remaining time.Duration
}

// asked returns what the request asks of its target. It needs the body.
func (s *requestState) asked() quarantine.Request {
	if s.digest == 0 {
		account := fleet.AccountName("")
		if s.account != nil {
			account = s.account.Name
		}
		s.digest = quarantine.NewDigest(s.call, account)
	}
	return quarantine.Request{Prompt: s.call.Prompt, Digest: s.digest}
}

// findQuarantined reports whether the request or a part of its prompt is quarantined, and
// records that this kept the request from a target.
func (s *requestState) findQuarantined() bool {
	now := time.Now()
	if s.relay.evidence.QuarantinedParts() == 0 {
		return false
	}
	asked := s.asked()
	id, remaining, ok := s.relay.evidence.Blocked(asked, now)
	if !ok {
		return false
	}
	s.quarantined = &quarantinedPart{id, id == asked.Digest, remaining}
	s.relay.evidence.RecordRefusal(id, now)
	s.Log(event.PromptRefused).Str("part", partName(id)).Bool("request_itself", s.quarantined.isRequest).Dur("left", remaining).Int("attempts", s.attempts).Send()
	return true
}

// admitUnlessQuarantined refuses the request if it or a part of its prompt is quarantined,
// and reports whether it was admitted.
func (s *requestState) admitUnlessQuarantined() bool {
	if !s.findQuarantined() {
		return true
	}
	s.refuseQuarantined()
	return false
}

// refuseQuarantined refuses a request that has not run because it or a part of its prompt
// is quarantined.
func (s *requestState) refuseQuarantined() {
	code := reason.PromptQuarantined
	if s.quarantined.isRequest {
		code = reason.RequestQuarantined
	}
	s.refuse(code, min(s.quarantined.remaining, maxQuarantineRetryAfter))
}

// recordProgress records a success of the request once the current attempt has forwarded
// quarantine.ClearingEvents events.
func (s *requestState) recordProgress() {
	if s.events-s.eventsBefore == quarantine.ClearingEvents {
		s.relay.reportChanges(s.relay.evidence.RecordSuccess(s.asked(), time.Now()))
	}
}

// recordEvidence records a complete answer as a success of the request, and starts the
// check of a target that broke off the attempt.
func (s *requestState) recordEvidence(t *catalog.Target, result *attemptResult, sentAt time.Time) {
	started := s.events-s.eventsBefore >= quarantine.ClearingEvents
	switch {
	case result.complete && (started || result.response.Delimited):
		// The end of an answer that is not delimited may be that of the target.
		s.relay.reportChanges(s.relay.evidence.RecordSuccess(s.asked(), time.Now()))
	case !started && brokenByTarget(result.err):
		asked := s.asked()
		asked.StartedAt = sentAt
		s.relay.checkCrash(t, brokenAttempt{s.call.ID, asked, time.Now()})
	}
}

// reportChanges logs changes of the quarantined parts and requests and publishes new evidence.
func (r *Relay) reportChanges(changes quarantine.Changes) {
	r.logChanges(changes)
	if !changes.News.Empty() && r.cfg.OnEvidence != nil {
		r.cfg.OnEvidence(changes.News)
	}
}

func (r *Relay) logChanges(changes quarantine.Changes) {
	for _, lift := range changes.Lifted {
		event.QuarantineLifted.Log(r.cfg.Log).Str("part", partName(lift.Part)).Str("cause", string(lift.Cause)).Send()
	}
	for _, d := range changes.Quarantined {
		event.PartQuarantined.Log(r.cfg.Log).Str("part", partName(d.Part)).Bool("request_itself", d.Request).Bool("from_peer", d.FromPeer).Int("incidents", d.Incidents).
			Int("crashes", d.Crashes).Int("alike", d.Alike).Dur("age", time.Since(d.Since)).Send()
	}
}

// partName returns the name of a part, or of a request by its digest, in logs.
func partName(part uint64) string {
	return strconv.FormatUint(part, 36)
}

func sharedPartNames(prompt []call.Part) []string {
	var names []string
	for _, part := range call.SharedParts(prompt) {
		names = append(names, partName(part.ID))
	}
	return names
}

// ExportEvidence returns the evidence on requests and parts of prompts that another router needs,
// encoded in about maxBytes at most.
func (r *Relay) ExportEvidence(now time.Time, maxBytes int) quarantine.Evidence {
	return r.evidence.Export(now, maxBytes)
}

// MergeEvidence adds another router's evidence and returns what of it was new, to be
// forwarded, and what contradicts it, for the router that sent it.
func (r *Relay) MergeEvidence(e quarantine.Evidence, now time.Time) (forward, answer quarantine.Evidence) {
	changes := r.evidence.Merge(e, now)
	r.logChanges(changes)
	return changes.News, changes.Answer
}

// QuarantinedParts returns the number of quarantined parts of prompts and requests.
func (r *Relay) QuarantinedParts() int {
	return r.evidence.QuarantinedParts()
}
