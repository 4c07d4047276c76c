package keyjournal

import (
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// State says what is recorded of a request.
type State uint8

// The states. Intent covers a request that may be dispatched, is running, or
// whose router stopped before it recorded the end.
const (
	StateIntent State = iota + 1
	StateCompleted
	StateUnknown
)

// String returns the state's name, used in logs and as a metric label.
func (s State) String() string {
	switch s {
	case StateIntent:
		return "intent"
	case StateCompleted:
		return "completed"
	case StateUnknown:
		return "unknown"
	default:
		return "invalid"
	}
}

// Owner is the process that may dispatch a record's request.
type Owner struct {
	Router fleet.RouterID `cbor:"1,keyasint"`
	// Boot is random for each start of the process.
	Boot uint64 `cbor:"2,keyasint"`
}

// Field is one header field of a recorded answer.
type Field struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Answer is a target's whole answer.
type Answer struct {
	Status int     `cbor:"1,keyasint"`
	Header []Field `cbor:"2,keyasint,omitempty"`
	Body   []byte  `cbor:"3,keyasint,omitempty"`
	// BodyOmitted says that the body was too large to record.
	BodyOmitted bool `cbor:"4,keyasint,omitempty"`
}

// size is about the encoded size in bytes.
func (a *Answer) size() int {
	if a == nil {
		return 0
	}
	total := len(a.Body) + answerOverhead
	for _, f := range a.Header {
		total += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return total
}

// Result ends a request: completed with its answer, or unknown.
type Result struct {
	State  State   `cbor:"1,keyasint"`
	Answer *Answer `cbor:"2,keyasint,omitempty"`
}

// Record is what is kept of one key.
type Record struct {
	Hash        KeyHash     `cbor:"1,keyasint"`
	Fingerprint Fingerprint `cbor:"2,keyasint"`
	Nonce       Nonce       `cbor:"3,keyasint"`
	Owner       Owner       `cbor:"4,keyasint"`
	State       State       `cbor:"5,keyasint"`
	// ExpiresMS is the Unix time in milliseconds at which the record expires;
	// zero in a timed cell, whose keys say it themselves.
	ExpiresMS int64   `cbor:"6,keyasint,omitempty"`
	Answer    *Answer `cbor:"7,keyasint,omitempty"`
	// Cell is where the record was found.
	Cell Cell `cbor:"-"`
}

// size is about the encoded size in bytes, rounded up.
func (r *Record) size() int {
	return recordOverhead + len(r.Owner.Router) + r.Answer.size()
}

func (r *Record) expired(now time.Time) bool {
	return r.ExpiresMS != 0 && now.UnixMilli() >= r.ExpiresMS
}

// Tombstone remembers an expired key that carries no time.
type Tombstone struct {
	_ struct{} `cbor:",toarray"`
	// Hash is the first eight bytes of the key's hash.
	Hash uint64
	// UntilMS is the Unix time in milliseconds until which it is kept.
	UntilMS int64
}
