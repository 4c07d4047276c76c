package mesh

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targethealth"
)

// maxUnsound bounds the targets that a full heartbeat reports as unsound.
const maxUnsound = 16

// UnsoundTargets holds what this router and others know of targets that answer nothing sound. It
// must be safe for concurrent use.
type UnsoundTargets interface {
	// UnsoundReports returns what this router knows by its own attempts.
	UnsoundReports(now time.Time) []targethealth.Report
	// MergeUnsoundReport adds what another router reports.
	MergeUnsoundReport(from fleet.RouterID, report targethealth.Report, now time.Time)
}

// unsoundReports returns up to maxUnsound of the newest reports for a full heartbeat.
func (m *Mesh) unsoundReports(now time.Time) []UnsoundReport {
	if m.cfg.Unsound == nil {
		return nil
	}
	var list []UnsoundReport
	for _, r := range m.cfg.Unsound.UnsoundReports(now) {
		list = append(list, UnsoundReport{TargetHash: r.Target.Hash(), AgeMS: ageMS(r.At, now), Ejected: r.Ejected})
	}
	return newest(list, maxUnsound, func(r UnsoundReport) (uint32, uint32) { return r.AgeMS, r.TargetHash })
}

// mergeUnsound adds the reports of another router on targets of this router's view.
func (m *Mesh) mergeUnsound(from fleet.RouterID, list []UnsoundReport, now time.Time) {
	if m.cfg.Unsound == nil || from == m.cfg.Self {
		return
	}
	for _, r := range list[:min(len(list), maxUnsound)] {
		if id, ok := m.targetByHash(r.TargetHash); ok {
			m.cfg.Unsound.MergeUnsoundReport(from, targethealth.Report{Target: id, At: timeOf(r.AgeMS, now), Ejected: r.Ejected}, now)
		}
	}
}
