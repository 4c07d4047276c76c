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

// ErrUnresolved means that it is unknown whether a change was accepted: the
// context ended before the platform answered, or the platform's log no longer
// holds the revisions since the change.
var ErrUnresolved = errors.New("operator: unknown whether the change was accepted")

// retryInterval is the pause between two attempts to resolve a lost answer.
// Tests shorten it.
var retryInterval = 50 * time.Millisecond

// change is one conditional change of an object.
type change struct {
	kind, name string
	// data is the new document; nil deletes the object.
	data []byte
	// ifVersion is the version that the object must have; zero creates it.
	ifVersion uint64
}

// writer makes changes and determines the result of those whose answer from the
// platform was lost. It is safe for concurrent use.
type writer struct {
	store objectapi.Store
	// revision returns a revision that the platform has already reached.
	revision func() uint64
}

// apply makes a change and returns the version at which it was accepted. The
// error is either one of package objectapi, in which case the change was not
// accepted and will not be, or ErrUnresolved.
func (w *writer) apply(ctx context.Context, c change) (uint64, error) {
	since := w.baseRevision(c)
	version, err := w.attempt(ctx, c)
	if !isAmbiguous(err) {
		return version, err
	}
	for {
		version, err, resolved := w.resolve(ctx, c, since)
		if resolved {
			return version, err
		}
		if sleep.For(ctx, retryInterval) != nil {
			return 0, fmt.Errorf("%w: %w", ErrUnresolved, err)
		}
	}
}

// baseRevision returns a revision before that of the change.
func (w *writer) baseRevision(c change) uint64 {
	if c.ifVersion > 0 {
		return c.ifVersion
	}
	return w.revision()
}

func (w *writer) attempt(ctx context.Context, c change) (uint64, error) {
	if c.data == nil {
		return w.store.Delete(ctx, c.kind, c.name, c.ifVersion)
	}
	return w.store.Put(ctx, c.kind, c.name, c.data, c.ifVersion)
}

// isAmbiguous reports whether a change may have taken effect in spite of its
// error.
func isAmbiguous(err error) bool {
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
// repeats it under the same condition. The log is read first: an object that
// this change created and another operator has since deleted must stay deleted.
// resolved is false if the result is still unknown.
func (w *writer) resolve(ctx context.Context, c change, since uint64) (version uint64, err error, resolved bool) {
	version, err = w.findInLog(ctx, c, since)
	if errors.Is(err, objectapi.ErrCompacted) {
		return w.readBack(ctx, c)
	}
	if err != nil || version > 0 {
		return version, err, err == nil
	}
	version, err = w.attempt(ctx, c)
	if err == nil {
		return version, nil, true
	}
	if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrNotFound) {
		return 0, err, false
	}
	version, logErr := w.findInLog(ctx, c, since)
	if logErr != nil {
		return 0, logErr, false
	}
	if version > 0 {
		return version, nil, true
	}
	return 0, err, true
}

// findInLog returns the version at which the platform's log has the change, or
// zero.
func (w *writer) findInLog(ctx context.Context, c change, since uint64) (uint64, error) {
	changes, _, err := w.store.Watch(ctx, []string{c.kind}, since, 0)
	if err != nil {
		return 0, err
	}
	return c.findVersion(changes), nil
}

// readBack resolves a change without the log. It can only confirm a change, by
// an object that holds the document of the change; otherwise the error is
// ErrUnresolved.
func (w *writer) readBack(ctx context.Context, c change) (uint64, error, bool) {
	current, err := w.store.Get(ctx, c.kind, c.name)
	if err == nil && c.data != nil && bytes.Equal(current.Data, c.data) {
		return current.Version, nil, true
	}
	return 0, ErrUnresolved, true
}

// findVersion returns the version at which a log has the change, or zero.
// Identical changes of the same version by two operators count as one.
func (c change) findVersion(log []objectapi.Change) uint64 {
	previous := c.ifVersion
	for _, entry := range log {
		if entry.Object.Name != c.name {
			continue
		}
		same := entry.Deleted == (c.data == nil) && (entry.Deleted || bytes.Equal(entry.Object.Data, c.data))
		if same && previous == c.ifVersion {
			return entry.Object.Version
		}
		previous = entry.Object.Version
		if entry.Deleted {
			previous = 0
		}
	}
	return 0
}
