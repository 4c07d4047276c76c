package router

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/sleep"
)

const drainPoll = 10 * time.Millisecond

// closeGrace is the time for the last answers to reach the other routers before
// connections are closed.
const closeGrace = 200 * time.Millisecond

// Drain stops the router without interrupting any request. It first fails the
// readiness check, then announces that the router is leaving, hands over the
// chat table, refuses new requests after the readiness delay, and waits until
// none is in flight. If the stop limit of the settings is reached or ctx ends
// first, it returns an error with the number of requests still in flight. It
// also returns an error if results could not be recorded in the journal.
func (r *Router) Drain(ctx context.Context) error {
	stop := r.settingsService.Snapshot().Effective(r.cfg.Self.Domain, "", "").Stop
	event.RouterDraining.Log(r.log).Send()
	r.callerServer.FailReadiness()
	r.members.Leave(ctx)
	leftAt := time.Now()
	r.handOver(ctx, time.Time{})
	_ = sleep.For(ctx, stop.ReadyDelayMS.Duration()-time.Since(leftAt))
	r.callerServer.RejectNewRequests()
	r.home.StartDraining()
	ctx, cancel := context.WithTimeout(ctx, stop.LimitMS.Duration())
	defer cancel()
	for r.InFlight() > 0 {
		if ctx.Err() != nil {
			return fmt.Errorf("router: stopped draining with %d requests in flight: %w", r.InFlight(), ctx.Err())
		}
		_ = sleep.For(ctx, drainPoll)
	}
	if err := r.journal.Flush(ctx); err != nil {
		return fmt.Errorf("router: stopped draining with results not recorded in the journal: %w", err)
	}
	r.handOver(ctx, leftAt)
	_ = sleep.For(ctx, closeGrace)
	return nil
}

// InFlight returns the number of requests that this router is serving as entry
// router or as home.
func (r *Router) InFlight() int {
	return r.callerServer.InFlight() + r.home.InFlight()
}
