package keyjournal

import (
	"encoding/binary"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

// Sizes in bytes of encoded parts, rounded up.
const (
	recordOverhead    = 120
	answerOverhead    = 16
	fieldOverhead     = 8
	tombstoneOverhead = 20
	maxCellBytes      = objectapi.MaxValueBytes * 15 / 16
)

// Content is the content of one cell. It is not safe for concurrent use.
type Content struct {
	records    map[KeyHash]*Record
	tombstones map[uint64]int64
	size       int
}

// NewContent returns the content of a cell that has no object.
func NewContent() *Content {
	return &Content{records: map[KeyHash]*Record{}, tombstones: map[uint64]int64{}}
}

// OpKind says what an operation does.
type OpKind uint8

// The operations on a cell. All can be applied again without further effect.
const (
	// OpBegin records an intent.
	OpBegin OpKind = iota + 1
	// OpFinish records the end of the request of Nonce.
	OpFinish
	// OpRelease removes the record of Nonce, whose request was not run.
	OpRelease
)

// String returns the operation's name, used as a metric label.
func (k OpKind) String() string {
	switch k {
	case OpBegin:
		return "begin"
	case OpFinish:
		return "finish"
	case OpRelease:
		return "release"
	default:
		return "invalid"
	}
}

// Op is one operation on a cell.
type Op struct {
	Kind        OpKind      `cbor:"1,keyasint"`
	Hash        KeyHash     `cbor:"2,keyasint"`
	Nonce       Nonce       `cbor:"3,keyasint"`
	Fingerprint Fingerprint `cbor:"4,keyasint,omitempty"`
	Owner       Owner       `cbor:"5,keyasint,omitempty"`
	Replaces    Nonce       `cbor:"6,keyasint,omitempty"`
	ExpiresMS   int64       `cbor:"7,keyasint,omitempty"`
	Result      Result      `cbor:"8,keyasint,omitempty"`
}

// VerdictKind says what became of an operation.
type VerdictKind uint8

// The verdicts. Only Done of an OpBegin is leave to run the request.
const (
	Done VerdictKind = iota + 1
	Exists
	KeyReused
	Expired
	Full
	// Gone means that the operation's record is not in the cell.
	Gone
	// Unavailable means that the operation was not seen in place.
	Unavailable
)

var verdictNames = map[VerdictKind]string{
	Done: "done", Exists: "exists", KeyReused: "key-reused", Expired: "expired",
	Full: "full", Gone: "gone", Unavailable: "unavailable",
}

// String returns the verdict's name, used as a metric label.
func (k VerdictKind) String() string {
	name, ok := verdictNames[k]
	if !ok {
		return "invalid"
	}
	return name
}

// Verdict answers an operation; Record is set for Exists.
type Verdict struct {
	Kind   VerdictKind `cbor:"1,keyasint"`
	Record *Record     `cbor:"2,keyasint,omitempty"`
}

// Apply carries out an operation and reports whether the content changed. The
// verdict holds only once the content is seen in place in the object API.
func (c *Content) Apply(op *Op, now time.Time) (Verdict, bool) {
	record := c.records[op.Hash]
	switch op.Kind {
	case OpBegin:
		return c.begin(op, record, now)
	case OpFinish:
		return c.finish(op, record)
	case OpRelease:
		return c.release(op, record)
	default:
		return Verdict{Kind: Unavailable}, false
	}
}

func (c *Content) begin(op *Op, record *Record, now time.Time) (Verdict, bool) {
	if record == nil {
		return c.beginNew(op)
	}
	if record.Nonce == op.Nonce {
		return Verdict{Kind: Done}, false
	}
	if record.Fingerprint != op.Fingerprint {
		return Verdict{Kind: KeyReused}, false
	}
	if record.expired(now) {
		return Verdict{Kind: Expired}, false
	}
	if record.State == StateIntent && record.Nonce == op.Replaces {
		c.remove(record)
		return c.beginNew(op)
	}
	found := *record
	return Verdict{Kind: Exists, Record: &found}, false
}

func (c *Content) beginNew(op *Op) (Verdict, bool) {
	if _, ok := c.tombstones[shortHash(op.Hash)]; ok {
		return Verdict{Kind: Expired}, false
	}
	record := &Record{
		Hash: op.Hash, Fingerprint: op.Fingerprint, Nonce: op.Nonce, Owner: op.Owner,
		State: StateIntent, ExpiresMS: op.ExpiresMS,
	}
	if !c.makeRoom(record.size()) {
		return Verdict{Kind: Full}, false
	}
	c.add(record)
	return Verdict{Kind: Done}, true
}

// finish records a result. A completed result stands; unknown gives way to it.
func (c *Content) finish(op *Op, record *Record) (Verdict, bool) {
	if record == nil || record.Nonce != op.Nonce {
		return Verdict{Kind: Gone}, false
	}
	if record.State == StateCompleted || record.State == op.Result.State {
		return Verdict{Kind: Done}, false
	}
	finished := *record
	finished.State = op.Result.State
	finished.Answer = op.Result.Answer
	c.remove(record)
	if finished.Answer != nil && !c.makeRoom(finished.size()) {
		finished.Answer = finished.Answer.withoutBody()
	}
	c.add(&finished)
	return Verdict{Kind: Done}, true
}

func (c *Content) release(op *Op, record *Record) (Verdict, bool) {
	if record == nil || record.Nonce != op.Nonce || record.State != StateIntent {
		return Verdict{Kind: Gone}, false
	}
	c.remove(record)
	return Verdict{Kind: Done}, true
}

// Find returns the record of a key: ErrExpired if the key is known to have
// expired, ErrNotFound if it is not known.
func (c *Content) Find(hash KeyHash, now time.Time) (Record, error) {
	record := c.records[hash]
	if record != nil && !record.expired(now) {
		return *record, nil
	}
	_, buried := c.tombstones[shortHash(hash)]
	if record != nil || buried {
		return Record{}, ErrExpired
	}
	return Record{}, ErrNotFound
}

func (c *Content) add(r *Record) {
	c.records[r.Hash] = r
	c.size += r.size()
}

func (c *Content) remove(r *Record) {
	delete(c.records, r.Hash)
	c.size -= r.size()
}

func (a *Answer) withoutBody() *Answer {
	return &Answer{Status: a.Status, BodyOmitted: true}
}

func shortHash(h KeyHash) uint64 {
	return binary.BigEndian.Uint64(h[:8])
}
