package mesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
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
	// Strength ranks VMs by what they can do for others; stronger ones watch.
	Strength uint8 `cbor:"12,keyasint,omitempty"`
}

// Other is what a router passes on of another one.
type Other struct {
	_      struct{} `cbor:",toarray"`
	ID     fleet.RouterID
	Domain fleet.DomainName
	Addr   netip.AddrPort
	Boot   int64
	// AgeMS is how long ago it was heard.
	AgeMS    uint32
	Strength uint8
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

// Held is what a router holds of the store and the asking one lacks.
type Held struct {
	ConfigRevision uint64 `cbor:"1,keyasint"`
	// Config is the configuration as the store has it, deflated; empty if the
	// asking router holds it.
	Config []byte `cbor:"2,keyasint,omitempty"`
	// Targets is a list of Change, deflated; it is empty, and Revision zero, if the
	// asking router holds them.
	Targets []byte `cbor:"3,keyasint,omitempty"`
	// Revision is the store's revision for which the targets hold.
	Revision uint64 `cbor:"4,keyasint,omitempty"`
}

const (
	// maxDatagram fits a link without fragments.
	maxDatagram = 1400
	// maxHeld bounds an answer with all that a router holds.
	maxHeld = 16 << 20
)

var errTooLong = errors.New("mesh: datagram too long")

// deflate compresses a configuration or a list of targets, which repeat most of
// their text.
func deflate(data []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("mesh: deflate: %w", err)
	}
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("mesh: deflate: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("mesh: deflate: %w", err)
	}
	return out.Bytes(), nil
}

func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxHeld))
	if err != nil {
		return nil, fmt.Errorf("mesh: inflate: %w", err)
	}
	return out, nil
}

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
