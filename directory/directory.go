// Package directory maintains a router's view of the configuration and the
// targets: it watches the platform's store and publishes immutable views. While
// the store is unavailable the last view remains in use.
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

// Store is the subset of platform.Store that a Directory uses.
type Store interface {
	List(ctx context.Context, kind string, stale bool) ([]platform.Object, uint64, error)
	Watch(ctx context.Context, kind string, from uint64, wait time.Duration) ([]platform.Change, uint64, error)
}

// Timing of store calls.
const (
	// watchTimeout is how long the store may hold a watch call without a change. It
	// bounds how long a silent store goes unnoticed: a call without a response fails
	// after this time and the store client's own timeout of a call.
	watchTimeout = 3 * time.Second
	// MaxCallTime is the longest time that a watch call takes, by watchTimeout and the store client's
	// timeout of a call.
	MaxCallTime = watchTimeout + platform.CallTimeout
	// minBackoff and maxBackoff bound the wait after a failed call; it doubles with
	// each failure.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// dataSource is where data came from, as logged.
type dataSource string

const (
	sourceStore  dataSource = "store"
	sourceRouter dataSource = "router"
)

// Directory maintains the router's view. It is safe for concurrent use.
type Directory struct {
	store func() Store
	log   zerolog.Logger
	now   func() time.Time
	view  atomic.Pointer[catalog.View]
	// onRestart is called, with mu held, for a target whose process was restarted.
	onRestart func(fleet.TargetID)
	// onChange is called with the target changes that this router read from the
	// store; nil means that only the configuration changed.
	onChange func([]platform.Change)
	// onWatchLost is called when a live watch of the store is lost.
	onWatchLost func()
	// storeReturn returns since when the store was there for a failure domain, see OnStoreReturn.
	storeReturn func(domain fleet.DomainName, outageBegan time.Time) (time.Time, bool)
	pace        Pace
	// ready is closed once the view is sufficient to serve requests.
	ready chan struct{}

	mu      sync.Mutex
	members *catalog.TargetSet
	entries *entries
	gone    goneTargets
	config  *catalog.Config
	// document is the store's object from which config was decoded.
	document platform.Object
	// unavailable tells, by kind of object, whether the last store call failed.
	// confirmedAt is the time at which the data was last confirmed to be current, by
	// the store or by a router that watches the store and holds the same data.
	unavailable map[string]bool
	confirmedAt map[string]time.Time
	// targetsFrom is what confirmed the targets last.
	targetsFrom dataSource
	// targetsAsOf is the latest time as of which the store is known to have had no targets but those of the
	// view and of what was read after; zero if there is none.
	targetsAsOf time.Time
	// callBegan is when the last store call began, by kind of object.
	callBegan map[string]time.Time
	// outageBegan is when the first call failed in the last outage, zero if there was none;
	// answeredSince is when the store answered the first call after it, zero while calls fail.
	outageBegan, answeredSince time.Time
	// targetsAnsweredAt is when the store last answered a call for targets, targetsWaitingSince
	// since when a watch of them has waited for changes; zero if none does.
	targetsAnsweredAt, targetsWaitingSince time.Time
	// heardBefore is the value of confirmedAt before the last store call that succeeded.
	heardBefore map[string]time.Time
	// role tells whether this router watches the store; modeChanged is closed and
	// replaced when it starts or stops to watch.
	role        WatchRole
	modeChanged chan struct{}
	// invalidEntries counts the invalid entries of targets that were read.
	invalidEntries atomic.Uint64
	// takingOver is set from the start of a watch to its first list of targets.
	takingOver bool
	// primaryChanged is closed and replaced when this router becomes the primary watch or ceases
	// to be it.
	primaryChanged chan struct{}
	// evacuations is nil unless FollowEvacuations was called.
	evacuations *evacuations
}

// New returns a directory with an empty view. store is called before each store
// call and returns the store to use. role is the initial role, see SetWatchRole; pace
// is how long watchers gather changes.
// onRestart is called for a target whose process was restarted; it must not call the
// directory, and may be nil.
func New(store func() Store, role WatchRole, pace Pace, log zerolog.Logger, onRestart func(fleet.TargetID)) *Directory {
	if onRestart == nil {
		onRestart = func(fleet.TargetID) {}
	}
	d := &Directory{
		store: store, log: log, now: time.Now, onRestart: onRestart, onChange: func([]platform.Change) {}, onWatchLost: func() {},
		pace: pace, ready: make(chan struct{}), members: catalog.NewTargetSet(), entries: newEntries(), gone: goneTargets{}, unavailable: map[string]bool{}, confirmedAt: map[string]time.Time{}, heardBefore: map[string]time.Time{},
		callBegan: map[string]time.Time{}, storeReturn: func(fleet.DomainName, time.Time) (time.Time, bool) { return time.Time{}, false },
		role: role, modeChanged: make(chan struct{}), primaryChanged: make(chan struct{}),
	}
	d.view.Store(&catalog.View{})
	return d
}

// OnChange sets the function that is called with the target changes that this router
// read from the store; nil means that only the configuration changed. It must be
// called before Run.
func (d *Directory) OnChange(f func([]platform.Change)) {
	d.onChange = f
}

// OnWatchLost sets the function that is called when a live watch of the store is lost.
// It must be called before Run.
func (d *Directory) OnWatchLost(f func()) {
	d.onWatchLost = f
}

// OnStoreReturn sets the function that returns since when the store was there for routers of a
// failure domain, after an outage that this router met at outageBegan; false if that is not known.
// It must be called before Run.
func (d *Directory) OnStoreReturn(f func(domain fleet.DomainName, outageBegan time.Time) (time.Time, bool)) {
	d.storeReturn = f
}

// View returns the current view. It never returns nil.
func (d *Directory) View() *catalog.View {
	return d.view.Load()
}

// Ready returns a channel that is closed once the view is sufficient to serve requests.
func (d *Directory) Ready() <-chan struct{} {
	return d.ready
}

// Run keeps the view up to date until ctx ends. It returns nil.
func (d *Directory) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() {
		d.follow(ctx, followed{platform.KindConfig, watchTimeout, d.watchState, d.handleConfigList, d.handleConfigChanges})
	})
	tasks.Go(func() {
		d.follow(ctx, followed{platform.KindTargets, watchTimeout, d.watchState, d.handleTargetList, d.handleTargetChanges})
	})
	if d.evacuations != nil {
		tasks.Go(func() { d.runEvacuations(ctx) })
	}
	tasks.Go(func() { d.runExpiry(ctx) })
	tasks.Wait()
	return nil
}

// markCall records that a store call for a kind of object begins.
func (d *Directory) markCall(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.callBegan[kind] = d.now()
}

// markUnavailable records that a store call for a kind of object failed. One that began before the
// store answered another call shows nothing of the time since.
func (d *Directory) markUnavailable(kind string, err error) {
	d.mu.Lock()
	wasLive := d.hasLiveWatchLocked()
	if !d.unavailable[kind] {
		event.StoreLost.Log(d.log).Str("kind", kind).Err(err).Send()
	}
	d.unavailable[kind] = true
	ends := !d.answeredSince.IsZero() && !d.callBegan[kind].Before(d.answeredSince)
	if ends || d.outageBegan.IsZero() {
		d.answeredSince, d.outageBegan = time.Time{}, d.now()
	}
	d.mu.Unlock()
	if wasLive {
		d.onWatchLost()
	}
}

// markAvailable records that a store call for a kind of object succeeded. The end of
// an outage starts the grace period whichever kind met it, since only calls for the
// configuration may have been in flight while targets' entries lapsed. The outage is over
// with the first answer: what the other kind finds out later begins no other period.
func (d *Directory) markAvailable(kind string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heardBefore[kind], d.confirmedAt[kind] = d.confirmedAt[kind], d.now()
	if kind == platform.KindTargets {
		d.targetsAnsweredAt = d.now()
	}
	if d.answeredSince.IsZero() {
		d.answeredSince = d.now()
		if !d.outageBegan.IsZero() {
			d.members.StartGraceAfterOutage(d.outageBegan, d.answeredSince)
		}
	}
	if d.unavailable[kind] {
		d.unavailable[kind] = false
		event.StoreRegained.Log(d.log).Str("kind", kind).Send()
	}
}

// AnsweredSince returns since when the store has answered all calls of this router; zero if it does not.
func (d *Directory) AnsweredSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answeredSince
}

// lastHeard returns when the store call before the last one succeeded for a kind of object, zero if none did.
func (d *Directory) lastHeard(kind string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.heardBefore[kind]
}

// ConfirmCurrent records that a router with a live watch of the store holds the
// same configuration and targets. targetsAge is how old what that router knows of the targets is,
// negative if it is not known.
func (d *Directory) ConfirmCurrent(targetsAge time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.confirmedAt[platform.KindConfig], d.confirmedAt[platform.KindTargets] = now, now
	if targetsAge >= 0 {
		d.raiseTargetsAsOf(now.Add(-targetsAge), sourceRouter)
	}
}

// raiseTargetsAsOf records that the view has the targets that the store had at a time; d.mu must be held.
func (d *Directory) raiseTargetsAsOf(at time.Time, from dataSource) {
	if at.After(d.targetsAsOf) {
		d.targetsAsOf, d.targetsFrom = at, from
	}
}

// TargetsAge returns how old what this router knows of the targets is: the store may have got others since.
// It is negative if that is not known. The view must be read after it.
func (d *Directory) TargetsAge() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.targetsAsOf.IsZero() {
		return -time.Second
	}
	return d.now().Sub(d.targetsAsOf)
}

// TargetsFrom returns what confirmed the targets last: the store or a router.
func (d *Directory) TargetsFrom() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return string(d.targetsFrom)
}

// ConfirmedAges returns the time since the configuration and the targets were last confirmed
// to be current, or -1 s if they never were.
func (d *Directory) ConfirmedAges() (config, targets time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	age := func(kind string) time.Duration {
		at, ok := d.confirmedAt[kind]
		if !ok {
			return -time.Second
		}
		return d.now().Sub(at)
	}
	return age(platform.KindConfig), age(platform.KindTargets)
}

func (d *Directory) handleConfigList(objects []platform.Object, _ uint64) {
	for _, o := range objects {
		if d.applyConfig(o, sourceStore) {
			d.onChange(nil)
		}
	}
}

func (d *Directory) handleConfigChanges(changes []platform.Change, _ uint64) {
	for _, c := range changes {
		if !c.Deleted && d.applyConfig(c.Object, sourceStore) {
			d.onChange(nil)
		}
	}
}

// applyConfig puts a configuration in force unless it is invalid or not newer than
// the current one, and reports whether it did.
func (d *Directory) applyConfig(o platform.Object, source dataSource) bool {
	if o.Name != platform.ConfigName {
		return false
	}
	d.mu.Lock()
	known := configVersion(d.config)
	d.mu.Unlock()
	if o.Revision == known.Revision || (o.Revision < known.Revision && platform.EraOf(o.Revision) == platform.EraOf(known.Revision)) {
		return false
	}
	config, err := platform.DecodeConfig(o)
	if err != nil {
		event.StoreEntryInvalid.Log(d.log).Str("kind", platform.KindConfig).Uint64("revision", o.Revision).Err(err).Send()
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if known = configVersion(d.config); !configVersion(config).NewerThan(known) {
		if config.Revision > known.Revision {
			// The copy from which the store came back is older. The operator writes again what it
			// lacks.
			event.ConfigOutdated.Log(d.log).Uint64("config", config.Version).Uint64("in_force", known.Version).Uint64("revision", config.Revision).Send()
		}
		return false
	}
	d.config, d.document = config, o
	d.publishLocked()
	event.ConfigInForce.Log(d.log).Uint64("config", config.Version).Uint64("revision", config.Revision).Str("from", string(source)).Bool("needs_key", config.RequiresKey()).Send()
	if config.AdmitsNobody() {
		event.ConfigAdmitsNobody.Log(d.log).Uint64("config", config.Version).Uint64("revision", config.Revision).Send()
	}
	return true
}

// ConfigVersion orders configurations.
type ConfigVersion struct {
	// Version is the operator's, zero if it is not known, Revision that of the store. Both are
	// zero if there is no configuration.
	Version, Revision uint64
}

// configVersion returns the version of a configuration, which may be nil.
func configVersion(c *catalog.Config) ConfigVersion {
	if c == nil {
		return ConfigVersion{}
	}
	return ConfigVersion{c.Version, c.Revision}
}

// NewerThan reports whether a configuration is newer than another one: by the store's revision, or
// by the operator's version if the store came back from a copy between them, which may be older
// than what was in force.
func (v ConfigVersion) NewerThan(other ConfigVersion) bool {
	if v.Version != other.Version && v.Version > 0 && other.Version > 0 && platform.EraOf(v.Revision) != platform.EraOf(other.Revision) {
		return v.Version > other.Version
	}
	return v.Revision > other.Revision
}

// handleTargetList applies the store's complete list of targets.
func (d *Directory) handleTargetList(objects []platform.Object, revision uint64) {
	changes := d.replaceTargets(objects, revision, sourceStore)
	d.markTargetsRead()
	if len(changes) > 0 {
		d.onChange(changes)
	}
}

// replaceTargets applies a complete list of targets as of a revision: it adds and
// updates the listed targets and deletes all others. It returns the changes applied.
func (d *Directory) replaceTargets(objects []platform.Object, revision uint64, source dataSource) []platform.Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := make(map[string]bool, len(objects))
	for _, o := range objects {
		listed[o.Name] = true
	}
	if source == sourceStore {
		d.endTakeover(listed)
	}
	if platform.EraOf(revision) > platform.EraOf(d.members.Revision()) {
		// Targets that have registered since the copy was made do so again.
		d.members.StartGracePeriod(d.now())
	}
	changes := make([]platform.Change, 0, len(objects))
	for _, o := range objects {
		changes = append(changes, platform.Change{Object: o})
	}
	for _, id := range d.members.IDs() {
		if !listed[string(id)] {
			changes = append(changes, platform.Change{Object: platform.Object{Name: string(id), Revision: revision}, Deleted: true})
		}
	}
	applied := d.applyLocked(changes, source)
	d.members.MarkComplete(revision)
	d.publishLocked()
	event.TargetChanged.Log(d.log).Str("change", "listed").Int("targets", len(objects)).Uint64("revision", revision).
		Str("from", string(source)).Send()
	return applied
}

// endTakeover handles the first list of a router that took over the watch: it starts a
// grace period if the list shows an outage that this router did not see, which may have begun
// after the targets were last confirmed to be current. d.mu must be held.
func (d *Directory) endTakeover(listed map[string]bool) {
	isListed := func(id fleet.TargetID) bool { return listed[string(id)] }
	if d.takingOver && !d.members.InGraceAfterOutage(d.now()) && d.members.LapsedInOutage(isListed) {
		d.members.StartGraceAfterOutage(d.heardBefore[platform.KindTargets], d.now())
	}
	d.takingOver = false
}

// handleTargetChanges applies changes from a watch of the store.
func (d *Directory) handleTargetChanges(changes []platform.Change, revision uint64) {
	d.mu.Lock()
	applied := d.applyLocked(changes, sourceStore)
	d.members.MarkComplete(revision)
	d.publishLocked()
	d.mu.Unlock()
	d.markTargetsRead()
	if len(applied) > 0 {
		d.onChange(applied)
	}
}

// markTargetsRead records that the view has what the store answered to the last call for targets. The answer
// is at least as new as the call; how long it was on its way is not known.
func (d *Directory) markTargetsRead() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.raiseTargetsAsOf(d.callBegan[platform.KindTargets], sourceStore)
}

// markTargetsUnchanged records that the store answered a watch call for targets without a change, which it
// holds for a time then.
func (d *Directory) markTargetsUnchanged(held time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.callBegan[platform.KindTargets]
	if d.now().Sub(at) >= held {
		at = at.Add(held)
	}
	d.raiseTargetsAsOf(at, sourceStore)
}

// applyLocked applies changes in order and returns those that had an effect; d.mu
// must be held.
func (d *Directory) applyLocked(changes []platform.Change, source dataSource) []platform.Change {
	now := d.now()
	if source == sourceStore && d.unavailable[platform.KindConfig] && d.answeredSince.IsZero() {
		// The store is back, but no call of the watch has shown it yet.
		d.members.StartGracePeriod(now)
	}
	var applied []platform.Change
	for _, c := range changes {
		var t *catalog.Target
		if !c.Deleted {
			if t = d.decodeTarget(c.Object); t == nil {
				// An invalid entry is treated as the deletion of its target.
				c.Deleted = true
			}
		}
		if c.Deleted {
			old, known := d.members.Find(fleet.TargetID(c.Object.Name))
			if !d.entries.deletionApplies(c.Object.Name, c.Object.Revision) || !d.members.Remove(fleet.TargetID(c.Object.Name), now) {
				continue
			}
			d.entries.remove(c.Object.Name, c.Object.Revision)
			if known {
				d.gone.record(old, c.Object.Revision)
			}
		} else {
			if !d.entries.put(c.Object) {
				continue
			}
			t = d.withoutCopied(t)
			if d.members.IsRestart(t) {
				d.onRestart(t.ID)
			}
			d.members.Put(t)
		}
		applied = append(applied, c)
		if d.members.Loaded() {
			// The first list is logged as a whole.
			d.logTargetChange(c, t, source)
		}
	}
	return applied
}

func (d *Directory) logTargetChange(c platform.Change, t *catalog.Target, source dataSource) {
	line := event.TargetChanged.Log(d.log).Str("target", c.Object.Name).Uint64("revision", c.Object.Revision).Str("from", string(source))
	if t == nil {
		line.Str("change", "gone").Send()
		return
	}
	line.Str("change", "entry").Bool("leaving", t.Leaving).Send()
}

// InvalidEntries returns the number of invalid entries of targets that were read so far.
func (d *Directory) InvalidEntries() uint64 {
	return d.invalidEntries.Load()
}

// decodeTarget decodes an entry. It logs an invalid one and returns nil.
func (d *Directory) decodeTarget(o platform.Object) *catalog.Target {
	t, err := platform.DecodeTarget(o)
	if err != nil {
		d.invalidEntries.Add(1)
		event.StoreEntryInvalid.Log(d.log).Str("kind", platform.KindTargets).Str("target", o.Name[:min(len(o.Name), maxLoggedName)]).Err(err).Send()
		return nil
	}
	t.ReadAt = d.now()
	return t
}

// maxLoggedName bounds the names of invalid entries in the log, in bytes.
const maxLoggedName = 64

// expiryInterval is the interval at which targets whose entries are missing after a
// store outage are checked for the end of their grace period.
const expiryInterval = 200 * time.Millisecond

// runExpiry removes, until ctx ends, the targets whose entries did not reappear
// within the grace period after a store outage.
func (d *Directory) runExpiry(ctx context.Context) {
	for ctx.Err() == nil {
		_ = sleep.For(ctx, expiryInterval)
		d.expire()
	}
}

// expire removes the targets whose grace period has ended.
func (d *Directory) expire() {
	returned := d.storeReturns()
	var changes []platform.Change
	d.mu.Lock()
	// What this router has not read yet is not missing.
	for _, t := range d.members.Expire(d.targetsReadAsOf(), returned) {
		id := t.ID
		_, witnessed := returned[t.Domain]
		d.entries.remove(string(id), 0)
		d.gone.record(t, d.members.Revision())
		changes = append(changes, platform.Change{Object: platform.Object{Name: string(id)}, Deleted: true})
		event.TargetChanged.Log(d.log).Str("change", "lapsed").Str("target", string(id)).Bool("witnessed", witnessed).Send()
	}
	if len(changes) > 0 {
		d.publishLocked()
	}
	d.mu.Unlock()
	if len(changes) > 0 {
		d.onChange(changes)
	}
}

// answerTime is the time within which the store answers a watch for which it has changes.
const answerTime = 100 * time.Millisecond

// targetsReadAsOf returns the time as of which the targets are known as the store lists them. A router
// that does not watch receives them from others; d.mu must be held.
func (d *Directory) targetsReadAsOf() time.Time {
	now := d.now()
	if d.role == NoWatch || (!d.targetsWaitingSince.IsZero() && now.Sub(d.targetsWaitingSince) >= answerTime) {
		return now
	}
	return d.targetsAnsweredAt
}

// setTargetsWaiting records that a watch of targets begins to wait for changes, or ends.
func (d *Directory) setTargetsWaiting(waiting bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.targetsWaitingSince = time.Time{}
	if waiting {
		d.targetsWaitingSince = d.now()
	}
}

// keepsLapsed reports whether targets are kept although the store does not list them.
func (d *Directory) keepsLapsed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.members.KeepsLapsed()
}

// storeReturns returns since when the store was there, by the failure domains of the targets that
// are kept after an outage, as far as other routers report it.
func (d *Directory) storeReturns() map[fleet.DomainName]time.Time {
	d.mu.Lock()
	domains, began := d.members.LapsedAfterOutage()
	d.mu.Unlock()
	returned := map[fleet.DomainName]time.Time{}
	for _, domain := range domains {
		if at, ok := d.storeReturn(domain, began); ok {
			returned[domain] = at
		}
	}
	return returned
}

// publishLocked publishes a new view; d.mu must be held.
func (d *Directory) publishLocked() {
	plans, now := d.evacuationPlans(), d.now()
	isEvacuated := func(t *catalog.Target) bool {
		plan, ok := plans[t.Domain]
		return ok && plan.Emptied(t.ID, now)
	}
	serving, leaving, evacuated := d.members.Partition(isEvacuated)
	view := &catalog.View{
		Config: d.config, Targets: serving, Leaving: leaving, Evacuated: evacuated, Evacuations: d.evacuationsInForce(),
		AwaitsEvacuations: d.awaitsEvacuationsLocked(), TargetsLoaded: d.members.Loaded(), TargetsRevision: d.members.Revision(),
	}
	// A view that is ready is followed by such views only.
	if previous := d.view.Swap(view); view.Ready() && !previous.Ready() {
		close(d.ready)
	}
}
