package streamversion

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

const (
	// leaseTime is how long after a split was last confirmed to be the newest a router may
	// begin streams under it. Others wait it out: a split may be in use for that long after it
	// was replaced.
	leaseTime = 15 * time.Second
	// confirmInterval is the age of the last confirmation from which on a router looks for a
	// new one.
	confirmInterval = 4 * time.Second
	// connectedLag is how long a router may take to notice that it does not hear the others.
	connectedLag = 2 * time.Second
	// confirmBackoff is the pause after a confirmation that failed.
	confirmBackoff = 2 * time.Second
	// noConfirmation stands for the age of a confirmation that never was.
	noConfirmation = time.Duration(-1)
)

// Confirmation tells that a split was the newest in the store.
type Confirmation struct {
	Service fleet.ServiceName
	// Revision is the store's revision of the history; zero if there was none.
	Revision uint64
	// Age is the time since the store was asked. It includes the time in which the machine
	// was suspended.
	Age time.Duration
	// Alone reports that no stream in progress can have begun under another split.
	Alone bool
}

// Confirmations returns the newest confirmations, for other routers.
func (s *Service) Confirmations() []Confirmation {
	now := s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Confirmation
	for service, st := range s.services {
		if age := st.confirmationAge(now); age != noConfirmation && age < leaseTime {
			list = append(list, Confirmation{service, st.revision, age, st.alone})
		}
	}
	return list
}

// MergeConfirmation records a confirmation that another router told of. It is ignored after a
// standstill, in which it may have waited to be received, and if this router does not know the
// split.
func (s *Service) MergeConfirmation(c Confirmation) {
	if s.cfg.StoodStill() {
		return
	}
	at := s.cfg.BootTime() - c.Age
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[c.Service]
	if st == nil || c.Revision > st.revision {
		return
	}
	st.confirm(at)
	st.alone = st.alone || (c.Alone && c.Revision == st.revision)
}

// confirm records that the known split was the newest at a time of the boot clock.
func (st *serviceState) confirm(at time.Duration) {
	if !st.confirmed || at > st.confirmedAt {
		st.confirmed, st.confirmedAt = true, at
	}
}

// confirmationAge returns the time since the newest confirmation, or noConfirmation.
func (st *serviceState) confirmationAge(now time.Duration) time.Duration {
	if !st.confirmed {
		return noConfirmation
	}
	return max(now-st.confirmedAt, 0)
}

// leased reports whether this router may begin streams of a service: others assume that it does
// for leaseTime after its split was confirmed.
func (s *Service) leased(service fleet.ServiceName) bool {
	now := s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.stateOf(service).confirmationAge(now)
	return age != noConfirmation && age < leaseTime
}

// observePeers records since when this router has heard most others without a pause.
func (s *Service) observePeers() {
	connected, boot := s.cfg.Peers().Connected() && !s.cfg.StoodStill(), s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	if connected && !s.connected {
		s.connectedSince = boot
	}
	s.connected = connected
}

// caughtUp reports whether this router has heard most others for long enough to know what they
// know.
func (s *Service) caughtUp() bool {
	boot, connected := s.cfg.BootTime(), s.cfg.Peers().Connected()
	s.mu.Lock()
	defer s.mu.Unlock()
	return connected && s.heardOthers(boot)
}

// heardOthers reports whether this router had heard most others for connectedLag when it last looked; s.mu must
// be held.
func (s *Service) heardOthers(boot time.Duration) bool {
	return s.connected && boot-s.connectedSince >= connectedLag
}

// extendLease extends the lease of a router that knows what most others know, while the store is
// away: nobody else changes a split then.
func (s *Service) extendLease(service fleet.ServiceName, now time.Time) {
	if !s.caughtUp() {
		return
	}
	away, boot := s.storeAway(service), s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stateOf(service)
	away = away || now.Before(st.confirmRetryAt)
	if age := st.confirmationAge(boot); away && age != noConfirmation && age < leaseTime {
		st.confirm(boot - connectedLag)
	}
}

// confirmedLately reports whether the split was confirmed, or this router heard most others, until
// a moment ago.
func (s *Service) confirmedLately(service fleet.ServiceName) bool {
	boot := s.cfg.BootTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	age := s.stateOf(service).confirmationAge(boot)
	return age != noConfirmation && age < connectedLag+clockError
}

// confirmDue reports whether this router should have the split of a service confirmed by the
// store. The first router by precedence does, and the others hear of it.
func (s *Service) confirmDue(service fleet.ServiceName, now time.Time) bool {
	if s.storeAway(service) {
		return false
	}
	boot := s.cfg.BootTime()
	s.mu.Lock()
	st := s.stateOf(service)
	age, retryAt := st.confirmationAge(boot), st.confirmRetryAt
	newEra := st.revision > 0 && !st.missing && s.cfg.Store().Era() > platform.EraOf(st.revision)
	s.mu.Unlock()
	if newEra && !now.Before(retryAt) {
		// The store came back from a copy.
		return true
	}
	if now.Before(retryAt) || (age != noConfirmation && age < confirmInterval) {
		return false
	}
	wait := min(time.Duration(s.cfg.Peers().Precedence(service))*precedenceDelay, maxPrecedenceDelay)
	if age == noConfirmation {
		return now.Sub(s.started) >= discoveryTime+wait
	}
	return age >= confirmInterval+wait
}

// confirmSplit reads the history of a service to confirm its split.
func (s *Service) confirmSplit(ctx context.Context, service fleet.ServiceName, now time.Time) {
	_, err := s.readHistory(ctx, service)
	if err == nil {
		return
	}
	if !isNoHistory(err) {
		event.SplitUnread.Log(s.cfg.Log).Str("service", string(service)).Err(err).Send()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stateOf(service).confirmRetryAt = now.Add(confirmBackoff)
}
