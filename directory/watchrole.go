package directory

import "ragwortpond.example/ragwortpond/event"

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
	watchedBefore := d.role != NoWatch
	d.role = role
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
