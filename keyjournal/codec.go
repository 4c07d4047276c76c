package keyjournal

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// document is the encoded form of a cell's content.
type document struct {
	Records    []*Record   `cbor:"1,keyasint,omitempty"`
	Tombstones []Tombstone `cbor:"2,keyasint,omitempty"`
	// Write is random for each write, so that no two writes have the same
	// content.
	Write Nonce `cbor:"3,keyasint"`
}

// Encode returns the content as the value of the cell's object.
func (c *Content) Encode(write Nonce) ([]byte, error) {
	doc := document{Write: write}
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

// Decode returns the content of a cell's object.
func Decode(data []byte) (*Content, error) {
	var doc document
	if err := cbor.Unmarshal(data, &doc); err != nil {
		return nil, fmt.Errorf("journal: decode cell: %w", err)
	}
	c := NewContent()
	for _, record := range doc.Records {
		c.add(record)
	}
	for _, t := range doc.Tombstones {
		c.bury(t.Hash, t.UntilMS)
	}
	return c, nil
}

// Clone returns a copy that shares no record with c.
func (c *Content) Clone() *Content {
	clone := NewContent()
	for _, record := range c.records {
		copied := *record
		clone.add(&copied)
	}
	for hash, until := range c.tombstones {
		clone.bury(hash, until)
	}
	return clone
}
