package mesh

import (
	"net/netip"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/quarantine"
)

const (
	// maxEvidenceBytes bounds the evidence in a full heartbeat, maxPushedEvidenceBytes
	// that in a heartbeat sent for its sake.
	maxEvidenceBytes       = 200
	maxPushedEvidenceBytes = 1000
	// New evidence goes to all routers of a fleet of up to smallFleet, and to
	// evidenceFanout random ones of a larger fleet. Each router forwards to
	// evidenceFanout routers, once, what is new to it. With 6 nearly all of 300 routers
	// have it after four steps; the next full heartbeats reach the others.
	smallFleet     = 16
	evidenceFanout = 6
	// pushedBytesPerSecond and maxPushedBytes bound the evidence that a router sends for its
	// sake. What is over them travels in full heartbeats.
	pushedBytesPerSecond = 4 << 10
	maxPushedBytes       = 1 << 20
)

// EvidenceStore holds a router's evidence on parts of prompts that crash targets. It must
// be safe for concurrent use.
type EvidenceStore interface {
	// ExportEvidence returns the evidence that another router needs, encoded in about
	// maxBytes at most.
	ExportEvidence(now time.Time, maxBytes int) quarantine.Evidence
	// MergeEvidence adds another router's evidence and returns what of it was new, to be
	// forwarded, and what contradicts it, for the router that sent it.
	MergeEvidence(e quarantine.Evidence, now time.Time) (forward, answer quarantine.Evidence)
}

// exportEvidence returns the evidence for a heartbeat, or nil if there is none.
func (m *Mesh) exportEvidence(now time.Time, maxBytes int) *quarantine.Evidence {
	if m.cfg.Evidence == nil {
		return nil
	}
	e := m.cfg.Evidence.ExportEvidence(now, maxBytes)
	if e.Empty() {
		return nil
	}
	return &e
}

// PublishEvidence sends new evidence of this router to others at once.
func (m *Mesh) PublishEvidence(e quarantine.Evidence) {
	n := evidenceFanout
	m.mu.Lock()
	if m.table.KnownRouters() <= smallFleet {
		n = smallFleet
	}
	m.mu.Unlock()
	m.spreadEvidence(e, n)
}

// spreadEvidence sends evidence to up to n random routers.
func (m *Mesh) spreadEvidence(e quarantine.Evidence, n int) {
	if e.Empty() {
		return
	}
	m.mu.Lock()
	addrs := m.table.RandomAddrs(n, time.Now(), m.random)
	m.mu.Unlock()
	m.sendEvidence(e, addrs)
}

// mergeEvidence merges the evidence of a heartbeat, forwards what is new and answers what
// this router knows to be wrong.
func (m *Mesh) mergeEvidence(hb *Heartbeat, from netip.AddrPort, now time.Time) {
	if hb.Evidence == nil || m.cfg.Evidence == nil || hb.From == m.cfg.Self {
		return
	}
	forward, answer := m.cfg.Evidence.MergeEvidence(*hb.Evidence, now)
	m.sendEvidence(answer, []netip.AddrPort{from})
	m.spreadEvidence(forward, evidenceFanout)
}

// sendEvidence sends evidence to each address, in as many heartbeats as it needs.
func (m *Mesh) sendEvidence(e quarantine.Evidence, addrs []netip.AddrPort) {
	for _, piece := range e.Split(maxPushedEvidenceBytes) {
		if !m.pushes.AllowN(time.Now(), piece.Size()*len(addrs)) {
			event.EvidenceNotPushed.Log(m.cfg.Log).Int("crashes", len(piece.Crashes)).Int("verdicts", len(piece.Verdicts)+len(piece.Sets)).Send()
			continue
		}
		hb := m.newHeartbeat()
		hb.Evidence = &piece
		m.send(hb, addrs)
	}
}

// leaveOutCrashes keeps only the verdicts of a heartbeat's evidence.
func (hb *Heartbeat) leaveOutCrashes() {
	if hb.Evidence != nil {
		hb.Evidence = &quarantine.Evidence{Verdicts: hb.Evidence.Verdicts}
	}
}
