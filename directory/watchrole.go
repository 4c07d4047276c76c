package directory

import (
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/platform"
)

// WatchRole is a router's part in watching the store for its failure domain.
type WatchRole uint8

// Watch roles.
const (
	// NoWatch means that the router relies on those that watch.
	NoWatch WatchRole = iota
	// StandbyWatch means that it watches in case the primary fails. It gathers changes
	// for longer, and so makes fewer calls.
	StandbyWatch
	// PrimaryWatch means that others learn of changes from this router first.
	PrimaryWatch
)

// String returns the role as logged.
func (r WatchRole) String() string {
	switch r {
	case PrimaryWatch:
		return "primary"
	case StandbyWatch:
		return "standby"
	default:
		return "none"
	}
}

// SetWatchRole sets whether this router watches the store itself, and how, or relies on
// other routers for changes.
func (d *Directory) SetWatchRole(role WatchRole) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == role {
		return
	}
	watchedBefore, primaryBefore := d.role != NoWatch, d.role == PrimaryWatch
	d.role = role
	if primaryBefore != (role == PrimaryWatch) {
		close(d.primaryChanged)
		d.primaryChanged = make(chan struct{})
	}
	event.StoreWatchChanged.Log(d.log).Bool("watching", role != NoWatch).Str("role", role.String()).Send()
	if watchedBefore == (role != NoWatch) {
		return
	}
	close(d.modeChanged)
	d.modeChanged = make(chan struct{})
	d.takingOver = role != NoWatch
}

// WatchRole returns the role set last.
func (d *Directory) WatchRole() WatchRole {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role
}

// HasLiveWatch reports whether this router watches the store, holds configuration
// and targets, and its last store calls succeeded.
func (d *Directory) HasLiveWatch() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hasLiveWatchLocked()
}

// hasLiveWatchLocked is HasLiveWatch; d.mu must be held.
func (d *Directory) hasLiveWatchLocked() bool {
	return d.role != NoWatch && d.members.Loaded() && d.config != nil && !d.storeFailsLocked()
}

// StoreLost reports whether this router watches the store and its last store calls for
// a kind of object failed.
func (d *Directory) StoreLost() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role != NoWatch && d.storeFailsLocked()
}

// storeFailsLocked reports whether the last store call for any kind of object failed;
// d.mu must be held.
func (d *Directory) storeFailsLocked() bool {
	return d.unavailable[platform.KindConfig] || d.unavailable[platform.KindTargets]
}

// watchState reports whether this router watches the store, and returns a channel that
// is closed when that changes.
func (d *Directory) watchState() (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role != NoWatch, d.modeChanged
}

// primaryState reports whether this router is the primary watch, and returns a channel that
// is closed when that changes.
func (d *Directory) primaryState() (bool, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role == PrimaryWatch, d.primaryChanged
}

// settleDelay returns the wait after a change. A router that keeps targets which the store does not
// list does not wait as long as a standby, since their entries may be back.
func (d *Directory) settleDelay() time.Duration {
	if d.WatchRole() == PrimaryWatch || d.keepsLapsed() {
		return d.pace.Primary
	}
	return d.pace.Standby
}
