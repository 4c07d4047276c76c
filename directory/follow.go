package directory

import (
	"context"
	"errors"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/sleep"
)

// follow lists a kind and then watches it, as long as this router watches the
// store; after a gap in the history, or a failure, it lists anew.
func (d *Directory) follow(ctx context.Context, kind string, listed func([]platform.Object, uint64), changed func([]platform.Change, uint64)) {
	var revision uint64
	known := false
	wait := firstBackoff
	for ctx.Err() == nil {
		watching, mode := d.watches()
		if !watching {
			known = false
			select {
			case <-ctx.Done():
			case <-mode:
			}
			continue
		}
		var err error
		if known {
			revision, err = d.watchOnce(ctx, mode, kind, revision, changed)
		} else if revision, err = d.listOnce(ctx, kind, listed); err == nil {
			known = true
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errModeChanged):
		case err == nil:
			wait = firstBackoff
		case errors.Is(err, platform.ErrHistoryGone):
			known = false
		default:
			known = false
			d.silent(kind, err)
			_ = sleep.For(ctx, wait)
			wait = min(2*wait, longestBackoff)
		}
	}
}

// errModeChanged ends a watch when this router need not watch any more.
var errModeChanged = errors.New("directory: mode changed")

func (d *Directory) listOnce(ctx context.Context, kind string, listed func([]platform.Object, uint64)) (uint64, error) {
	objects, revision, err := d.store().List(ctx, kind, false)
	if err != nil {
		return 0, err
	}
	d.answers(kind)
	listed(objects, revision)
	return revision, nil
}

// watchOnce makes one watch; it ends early when the mode changes.
func (d *Directory) watchOnce(ctx context.Context, mode <-chan struct{}, kind string, from uint64, changed func([]platform.Change, uint64)) (uint64, error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-mode:
			cancel(errModeChanged)
		case <-done:
		}
	}()
	changes, revision, err := d.store().Watch(watchCtx, kind, from, watchWait)
	if err != nil {
		if errors.Is(context.Cause(watchCtx), errModeChanged) {
			err = errModeChanged
		}
		return from, err
	}
	d.answers(kind)
	if len(changes) > 0 {
		changed(changes, revision)
		_ = sleep.For(ctx, settle)
	}
	return revision, nil
}
