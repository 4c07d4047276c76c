package quarantine

import (
	"math"
	"time"
)

// Evidence is what routers tell each other. Times are ages in milliseconds at the time
// of sending. Its CBOR encoding is part of the heartbeats of package mesh.
type Evidence struct {
	Crashes  []Crash   `cbor:"1,keyasint,omitempty"`
	Clears   []Clear   `cbor:"2,keyasint,omitempty"`
	Verdicts []Verdict `cbor:"3,keyasint,omitempty"`
	// CrashRequests holds the digest of the request of each crash, in the order of
	// Crashes; zero if it is not known. Routers that know only prompts send none.
	CrashRequests []uint64 `cbor:"5,keyasint,omitempty"`
	// CrashRunsMS holds the time from the start of the attempt to each crash, in
	// milliseconds and one more; zero if it is not known.
	CrashRunsMS []uint32 `cbor:"6,keyasint,omitempty"`
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

// Clear is the last known success with a part or request.
type Clear struct {
	_     struct{} `cbor:",toarray"`
	Part  uint64
	AgeMS uint32
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

// Upper bounds of the CBOR encoding in bytes: a part or digest takes up to 9 bytes, a
// target or an age up to 5, the head of a list 1 to 3. A crash includes the digest of its
// request and the duration of the attempt.
const (
	evidenceBytes  = 21
	crashBytes     = 27
	crashPartBytes = 9
	clearBytes     = 15
	verdictBytes   = 22
)

func (c *Crash) size() int {
	return crashBytes + crashPartBytes*len(c.Parts)
}

// Empty reports whether there is nothing to tell.
func (e *Evidence) Empty() bool {
	return len(e.Crashes) == 0 && len(e.Clears) == 0 && len(e.Verdicts) == 0
}

// Size returns an upper bound of the encoded size in bytes.
func (e *Evidence) Size() int {
	size := evidenceBytes + clearBytes*len(e.Clears) + verdictBytes*len(e.Verdicts)
	for i := range e.Crashes {
		size += e.Crashes[i].size()
	}
	return size
}

func (e *Evidence) add(other Evidence) {
	for i, c := range other.Crashes {
		e.addCrash(c, other.request(i), other.runMS(i))
	}
	e.Clears = append(e.Clears, other.Clears...)
	e.Verdicts = append(e.Verdicts, other.Verdicts...)
}

// addCrash adds a crash with the digest of its request and the duration of its attempt, each
// or zero.
func (e *Evidence) addCrash(c Crash, request uint64, runMS uint32) {
	for len(e.CrashRequests) < len(e.Crashes) {
		e.CrashRequests = append(e.CrashRequests, 0)
	}
	for len(e.CrashRunsMS) < len(e.Crashes) {
		e.CrashRunsMS = append(e.CrashRunsMS, 0)
	}
	e.Crashes = append(e.Crashes, c)
	e.CrashRequests = append(e.CrashRequests, request)
	e.CrashRunsMS = append(e.CrashRunsMS, runMS)
}

// request returns the digest of the request of crash i, or zero.
func (e *Evidence) request(i int) uint64 {
	if i >= len(e.CrashRequests) {
		return 0
	}
	return e.CrashRequests[i]
}

// runMS returns the duration of the attempt of crash i, or zero.
func (e *Evidence) runMS(i int) uint32 {
	if i >= len(e.CrashRunsMS) {
		return 0
	}
	return e.CrashRunsMS[i]
}

// Split divides the evidence so that no piece is encoded in more than maxBytes, unless it
// holds a single crash. Verdicts come first.
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
	for i, c := range e.Crashes {
		makeRoom(c.size())
		current.addCrash(c, e.request(i), e.runMS(i))
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

func newVerdict(part uint64, v *verdict, now time.Time) Verdict {
	return Verdict{Part: part, SinceAgeMS: ageMS(v.since, now), SeenAgeMS: ageMS(v.seenAt, now), Incidents: uint8(min(v.incidents, math.MaxUint8))}
}
