package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

// maxComponents is more than the number of components that Run starts, so that
// none blocks when it reports its failure.
const maxComponents = 16

// Run serves until ctx ends, then stops immediately. Call Drain first to stop
// without interrupting requests. Run returns the first failure of a component.
func (r *Router) Run(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	defer r.cancel()
	r.node.Start()
	failures := make(chan error, maxComponents)
	r.startComponent(failures, "members", func() error { return r.members.Run(ctx) })
	r.startComponent(failures, "settings", func() error { return r.settingsService.Run(ctx) })
	r.startComponent(failures, "callers", r.callerServer.Run)
	r.startComponent(failures, "journal", func() error { return r.journal.Run(ctx) })
	r.startOperators(failures)
	r.startHome(ctx, failures)
	r.startComponent(failures, "withdrawals", func() error { return r.withdrawals.Run(ctx) })
	r.startComponent(failures, "ordering", func() error { return r.newOrdering().Run(ctx) })
	r.background.Go(func() { r.cancelStreamsToRemoved(ctx, r.streams) })
	r.startLoadReports(ctx, failures)
	event.RouterStarted.Log(r.log).Str("callers", r.callerServer.Addr()).Str("peers", r.node.Addr()).Send()
	r.background.Go(func() { r.waitReady(ctx) })
	var err error
	select {
	case <-ctx.Done():
	case err = <-failures:
		event.RouterFault.Log(r.log).Err(err).Send()
	}
	r.cancel()
	r.stop()
	return err
}

func (r *Router) startComponent(failures chan<- error, name string, run func() error) {
	r.background.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, context.Canceled) {
			failures <- fmt.Errorf("router: %s: %w", name, err)
		}
	})
}

func (r *Router) waitReady(ctx context.Context) {
	select {
	case <-r.settingsService.Ready():
	case <-ctx.Done():
		return
	}
	values := r.settingsService.Snapshot().Effective(r.cfg.Self.Domain, "", "").Placement
	r.chats.Resize(values.ChatTableEntries)
	r.ready.Store(true)
	event.RouterReady.Log(r.log).Uint64("revision", r.settingsService.Snapshot().Revision).Send()
}

const stopTimeout = 2 * time.Second

func (r *Router) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = r.callerServer.Close(ctx)
	r.stopOperators(ctx)
	_ = r.node.Close()
	r.background.Wait()
	r.releaseResources()
	event.RouterStopped.Log(r.log).Send()
}

func (r *Router) releaseResources() {
	if r.journal != nil {
		r.journal.Close()
	}
	if r.pool != nil {
		r.pool.Release()
	}
}
