package membership

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
)

// beat does the work of one heartbeat period.
func (s *Service) beat(ctx context.Context) {
	now := s.cfg.Clock()
	s.table.SetTiming(timing(s.cfg.Values()))
	s.send(s.table.Tick(now))
	s.readVMs(ctx, now)
	s.exchange(ctx, now)
}

// send hands messages to the network, which may lose them.
func (s *Service) send(messages []Message) {
	for _, m := range messages {
		_ = s.cfg.Caller.Send(m.Addr, peer.MethodHeartbeat, m.Heartbeat)
	}
}

// readVMs reads the platform's VM list if that is due.
func (s *Service) readVMs(ctx context.Context, now time.Time) {
	if s.reading || (!s.lastRead.IsZero() && now.Sub(s.lastRead) < s.vmListPeriod()) {
		return
	}
	s.reading = true
	s.lastRead = now
	err := s.pool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		vms, err := s.cfg.VMs.VMs(callCtx)
		_ = s.post(ctx, func() { s.applyVMs(vms, err) })
	})
	if err != nil {
		s.reading = false
	}
}

func (s *Service) applyVMs(vms []objectapi.VM, err error) {
	s.reading = false
	if err != nil {
		event.MembershipVMList.Log(s.cfg.Log).Err(err).Send()
		return
	}
	s.table.ApplyVMList(vms, s.cfg.Clock())
}

// vmListPeriod is short for the first routers of the failure domain in an
// order that all agree on, and long for the others.
func (s *Service) vmListPeriod() time.Duration {
	period := s.cfg.Values().VMListMS.Duration()
	own := position(0, s.cfg.Self.ID)
	ahead := 0
	for _, r := range s.View().Routers {
		if r.Domain == s.cfg.Self.Domain && r.ID != s.cfg.Self.ID && position(0, r.ID) < own {
			ahead++
		}
	}
	if ahead < vmListReaders {
		return period
	}
	return period * vmListStretch
}

// exchange compares tables with another router when that is due.
func (s *Service) exchange(ctx context.Context, now time.Time) {
	if s.syncing {
		return
	}
	to, req, due := s.table.SyncWith(now)
	if !due {
		return
	}
	s.syncing = true
	err := s.pool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer SyncAnswer
		err := s.cfg.Caller.Call(callCtx, to.PeerAddr, peer.MethodMembershipSync, req, &answer)
		_ = s.post(ctx, func() { s.applySync(to.ID, answer, err) })
	})
	if err != nil {
		s.syncing = false
	}
}

func (s *Service) applySync(from fleet.RouterID, answer SyncAnswer, err error) {
	s.syncing = false
	if err != nil {
		event.MembershipSyncFailed.Log(s.cfg.Log).Str("router", string(from)).Err(err).Send()
		return
	}
	s.send(s.table.ApplySync(from, answer, s.cfg.Clock()))
}
