package soak

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/platform/standin"
)

const (
	// maxCopyAge bounds the age of the copy from which the store comes back.
	maxCopyAge = 6 * time.Second
	// entryLapse is how long the store keeps the entry of a target that does not write.
	entryLapse = 3600 * time.Millisecond
)

// loseStore makes the store come back from a copy again and again, until ctx ends.
func (i *injector) loseStore(ctx context.Context) {
	for i.awaitStart(ctx) {
		copied := i.environment.store.TakeCopy()
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(i.random.Int64N(int64(maxCopyAge)))):
		}
		i.during("store-copy", func() {
			i.environment.store.Fail(standin.Refusing)
			time.Sleep(time.Duration(i.random.Int64N(int64(time.Second))))
			i.environment.restoreStore(copied)
		})
		// Entries of targets that are gone lapse.
		time.Sleep(entryLapse)
		i.environment.deleteGone()
	}
}

// restoreStore brings the store back from a copy. The operator and the targets write again.
func (env *environment) restoreStore(copied standin.Copy) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.store.Restore(copied)
	env.store.Fail(standin.Healthy)
	env.store.Put(platform.KindConfig, platform.ConfigName, env.config)
	for _, t := range env.active {
		env.putTarget(t, "ready")
	}
	for t := range env.leaving {
		env.putTarget(t, "draining")
	}
	env.restoreEvacuations()
}

// deleteGone deletes the entries of targets that neither serve nor leave.
func (env *environment) deleteGone() {
	env.mu.Lock()
	defer env.mu.Unlock()
	for _, t := range env.replaced {
		if !env.leaving[t] && env.store.Has(platform.KindTargets, t.ID) {
			env.store.Delete(platform.KindTargets, t.ID)
		}
	}
}

// markLeaving records that a target says in the store that it leaves.
func (env *environment) markLeaving(t *target) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.leaving[t] = true
}

// deleteLeaving deletes the entry of a target that has left.
func (env *environment) deleteLeaving(t *target) {
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.leaving, t)
	env.store.Delete(platform.KindTargets, t.ID)
}
