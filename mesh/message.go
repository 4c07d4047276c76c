package mesh

import (
	"errors"
	"fmt"
	"net/netip"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// Beat is the one datagram of the mesh.
type Beat struct {
	From    fleet.RouterID   `cbor:"1,keyasint"`
	Domain  fleet.DomainName `cbor:"2,keyasint"`
	Boot    int64            `cbor:"3,keyasint"`
	Watches bool             `cbor:"4,keyasint,omitempty"`
	Leaving bool             `cbor:"5,keyasint,omitempty"`
	// Joins asks for a beat in return.
	Joins bool `cbor:"6,keyasint,omitempty"`
	// Config is the revision of the configuration in force, Targets the digest of
	// the targets; both are zero where nothing is known.
	Config  uint64 `cbor:"7,keyasint,omitempty"`
	Targets uint64 `cbor:"8,keyasint,omitempty"`
	// Loads are the latest counts of targets.
	Loads  []Load  `cbor:"9,keyasint,omitempty"`
	Others []Other `cbor:"10,keyasint,omitempty"`
	// Changes are changes of targets that the sender has just seen in the store;
	// Targets is the digest after them.
	Changes []Change `cbor:"11,keyasint,omitempty"`
}

// Other is what a router passes on of another one.
type Other struct {
	_      struct{} `cbor:",toarray"`
	ID     fleet.RouterID
	Domain fleet.DomainName
	Addr   netip.AddrPort
	Boot   int64
	// AgeMS is how long ago it was heard.
	AgeMS uint32
}

// Load is a target's own count of its work.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Target is a hash of the target's name.
	Target uint32
	Work   uint32
	AgeMS  uint32
}

// Change is one change of a target in the store.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Deleted  bool
	// Spec is the entry as the store has it; empty when deleted.
	Spec []byte
}

// Held is all that a router holds of the store, in answer to another one.
type Held struct {
	ConfigRevision uint64   `cbor:"1,keyasint"`
	Config         []byte   `cbor:"2,keyasint,omitempty"`
	Targets        []Change `cbor:"3,keyasint"`
	// Revision is the store's revision for which the targets hold.
	Revision uint64 `cbor:"4,keyasint"`
}

const (
	// maxDatagram fits a link without fragments.
	maxDatagram = 1400
	// maxHeld bounds an answer with all that a router holds.
	maxHeld = 16 << 20
)

var errTooLong = errors.New("mesh: datagram too long")

func encode(b *Beat) ([]byte, error) {
	data, err := cbor.Marshal(b)
	if err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	if len(data) > maxDatagram {
		return nil, errTooLong
	}
	return data, nil
}

func decode(data []byte) (*Beat, error) {
	b := &Beat{}
	if err := cbor.Unmarshal(data, b); err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	if b.From == "" {
		return nil, errors.New("mesh: beat without a sender")
	}
	return b, nil
}
