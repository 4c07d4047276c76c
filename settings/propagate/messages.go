package propagate

// Entry is one version of an object, or its deletion (a tombstone).
type Entry struct {
	Kind    string `cbor:"1,keyasint"`
	Name    string `cbor:"2,keyasint"`
	Version uint64 `cbor:"3,keyasint"`
	Data    []byte `cbor:"4,keyasint,omitempty"`
	Deleted bool   `cbor:"5,keyasint,omitempty"`
}

const (
	entryOverheadBytes = 48
	// defaultPageBytes is the size from which a page takes no more entries. The
	// last entry may exceed it, so a page is at most one document larger.
	defaultPageBytes = 1 << 20
)

// Page holds the last version of every object that changed after revision From
// up to revision To. It may also hold entries with versions above To.
type Page struct {
	From    uint64  `cbor:"1,keyasint"`
	To      uint64  `cbor:"2,keyasint"`
	Entries []Entry `cbor:"3,keyasint,omitempty"`
	// More is set if further pages follow. To then equals From, because only all
	// pages together are complete.
	More bool `cbor:"4,keyasint,omitempty"`
}

// lastVersion returns the version of the last entry; zero for an empty page.
func (p Page) lastVersion() uint64 {
	if len(p.Entries) == 0 {
		return 0
	}
	return p.Entries[len(p.Entries)-1].Version
}

// Digest summarizes a state in a few bytes. Two states that are complete up to
// the same revision, and hold no entries above it, must have the same sum.
type Digest struct {
	Complete uint64 `cbor:"1,keyasint"`
	Sum      uint64 `cbor:"2,keyasint"`
	// Ahead is set if the state holds entries above the complete revision.
	Ahead bool `cbor:"3,keyasint,omitempty"`
	// Probe requests only the receiver's digest; the other fields are then unused.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// consistentWith reports whether two digests can belong to the same history. It
// returns true if they cannot be compared.
func (d Digest) consistentWith(other Digest) bool {
	comparable := d.Complete == other.Complete && !d.Ahead && !other.Ahead
	return !comparable || d.Sum == other.Sum
}

// pushAnswer is the answer to a push: the receiver's complete revision after
// it.
type pushAnswer struct {
	Complete uint64 `cbor:"1,keyasint"`
}

// digestAnswer carries the receiver's digest and, if the receiver is ahead, the
// first page of the changes that the caller lacks.
type digestAnswer struct {
	Digest Digest `cbor:"1,keyasint"`
	Page   *Page  `cbor:"2,keyasint,omitempty"`
	// Full is set if the caller is so far behind that it must fetch the whole
	// state.
	Full bool `cbor:"3,keyasint,omitempty"`
}

// fetchRequest requests one page of the changes after revision Since. After is
// the last version of the previous page, or Since for the first. Floor is the
// floor of the previous answer. Whole is set in the first request for the whole
// state.
type fetchRequest struct {
	Since uint64 `cbor:"1,keyasint"`
	After uint64 `cbor:"2,keyasint"`
	Floor uint64 `cbor:"3,keyasint,omitempty"`
	Whole bool   `cbor:"4,keyasint,omitempty"`
}

// fetchAnswer carries one page and the sender's tombstone floor. Full is set if
// the sender has pruned tombstones above the requested revision, so that the
// caller must start again with the whole state.
type fetchAnswer struct {
	Page  Page   `cbor:"1,keyasint"`
	Floor uint64 `cbor:"2,keyasint,omitempty"`
	Full  bool   `cbor:"3,keyasint,omitempty"`
}
