package mesh

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
	"ragwortpond.example/ragwortpond/streamversion"
)

const (
	// streamHolders is the number of routers that record where a stream began, all others in
	// a fleet of up to maxAllHolders: so that of the streams of routers that are lost
	// together, the others know most. One more is asked.
	streamHolders = 6
	maxAllHolders = 12
	// streamTimeout is how long a router waits for what others know of a stream.
	streamTimeout = 50 * time.Millisecond
	// maxSplits and maxShares bound the splits in a full heartbeat. One with more versions
	// is read from the store.
	maxSplits = 4
	maxShares = 4
	// maxMemberSplits bounds the splits that a router is remembered to know.
	maxMemberSplits = 64
	// maxVersionBytes bounds the text of a version in a split; longer ones are left out.
	maxVersionBytes = 32
)

// StreamKind is the kind of a message about where a stream began.
type StreamKind uint8

// Kinds of messages about streams.
const (
	// StreamRecord asks to remember where a stream began.
	StreamRecord StreamKind = iota
	// StreamQuestion asks where it began; StreamKnown and StreamUnknown answer.
	StreamQuestion
	StreamKnown
	StreamUnknown
)

// StreamMessage tells or asks where a stream began.
type StreamMessage struct {
	_        struct{} `cbor:",toarray"`
	Kind     StreamKind
	Sequence uint32
	Key      streamversion.Key
	Origin   streamversion.Origin
}

// SplitReport is what a router knows of a service's split.
type SplitReport struct {
	_        struct{} `cbor:",toarray"`
	Service  fleet.ServiceName
	Revision uint64
	AgeMS    uint32
	Shares   []SplitShare
}

// SplitConfirmation tells that a split was the newest in the store; see
// streamversion.Confirmation.
type SplitConfirmation struct {
	_        struct{} `cbor:",toarray"`
	Service  fleet.ServiceName
	Revision uint64
	AgeMS    uint32
	Alone    bool
}

// SplitShare is one share of a split.
type SplitShare struct {
	_       struct{} `cbor:",toarray"`
	Version fleet.SoftwareVersion
	Weight  uint32
}

// Connected implements streamversion.Peers.
func (m *Mesh) Connected() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Connected(time.Now())
}

const (
	// hearingTimeout is the time within which a router has to receive heartbeats of others to
	// count as connected: of minHeard or half of those that it knows, and from most of the
	// failure domains. A partition shows by that long before the others are absent.
	hearingTimeout = 1500 * time.Millisecond
	minHeard       = 3
)

// Connected reports whether this router hears others now, and most of the known routers have
// been heard of lately, those of the last absenceLimit included. Of two sides of a partition
// at most one is connected.
func (t *Table) Connected(now time.Time) bool {
	present, heard := 1, 0
	domains, heardDomains := map[fleet.DomainName]bool{t.domain: true}, map[fleet.DomainName]bool{t.domain: true}
	for _, m := range t.members {
		if now.Sub(m.lastReported) >= t.permitPresence() {
			continue
		}
		present++
		domains[m.domain] = true
		if now.Sub(m.lastReceived)+m.late < hearingTimeout {
			heard++
			heardDomains[m.domain] = true
		}
	}
	heardDomainsSuffice := len(domains) == 1 || 2*len(heardDomains) > len(domains)
	return 2*present > t.KnownRouters()+len(t.forgotten) && heard >= min(minHeard, present/2) && heardDomainsSuffice
}

// AllKnowSplit implements streamversion.Peers.
func (m *Mesh) AllKnowSplit(service fleet.ServiceName, revision uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.allKnowSplit(service, revision, time.Now())
}

// allKnowSplit reports whether all other routers of the fleet have told that they know the split
// of a service at a revision or a newer one.
func (t *Table) allKnowSplit(service fleet.ServiceName, revision uint64, now time.Time) bool {
	if t.KnownRouters() < t.FleetSize(now) {
		return false
	}
	for _, m := range t.members {
		if m.splits[service] < revision {
			return false
		}
	}
	return true
}

// mergeSplitReports records which splits another router knows.
func (t *Table) mergeSplitReports(from fleet.RouterID, list []SplitReport) {
	m := t.members[from]
	if m == nil || len(list) == 0 {
		return
	}
	if m.splits == nil || len(m.splits) >= maxMemberSplits {
		m.splits = map[fleet.ServiceName]uint64{}
	}
	for _, r := range list[:min(len(list), maxSplits)] {
		m.splits[r.Service] = max(m.splits[r.Service], r.Revision)
	}
}

// absenceMemory is how long the absence of routers is remembered after its end.
const absenceMemory = 30 * time.Second

// absence is a time in which other routers were absent.
type absence struct {
	from, until time.Time
}

// Absence implements streamversion.Peers.
func (m *Mesh) Absence() (from, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.absence.from, m.table.absence.until
}

// AbsenceTime implements streamversion.Peers.
func (m *Mesh) AbsenceTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.permitPresence()
}

// updateAbsence records whether known routers are absent that do not leave.
func (t *Table) updateAbsence(now time.Time) {
	if now.Sub(t.absence.until) >= absenceMemory {
		t.absence = absence{}
	}
	for _, m := range t.members {
		if m.leaving || now.Sub(m.lastReported) < t.permitPresence() {
			continue
		}
		if t.absence.from.IsZero() || m.lastReported.Before(t.absence.from) {
			t.absence.from = m.lastReported
		}
		t.absence.until = now
	}
}

// Precedence implements streamversion.Peers.
func (m *Mesh) Precedence(service fleet.ServiceName) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Precedence(rendezvous.Seed(string(service)), time.Now())
}

// Precedence returns the number of present routers that rank before this one by a hash on
// which routers with the same table agree.
func (t *Table) Precedence(key uint64, now time.Time) int {
	own, before := rendezvous.Mix(routerHash(t.self), key), 0
	for _, m := range t.members {
		if !m.leaving && now.Sub(m.lastReported) < presenceTimeout && rendezvous.Mix(m.hash, key) > own {
			before++
		}
	}
	return before
}

// streamHolders returns the addresses of the first n present routers by the hash of a key,
// this one excluded. Those after the first are of other failure domains than it, if there are
// any.
func (t *Table) streamHolders(key uint64, n int, now time.Time) []netip.AddrPort {
	var list []*member
	for _, m := range t.members {
		if !m.leaving && now.Sub(m.lastReported) < presenceTimeout {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Compare(rendezvous.Mix(b.hash, key), rendezvous.Mix(a.hash, key)) })
	if len(list) > 0 {
		first := list[0].domain
		slices.SortStableFunc(list[1:], func(a, b *member) int { return boolOrder(a.domain == first, b.domain == first) })
	}
	var addrs []netip.AddrPort
	for _, m := range list[:min(n, len(list))] {
		addrs = append(addrs, m.addr)
	}
	return addrs
}

// boolOrder orders false before true.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// streamHolders returns the addresses of the routers that record where a stream began, and of
// some more.
func (m *Mesh) streamHolders(key streamversion.Key, more int) []netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := streamHolders
	if known := m.table.KnownRouters(); known <= maxAllHolders {
		n = known
	}
	return m.table.streamHolders(uint64(key), n+more, time.Now())
}

// RecordStream implements streamversion.Peers.
func (m *Mesh) RecordStream(key streamversion.Key, origin streamversion.Origin) {
	message := &StreamMessage{Kind: StreamRecord, Key: key, Origin: origin}
	m.send(&Heartbeat{From: m.cfg.Self, Stream: message}, m.streamHolders(key, 0))
}

// StreamRecordItem tells where one of several streams began.
type StreamRecordItem struct {
	_      struct{} `cbor:",toarray"`
	Key    streamversion.Key
	Origin streamversion.Origin
}

// maxStreamRecords is the number of records that fit into a heartbeat.
const maxStreamRecords = 64

// RecordStreams implements streamversion.Peers.
func (m *Mesh) RecordStreams(records map[streamversion.Key]streamversion.Origin) {
	batches := map[netip.AddrPort][]StreamRecordItem{}
	flush := func(addr netip.AddrPort) {
		hb := m.newHeartbeat()
		hb.Streams = batches[addr]
		m.send(hb, []netip.AddrPort{addr})
		delete(batches, addr)
	}
	for key, origin := range records {
		for _, addr := range m.streamHolders(key, 0) {
			batches[addr] = append(batches[addr], StreamRecordItem{Key: key, Origin: origin})
			if len(batches[addr]) == maxStreamRecords {
				flush(addr)
			}
		}
	}
	for addr := range batches {
		flush(addr)
	}
}

// mergeStreams records where other routers know that streams began.
func (m *Mesh) mergeStreams(list []StreamRecordItem, now time.Time) {
	for _, r := range list[:min(len(list), maxStreamRecords)] {
		m.cfg.StreamVersions.Registry().Record(r.Key, r.Origin, now)
	}
}

// FindStream implements streamversion.Peers.
func (m *Mesh) FindStream(ctx context.Context, key streamversion.Key) (streamversion.Origin, bool) {
	holders := m.streamHolders(key, 1)
	sequence, replies, ok := m.streams.expect(len(holders))
	if !ok {
		return 0, false
	}
	defer m.streams.forget(sequence)
	m.send(&Heartbeat{From: m.cfg.Self, Stream: &StreamMessage{Kind: StreamQuestion, Sequence: sequence, Key: key}}, holders)
	deadline := time.Now().Add(streamTimeout)
	for range holders {
		reply, ok := receive(replies, time.Until(deadline))
		if !ok || ctx.Err() != nil {
			break
		}
		if reply.Kind == StreamKnown {
			return reply.Origin, true
		}
	}
	return 0, false
}

// handleStream handles a message about where a stream began.
func (m *Mesh) handleStream(message *StreamMessage, from netip.AddrPort, now time.Time) {
	registry := m.cfg.StreamVersions.Registry()
	switch message.Kind {
	case StreamRecord:
		registry.Record(message.Key, message.Origin, now)
	case StreamQuestion:
		answer := &StreamMessage{Kind: StreamUnknown, Sequence: message.Sequence, Key: message.Key}
		if origin, ok := registry.Find(message.Key, now); ok {
			answer.Kind, answer.Origin = StreamKnown, origin
		}
		m.send(&Heartbeat{From: m.cfg.Self, Stream: answer}, []netip.AddrPort{from})
	case StreamKnown, StreamUnknown:
		m.streams.deliver(message.Sequence, message)
	}
}

// PublishSplit implements streamversion.Peers.
func (m *Mesh) PublishSplit(report streamversion.Report) {
	hb := m.newHeartbeat()
	hb.Splits, hb.Lists = appendSplit(nil, report, time.Now()), m.listReports()
	m.send(hb, m.allAddrs())
}

// splitReports returns the known splits for a full heartbeat.
func (m *Mesh) splitReports(now time.Time) []SplitReport {
	var list []SplitReport
	for _, r := range m.cfg.StreamVersions.Reports() {
		if len(list) < maxSplits {
			list = appendSplit(list, r, now)
		}
	}
	return list
}

// appendSplit adds a split to reports, unless it is too large for a heartbeat.
func appendSplit(list []SplitReport, r streamversion.Report, now time.Time) []SplitReport {
	if len(r.Split) > maxShares {
		return list
	}
	report := SplitReport{Service: r.Service, Revision: r.Revision, AgeMS: ageMS(r.KnownSince, now)}
	for _, share := range r.Split {
		if len(share.Version) > maxVersionBytes {
			return list
		}
		report.Shares = append(report.Shares, SplitShare{Version: share.Version, Weight: share.Weight})
	}
	return append(list, report)
}

// splitConfirmations returns the known confirmations of splits for a full heartbeat.
func (m *Mesh) splitConfirmations() []SplitConfirmation {
	var list []SplitConfirmation
	for _, c := range m.cfg.StreamVersions.Confirmations() {
		if len(list) < maxSplits {
			// Rounded up, since a split may be used for a time after its confirmation.
			age := uint32(c.Age.Milliseconds()) + 1
			list = append(list, SplitConfirmation{Service: c.Service, Revision: c.Revision, AgeMS: age, Alone: c.Alone})
		}
	}
	return list
}

// mergeConfirmations passes on the confirmations that another router knows, from a heartbeat that is late by a time.
func (m *Mesh) mergeConfirmations(list []SplitConfirmation, late time.Duration) {
	for _, c := range list[:min(len(list), maxSplits)] {
		m.cfg.StreamVersions.MergeConfirmation(streamversion.Confirmation{
			Service: c.Service, Revision: c.Revision, Age: time.Duration(c.AgeMS)*time.Millisecond + late, Alone: c.Alone,
		})
	}
}

// mergeSplits passes on the splits that another router knows.
func (m *Mesh) mergeSplits(list []SplitReport, now time.Time) {
	for _, r := range list[:min(len(list), maxSplits)] {
		split := streamversion.Split{}
		for _, share := range r.Shares {
			split = append(split, streamversion.Share{Version: share.Version, Weight: share.Weight})
		}
		m.cfg.StreamVersions.Merge(streamversion.Report{Service: r.Service, Revision: r.Revision, Split: split, KnownSince: timeOf(r.AgeMS, now)})
	}
}
