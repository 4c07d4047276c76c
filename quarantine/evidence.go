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
	// Attempts holds the attempt of each crash, in the order of Crashes. Routers that know
	// only prompts send none.
	Attempts []Attempt `cbor:"5,keyasint,omitempty"`
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
// target, an age or a duration up to 5, the head of a list 1 to 3. A crash includes its
// attempt.
const (
	evidenceBytes  = 17
	crashBytes     = 28
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
		e.addCrash(c, other.attempt(i))
	}
	e.Clears = append(e.Clears, other.Clears...)
	e.Verdicts = append(e.Verdicts, other.Verdicts...)
}

// addCrash adds a crash and its attempt.
func (e *Evidence) addCrash(c Crash, a Attempt) {
	e.Crashes = append(e.Crashes, c)
	e.Attempts = append(e.Attempts, a)
}

// attempt returns the attempt of crash i, or the zero Attempt if nothing is known of it.
func (e *Evidence) attempt(i int) Attempt {
	if i >= len(e.Attempts) {
		return Attempt{}
	}
	return e.Attempts[i]
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
		current.addCrash(c, e.attempt(i))
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
