package relay

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/sleep"
)

// errTargetEnded means that the end of a response that only the end of its connection marks may be that
// of its target.
var errTargetEnded = errors.New("relay: target ended with its response")

// errResetAfterEnd means that the connection of a response without framing was reset after its end.
var errResetAfterEnd = errors.New("relay: connection reset after the end of the response")

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
	// endHealth: the target, or another process at its address, answered a check of its health.
	endHealth endEvidence = "health"
	// endAddress: its address accepted a connection, where its health could not be asked for.
	endAddress endEvidence = "address"
	// endUnconfirmed: nothing was asked.
	endUnconfirmed endEvidence = "none"
)

// endCheckKey names the process of a target, as far as its entry tells.
type endCheckKey struct {
	id          fleet.TargetID
	addr        string
	startedAtMS int64
}

func endCheckKeyOf(t *catalog.Target) endCheckKey {
	return endCheckKey{t.ID, t.Addr, t.StartedAt.UnixMilli()}
}

// endCheck is a question to a target for its process, or for its health, that the ends of several responses may share.
type endCheck struct {
	askedAt time.Time
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
	endedAt := time.Now()
	evidence, err := endUnconfirmed, sleep.For(ctx, endCheckDelay)
	if err == nil {
		evidence, err = s.relay.checkStillServes(ctx, t, result.response.HeadAt(), endedAt)
	}
	switch {
	case ctx.Err() != nil:
		return context.Cause(ctx)
	case err != nil:
		s.Log(event.TargetEnded).Err(err).Str("evidence", string(evidence)).Int("events", s.events).Send()
		return fmt.Errorf("%w: %w", errTargetEnded, err)
	case !result.response.EndedInOrder():
		return errResetAfterEnd
	}
	result.end = evidence
	return nil
}

// checkStillServes returns nil if the process of a target that ended a response at a time still serves, and the
// evidence of that. headAt is when the head of the response was received: this process ran then, while the end may have
// been read late.
func (r *Relay) checkStillServes(ctx context.Context, t *catalog.Target, headAt, endedAt time.Time) (endEvidence, error) {
	switch {
	case r.replaced(t):
		return endProcess, errOtherProcess
	case r.pool.HasOpenSince(t.ID, t.Addr, headAt):
		return endConnection, nil
	}
	check := r.checkEnd(t, endedAt.Add(endCheckDelay/2))
	select {
	case <-check.done:
		return check.evidence, check.err
	case <-ctx.Done():
		return endUnconfirmed, context.Cause(ctx)
	}
}

// checkEnd returns a check of a target that was asked for after a time, by which the connections of a process that has
// ended are closed.
func (r *Relay) checkEnd(t *catalog.Target, after time.Time) *endCheck {
	r.mu.Lock()
	defer r.mu.Unlock()
	check := r.endChecks[endCheckKeyOf(t)]
	if check == nil || check.askedAt.Before(after) {
		check = &endCheck{askedAt: time.Now(), done: make(chan struct{})}
		r.endChecks[endCheckKeyOf(t)] = check
		go r.runEndCheck(t, check)
	}
	return check
}

// runEndCheck makes a check. Ends that are a little later may share its result.
func (r *Relay) runEndCheck(t *catalog.Target, check *endCheck) {
	check.evidence, check.err = r.askEnd(t)
	close(check.done)
	time.AfterFunc(endCheckDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.endChecks[endCheckKeyOf(t)] == check {
			delete(r.endChecks, endCheckKeyOf(t))
		}
	})
}

// resetCheckPause is the time until a target is asked again that accepted the connection of a check and reset it.
// It is asked for maxResetChecks at the most: another process may serve at the address of one that has ended.
const (
	resetCheckPause = 5 * time.Millisecond
	maxResetChecks  = 300 * time.Millisecond
)

// askEnd asks a target for its process or, if it does not tell of that, for its health. A target at its connection
// limit accepts the connection and resets it, so that it is asked again. A process that has ended accepts none.
func (r *Relay) askEnd(t *catalog.Target) (endEvidence, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	for until := time.Now().Add(maxResetChecks); ; {
		evidence, err := r.askEndOnce(ctx, t)
		if !errors.Is(err, syscall.ECONNRESET) || r.replaced(t) || time.Now().After(until) || sleep.For(ctx, resetCheckPause) != nil {
			return evidence, err
		}
	}
}

func (r *Relay) askEndOnce(ctx context.Context, t *catalog.Target) (endEvidence, error) {
	if identity := r.endIdentity(t); identity != nil {
		return endProcess, r.pool.Identify(ctx, t.ID, t.Addr, identity)
	}
	path := r.cfg.View().Config.Services[t.Service].HealthPath
	if path == "" || r.notices.Remaining(t, time.Now()) > 0 {
		return endAddress, r.pool.ProbeOpen(ctx, t.ID, t.Addr, crashCheckDelay)
	}
	_, body, err := r.askHealth(ctx, t, path)
	if err != nil || t.StartedAt.IsZero() {
		return endHealth, err
	}
	told, err := r.checkStart(t, body)
	if told {
		return endProcess, err
	}
	return endHealth, nil
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
