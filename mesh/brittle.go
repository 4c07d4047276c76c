package mesh

import (
	"math"
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// maxBrittle bounds the brittle targets in a full heartbeat.
const maxBrittle = 16

func newBrittleReport(id fleet.TargetID, r targetlimit.BrittleReport, now time.Time) BrittleReport {
	return BrittleReport{
		TargetHash: id.Hash(), PerThousand: uint32(min(r.Rejections*limitUnit, math.MaxUint32)), AgeMS: ageMS(r.At, now), Sound: r.Sound,
	}
}

// newestBrittle returns up to maxBrittle of the newest reports on brittle targets, which other
// routers are least likely to have.
func (m *Mesh) newestBrittle(now time.Time) []BrittleReport {
	var list []BrittleReport
	for id, r := range m.cfg.Limits.BrittleReports(now) {
		list = append(list, newBrittleReport(id, r, now))
	}
	return newest(list, maxBrittle, func(r BrittleReport) (uint32, uint32) { return r.AgeMS, r.TargetHash })
}

// brittleReport returns what this router knows of one target if that is brittle.
func (m *Mesh) brittleReport(id fleet.TargetID, now time.Time) []BrittleReport {
	r, ok := m.cfg.Limits.Brittle(id, now)
	if !ok {
		return nil
	}
	return []BrittleReport{newBrittleReport(id, r, now)}
}

// mergeBrittle adds what another router knows of brittle targets of this router's view.
func (m *Mesh) mergeBrittle(list []BrittleReport, now time.Time) {
	for _, r := range list[:min(len(list), maxBrittle)] {
		if id, ok := m.targetByHash(r.TargetHash); ok {
			report := targetlimit.BrittleReport{Rejections: float64(r.PerThousand) / limitUnit, Sound: r.Sound, At: timeOf(r.AgeMS, now)}
			m.cfg.Limits.MergeBrittle(id, report, now)
		}
	}
}

// targetByHash returns the target of this router's view that messages name by a hash.
func (m *Mesh) targetByHash(hash uint32) (fleet.TargetID, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	id, ok := m.targetsByHash[hash]
	return id, ok
}

// ReportRejection tells the holder of a brittle target's permits that the target rejected a
// request of this router.
func (m *Mesh) ReportRejection(id fleet.TargetID) {
	now := time.Now()
	m.cfg.Limits.RecordRejection(id, now)
	m.mu.Lock()
	holder := m.table.permitHolder(id, now)
	m.mu.Unlock()
	if !holder.self {
		notice := &PermitMessage{Verdict: PermitRejected, Limit: m.limitReport(id, now)}
		m.send(&Heartbeat{From: m.cfg.Self, Permit: notice, Brittle: m.brittleReport(id, now)}, []netip.AddrPort{holder.addr})
	}
}

// handleRejection records the rejection that another router told of.
func (m *Mesh) handleRejection(notice *PermitMessage, now time.Time) {
	if id, ok := m.targetByHash(notice.Limit.TargetHash); ok {
		m.cfg.Limits.RecordRejection(id, now)
	}
}
