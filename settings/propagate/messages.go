package propagate

// Entry is an object, or its deletion, at one version.
type Entry struct {
	Kind    string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Deleted bool   `cbor:"5,keyasint,omitempty"`
}

const (
	entryOverheadBytes = 48
	// defaultPageBytes bounds one message's data in bytes; one entry always fits,
	// so a page has at most a document more.
	defaultPageBytes = 1 << 20
)

// Page is every object that changed after revision From up to revision To, at
// its last version. Entries above To may be among them.
type Page struct {
	From    uint64  `cbor:"1,keyasint"`
	To      uint64  `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	// More says that further pages follow. Such a page ends where it starts: only
	// all pages together are complete.
	More bool `cbor:"4,keyasint,omitempty"`
}

// last returns the version of the last entry, zero for an empty page.
func (p Page) last() uint64 {
	if len(p.Entries) == 0 {
		return 0
	}
	return p.Entries[len(p.Entries)-1].Version
}

// Digest describes a state in a few bytes. Two states that are complete at the
// same revision and hold nothing ahead of it have the same sum.
type Digest struct {
	Complete uint64 `cbor:"1,keyasint"`
	Sum      uint64 `cbor:"2,keyasint"`
	// Ahead says that entries above the complete revision are held.
	Ahead bool `cbor:"3,keyasint,omitempty"`
	// Probe asks only for the receiver's digest.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// agrees reports whether two digests can be of the same history.
func (d Digest) agrees(other Digest) bool {
	comparable := d.Complete == other.Complete && !d.Ahead && !other.Ahead
	return !comparable || d.Sum == other.Sum
}

// pushAnswer tells the sender of a push where the receiver now is.
type pushAnswer struct {
	Complete uint64 `cbor:"1,keyasint"`
}

// digestAnswer carries the receiver's digest and, if the receiver is ahead,
// what the asker lacks.
type digestAnswer struct {
	Digest Digest `cbor:"1,keyasint"`
	Page   *Page  `cbor:"2,keyasint,omitempty"`
	// Full says that the asker is so far behind that it must fetch everything.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// fetchRequest asks for what changed after a revision, page by page: After is the
// last version of the page before. Floor repeats that of the first answer; a
// transfer of the whole state starts with Whole.
type fetchRequest struct {
	Since uint64 `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	Floor uint64 `cbor:"3,keyasint,omitempty"`
	Whole bool   `cbor:"4,keyasint,omitempty"`
}

// fetchAnswer is one page; Full says that deletions after the revision asked
// for are forgotten, so that the asker starts again from zero.
type fetchAnswer struct {
	Page  Page   `cbor:"1,keyasint"`
	Floor uint64 `cbor:"2,keyasint,omitempty"`
	Full  bool   `cbor:"3,keyasint,omitempty"`
}
