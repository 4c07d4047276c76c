package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/targetconn"
)

// errTargetEnded means that the end of a response that only the end of its connection marks may be that
// of its target.
var errTargetEnded = errors.New("relay: target ended with its response")

// errConnectionsEnded means that a target ended another connection together with that of its response.
var errConnectionsEnded = errors.New("relay: target ended all connections")

// endCheckDelay is the time between the end of a response and the check of its target, whose other connections
// have ended by then if its process has.
const endCheckDelay = 40 * time.Millisecond

// endEvidence tells on what the end of a complete response was taken for its completion. It is a value of the log.
type endEvidence string

const (
	// endFramed: the response has a length or is chunked.
	endFramed endEvidence = "framing"
	// endConnection: a connection from before the end was still open after it.
	endConnection endEvidence = "connection"
	// endProcess: the target told of its process.
	endProcess endEvidence = "process"
	// endHealth: the target served something else after the end, or a check of its health.
	endHealth endEvidence = "health"
	// endUnconfirmed: nothing was asked.
	endUnconfirmed endEvidence = "none"
)

// endCheck is a check of a target that the ends of several responses may share.
type endCheck struct {
	// endedAt is the end of the last of these responses; Relay.mu guards it.
	endedAt time.Time
	// done is closed once evidence and err are set.
	done     chan struct{}
	evidence endEvidence
	err      error
}

// confirmEnd returns nil if the end of the current response is its completion. The kernel ends the
// connections of a killed process as the process itself does, so that a response without framing is complete only
// if its target still serves.
func (s *requestState) confirmEnd(ctx context.Context, t *catalog.Target, result *attemptResult) error {
	if result.response.Delimited {
		return nil
	}
	check := s.relay.checkEnd(t, time.Now())
	select {
	case <-check.done:
	case <-ctx.Done():
		return context.Cause(ctx)
	}
	if check.err != nil {
		s.Log(event.TargetEnded).Err(check.err).Str("evidence", string(check.evidence)).Int("events", s.events).Send()
		return fmt.Errorf("%w: %w", errTargetEnded, check.err)
	}
	result.end = check.evidence
	return nil
}

// checkEnd returns the check of a target that follows the end of a response at time at.
func (r *Relay) checkEnd(t *catalog.Target, at time.Time) *endCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	check := r.endChecks[t.ID]
	if check == nil {
		check = &endCheck{done: make(chan struct{})}
		r.endChecks[t.ID] = check
		time.AfterFunc(endCheckDelay, func() { r.runEndCheck(t, check) })
	}
	check.endedAt = at
	return check
}

// runEndCheck makes a check, which later ends do not share any more.
func (r *Relay) runEndCheck(t *catalog.Target, check *endCheck) {
	r.mu.Lock()
	endedAt := check.endedAt
	delete(r.endChecks, t.ID)
	r.mu.Unlock()
	check.evidence, check.err = r.checkStillServes(t, endedAt)
	close(check.done)
}

// checkStillServes returns nil if the process of a target that ended a response at a time still serves, and the
// evidence that was asked for.
func (r *Relay) checkStillServes(t *catalog.Target, endedAt time.Time) (endEvidence, error) {
	if r.replaced(t) {
		return endProcess, errOtherProcess
	}
	presence, identity := r.pool.PresenceSince(t.ID, t.Addr, endedAt), r.identityOf(t)
	switch {
	case presence == targetconn.Present:
		return endConnection, nil
	case identity != nil:
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		defer cancel()
		return endProcess, r.pool.Identify(ctx, t.ID, t.Addr, identity)
	case presence == targetconn.Absent:
		return endConnection, errConnectionsEnded
	default:
		return endHealth, r.checkServes(t, endedAt.Add(endCheckDelay/2))
	}
}

// replaced reports whether a later process of a target has written its entry.
func (r *Relay) replaced(t *catalog.Target) bool {
	for present := range r.cfg.View().All(t.Service) {
		if present.ID == t.ID && present.Process().Replaces(t.Process()) {
			return true
		}
	}
	return false
}

// endEvidence returns on what the end of the response was taken for its completion.
func (r *attemptResult) endEvidence() endEvidence {
	switch {
	case r.response.Delimited:
		return endFramed
	case r.end == "":
		return endUnconfirmed
	default:
		return r.end
	}
}
