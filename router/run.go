package router

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

// maxParts is more than the parts that Run starts, so that none blocks when it
// reports its failure.
const maxParts = 16

// Run serves until ctx ends, then stops at once; Drain first stops without
// cutting anything. It returns the first failure of a part.
func (r *Router) Run(ctx context.Context) error {
	ctx, r.cancel = context.WithCancel(ctx)
	defer r.cancel()
	r.node.Start()
	failures := make(chan error, maxParts)
	r.start(failures, "members", func() error { return r.members.Run(ctx) })
	r.start(failures, "settings", func() error { return r.source.Run(ctx) })
	r.start(failures, "callers", r.face.Run)
	r.start(failures, "journal", func() error { return r.journal.Run(ctx) })
	r.startOperators(failures)
	r.startHome(ctx, failures)
	r.start(failures, "withdrawals", func() error { return r.leaving.Run(ctx) })
	r.start(failures, "ordering", func() error { return r.newOrdering().Run(ctx) })
	r.wait.Go(func() { r.followMembers(ctx, r.open) })
	r.startMeans(ctx, failures)
	event.RouterStarted.Log(r.log).Str("callers", r.face.Addr()).Str("peers", r.node.Addr()).Send()
	r.wait.Go(func() { r.becomeReady(ctx) })
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

func (r *Router) start(failures chan<- error, part string, run func() error) {
	r.wait.Go(func() {
		err := run()
		if err != nil && !errors.Is(err, context.Canceled) {
			failures <- fmt.Errorf("router: %s: %w", part, err)
		}
	})
}

func (r *Router) becomeReady(ctx context.Context) {
	select {
	case <-r.source.Ready():
	case <-ctx.Done():
		return
	}
	values := r.source.Snapshot().Effective(r.cfg.Self.Domain, "", "").Placement
	r.chats.Resize(values.ChatTableEntries)
	r.ready.Store(true)
	event.RouterReady.Log(r.log).Uint64("revision", r.source.Snapshot().Revision).Send()
}

const stopTimeout = 2 * time.Second

func (r *Router) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = r.face.Close(ctx)
	r.stopOperators(ctx)
	_ = r.node.Close()
	r.wait.Wait()
	r.release()
	event.RouterStopped.Log(r.log).Send()
}

func (r *Router) release() {
	if r.journal != nil {
		r.journal.Close()
	}
	if r.pool != nil {
		r.pool.Release()
	}
}
