package relay

import (
	"errors"
	"fmt"

	"ragwortpond.example/ragwortpond/catalog"
	"ragwortpond.example/ragwortpond/targetconn"
)

// errOtherProcess means that a later process of a target runs.
var errOtherProcess = errors.New("relay: the target has another process")

// errStartUntold means that an engine does not tell the start of its process.
var errStartUntold = errors.New("relay: the target tells no start")

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
// plain services do not. A target that tells no start is taken for the expected one.
func (r *Relay) identityOf(t *catalog.Target) *targetconn.Identity {
	if t.StartedAt.IsZero() || r.cfg.View().Config.Services[t.Service].Slots == 0 {
		return nil
	}
	return &targetconn.Identity{URI: r.cfg.Codec.ProcessURI(), Check: func(body []byte) error {
		_, err := r.checkStart(t, body)
		return err
	}}
}

// endIdentity is identityOf for the end of a response, for which a target that tells no start is no evidence.
func (r *Relay) endIdentity(t *catalog.Target) *targetconn.Identity {
	identity := r.identityOf(t)
	if identity != nil {
		identity.Check = func(body []byte) error {
			told, err := r.checkStart(t, body)
			if err == nil && !told {
				err = errStartUntold
			}
			return err
		}
	}
	return identity
}

// checkStart reports whether a target tells the start of its process in body, and returns errOtherProcess if that is another
// one than its entry's.
func (r *Relay) checkStart(t *catalog.Target, body []byte) (told bool, err error) {
	startedAt, told := r.cfg.Codec.DecodeProcess(body)
	if told && !startedAt.Equal(t.StartedAt) {
		return true, fmt.Errorf("%w: started at %v, want %v", errOtherProcess, startedAt, t.StartedAt)
	}
	return told, nil
}
