package mesh

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

// beat returns a beat without loads.
func (m *Mesh) beat() *Beat {
	config, targets := m.cfg.Directory.Marks()
	return &Beat{
		From: m.cfg.Self, Domain: m.cfg.Domain, Boot: m.boot, Watches: m.cfg.Directory.Hears(),
		Leaving: m.leave.Load(), Config: config, Targets: targets, Strength: m.cfg.Strength,
	}
}

// fill adds the latest loads and some other routers to a beat.
func (m *Mesh) fill(b *Beat, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	b.Loads = latest(m.loads, now)
	b.Others = m.table.Others(mostOthers, now, m.random)
}

// latest returns the newest counts, which others are least likely to have.
func latest(loads map[fleet.TargetID]sample, now time.Time) []Load {
	list := make([]Load, 0, len(loads))
	for id, s := range loads {
		if age := now.Sub(s.at); age < loadLife {
			list = append(list, Load{Target: nameHash(id), Work: uint32(s.work), AgeMS: uint32(max(age, 0).Milliseconds())})
		}
	}
	slices.SortFunc(list, func(a, b Load) int { return cmp.Or(cmp.Compare(a.AgeMS, b.AgeMS), cmp.Compare(a.Target, b.Target)) })
	return list[:min(len(list), mostLoads)]
}

func (m *Mesh) seeds() []netip.AddrPort {
	_, port, err := net.SplitHostPort(m.cfg.Addr)
	if err != nil {
		return nil
	}
	var addrs []netip.AddrPort
	for _, seed := range m.cfg.Seeds() {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			host = seed
		}
		addr, err := netip.ParseAddrPort(net.JoinHostPort(host, port))
		if err != nil {
			event.MeshFault.Log(m.cfg.Log).Str("what", "seed").Str("seed", seed).Err(err).Send()
			continue
		}
		if addr.String() != m.cfg.Addr {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

func (m *Mesh) send(b *Beat, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	data, err := encode(b)
	if errors.Is(err, errTooLong) {
		// What does not fit is fetched by those who miss it.
		b.Changes, b.Loads = nil, nil
		data, err = encode(b)
	}
	if err != nil {
		event.MeshFault.Log(m.cfg.Log).Str("what", "encode").Err(err).Send()
		return
	}
	for _, addr := range to {
		// A datagram may be lost in any case; the next beat repairs that.
		if _, err := m.conn.WriteToUDPAddrPort(data, addr); err == nil {
			m.cfg.Bytes("sent", len(data))
		}
	}
}

// hear takes a beat.
func (m *Mesh) hear(ctx context.Context, b *Beat, from netip.AddrPort) {
	now := time.Now()
	m.mu.Lock()
	known := m.table.members[b.From]
	news := known == nil || known.boot < b.Boot
	m.table.Hear(b, from, now)
	loads := m.takeLoads(b, now)
	m.mu.Unlock()
	if news {
		event.MeshJoined.Log(m.cfg.Log).Str("router", string(b.From)).Str("failure_domain", string(b.Domain)).Send()
	}
	if b.Leaving {
		event.MeshGone.Log(m.cfg.Log).Str("router", string(b.From)).Send()
	}
	for id, s := range loads {
		m.cfg.Heard(id, s.work, s.at)
	}
	if b.Joins {
		m.answerJoin(from, now)
	}
	if len(b.Changes) > 0 {
		m.cfg.Directory.Take(changesOf(b.Changes))
	}
	m.compare(ctx, b, from, now)
}

func changesOf(list []Change) []platform.Change {
	changes := make([]platform.Change, 0, len(list))
	for _, c := range list {
		changes = append(changes, platform.Change{
			Object: platform.Object{Name: c.Name, Revision: c.Revision, Spec: c.Spec}, Deleted: c.Deleted,
		})
	}
	return changes
}

// takeLoads keeps the counts that are newer than those known; m.mu is held.
func (m *Mesh) takeLoads(b *Beat, now time.Time) map[fleet.TargetID]sample {
	taken := map[fleet.TargetID]sample{}
	for _, l := range b.Loads {
		id, ok := m.names[l.Target]
		at := now.Add(-time.Duration(l.AgeMS) * time.Millisecond)
		if !ok || !at.After(m.loads[id].at) {
			continue
		}
		m.loads[id] = sample{int(l.Work), at}
		taken[id] = m.loads[id]
	}
	return taken
}

func (m *Mesh) answerJoin(to netip.AddrPort, now time.Time) {
	b := m.beat()
	m.fill(b, now)
	m.send(b, []netip.AddrPort{to})
}
