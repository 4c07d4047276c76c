// Package directory keeps a router's view of the configuration and of the
// targets: it watches the platform's store and publishes snapshots. While the
// store is away the last view stays.
package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/sleep"
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
	// one call; it is an eighth of the time in which a change must be in force.
	settle = 250 * time.Millisecond
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
	// renewed is called with a target whose process started anew.
	renewed func(fleet.TargetID)
	// changed is called with what this router has seen in the store; nil targets
	// mean that only the configuration changed.
	changed func([]platform.Change)

	mu      sync.Mutex
	members *catalog.Members
	entries *entries
	config  *catalog.Config
	// document is the configuration as it stands in the store.
	document platform.Object
	// lost says of each kind whether the store does not answer for it, and
	// confirmed when it last did, to this router or to one that agrees with it.
	lost      map[string]bool
	confirmed map[string]time.Time
	// watching says that this router watches the store; mode is closed when that
	// changes.
	watching bool
	mode     chan struct{}
}

// New returns a directory with an empty view; watching says whether it begins by
// watching the store. store returns the store to ask; renewed may be nil.
func New(store func() Store, watching bool, log zerolog.Logger, renewed func(fleet.TargetID)) *Directory {
	if renewed == nil {
		renewed = func(fleet.TargetID) {}
	}
	d := &Directory{
		store: store, log: log, now: time.Now, renewed: renewed, changed: func([]platform.Change) {},
		members: catalog.NewMembers(), entries: newEntries(), lost: map[string]bool{}, confirmed: map[string]time.Time{},
		watching: watching, mode: make(chan struct{}),
	}
	d.view.Store(&catalog.View{})
	return d
}

// OnChange sets what is called with the changes that this router sees in the
// store. It is to be called before Run.
func (d *Directory) OnChange(f func([]platform.Change)) {
	d.changed = f
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

// Watch says whether this router watches the store itself or relies on others
// for changes.
func (d *Directory) Watch(watching bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.watching == watching {
		return
	}
	d.watching = watching
	close(d.mode)
	d.mode = make(chan struct{})
	if watching {
		// What the others missed shows only now; it may be an outage of the store.
		d.members.Returned(d.now())
	}
	event.DirectoryWatches.Log(d.log).Bool("watching", watching).Send()
}

// Hears reports whether this router watches the store and the store answers.
func (d *Directory) Hears() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hears()
}

// hears is Hears with d.mu held.
func (d *Directory) hears() bool {
	return d.watching && d.members.Known() && d.config != nil &&
		!d.lost[platform.KindConfig] && !d.lost[platform.KindTargets]
}

func (d *Directory) watches() (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.watching, d.mode
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
	d.confirmed[kind] = d.now()
	if !d.lost[kind] {
		return
	}
	d.lost[kind] = false
	if kind == platform.KindTargets {
		d.members.Returned(d.now())
	}
	event.DirectoryRegained.Log(d.log).Str("kind", kind).Send()
}

// Agreed notes that a router which hears the store holds the same configuration
// and targets.
func (d *Directory) Agreed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.confirmed[platform.KindConfig], d.confirmed[platform.KindTargets] = now, now
}

// Ages returns how long ago it was last known that the store holds nothing newer
// of the configuration and of the targets; -1 s where it never was.
func (d *Directory) Ages() (config, targets time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := func(kind string) time.Duration {
		at, ok := d.confirmed[kind]
		if !ok {
			return -time.Second
		}
		return d.now().Sub(at)
	}
	return age(platform.KindConfig), age(platform.KindTargets)
}

func (d *Directory) configListed(objects []platform.Object, _ uint64) {
	for _, o := range objects {
		if d.takeConfig(o, "store") {
			d.changed(nil)
		}
	}
}

func (d *Directory) configChanged(changes []platform.Change, _ uint64) {
	for _, c := range changes {
		if !c.Deleted && d.takeConfig(c.Object, "store") {
			d.changed(nil)
		}
	}
}

// takeConfig puts a version of the configuration in force, never an older one.
func (d *Directory) takeConfig(o platform.Object, from string) bool {
	if o.Name != platform.ConfigName {
		return false
	}
	d.mu.Lock()
	known := d.config != nil && o.Revision <= d.config.Revision
	d.mu.Unlock()
	if known {
		return false
	}
	config, err := platform.DecodeConfig(o)
	if err != nil {
		event.DirectoryRefused.Log(d.log).Str("kind", platform.KindConfig).Uint64("revision", o.Revision).Err(err).Send()
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil && config.Revision <= d.config.Revision {
		return false
	}
	d.config, d.document = config, o
	d.publish()
	event.DirectoryConfig.Log(d.log).Uint64("config", config.Version).Uint64("revision", config.Revision).Str("from", from).Send()
	return true
}

// targetsListed takes the store's whole list.
func (d *Directory) targetsListed(objects []platform.Object, revision uint64) {
	if changes := d.replace(objects, revision, "store"); len(changes) > 0 {
		d.changed(changes)
	}
}

// replace makes the view hold exactly the listed targets and returns what
// changed.
func (d *Directory) replace(objects []platform.Object, revision uint64, from string) []platform.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	named := make(map[string]bool, len(objects))
	changes := make([]platform.Change, 0, len(objects))
	for _, o := range objects {
		named[o.Name] = true
		changes = append(changes, platform.Change{Object: o})
	}
	for _, id := range d.members.Names() {
		if !named[string(id)] {
			changes = append(changes, platform.Change{Object: platform.Object{Name: string(id), Revision: revision}, Deleted: true})
		}
	}
	applied := d.apply(changes, from)
	d.members.Complete(revision)
	d.publish()
	event.DirectoryTarget.Log(d.log).Str("change", "listed").Int("targets", len(objects)).Uint64("revision", revision).
		Str("from", from).Send()
	return applied
}

// targetsChanged takes changes from a watch of the store.
func (d *Directory) targetsChanged(changes []platform.Change, revision uint64) {
	d.mu.Lock()
	applied := d.apply(changes, "store")
	d.members.Complete(revision)
	d.publish()
	d.mu.Unlock()
	if len(applied) > 0 {
		d.changed(applied)
	}
}

// apply takes changes in order and returns those that were news; d.mu is held.
func (d *Directory) apply(changes []platform.Change, from string) []platform.Change {
	now := d.now()
	var applied []platform.Change
	for _, c := range changes {
		var t *catalog.Target
		if !c.Deleted {
			if t = d.decode(c.Object); t == nil {
				// An entry that cannot be used names no target any more.
				c.Deleted = true
			}
		}
		if c.Deleted {
			if !d.entries.covered(c.Object.Name, c.Object.Revision) || !d.members.Remove(fleet.TargetID(c.Object.Name), now) {
				continue
			}
			d.entries.remove(c.Object.Name, c.Object.Revision)
		} else {
			if !d.entries.put(c.Object) {
				continue
			}
			if d.members.Renews(t) {
				d.renewed(t.ID)
			}
			d.members.Put(t)
		}
		applied = append(applied, c)
		d.logTarget(c, t, from)
	}
	return applied
}

func (d *Directory) logTarget(c platform.Change, t *catalog.Target, from string) {
	line := event.DirectoryTarget.Log(d.log).Str("target", c.Object.Name).Uint64("revision", c.Object.Revision).Str("from", from)
	if t == nil {
		line.Str("change", "gone").Send()
		return
	}
	line.Str("change", "entry").Bool("leaving", t.Leaving).Send()
}

// decode reads an entry; nil means that it cannot be used.
func (d *Directory) decode(o platform.Object) *catalog.Target {
	t, err := platform.DecodeTarget(o)
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
		_ = sleep.For(ctx, expiryInterval)
		var changes []platform.Change
		d.mu.Lock()
		for _, id := range d.members.Expire(d.now()) {
			d.entries.remove(string(id), 0)
			changes = append(changes, platform.Change{Object: platform.Object{Name: string(id)}, Deleted: true})
			event.DirectoryTarget.Log(d.log).Str("change", "lapsed").Str("target", string(id)).Send()
		}
		if len(changes) > 0 {
			d.publish()
		}
		d.mu.Unlock()
		if len(changes) > 0 {
			d.changed(changes)
		}
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
