package mesh

import (
	"time"

	"ragwortpond.example/ragwortpond/evacuation"
	"ragwortpond.example/ragwortpond/platform"
)

// maxEvacuationRecords bounds the records of evacuations in a datagram: with names of the greatest
// length they take half of it.
const maxEvacuationRecords = 8

// evacuationReport returns what this router tells of evacuations in a datagram; m.mu must be held.
func (m *Mesh) evacuationReport(now time.Time) *EvacuationReport {
	return newEvacuationReport(m.cfg.Directory.EvacuationReport(maxEvacuationRecords, m.random.IntN), now)
}

// newEvacuationReport returns the wire form of a report, nil of nil.
func newEvacuationReport(report *evacuation.Report, now time.Time) *EvacuationReport {
	if report == nil {
		return nil
	}
	wire := &EvacuationReport{CompleteAsOf: report.CompleteAsOf}
	for _, r := range report.Records {
		wire.Records = append(wire.Records, EvacuationRecord{Domain: r.Domain, Requested: r.Requested, Ended: r.Ended, AgeMS: ageMS(r.Since, now)})
	}
	return wire
}

// decode returns the report of the wire form, nil of nil.
func (e *EvacuationReport) decode(now time.Time) *evacuation.Report {
	if e == nil {
		return nil
	}
	report := &evacuation.Report{CompleteAsOf: e.CompleteAsOf}
	for _, r := range e.Records[:min(len(e.Records), evacuation.MaxRecords)] {
		if _, err := platform.DecodeEvacuation(platform.Object{Name: string(r.Domain)}); err != nil {
			continue
		}
		report.Records = append(report.Records, evacuation.Record{Domain: r.Domain, Requested: r.Requested, Ended: r.Ended, Since: timeOf(r.AgeMS, now)})
	}
	if len(report.Records) < len(e.Records) {
		report.CompleteAsOf = 0
	}
	return report
}

// PublishEvacuations tells the routers of this failure domain and others of a change of the evacuations that
// this router read from the store.
func (m *Mesh) PublishEvacuations() {
	hb := m.newHeartbeat()
	m.mu.Lock()
	hb.Evacuations = m.evacuationReport(time.Now())
	m.mu.Unlock()
	m.send(hb, m.allAddrs())
}
