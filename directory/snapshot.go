package directory

import (
	"context"

	"ragwortpond.example/ragwortpond/evacuation"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/platform"
)

// Snapshot is a copy of a directory's data, exchanged between routers.
type Snapshot struct {
	// Config is the configuration as stored; its revision is zero if there is none.
	// ConfigVersion is the operator's version of it.
	Config        platform.Object
	ConfigVersion uint64
	// Targets are the targets' entries as stored.
	Targets []platform.Object
	// TargetsRevision is the store revision of Targets, TargetsDigest their digest.
	// Both are zero if the targets are not known.
	TargetsRevision, TargetsDigest uint64
	// Evacuations are those known; nil if nothing is.
	Evacuations *evacuation.Report
}

// Snapshot returns a copy of the directory's data.
func (d *Directory) Snapshot() Snapshot {
	d.mu.Lock()
	defer d.mu.Unlock()
	snapshot := Snapshot{Config: d.document, ConfigVersion: configVersion(d.config).Version}
	if d.evacuations != nil {
		snapshot.Evacuations = d.evacuations.state.All()
	}
	if !d.members.Loaded() {
		return snapshot
	}
	snapshot.TargetsRevision, snapshot.TargetsDigest = d.members.Revision(), d.targetsDigest()
	snapshot.Targets = make([]platform.Object, 0, len(d.entries.objects))
	for _, o := range d.entries.objects {
		snapshot.Targets = append(snapshot.Targets, o)
	}
	return snapshot
}

// Versions are the versions of a router's data, by which routers compare it. Each is
// zero if its data is not known.
type Versions struct {
	// Config is the version of the configuration.
	Config ConfigVersion
	// TargetsDigest is the digest of the targets, TargetsRevision the newest store
	// revision that they are known to reflect.
	TargetsDigest, TargetsRevision uint64
}

// Versions returns the versions of the directory's data.
func (d *Directory) Versions() Versions {
	d.mu.Lock()
	defer d.mu.Unlock()
	var v Versions
	v.Config = configVersion(d.config)
	if d.members.Loaded() {
		v.TargetsDigest, v.TargetsRevision = d.targetsDigest(), max(d.members.Revision(), d.entries.newest)
	}
	return v
}

// targetsDigest returns the digest of the entries. It is never zero, because zero
// means unknown. d.mu must be held.
func (d *Directory) targetsDigest() uint64 {
	return max(d.entries.digest, 1)
}

// ApplyChanges applies target changes that another router read from the store. It
// ignores them if this router has a live watch of its own or no complete list yet.
func (d *Directory) ApplyChanges(changes []platform.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hasLiveWatchLocked() || !d.members.Loaded() {
		return
	}
	if len(d.applyLocked(changes, sourceRouter)) > 0 {
		d.publishLocked()
	}
}

// ApplySnapshot applies another router's data as far as it is newer. A router with a
// live watch of its own applies only the configuration.
func (d *Directory) ApplySnapshot(snapshot Snapshot) {
	if snapshot.Evacuations != nil {
		d.MergeEvacuations(*snapshot.Evacuations)
	}
	if snapshot.Config.Revision > 0 {
		d.applyConfig(snapshot.Config, sourceRouter)
	}
	d.mu.Lock()
	stale := snapshot.TargetsRevision == 0 || snapshot.TargetsRevision < d.members.Revision() || d.hasLiveWatchLocked()
	d.mu.Unlock()
	if !stale {
		d.replaceTargets(snapshot.Targets, snapshot.TargetsRevision, sourceRouter)
	}
}

// Refresh reads configuration, targets and evacuations from the store once. It is for a router
// that does not watch the store and receives no data from those that do.
func (d *Directory) Refresh(ctx context.Context) {
	configs, _, err := d.store().List(ctx, platform.KindConfig, false)
	if err == nil {
		for _, o := range configs {
			d.applyConfig(o, sourceStore)
		}
		var targets []platform.Object
		var revision uint64
		if targets, revision, err = d.store().List(ctx, platform.KindTargets, false); err == nil {
			d.replaceTargets(targets, revision, sourceStore)
		}
	}
	if err == nil && d.evacuations != nil {
		err = d.readEvacuations(ctx)
	}
	if err != nil {
		event.StoreLost.Log(d.log).Str("kind", "all").Err(err).Send()
	}
}
