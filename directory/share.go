package directory

import (
	"context"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/platform"
)

// Held is what a directory holds of the store, for another router.
type Held struct {
	Config platform.Object
	// Targets are the entries as they stand in the store.
	Targets []platform.Object
	// Revision is the store's revision for which Targets holds, Digest their mark;
	// both are zero if nothing is known of them.
	Revision, Digest uint64
}

// Held returns what the directory holds.
func (d *Directory) Held() Held {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := Held{Config: d.document}
	if !d.members.Known() {
		return h
	}
	h.Revision, h.Digest = d.members.Revision(), d.digest()
	h.Targets = make([]platform.Object, 0, len(d.entries.objects))
	for _, o := range d.entries.objects {
		h.Targets = append(h.Targets, o)
	}
	return h
}

// Marks returns the revision of the configuration and the digest of the targets,
// by which routers compare what they hold; both are zero where nothing is known.
func (d *Directory) Marks() (config, targets uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil {
		config = d.config.Revision
	}
	if d.members.Known() {
		targets = d.digest()
	}
	return config, targets
}

// digest marks the entries; it is never zero. d.mu is held.
func (d *Directory) digest() uint64 {
	return max(d.entries.digest, 1)
}

// Take takes changes of targets that another router saw in the store, unless this
// one hears the store itself.
func (d *Directory) Take(changes []platform.Change) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hears() || !d.members.Known() {
		return
	}
	if len(d.apply(changes, "router")) > 0 {
		d.publish()
	}
}

// TakeHeld takes all that another router holds, as far as it is newer. A router
// that hears the store itself believes only the configuration.
func (d *Directory) TakeHeld(h Held) {
	if h.Config.Revision > 0 {
		d.takeConfig(h.Config, "router")
	}
	d.mu.Lock()
	stale := h.Revision == 0 || h.Revision < d.members.Revision() || d.hears()
	d.mu.Unlock()
	if !stale {
		d.replace(h.Targets, h.Revision, "router")
	}
}

// Refresh reads the store once, for a router that does not watch it and gets
// nothing from those that do.
func (d *Directory) Refresh(ctx context.Context) {
	configs, _, err := d.store().List(ctx, platform.KindConfig, false)
	if err == nil {
		for _, o := range configs {
			d.takeConfig(o, "store")
		}
		var targets []platform.Object
		var revision uint64
		if targets, revision, err = d.store().List(ctx, platform.KindTargets, false); err == nil {
			d.replace(targets, revision, "store")
		}
	}
	if err != nil {
		event.DirectoryLost.Log(d.log).Str("kind", "both").Err(err).Send()
	}
}
