package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/sleep"
)

// ErrUnresolved means that it could not be learnt whether a change was accepted
// before the context ended.
var ErrUnresolved = errors.New("operator: change neither confirmed nor refused")

// retryInterval is the pause between two attempts to resolve a lost answer;
// tests shorten it.
var retryInterval = 50 * time.Millisecond

// change is one conditional change of an object.
type change struct {
	kind, name string
	// data is the new document; nil deletes the object.
	data []byte
	// ifVersion is the version that the object must have; zero creates it.
	ifVersion uint64
}

// writer makes changes and resolves answers that the platform lost. It is safe
// for concurrent use.
type writer struct {
	store objectapi.Store
	// revision returns a platform revision that has passed already.
	revision func() uint64
}

// apply makes a change and returns the version at which it was accepted. Its
// error is one of package platform's, in which case the change was not accepted
// and will not be, or ErrUnresolved.
func (w *writer) apply(ctx context.Context, c change) (uint64, error) {
	since := w.baseline(c)
	version, err := w.try(ctx, c)
	if !unsure(err) {
		return version, err
	}
	for {
		version, err, known := w.resolve(ctx, c, since)
		if known {
			return version, err
		}
		if sleep.For(ctx, retryInterval) != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnresolved, err)
		}
	}
}

// baseline is a revision before the change's own.
func (w *writer) baseline(c change) uint64 {
	if c.ifVersion > 0 {
		return c.ifVersion
	}
	return w.revision()
}

func (w *writer) try(ctx context.Context, c change) (uint64, error) {
	if c.data == nil {
		return w.store.Delete(ctx, c.kind, c.name, c.ifVersion)
	}
	return w.store.Put(ctx, c.kind, c.name, c.data, c.ifVersion)
}

// unsure reports whether a change may have taken effect in spite of its error.
func unsure(err error) bool {
	if err == nil {
		return false
	}
	for _, definite := range []error{
		objectapi.ErrConflict, objectapi.ErrNotFound, objectapi.ErrTooLarge, objectapi.ErrUnavailable, objectapi.ErrRateLimited,
	} {
		if errors.Is(err, definite) {
			return false
		}
	}
	return true
}

// resolve looks for the change in the platform's log and, if it is not there,
// repeats it under the same condition. The log goes first: an object that this
// change created and another operator has since deleted must stay deleted.
func (w *writer) resolve(ctx context.Context, c change, since uint64) (version uint64, err error, known bool) {
	version, err = w.logged(ctx, c, since)
	if errors.Is(err, objectapi.ErrCompacted) {
		return w.readBack(ctx, c)
	}
	if err != nil || version > 0 {
		return version, err, err == nil
	}
	version, err = w.try(ctx, c)
	if err == nil {
		return version, nil, true
	}
	if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
		return 0, err, false
	}
	version, logErr := w.logged(ctx, c, since)
	if logErr != nil {
		return 0, logErr, false
	}
	if version > 0 {
		return version, nil, true
	}
	return 0, err, true
}

// logged returns the version at which the change stands in the platform's log,
// or zero.
func (w *writer) logged(ctx context.Context, c change, since uint64) (uint64, error) {
	changes, _, err := w.store.Watch(ctx, []string{c.kind}, since, 0)
	if err != nil {
		return 0, err
	}
	return c.among(changes), nil
}

// readBack resolves without the log: only an object that holds this change's
// document tells anything.
func (w *writer) readBack(ctx context.Context, c change) (uint64, error, bool) {
	current, err := w.store.Get(ctx, c.kind, c.name)
	if err == nil && c.data != nil && bytes.Equal(current.Data, c.data) {
		return current.Version, nil, true
	}
	return 0, ErrUnresolved, true
}

// among returns the version at which the change stands in a log, or zero. Two
// operators who make the same change of the same version count as one.
func (c change) among(log []objectapi.Change) uint64 {
	before := c.ifVersion
	for _, logged := range log {
		if logged.Object.Name != c.name {
			continue
		}
		same := logged.Deleted == (c.data == nil) && (logged.Deleted || bytes.Equal(logged.Object.Data, c.data))
		if same && before == c.ifVersion {
			return logged.Object.Version
		}
		before = logged.Object.Version
		if logged.Deleted {
			before = 0
		}
	}
	return 0
}
