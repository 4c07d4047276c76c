package quarantine

import (
	"math"
	"slices"
	"time"
)

// Evidence is what routers tell each other. Times are ages in milliseconds at the time
// of sending. Its CBOR encoding is part of the heartbeats of package mesh.
type Evidence struct {
	Crashes  []Crash   `cbor:"1,keyasint,omitempty"`
	Clears   []Clear   `cbor:"2,keyasint,omitempty"`
	Verdicts []Verdict `cbor:"3,keyasint,omitempty"`
	// Attempts holds the attempt of each crash, in the order of Crashes. Routers that know
	// only prompts send none.
	Attempts []Attempt `cbor:"5,keyasint,omitempty"`
	// Sets are verdicts on several parts or requests. Earlier builds ignore them.
	Sets []SetVerdict `cbor:"6,keyasint,omitempty"`
	// Trials holds the indices of those Crashes whose attempt was a trial, in order.
	Trials []uint16 `cbor:"7,keyasint,omitempty"`
	// Totals holds the number of shared parts of the prompt of each crash, in the order of
	// Crashes, if one of them tells fewer; others tell the rest. It is empty otherwise.
	Totals []uint16 `cbor:"8,keyasint,omitempty"`
}

// Crash is an attempt that ended because its target crashed.
type Crash struct {
	_ struct{} `cbor:",toarray"`
	// TargetHash is the hash of the target's ID.
	TargetHash uint32
	AgeMS      uint32
	// Parts are the shared parts of the attempt's prompt in order.
	Parts []uint64
}

// Attempt is what is known of the attempt of a crash beside its prompt. It is not a part of
// Crash, since routers that know only prompts could not decode that.
type Attempt struct {
	_ struct{} `cbor:",toarray"`
	// Digest is that of the request; zero if it is not known.
	Digest uint64
	// RunMS is the time from the start of the attempt to the crash, in milliseconds and
	// one more; zero if it is not known.
	RunMS uint32
}

// Clear is the last known success with a part or request.
type Clear struct {
	_     struct{} `cbor:",toarray"`
	Part  uint64
	AgeMS uint32
}

// SetVerdict tells that one of several parts or requests is at fault. The other fields are as
// in Verdict.
type SetVerdict struct {
	_                     struct{} `cbor:",toarray"`
	Members               []uint64
	SinceAgeMS, SeenAgeMS uint32
	Incidents             uint8
}

// Verdict tells that a part or request is quarantined.
type Verdict struct {
	_    struct{} `cbor:",toarray"`
	Part uint64
	// SinceAgeMS is the age of the first crash that the verdict rests on, SeenAgeMS that
	// of the last crash or refused request.
	SinceAgeMS, SeenAgeMS uint32
	// Incidents is the number of incidents that the verdict rests on.
	Incidents uint8
}

// maxSetMembers bounds the members of a verdict that is told to other routers. They find
// larger ones themselves, from the crashes.
const maxSetMembers = 64

// Upper bounds of the CBOR encoding in bytes: a part or digest takes up to 9 bytes, a
// target, an age or a duration up to 5, an index or a number of parts up to 3, the head of a list 1 to 3. A crash
// includes its attempt.
const (
	evidenceBytes  = 29
	crashBytes     = 34
	crashPartBytes = 9
	clearBytes     = 15
	verdictBytes   = 22
	setBytes       = 16
	memberBytes    = 9
)

func (v *SetVerdict) size() int {
	return setBytes + memberBytes*len(v.Members)
}

func (c *Crash) size() int {
	return crashBytes + crashPartBytes*len(c.Parts)
}

// Empty reports whether there is nothing to tell.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Clears) == 0 && len(e.Verdicts) == 0 && len(e.Sets) == 0
}

// Size returns an upper bound of the encoded size in bytes.
func (e *Evidence) Size() int {
	size := evidenceBytes + clearBytes*len(e.Clears) + verdictBytes*len(e.Verdicts)
	for i := range e.Crashes {
		size += e.Crashes[i].size()
	}
	for i := range e.Sets {
		size += e.Sets[i].size()
	}
	return size
}

func (e *Evidence) add(other Evidence) {
	for i := range other.Crashes {
		e.addReport(other.report(i))
	}
	e.Clears = append(e.Clears, other.Clears...)
	e.Verdicts = append(e.Verdicts, other.Verdicts...)
	e.Sets = append(e.Sets, other.Sets...)
}

// addVerdict adds a verdict, unless it has more than maxSetMembers.
func (e *Evidence) addVerdict(v *verdict, now time.Time) {
	since, seen, incidents := ageMS(v.since, now), ageMS(v.seenAt, now), uint8(min(v.incidents, math.MaxUint8))
	switch n := len(v.members); {
	case n == 1:
		e.Verdicts = append(e.Verdicts, Verdict{Part: v.members[0], SinceAgeMS: since, SeenAgeMS: seen, Incidents: incidents})
	case n <= maxSetMembers:
		e.Sets = append(e.Sets, SetVerdict{Members: v.members, SinceAgeMS: since, SeenAgeMS: seen, Incidents: incidents})
	}
}

// verdicts returns up to n verdicts on one member or several, as this router's clock has them.
func (e *Evidence) verdicts(n int, now time.Time) []*verdict {
	var list []*verdict
	add := func(members []uint64, sinceAge, seenAge uint32, incidents uint8) {
		since := timeOf(sinceAge, now)
		list = append(list, newVerdictOn(members, since, latest(since, timeOf(seenAge, now)), int(incidents), now))
	}
	for _, v := range e.Verdicts[:min(len(e.Verdicts), n)] {
		add([]uint64{v.Part}, v.SinceAgeMS, v.SeenAgeMS, v.Incidents)
	}
	for _, v := range e.Sets[:min(len(e.Sets), n)] {
		if len(v.Members) > 0 && len(v.Members) <= maxSetMembers {
			add(v.Members, v.SinceAgeMS, v.SeenAgeMS, v.Incidents)
		}
	}
	return list
}

// Aged returns a copy of the evidence in which all ages are higher by d, if that is positive.
func (e Evidence) Aged(d time.Duration) Evidence {
	grow := func(age uint32) uint32 {
		return uint32(min(int64(age)+max(d.Milliseconds(), 0), math.MaxUint32))
	}
	e.Crashes, e.Clears, e.Verdicts, e.Sets = slices.Clone(e.Crashes), slices.Clone(e.Clears), slices.Clone(e.Verdicts), slices.Clone(e.Sets)
	for i := range e.Crashes {
		e.Crashes[i].AgeMS = grow(e.Crashes[i].AgeMS)
	}
	for i := range e.Clears {
		e.Clears[i].AgeMS = grow(e.Clears[i].AgeMS)
	}
	for i := range e.Verdicts {
		e.Verdicts[i].SinceAgeMS, e.Verdicts[i].SeenAgeMS = grow(e.Verdicts[i].SinceAgeMS), grow(e.Verdicts[i].SeenAgeMS)
	}
	for i := range e.Sets {
		e.Sets[i].SinceAgeMS, e.Sets[i].SeenAgeMS = grow(e.Sets[i].SinceAgeMS), grow(e.Sets[i].SeenAgeMS)
	}
	return e
}

// report is a crash with all that is told of it.
type report struct {
	Crash
	attempt Attempt
	onTrial bool
	total   int
}

// earlierMaxParts is the number of parts to which earlier builds cut prompts without telling.
const earlierMaxParts = 32

// report returns what is told of crash i.
func (e *Evidence) report(i int) report {
	r := report{Crash: e.Crashes[i], onTrial: i <= math.MaxUint16 && slices.Contains(e.Trials, uint16(i)), total: len(e.Crashes[i].Parts)}
	if i < len(e.Attempts) {
		r.attempt = e.Attempts[i]
	}
	switch {
	case i < len(e.Totals):
		r.total = max(r.total, int(e.Totals[i]))
	case r.total == earlierMaxParts:
		r.total++
	}
	return r
}

// addReport adds what is told of a crash.
func (e *Evidence) addReport(r report) {
	n := len(e.Crashes)
	if r.onTrial {
		e.Trials = append(e.Trials, uint16(n))
	}
	tellsTotal := r.total != len(r.Parts) || r.total == earlierMaxParts
	if tellsTotal && len(e.Totals) == 0 {
		for _, c := range e.Crashes {
			e.Totals = append(e.Totals, uint16(len(c.Parts)))
		}
	}
	if tellsTotal || len(e.Totals) > 0 {
		e.Totals = append(e.Totals, uint16(min(r.total, math.MaxUint16)))
	}
	e.Crashes = append(e.Crashes, r.Crash)
	e.Attempts = append(e.Attempts, r.attempt)
}

// split divides what is told of a crash into reports with up to n parts.
func (r report) split(n int) []report {
	var pieces []report
	for parts := range slices.Chunk(r.Parts, max(n, 1)) {
		piece := r
		piece.Parts = parts
		pieces = append(pieces, piece)
	}
	if len(pieces) == 0 {
		pieces = []report{r}
	}
	return pieces
}

// Split divides the evidence so that no piece is encoded in more than maxBytes, unless it
// holds a single verdict. The parts of one crash may be in several pieces. Verdicts come first.
func (e Evidence) Split(maxBytes int) []Evidence {
	var pieces []Evidence
	current := Evidence{}
	makeRoom := func(bytes int) {
		if !current.Empty() && current.Size()+bytes > maxBytes {
			pieces = append(pieces, current)
			current = Evidence{}
		}
	}
	for _, v := range e.Verdicts {
		makeRoom(verdictBytes)
		current.Verdicts = append(current.Verdicts, v)
	}
	for _, v := range e.Sets {
		makeRoom(v.size())
		current.Sets = append(current.Sets, v)
	}
	for i := range e.Crashes {
		for _, r := range e.report(i).split((maxBytes - evidenceBytes - crashBytes) / crashPartBytes) {
			makeRoom(r.size())
			current.addReport(r)
		}
	}
	for _, c := range e.Clears {
		makeRoom(clearBytes)
		current.Clears = append(current.Clears, c)
	}
	if !current.Empty() {
		pieces = append(pieces, current)
	}
	return pieces
}

func ageMS(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at), 0).Milliseconds(), math.MaxUint32))
}

// timeOf returns the time of something with an age in milliseconds.
func timeOf(age uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

func newClear(part uint64, at, now time.Time) Clear {
	return Clear{Part: part, AgeMS: ageMS(at, now)}
}
