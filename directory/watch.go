package directory

import (
	"context"
	"errors"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/sleep"
)

// followed is a kind of objects that a router follows.
type followed struct {
	kind string
	// wait is how long the store may hold a watch call without a change.
	wait time.Duration
	// watching reports whether this router watches the kind, and returns a channel that is closed
	// when that changes.
	watching  func() (bool, <-chan struct{})
	onList    func(objects []platform.Object, revision uint64)
	onChanges func(changes []platform.Change, revision uint64)
}

// follow lists the objects of a kind and then watches them, until ctx ends and while
// this router watches the kind. After a failure, or if the store no longer has the
// history since the last revision, it lists again.
func (d *Directory) follow(ctx context.Context, f followed) {
	var revision uint64
	listed := false
	backoff := minBackoff
	for ctx.Err() == nil {
		watching, modeChanged := f.watching()
		if !watching {
			listed = false
			select {
			case <-ctx.Done():
			case <-modeChanged:
			}
			continue
		}
		var err error
		if listed {
			revision, err = d.watchOnce(ctx, modeChanged, f, revision)
		} else if revision, err = d.listOnce(ctx, f.kind, f.onList); err == nil {
			listed = true
		}
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errModeChanged):
		case err == nil:
			backoff = minBackoff
		case errors.Is(err, platform.ErrCompacted):
			listed = false
		default:
			listed = false
			d.markUnavailable(f.kind, err)
			_ = sleep.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// errModeChanged ends a watch when SetWatchRole ends it.
var errModeChanged = errors.New("directory: watch mode changed")

// listOnce lists the objects of a kind and returns the revision of the list.
func (d *Directory) listOnce(ctx context.Context, kind string, onList func([]platform.Object, uint64)) (uint64, error) {
	d.markCall(kind)
	objects, revision, err := d.store().List(ctx, kind, false)
	if err != nil {
		return 0, err
	}
	d.markAvailable(kind)
	onList(objects, revision)
	return revision, nil
}

// watchOnce makes one watch call for changes after revision from and returns the
// revision reached. It ends early with errModeChanged when the mode changes.
func (d *Directory) watchOnce(ctx context.Context, modeChanged <-chan struct{}, f followed, from uint64) (uint64, error) {
	watchCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-modeChanged:
			cancel(errModeChanged)
		case <-done:
		}
	}()
	d.markCall(f.kind)
	if f.kind == platform.KindTargets {
		d.setTargetsWaiting(true)
	}
	changes, revision, err := d.store().Watch(watchCtx, f.kind, from, f.wait)
	if f.kind == platform.KindTargets {
		d.setTargetsWaiting(false)
	}
	if err != nil {
		if errors.Is(context.Cause(watchCtx), errModeChanged) {
			err = errModeChanged
		}
		return from, err
	}
	d.markAvailable(f.kind)
	switch {
	case len(changes) > 0:
		f.onChanges(changes, revision)
		_ = sleep.For(ctx, d.settleDelay())
	case f.kind == platform.KindTargets:
		d.markTargetsUnchanged(f.wait)
	}
	return revision, nil
}
