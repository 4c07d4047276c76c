package placement

import "time"

const (
	// ledgerSlot and ledgerSlots say how far back a ledger remembers.
	ledgerSlot  = 250 * time.Millisecond
	ledgerSlots = 32
	// reportLife is how long a report counts after it was made.
	reportLife = 4 * time.Second
)

// Ledger tells a target's reported load apart into what this home sent and what
// it did not. Reports lag, so a report is compared with the home's own work at
// the time of the report, not with that of now. The zero value is ready. It is
// not safe for concurrent use.
type Ledger struct {
	// slots hold the own load over the last slots of time.
	slots [ledgerSlots]ledgerEntry
	// unaccounted is what the last report held beyond the own load, at is its
	// time.
	unaccounted float64
	at          time.Time
	// assumed is what a former home is taken to have left, fading out until
	// assumedEnd.
	assumed      float64
	assumedStart time.Time
	assumedEnd   time.Time
}

// ledgerEntry is the highest and the last own load noted in a slot of time.
type ledgerEntry struct {
	slot       int64
	most, last float64
}

// Note remembers the home's own load of the target, in requests.
func (l *Ledger) Note(load float64, now time.Time) {
	slot := now.UnixNano() / int64(ledgerSlot)
	e := &l.slots[slot%ledgerSlots]
	if e.slot != slot {
		*e = ledgerEntry{slot: slot}
	}
	e.most = max(e.most, load)
	e.last = load
}

// Report takes a report of the target's whole load at a time.
func (l *Ledger) Report(load float64, at time.Time) {
	if !at.After(l.at) {
		return
	}
	l.at = at
	l.unaccounted = max(0, load-l.own(at))
}

// own is the highest own load about the given time: in its slot, in the ones
// before and after, and what was carried into them.
func (l *Ledger) own(at time.Time) float64 {
	slot := at.UnixNano() / int64(ledgerSlot)
	most, latest := 0.0, ledgerEntry{}
	for _, e := range l.slots {
		if e.slot >= slot-1 && e.slot <= slot+1 {
			most = max(most, e.most)
		}
		if e.slot < slot-1 && e.slot > latest.slot {
			latest = e
		}
	}
	return max(most, latest.last)
}

// Assume takes the target to carry work of a former home, which no report tells
// of yet and which ends evenly over the given life of a request.
func (l *Ledger) Assume(load float64, now time.Time, life time.Duration) {
	l.assumed = load
	l.assumedStart = now
	l.assumedEnd = now.Add(life)
}

// Unaccounted returns the load that this home did not send, as reported or as
// assumed, whichever is more.
func (l *Ledger) Unaccounted(now time.Time) float64 {
	return max(l.reported(now), l.left(now))
}

// reported is the unaccounted part of the last report. It fades out over the
// life of the report, since work of a former home ends while no later report
// tells of it.
func (l *Ledger) reported(now time.Time) float64 {
	age := now.Sub(l.at)
	if l.unaccounted == 0 || age >= reportLife {
		return 0
	}
	return l.unaccounted * (1 - max(age, 0).Seconds()/reportLife.Seconds())
}

// left is what remains of the assumed load.
func (l *Ledger) left(now time.Time) float64 {
	rest := l.assumedEnd.Sub(now)
	if l.assumed == 0 || rest <= 0 {
		return 0
	}
	return l.assumed * rest.Seconds() / l.assumedEnd.Sub(l.assumedStart).Seconds()
}
