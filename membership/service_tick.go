package membership

import (
	"context"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
)

// tick does the work of one heartbeat period.
func (s *Service) tick(ctx context.Context) {
	now := s.cfg.Clock()
	s.table.SetTiming(timingFrom(s.cfg.Values()))
	s.send(s.table.Tick(now))
	s.startVMRead(ctx, now)
	s.startSync(ctx, now)
}

// send sends messages. Errors are ignored, because datagrams may be lost
// anyway.
func (s *Service) send(messages []Message) {
	for _, m := range messages {
		_ = s.cfg.PeerClient.Send(m.Addr, peer.MethodHeartbeat, m.Heartbeat)
	}
}

// startVMRead reads the platform's VM list in the background if a read is due.
func (s *Service) startVMRead(ctx context.Context, now time.Time) {
	if s.vmReadInFlight || (!s.lastVMRead.IsZero() && now.Sub(s.lastVMRead) < s.vmListPeriod()) {
		return
	}
	s.vmReadInFlight = true
	s.lastVMRead = now
	err := s.pool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		vms, err := s.cfg.VMs.VMs(callCtx)
		_ = s.enqueue(ctx, func() { s.applyVMs(vms, err) })
	})
	if err != nil {
		s.vmReadInFlight = false
	}
}

func (s *Service) applyVMs(vms []objectapi.VM, err error) {
	s.vmReadInFlight = false
	if err != nil {
		event.MembershipVMListFailed.Log(s.cfg.Log).Err(err).Send()
		return
	}
	s.table.ApplyVMList(vms, s.cfg.Clock())
}

// vmListPeriod returns the time between reads of the VM list: the configured
// one for the vmListReaders routers with the lowest ring positions in the
// failure domain, and vmListPeriodFactor times that for the others.
func (s *Service) vmListPeriod() time.Duration {
	period := s.cfg.Values().VMListMS.Duration()
	own := ringPosition(0, s.cfg.Self.ID)
	lower := 0
	for _, r := range s.View().Routers {
		if r.Domain == s.cfg.Self.Domain && r.ID != s.cfg.Self.ID && ringPosition(0, r.ID) < own {
			lower++
		}
	}
	if lower < vmListReaders {
		return period
	}
	return period * vmListPeriodFactor
}

// startSync exchanges tables with another router in the background if a sync is
// due.
func (s *Service) startSync(ctx context.Context, now time.Time) {
	if s.syncInFlight {
		return
	}
	to, req, due := s.table.NextSync(now)
	if !due {
		return
	}
	s.syncInFlight = true
	err := s.pool.Go(func() {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		var answer SyncResponse
		err := s.cfg.PeerClient.Call(callCtx, to.PeerAddr, peer.MethodMembershipSync, req, &answer)
		_ = s.enqueue(ctx, func() { s.applySync(to.ID, answer, err) })
	})
	if err != nil {
		s.syncInFlight = false
	}
}

func (s *Service) applySync(from fleet.RouterID, answer SyncResponse, err error) {
	s.syncInFlight = false
	if err != nil {
		event.MembershipSyncFailed.Log(s.cfg.Log).Str("router", string(from)).Err(err).Send()
		return
	}
	s.send(s.table.ApplySync(from, answer, s.cfg.Clock()))
}
