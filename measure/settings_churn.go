package measure

import (
	"context"
	"errors"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/standin"
)

const (
	// changesPerRestart is the number of changes between two router restarts.
	// outageChange is the change before which the platform has an outage, during
	// which every router of one failure domain restarts.
	changesPerRestart = 4
	outageChange      = 10
	restartTimeout    = 10 * time.Second
)

var errNotReady = errors.New("measure: restarted router did not become ready within 10 s")

// injectFaults restarts routers before some of the changes.
func (s *settingsFleet) injectFaults(change int) error {
	switch {
	case change == outageChange:
		return s.restartDomain()
	case change%changesPerRestart == 0:
		return s.restartRouter(s.live()[change%len(s.live())])
	}
	return nil
}

// restartDomain replaces every router of one failure domain while the platform
// refuses all calls.
func (s *settingsFleet) restartDomain() error {
	s.platform.UpdateFaults(func(f *standin.Faults) { f.Outage = true })
	defer s.platform.UpdateFaults(func(f *standin.Faults) { f.Outage = false })
	domain := s.live()[0].self.Domain
	var ids []fleet.RouterID
	for _, r := range s.live() {
		if r.self.Domain == domain {
			ids = append(ids, r.self.ID)
			s.removeRouter(r)
		}
	}
	for _, id := range ids {
		if err := s.startRouter(id, domain); err != nil {
			return err
		}
	}
	return s.awaitRestarts(len(ids))
}

// restartRouter replaces a router by a new one with the same ID.
func (s *settingsFleet) restartRouter(r *settingsRouter) error {
	s.removeRouter(r)
	if err := s.startRouter(r.self.ID, r.self.Domain); err != nil {
		return err
	}
	return s.awaitRestarts(1)
}

// removeRouter removes a router from the members and stops it.
func (s *settingsFleet) removeRouter(r *settingsRouter) {
	s.mu.Lock()
	var remaining []*settingsRouter
	for _, other := range s.routers {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	s.routers = remaining
	s.stopped = append(s.stopped, r)
	s.mu.Unlock()
	r.stop()
}

// awaitRestarts waits until the last count routers are ready, and counts those that
// became ready without the last accepted change.
func (s *settingsFleet) awaitRestarts(count int) error {
	ctx, cancel := context.WithTimeout(context.Background(), restartTimeout)
	defer cancel()
	live := s.live()
	for _, r := range live[len(live)-count:] {
		select {
		case <-r.service.Ready():
		case <-ctx.Done():
			return errNotReady
		}
		s.restarts++
		if r.service.Revision() < s.version {
			s.staleStarts++
		}
	}
	return nil
}

// countReverts returns the number of snapshots that undid a change, over all
// routers including stopped ones.
func (s *settingsFleet) countReverts() int {
	total := 0
	for _, r := range append(s.live(), s.stopped...) {
		total += int(r.reverts.Load())
	}
	return total
}

// controlBytes returns the number of control bytes that all live routers have sent
// to peers.
func (s *settingsFleet) controlBytes() float64 {
	total := 0.0
	for _, r := range s.live() {
		total += counterSum(r.metrics.Registry, "ragwort_control_bytes_total", "direction", "sent")
	}
	return total
}

// counterSum returns the sum of the series of a counter that have a label with the
// given value.
func counterSum(g prometheus.Gatherer, name, label, value string) float64 {
	families, err := g.Gather()
	if err != nil {
		return 0
	}
	total := 0.0
	for _, family := range families {
		if family.GetName() != name {
			continue
		}
		for _, series := range family.GetMetric() {
			for _, l := range series.GetLabel() {
				if l.GetName() == label && l.GetValue() == value {
					total += series.GetCounter().GetValue()
				}
			}
		}
	}
	return total
}
