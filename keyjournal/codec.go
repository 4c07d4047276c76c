package keyjournal

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// cellDocument is the encoded form of a Content.
type cellDocument struct {
	Records    []*Record   `cbor:"1,keyasint,omitempty"`
	Tombstones []Tombstone `cbor:"2,keyasint,omitempty"`
	// WriteNonce is random for each write, so that no two writes have the same
	// content.
	WriteNonce Nonce `cbor:"3,keyasint"`
}

// Encode returns the content as the value of the cell's object. writeNonce must
// differ from that of any other write.
func (c *Content) Encode(writeNonce Nonce) ([]byte, error) {
	doc := cellDocument{WriteNonce: writeNonce}
	for _, record := range c.records {
		doc.Records = append(doc.Records, record)
	}
	slices.SortFunc(doc.Records, func(a, b *Record) int { return slices.Compare(a.Hash[:], b.Hash[:]) })
	for hash, until := range c.tombstones {
		doc.Tombstones = append(doc.Tombstones, Tombstone{Hash: hash, UntilMS: until})
	}
	slices.SortFunc(doc.Tombstones, func(a, b Tombstone) int {
		if a.Hash < b.Hash {
			return -1
		}
		return 1
	})
	data, err := cbor.Marshal(doc)
	if err != nil {
		return nil, fmt.Errorf("journal: encode cell: %w", err)
	}
	return data, nil
}

// Decode returns the content that is encoded in the value of a cell's object.
func Decode(data []byte) (*Content, error) {
	var doc cellDocument
	if err := cbor.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("journal: decode cell: %w", err)
	}
	c := NewContent()
	for _, record := range doc.Records {
		c.add(record)
	}
	for _, t := range doc.Tombstones {
		c.addTombstone(t.Hash, t.UntilMS)
	}
	return c, nil
}

// Clone returns a copy that shares no Record with c. The Responses, which are
// never modified, are shared.
func (c *Content) Clone() *Content {
	clone := NewContent()
	for _, record := range c.records {
		copied := *record
		clone.add(&copied)
	}
	for hash, until := range c.tombstones {
		clone.addTombstone(hash, until)
	}
	return clone
}
