package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"ragwortpond.example/ragwortpond/call"
	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/targetconn"
)

const (
	// crashCheckDelay is the time between a broken attempt and the check whether its
	// target still serves. A target that crashed is away for seconds.
	crashCheckDelay = 100 * time.Millisecond
	// healthTimeout bounds the check. A target that is alive may pause for a second.
	healthTimeout = 1500 * time.Millisecond
)

// errOtherTarget means that another target serves at the address of one.
var errOtherTarget = errors.New("relay: another target serves at this address")

// brokenAttempt is an attempt that the target broke off before quarantine.ClearingEvents
// events.
type brokenAttempt struct {
	request fleet.RequestID
	asked   quarantine.Request
	at      time.Time
}

// brokenByTarget reports whether an attempt failed because the target ended its
// connection or, without framing, its stream. If this router ended it, the error wraps
// the cause instead.
func brokenByTarget(err error) bool {
	if errors.Is(err, errNoEvent) || errors.Is(err, errPartialEvent) || errors.Is(err, errTargetEnded) {
		return true
	}
	if !errors.Is(err, targetconn.ErrBroken) {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkCrash checks in the background, after crashCheckDelay, whether the target of a
// broken attempt has crashed. Attempts at the same target share a check.
func (r *Relay) checkCrash(t *catalog.Target, attempt brokenAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	waiting := r.crashChecks[t.ID]
	r.crashChecks[t.ID] = append(waiting, attempt)
	if len(waiting) == 0 {
		time.AfterFunc(crashCheckDelay, func() { r.recordIfCrashed(t) })
	}
}

// recordIfCrashed records the crash of a target under the requests of the waiting attempts
// unless the target serves. Then only their answers were lost.
func (r *Relay) recordIfCrashed(t *catalog.Target) {
	r.mu.Lock()
	attempts := r.crashChecks[t.ID]
	delete(r.crashChecks, t.ID)
	r.mu.Unlock()
	err := r.checkServes(t, attempts[len(attempts)-1].at.Add(crashCheckDelay/2))
	if err == nil {
		for _, a := range attempts {
			event.TargetAlive.Log(r.cfg.Log).Str("target", string(t.ID)).Str("request", string(a.request)).Str("digest", partName(a.asked.Digest)).Send()
		}
		return
	}
	now := time.Now()
	var changes quarantine.Changes
	for _, a := range attempts {
		event.TargetCrashed.Log(r.cfg.Log).Str("target", string(t.ID)).Str("request", string(a.request)).Str("digest", partName(a.asked.Digest)).
			Strs("parts", sharedPartNames(a.asked.Prompt)).Int("left_out", a.asked.LeftOut()).Dur("age", now.Sub(a.at)).Err(err).Send()
		changes.Add(r.evidence.RecordCrash(a.asked, t.ID, a.at, now))
	}
	r.reportChanges(changes)
	time.AfterFunc(quarantine.SettleTime, func() { r.reportChanges(r.evidence.Sweep(time.Now())) })
}

// checkServes returns nil if a target has served anything since a time, or serves a check of
// its health, whatever the result. That its address accepts connections says nothing: a
// supervisor or a proxy may keep it.
func (r *Relay) checkServes(t *catalog.Target, since time.Time) error {
	if r.health.HeardSince(t.ID, since) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	path := r.cfg.View().Config.Services[t.Service].HealthPath
	if path == "" || r.notices.Remaining(t, time.Now()) > 0 {
		return r.pool.ProbeOpen(ctx, t.ID, t.Addr, crashCheckDelay)
	}
	_, _, err := r.askHealth(ctx, t, path)
	switch {
	case errors.Is(err, targetconn.ErrNotSent), errors.Is(err, errOtherTarget), brokenByTarget(err), ctx.Err() != nil:
		return err
	default:
		// Something was sent, if not a response.
		return nil
	}
}

// askHealth asks a target at its service's health path, on a new connection, and returns the first maxBufferedBodyBytes of
// the body as well. It returns errOtherTarget if another target answers.
func (r *Relay) askHealth(ctx context.Context, t *catalog.Target, path string) (call.Reply, []byte, error) {
	response, err := r.pool.Do(ctx, &targetconn.Request{
		Target: t.ID, Addr: t.Addr, Method: http.MethodGet, URI: path, Host: t.Addr, RequireNewConn: true,
	})
	if err != nil {
		return call.Reply{}, nil, err
	}
	defer response.Close()
	reply := r.cfg.Codec.DecodeResponse(response.Status, response.Header)
	if reply.Target != "" && reply.Target != t.ID {
		return reply, nil, fmt.Errorf("%w: %s", errOtherTarget, reply.Target)
	}
	r.recordColdAnswer(t, &reply, time.Now())
	// The connection is kept if the response is complete. Its head is all that is needed.
	body, _ := io.ReadAll(io.LimitReader(response, maxBufferedBodyBytes))
	return reply, body, nil
}
