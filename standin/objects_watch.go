package standin

import (
	"context"
	"fmt"
	"sort"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

// Watch implements objectapi.Store; each call is one long poll.
func (o *Objects) Watch(ctx context.Context, kinds []string, from uint64, wait time.Duration) ([]objectapi.Change, uint64, error) {
	if err := o.admit(ctx, VerbWatch); err != nil {
		return nil, 0, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, revision, changed, err := o.changesSince(kinds, from)
		if err != nil {
			return nil, 0, err
		}
		if len(changes) > 0 {
			return changes, revision, o.applyAnswerFaults(ctx, VerbWatch)
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, o.applyAnswerFaults(ctx, VerbWatch)
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// changesSince returns the changes after from and a channel that is closed at
// the next change.
func (o *Objects) changesSince(kinds []string, from uint64) ([]objectapi.Change, uint64, <-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.faults.Outage {
		return nil, 0, nil, fmt.Errorf("watch: %w", objectapi.ErrUnavailable)
	}
	var changes []objectapi.Change
	for _, kind := range kinds {
		state := o.kind(kind)
		if from < state.compacted {
			return nil, 0, nil, fmt.Errorf("watch %s from %d: %w", kind, from, objectapi.ErrCompacted)
		}
		first := sort.Search(len(state.log), func(i int) bool { return state.log[i].Object.Version > from })
		changes = append(changes, state.log[first:]...)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Object.Version < changes[j].Object.Version })
	return changes, max(o.revision, from), o.changed, nil
}

// Compact drops the log of changes, so that a watch from an earlier revision
// returns objectapi.ErrCompacted.
func (o *Objects) Compact() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, state := range o.kinds {
		state.log = nil
		state.logBytes = 0
		state.compacted = o.revision
	}
}
