package router

import (
	"context"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/sleep"
)

const drainPoll = 10 * time.Millisecond

// closeGrace lets the last answers reach the other routers before connections
// close.
const closeGrace = 200 * time.Millisecond

// Drain stops the router without cutting anything: readiness fails first, then
// leaving is announced, the chat tables are handed over and new requests are
// refused, then it waits until nothing is in flight. It returns an error that
// says what was still in flight when the limit of the settings or ctx ended.
func (r *Router) Drain(ctx context.Context) error {
	stop := r.source.Snapshot().Effective(r.cfg.Self.Domain, "", "").Stop
	event.RouterDraining.Log(r.log).Send()
	r.face.FailReadiness()
	r.members.Leave(ctx)
	began := time.Now()
	r.handOver(ctx, time.Time{})
	_ = sleep.For(ctx, stop.ReadyDelayMS.Duration()-time.Since(began))
	r.face.Refuse()
	r.home.Refuse()
	ctx, cancel := context.WithTimeout(ctx, stop.LimitMS.Duration())
	defer cancel()
	for r.InFlight() > 0 {
		if ctx.Err() != nil {
			return fmt.Errorf("router: stopped with %d requests in flight: %w", r.InFlight(), ctx.Err())
		}
		_ = sleep.For(ctx, drainPoll)
	}
	if err := r.journal.Flush(ctx); err != nil {
		return fmt.Errorf("router: stopped with results that are not recorded: %w", err)
	}
	r.handOver(ctx, began)
	_ = sleep.For(ctx, closeGrace)
	return nil
}

// InFlight returns the number of requests that this router serves as entry or
// as home.
func (r *Router) InFlight() int {
	return r.face.InFlight() + r.home.InFlight()
}
