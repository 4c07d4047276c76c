package keyjournal

import (
	"encoding/binary"
	"time"

	"ragwortpond.example/ragwortpond/objectapi"
)

// Upper estimates of the encoded sizes of parts of a cell, and the limit on the
// size of a cell.
const (
	recordOverheadBytes = 120
	answerOverheadBytes = 16
	fieldOverheadBytes  = 8
	tombstoneBytes      = 20
	maxCellBytes        = objectapi.MaxValueBytes * 15 / 16
)

// Content holds the records and tombstones of one cell. It is not safe for
// concurrent use.
type Content struct {
	records map[KeyHash]*Record
	// tombstones maps the short hash of a key to the Unix time in milliseconds
	// until which its tombstone is kept.
	tombstones map[uint64]int64
	sizeBytes  int
}

// NewContent returns empty content, that of a cell that has no object yet.
func NewContent() *Content {
	return &Content{records: map[KeyHash]*Record{}, tombstones: map[uint64]int64{}}
}

// OpKind is the kind of an operation on a cell.
type OpKind uint8

// The kinds of operations. All operations are idempotent.
const (
	// OpBegin records an intent.
	OpBegin OpKind = iota + 1
	// OpFinish records the result of the request whose intent has Op.Nonce.
	OpFinish
	// OpRelease removes the intent with Op.Nonce, whose request was not run.
	OpRelease
)

// String returns the name of the kind, used as a metric label.
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

// VerdictKind is the kind of the result of an operation.
type VerdictKind uint8

// The kinds of verdicts. Only Done for an OpBegin permits running the request.
const (
	Done VerdictKind = iota + 1
	Exists
	KeyReused
	Expired
	Full
	// Gone means that the cell has no record with the operation's nonce or, for
	// OpRelease, that this record is no longer an intent.
	Gone
	// Unavailable means that the operation could not be confirmed as stored.
	Unavailable
)

var verdictNames = map[VerdictKind]string{
	Done: "done", Exists: "exists", KeyReused: "key-reused", Expired: "expired",
	Full: "full", Gone: "gone", Unavailable: "unavailable",
}

// String returns the name of the kind, used as a metric label.
func (k VerdictKind) String() string {
	name, ok := verdictNames[k]
	if !ok {
		return "invalid"
	}
	return name
}

// Verdict is the result of an operation. Record is set for Exists only.
type Verdict struct {
	Kind   VerdictKind `cbor:"1,keyasint"`
	Record *Record     `cbor:"2,keyasint,omitempty"`
}

// Apply applies an operation to the content and reports whether the content
// changed. The verdict is valid only once the content is confirmed as stored in
// the object API.
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
		return c.addIntent(op)
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
		return c.addIntent(op)
	}
	found := *record
	return Verdict{Kind: Exists, Record: &found}, false
}

func (c *Content) addIntent(op *Op) (Verdict, bool) {
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

// finish records a result. A completed result is final; an unknown one is
// replaced by a completed one.
func (c *Content) finish(op *Op, record *Record) (Verdict, bool) {
	if record == nil || record.Nonce != op.Nonce {
		return Verdict{Kind: Gone}, false
	}
	if record.State == StateCompleted || record.State == op.Result.State {
		return Verdict{Kind: Done}, false
	}
	finished := *record
	finished.State = op.Result.State
	finished.Response = op.Result.Response
	c.remove(record)
	if finished.Response != nil && !c.makeRoom(finished.size()) {
		finished.Response = finished.Response.statusOnly()
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

// Find returns the record of a key. It returns ErrExpired if the record has
// expired or left a tombstone, and ErrNotFound if the cell has neither.
func (c *Content) Find(hash KeyHash, now time.Time) (Record, error) {
	record := c.records[hash]
	if record != nil && !record.expired(now) {
		return *record, nil
	}
	_, hasTombstone := c.tombstones[shortHash(hash)]
	if record != nil || hasTombstone {
		return Record{}, ErrExpired
	}
	return Record{}, ErrNotFound
}

func (c *Content) add(r *Record) {
	c.records[r.Hash] = r
	c.sizeBytes += r.size()
}

func (c *Content) remove(r *Record) {
	delete(c.records, r.Hash)
	c.sizeBytes -= r.size()
}

func (a *Response) statusOnly() *Response {
	return &Response{Status: a.Status, BodyOmitted: true}
}

func shortHash(h KeyHash) uint64 {
	return binary.BigEndian.Uint64(h[:8])
}
