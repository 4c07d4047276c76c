package placement

import "time"

const (
	// ledgerSlotWidth and ledgerSlots set how much load history a ledger keeps.
	ledgerSlotWidth = 250 * time.Millisecond
	ledgerSlots     = 32
	// reportLifetime is how long a target's load report is used.
	reportLifetime = 4 * time.Second
)

// LoadLedger splits a target's reported load into the part that this home sent and
// the rest. Reports arrive late, so a report is compared with the home's own
// load at the time of the report instead of the present one. The zero value is
// ready to use. A LoadLedger is not safe for concurrent use.
type LoadLedger struct {
	// slots is a ring buffer of the home's own load over time.
	slots [ledgerSlots]ledgerSlot
	// external is the load in the last report in excess of the home's own
	// load; reportedAt is the time of that report.
	external   float64
	reportedAt time.Time
	// assumed is the load assumed to be left by a former home at assumedStart.
	// It falls linearly to zero at assumedEnd.
	assumed      float64
	assumedStart time.Time
	assumedEnd   time.Time
}

// ledgerSlot holds the highest and the last own load noted in one interval of
// ledgerSlotWidth.
type ledgerSlot struct {
	slot       int64
	peak, last float64
}

// RecordOwnLoad records the home's own load of the target at now, in requests.
func (l *LoadLedger) RecordOwnLoad(load float64, now time.Time) {
	slot := now.UnixNano() / int64(ledgerSlotWidth)
	e := &l.slots[slot%ledgerSlots]
	if e.slot != slot {
		*e = ledgerSlot{slot: slot}
	}
	e.peak = max(e.peak, load)
	e.last = load
}

// RecordReport records a target's report of its total load, in requests, at the given
// time. Reports that are not newer than the last one are ignored.
func (l *LoadLedger) RecordReport(load float64, at time.Time) {
	if !at.After(l.reportedAt) {
		return
	}
	l.reportedAt = at
	l.external = max(0, load-l.ownLoad(at))
}

// ownLoad returns the highest own load around the given time: in the slot of
// that time and its two neighbors, including the load carried over from the
// last slot before them.
func (l *LoadLedger) ownLoad(at time.Time) float64 {
	slot := at.UnixNano() / int64(ledgerSlotWidth)
	peak, latest := 0.0, ledgerSlot{}
	for _, e := range l.slots {
		if e.slot >= slot-1 && e.slot <= slot+1 {
			peak = max(peak, e.peak)
		}
		if e.slot < slot-1 && e.slot > latest.slot {
			latest = e
		}
	}
	return max(peak, latest.last)
}

// AssumeLoad sets the load assumed to be left by a former home, which does not
// appear in any report yet. It decreases linearly to zero over the given
// request lifetime.
func (l *LoadLedger) AssumeLoad(load float64, now time.Time, life time.Duration) {
	l.assumed = load
	l.assumedStart = now
	l.assumedEnd = now.Add(life)
}

// ExternalLoad returns the load that this home did not send: the larger of the
// reported and the assumed load.
func (l *LoadLedger) ExternalLoad(now time.Time) float64 {
	return max(l.reportedLoad(now), l.assumedLoad(now))
}

// reportedLoad returns the external load of the last report. It decreases
// linearly over reportLifetime, since the work of a former home may end before
// a later report shows it.
func (l *LoadLedger) reportedLoad(now time.Time) float64 {
	age := now.Sub(l.reportedAt)
	if l.external == 0 || age >= reportLifetime {
		return 0
	}
	return l.external * (1 - max(age, 0).Seconds()/reportLifetime.Seconds())
}

// assumedLoad returns the remaining part of the assumed load.
func (l *LoadLedger) assumedLoad(now time.Time) float64 {
	remaining := l.assumedEnd.Sub(now)
	if l.assumed == 0 || remaining <= 0 {
		return 0
	}
	return l.assumed * remaining.Seconds() / l.assumedEnd.Sub(l.assumedStart).Seconds()
}
