package relay

import (
	"math/rand/v2"
	"strconv"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/outcome"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/reason"
)

// maxQuarantineRetryAfter bounds the mean Retry-After of requests with a quarantined part,
// whose verdict may be lifted earlier than it expires.
const maxQuarantineRetryAfter = 30 * time.Second

// maxSuspectRetryAfter bounds the mean Retry-After of requests that wait for the trial of another
// one.
const maxSuspectRetryAfter = time.Second

// quarantinedAs is the verdict for which a request is refused.
type quarantinedAs struct {
	quarantine.Admission
	// isRequest means that it is on the request itself.
	isRequest bool
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

// findQuarantined reports whether a verdict keeps the request from a target, and records that.
func (s *requestState) findQuarantined() bool {
	if s.relay.evidence.QuarantinedParts() == 0 {
		return false
	}
	now, asked := time.Now(), s.asked()
	admission := s.admission(asked, now)
	switch {
	case admission.Standing == quarantine.OnTrial:
		s.onTrial = true
		s.Log(event.SuspectTried).Str("verdict", partName(admission.Verdict)).Int("attempts", s.attempts).Send()
	case !admission.Admitted():
		s.quarantined = &quarantinedAs{admission, admission.Verdict == asked.Digest}
		s.relay.evidence.RecordRefusal(admission.Verdict, now)
		s.Log(event.PromptRefused).Str("part", partName(admission.Verdict)).Bool("request_itself", s.quarantined.isRequest).
			Bool("undecided", admission.Standing == quarantine.Waiting).Dur("left", admission.Remaining).Int("attempts", s.attempts).Send()
	}
	return !admission.Admitted()
}

// admission returns whether the verdicts allow the next attempt. A request on trial that has
// reached no target yet needs no second trial.
func (s *requestState) admission(asked quarantine.Request, now time.Time) quarantine.Admission {
	if s.onTrial && s.current.retryEnd(s.events).Outcome == outcome.NotDispatched {
		if id, remaining, ok := s.relay.evidence.Blocked(asked, now); ok {
			return quarantine.Admission{Standing: quarantine.Quarantined, Verdict: id, Remaining: remaining}
		}
		return quarantine.Admission{}
	}
	return s.relay.evidence.Admit(asked, quarantine.Fleet{Routers: s.relay.routerCount(), Draw: rand.Float64()}, now)
}

// admitUnlessQuarantined refuses the request if a verdict keeps it from all targets for now, and
// reports whether it was admitted.
func (s *requestState) admitUnlessQuarantined() bool {
	if !s.findQuarantined() {
		return true
	}
	s.refuseQuarantined()
	return false
}

// refuseQuarantined refuses a request that has not run because of a verdict.
func (s *requestState) refuseQuarantined() {
	switch {
	case s.quarantined.Standing == quarantine.Waiting:
		// Trials of other routers may end the wait earlier.
		s.refuse(reason.PromptSuspected, min(s.quarantined.Remaining, maxSuspectRetryAfter))
	case s.quarantined.isRequest:
		s.refuse(reason.RequestQuarantined, min(s.quarantined.Remaining, maxQuarantineRetryAfter))
	default:
		s.refuse(reason.PromptQuarantined, min(s.quarantined.Remaining, maxQuarantineRetryAfter))
	}
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
		asked.StartedAt, asked.OnTrial = sentAt, s.onTrial
		s.relay.checkCrash(t, brokenAttempt{s.call.ID, asked, time.Now()})
	}
}

// reportChanges logs changes of the quarantined parts and requests and publishes new evidence.
func (r *Relay) reportChanges(changes quarantine.Changes) {
	r.noteChanges(changes)
	if !changes.News.Empty() && r.cfg.OnEvidence != nil {
		r.cfg.OnEvidence(changes.News)
	}
}

// noteChanges logs changes of verdicts, and tells that the evidence has changed.
func (r *Relay) noteChanges(changes quarantine.Changes) {
	if r.cfg.OnEvidenceChange != nil && !changes.Empty() {
		r.cfg.OnEvidenceChange()
	}
	r.logChanges(changes)
}

func (r *Relay) logChanges(changes quarantine.Changes) {
	for _, lift := range changes.Lifted {
		event.QuarantineLifted.Log(r.cfg.Log).Str("verdict", partName(lift.Verdict)).Str("cause", string(lift.Cause)).Send()
	}
	for _, d := range changes.Quarantined {
		event.PartQuarantined.Log(r.cfg.Log).Str("verdict", partName(d.Verdict)).Strs("parts", partNames(d.Members)).Bool("request_itself", d.Request).
			Bool("from_peer", d.FromPeer).Int("incidents", d.Incidents).Int("crashes", d.Crashes).Dur("age", time.Since(d.Since)).Send()
	}
	if changes.Trimmed > 0 {
		event.EvidenceTrimmed.Log(r.cfg.Log).Int("crashes", changes.Trimmed).Send()
	}
	for _, n := range changes.Narrowed {
		event.QuarantineNarrowed.Log(r.cfg.Log).Str("before", partName(n.From)).Str("verdict", partName(n.To)).Strs("parts", partNames(n.Members)).
			Str("cause", string(n.Cause)).Send()
	}
}

// partName returns the name of a part, or of a request by its digest, in logs.
func partName(part uint64) string {
	return strconv.FormatUint(part, 36)
}

func partNames(parts []uint64) []string {
	names := make([]string, 0, len(parts))
	for _, part := range parts {
		names = append(names, partName(part))
	}
	return names
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
	r.noteChanges(changes)
	return changes.News, changes.Answer
}

// QuarantinedParts returns the number of quarantined parts of prompts and requests.
func (r *Relay) QuarantinedParts() int {
	return r.evidence.QuarantinedParts()
}
