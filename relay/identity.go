package relay

import (
	"errors"
	"fmt"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/targetconn"
)

// errOtherProcess means that a later process of a target runs.
var errOtherProcess = errors.New("relay: the target has another process")

// streamIdentity returns how to identify the process of a resumable stream's target, or nil for other
// requests. A later process may run another software version than the target's entry tells.
func (s *requestState) streamIdentity(t *catalog.Target) *targetconn.Identity {
	if !s.isResumableStream() {
		return nil
	}
	identity := s.relay.identityOf(t)
	if identity != nil {
		// Without news of the targets, none tells that one has started again.
		identity.Always = s.hasEvent || !s.relay.cfg.StreamVersions.TargetsConfirmed()
	}
	return identity
}

// identityOf returns how to identify the process of a target, or nil if it does not tell of its process, as
// plain services do not.
func (r *Relay) identityOf(t *catalog.Target) *targetconn.Identity {
	if t.StartedAt.IsZero() || r.cfg.View().Config.Services[t.Service].Slots == 0 {
		return nil
	}
	codec := r.cfg.Codec
	return &targetconn.Identity{URI: codec.ProcessURI(), Check: func(body []byte) error {
		startedAt, ok := codec.DecodeProcess(body)
		if ok && !startedAt.Equal(t.StartedAt) {
			return fmt.Errorf("%w: started at %v, want %v", errOtherProcess, startedAt, t.StartedAt)
		}
		return nil
	}}
}
