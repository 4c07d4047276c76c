package mesh

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// maxLimits bounds the limits in a full heartbeat.
const maxLimits = 16

// limitUnit is the number of limit units in a request per second.
const limitUnit = 1000

// newLimitReport returns a report for other routers.
func newLimitReport(id fleet.TargetID, r targetlimit.Report, now time.Time) LimitReport {
	return LimitReport{
		TargetHash: id.Hash(), PerThousandSeconds: uint32(min(r.PerSecond*limitUnit, math.MaxUint32)),
		AgeMS: ageMS(r.At, now), Lifted: r.Lifted,
	}
}

// report returns the report as this router keeps it.
func (r *LimitReport) report(now time.Time) targetlimit.Report {
	return targetlimit.Report{
		PerSecond: float64(r.PerThousandSeconds) / limitUnit, Lifted: r.Lifted, At: timeOf(r.AgeMS, now),
	}
}

// newestLimits returns up to maxLimits of the newest limits, which other routers are
// least likely to have.
func (m *Mesh) newestLimits(now time.Time) []LimitReport {
	var list []LimitReport
	for id, r := range m.cfg.Limits.Reports(now) {
		list = append(list, newLimitReport(id, r, now))
	}
	return newest(list, maxLimits, func(r LimitReport) (uint32, uint32) { return r.AgeMS, r.TargetHash })
}

// mergeLimits adds the limits of targets of this router's view.
func (m *Mesh) mergeLimits(list []LimitReport, now time.Time) {
	for _, r := range list[:min(len(list), maxLimits)] {
		id, ok := m.targetByHash(r.TargetHash)
		if !ok {
			continue
		}
		if change, changed := m.cfg.Limits.Merge(id, r.report(now), now); changed {
			logLimitChange(m.cfg.Log, id, change)
		}
	}
}
