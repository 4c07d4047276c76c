// Package directory keeps a router's view of the configuration and of the
// targets: it watches the platform's store and publishes snapshots. While the
// store is away the last view stays.
package directory

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// Store is the part of the platform's store that a directory uses.
type Store interface {
	List(ctx context.Context, kind string, stale bool) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.Change, uint64, error)
}

// Times of the watches.
const (
	// watchWait bounds one watch, so that a store which turned silent under a
	// watch is noticed within the time in which a change must be in force.
	watchWait = 3 * time.Second
	// settle is waited after a change, so that changes in quick succession cost
	// one call.
	settle = 80 * time.Millisecond
	// firstBackoff and longestBackoff bound the wait after a failed call.
	firstBackoff   = 100 * time.Millisecond
	longestBackoff = 800 * time.Millisecond
)

// Directory is the router's view. It is safe for concurrent use.
type Directory struct {
	store func() Store
	log   zerolog.Logger
	now   func() time.Time
	view  atomic.Pointer[catalog.View]
	// renewed is called with a target whose process started anew or whose entry
	// is gone.
	renewed func(fleet.TargetID)

	mu      sync.Mutex
	members *catalog.Members
	config  *catalog.Config
	lost    map[string]bool
}

// New returns a directory with an empty view. store returns the store to ask;
// renewed may be nil.
func New(store func() Store, log zerolog.Logger, renewed func(fleet.TargetID)) *Directory {
	if renewed == nil {
		renewed = func(fleet.TargetID) {}
	}
	d := &Directory{
		store: store, log: log, now: time.Now, renewed: renewed,
		members: catalog.NewMembers(), lost: map[string]bool{},
	}
	d.view.Store(&catalog.View{})
	return d
}

// View returns the present view.
func (d *Directory) View() *catalog.View {
	return d.view.Load()
}

// Run keeps the view until ctx ends.
func (d *Directory) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { d.follow(ctx, platform.KindConfig, d.configListed, d.configChanged) })
	tasks.Go(func() { d.follow(ctx, platform.KindTargets, d.targetsListed, d.targetsChanged) })
	tasks.Go(func() { d.expire(ctx) })
	tasks.Wait()
	return nil
}

// follow lists a kind and then watches it; after a gap in the history, or a
// failure, it lists anew.
func (d *Directory) follow(ctx context.Context, kind string, listed func([]platform.Object, uint64), changed func([]platform.Change, uint64)) {
	var revision uint64
	known := false
	wait := firstBackoff
	for ctx.Err() == nil {
		var err error
		if known {
			var changes []platform.Change
			changes, revision, err = d.watch(ctx, kind, revision)
			if err == nil && len(changes) > 0 {
				changed(changes, revision)
				sleep(ctx, settle)
			}
		} else {
			var objects []platform.Object
			if objects, revision, err = d.store().List(ctx, kind, false); err == nil {
				d.answers(kind)
				listed(objects, revision)
				known = true
			}
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			d.answers(kind)
			wait = firstBackoff
			continue
		}
		known = false
		if errors.Is(err, platform.ErrHistoryGone) {
			continue
		}
		d.silent(kind, err)
		sleep(ctx, wait)
		wait = min(2*wait, longestBackoff)
	}
}

func (d *Directory) watch(ctx context.Context, kind string, from uint64) ([]platform.Change, uint64, error) {
	return d.store().Watch(ctx, kind, from, watchWait)
}

func sleep(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// silent notes that the store does not answer for a kind.
func (d *Directory) silent(kind string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost[kind] {
		event.DirectoryLost.Log(d.log).Str("kind", kind).Err(err).Send()
	}
	d.lost[kind] = true
}

// answers notes that the store answers for a kind.
func (d *Directory) answers(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.lost[kind] {
		return
	}
	d.lost[kind] = false
	if kind == platform.KindTargets {
		d.members.Returned(d.now())
	}
	event.DirectoryRegained.Log(d.log).Str("kind", kind).Send()
}

func (d *Directory) configListed(objects []platform.Object, _ uint64) {
	for _, o := range objects {
		d.takeConfig(o)
	}
}

func (d *Directory) configChanged(changes []platform.Change, _ uint64) {
	for _, c := range changes {
		if !c.Deleted {
			d.takeConfig(c.Object)
		}
	}
}

// takeConfig puts a version of the configuration in force, never an older one.
func (d *Directory) takeConfig(o platform.Object) {
	if o.Name != platform.ConfigName {
		return
	}
	config, err := platform.DecodeConfig(o)
	if err != nil {
		event.DirectoryRefused.Log(d.log).Str("kind", platform.KindConfig).Uint64("revision", o.Revision).Err(err).Send()
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && config.Revision <= d.config.Revision {
		return
	}
	d.config = config
	d.publish()
	event.DirectoryConfig.Log(d.log).Uint64("config", config.Version).Uint64("revision", config.Revision).Send()
}

func (d *Directory) targetsListed(objects []platform.Object, revision uint64) {
	now := d.now()
	targets := make([]*catalog.Target, 0, len(objects))
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, o := range objects {
		if t := d.decode(o, now); t != nil {
			targets = append(targets, t)
		}
	}
	d.members.Replace(targets, revision, now)
	d.publish()
	event.DirectoryTarget.Log(d.log).Str("change", "listed").Int("targets", len(targets)).Uint64("revision", revision).Send()
}

func (d *Directory) targetsChanged(changes []platform.Change, revision uint64) {
	now := d.now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		if c.Deleted {
			d.members.Remove(fleet.TargetID(c.Object.Name), now)
			event.DirectoryTarget.Log(d.log).Str("change", "deleted").Str("target", c.Object.Name).Uint64("revision", c.Object.Revision).Send()
			continue
		}
		t := d.decode(c.Object, now)
		if t == nil {
			// An entry that cannot be used names no target any more.
			d.members.Remove(fleet.TargetID(c.Object.Name), now)
			continue
		}
		if d.members.Renews(t) {
			d.renewed(t.ID)
		}
		d.members.Put(t)
		event.DirectoryTarget.Log(d.log).Str("change", "entry").Str("target", string(t.ID)).Bool("leaving", t.Leaving).
			Uint64("revision", t.Revision).Send()
	}
	d.members.Advance(revision)
	d.publish()
}

// decode reads an entry; nil means that it cannot be used.
func (d *Directory) decode(o platform.Object, now time.Time) *catalog.Target {
	t, err := platform.DecodeTarget(o, now)
	if err != nil {
		event.DirectoryRefused.Log(d.log).Str("kind", platform.KindTargets).Str("target", o.Name).Err(err).Send()
		return nil
	}
	return t
}

// expiryInterval is how often targets that the store dropped while it was away
// are looked at.
const expiryInterval = 200 * time.Millisecond

// expire gives up targets whose entries did not come back after an outage.
func (d *Directory) expire(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, expiryInterval)
		d.mu.Lock()
		if d.members.Expire(d.now()) {
			d.publish()
			event.DirectoryTarget.Log(d.log).Str("change", "lapsed").Int("targets", d.members.Len()).Send()
		}
		d.mu.Unlock()
	}
}

// publish makes a new view; d.mu is held.
func (d *Directory) publish() {
	serving, leaving := d.members.Serving()
	d.view.Store(&catalog.View{
		Config: d.config, Targets: serving, Leaving: leaving, TargetsKnown: d.members.Known(),
		TargetsRevision: d.members.Revision(),
	})
}
