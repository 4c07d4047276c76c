package mesh

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/targetlimit"
)

// Heartbeat is the only kind of datagram of the mesh.
type Heartbeat struct {
	From        fleet.RouterID   `cbor:"1,keyasint"`
	Domain      fleet.DomainName `cbor:"2,keyasint"`
	Incarnation int64            `cbor:"3,keyasint"`
	Watching    bool             `cbor:"4,keyasint,omitempty"`
	Leaving     bool             `cbor:"5,keyasint,omitempty"`
	// Joining asks for a full heartbeat in reply.
	Joining bool `cbor:"6,keyasint,omitempty"`
	// ConfigRevision is the revision of the configuration in force, TargetsDigest the
	// digest of the targets. Each is zero if its data is not known.
	ConfigRevision uint64 `cbor:"7,keyasint,omitempty"`
	TargetsDigest  uint64 `cbor:"8,keyasint,omitempty"`
	// Loads are the newest loads of targets known to the sender.
	Loads []LoadReport `cbor:"9,keyasint,omitempty"`
	Peers []PeerInfo   `cbor:"10,keyasint,omitempty"`
	// Changes are target changes that the sender has just read from the store;
	// TargetsDigest is the digest after them.
	Changes []Change `cbor:"11,keyasint,omitempty"`
	// Strength ranks VMs by their capacity for work on behalf of other routers; the
	// strongest ones watch the store.
	Strength uint8 `cbor:"12,keyasint,omitempty"`
	// StoreLost tells that the sender watches the store for its failure domain and its
	// calls to the store fail.
	StoreLost bool `cbor:"13,keyasint,omitempty"`
	// TargetsRevision is the newest store revision that the sender's targets are known
	// to reflect; zero means unknown.
	TargetsRevision uint64 `cbor:"14,keyasint,omitempty"`
	// FleetSize is the number of routers that the sender knows, itself included.
	FleetSize uint32 `cbor:"15,keyasint,omitempty"`
	// Evidence is what the sender knows of crashes of targets and quarantined parts of
	// prompts; nil if there is none.
	Evidence *quarantine.Evidence `cbor:"16,keyasint,omitempty"`
	// Limits are the newest limits of targets known to the sender.
	Limits []LimitReport `cbor:"18,keyasint,omitempty"`
	// Permit is set in a datagram that asks for a permit, or answers. It carries nothing
	// else but the sender and, if that is not the holder, the holder in Peers.
	Permit *PermitMessage `cbor:"19,keyasint,omitempty"`
	// Splits are the splits of services among software versions that the sender knows.
	Splits []SplitReport `cbor:"20,keyasint,omitempty"`
	// Stream is set in a datagram about where a stream began. It carries nothing else but
	// the sender.
	Stream *StreamMessage `cbor:"21,keyasint,omitempty"`
	// Cold is set with Permit if that is for a cold target.
	Cold ColdPermit `cbor:"31,keyasint,omitempty"`
	// Streams tells where streams began that other routers may be asked for.
	Streams []StreamRecordItem `cbor:"24,keyasint,omitempty"`
	// Confirmations tell when the splits that the sender knows were last confirmed.
	Confirmations []SplitConfirmation `cbor:"25,keyasint,omitempty"`
	// ConfigVersion is the operator's version of the configuration in force. It orders those of
	// different eras of the store.
	ConfigVersion uint64 `cbor:"26,keyasint,omitempty"`
	// Brittle holds the newest brittle targets known to the sender, or, with Permit, the one
	// that the permit is for.
	Brittle []BrittleReport `cbor:"23,keyasint,omitempty"`
	// Lists tell which lists of routers that may begin streams while cut off the sender knows;
	// earlier builds have none.
	Lists []ListReport `cbor:"27,keyasint,omitempty"`
	// Listing tells the receiver's process that the store lists it.
	Listing *ListingMessage `cbor:"28,keyasint,omitempty"`
	// Paths are the sender's paths to the targets of services.
	Paths []PathReport `cbor:"22,keyasint,omitempty"`
	// Unsound holds the targets at which the sender's own last attempt brought nothing sound. Earlier
	// builds send none, so that a target that is left out is not known to be sound.
	Unsound []UnsoundReport `cbor:"29,keyasint,omitempty"`
	// Paces holds the paces of the targets in Loads, in the same order, as multiples of 1/paceUnit
	// of the usual time; zero means not told. It is empty if none is told.
	Paces []uint16 `cbor:"32,keyasint,omitempty"`
	// Evacuations tells of the evacuated failure domains; nil if the sender knows nothing of them, as
	// earlier builds do.
	Evacuations *EvacuationReport `cbor:"30,keyasint,omitempty"`
	// StoreAnsweredMS is for how long the store has answered all calls of the sender, if that has a
	// live watch; zero if it is not known, as from earlier builds.
	StoreAnsweredMS uint32 `cbor:"33,keyasint,omitempty"`
	// TargetsAgeMS is how old what the sender knows of the targets is, plus one; zero if it is not known, as from
	// earlier builds. The targets of TargetsDigest are at least as new.
	TargetsAgeMS uint32 `cbor:"34,keyasint,omitempty"`
	// SentMS is when the heartbeat was sent, by the boot clock of the sender's VM; zero if it is not told, as by
	// earlier builds.
	SentMS uint64 `cbor:"35,keyasint,omitempty"`
}

// targetsAge returns how old what the sender knew of the targets is, negative if it is not known. late is by how much
// the heartbeat is late.
func (hb *Heartbeat) targetsAge(late time.Duration) time.Duration {
	if hb.TargetsAgeMS == 0 {
		return -1
	}
	return time.Duration(hb.TargetsAgeMS)*time.Millisecond + late
}

// EvacuationReport is what a router knows of evacuated failure domains.
type EvacuationReport struct {
	_ struct{} `cbor:",toarray"`
	// CompleteAsOf is the store's revision as of which the records hold each evacuation in force;
	// zero if they may lack some.
	CompleteAsOf uint64
	Records      []EvacuationRecord
}

// EvacuationRecord is what is known of the evacuation of a failure domain.
type EvacuationRecord struct {
	_      struct{} `cbor:",toarray"`
	Domain fleet.DomainName
	// Requested is the store's revision of the request, Ended that of its end; zero while it is
	// in force.
	Requested, Ended uint64
	// AgeMS is the time since the record was first known as it is.
	AgeMS uint32
}

// PeerInfo is what a router tells others about a third router.
type PeerInfo struct {
	_           struct{} `cbor:",toarray"`
	ID          fleet.RouterID
	Domain      fleet.DomainName
	Addr        netip.AddrPort
	Incarnation int64
	// AgeMS is the time since its last known heartbeat.
	AgeMS    uint32
	Strength uint8
}

// LoadReport is a target's load report as routers pass it on.
type LoadReport struct {
	_ struct{} `cbor:",toarray"`
	// TargetHash is the hash of the target's ID, see fleet.TargetID.Hash.
	TargetHash uint32
	// Work is the number of requests running or waiting at the target.
	Work  uint32
	AgeMS uint32
}

// LimitReport is what a target said of its limit.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// TargetHash is the hash of the target's ID, see fleet.TargetID.Hash.
	TargetHash uint32
	// PerThousandSeconds is the limit in requests per 1,000 s.
	PerThousandSeconds uint32
	AgeMS              uint32
	// Lifted means that the target named the limit earlier and does no longer.
	Lifted bool
}

// BrittleReport is what a target said of the rejections that it bears.
type BrittleReport struct {
	_ struct{} `cbor:",toarray"`
	// TargetHash is the hash of the target's ID, see fleet.TargetID.Hash.
	TargetHash uint32
	// PerThousand is the number of rejections in 1,000 s.
	PerThousand uint32
	AgeMS       uint32
	// Sound means that the target was brittle and is no longer.
	Sound bool
}

// UnsoundReport is what a router knows of a target whose answers are unsound.
type UnsoundReport struct {
	_ struct{} `cbor:",toarray"`
	// TargetHash is the hash of the target's ID, see fleet.TargetID.Hash.
	TargetHash uint32
	// AgeMS is the time since the last unsound attempt.
	AgeMS uint32
	// Ejected means that the sender has ejected the target.
	Ejected bool
}

// PermitVerdict is the answer to a request for a permit.
type PermitVerdict uint8

// Verdicts on a request for a permit.
const (
	// PermitRequested marks the request itself.
	PermitRequested PermitVerdict = iota
	PermitGranted
	PermitDenied
	// PermitNotHolder means that another router holds the permits of the target, or that
	// the sender is leaving.
	PermitNotHolder
	// PermitRejected tells the holder that the target, a brittle one, has rejected a request.
	// It has no answer.
	PermitRejected
)

// PermitMessage asks for permission to send one request to a target, or answers.
type PermitMessage struct {
	_ struct{} `cbor:",toarray"`
	// Sequence matches an answer to its request.
	Sequence uint32
	Verdict  PermitVerdict
	// WaitMS is the time until the next permit, if this one was denied.
	WaitMS uint32
	// Precedence is that of the send which the permit is requested for.
	Precedence targetlimit.Precedence
	// Limit is what the sender knows of the target's limit.
	Limit LimitReport
}

// Change is one change of a target's entry in the store.
type Change struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Deleted  bool
	// Spec is the entry as stored; empty if deleted.
	Spec []byte
}

// Snapshot is the reply to a fetch: the data of the store that the replying router
// holds and the requesting one lacks.
type Snapshot struct {
	ConfigRevision uint64 `cbor:"1,keyasint"`
	// Config is the configuration as stored, deflated. It is empty if the requesting
	// router has it.
	Config []byte `cbor:"2,keyasint,omitempty"`
	// Targets is a CBOR list of Change, deflated. It is empty, and TargetsRevision is
	// zero, if the requesting router has the same targets.
	Targets []byte `cbor:"3,keyasint,omitempty"`
	// TargetsRevision is the store revision of Targets.
	TargetsRevision uint64 `cbor:"4,keyasint,omitempty"`
	// Evacuations tells of the evacuated failure domains; nil if the replying router knows nothing
	// of them.
	Evacuations *EvacuationReport `cbor:"5,keyasint,omitempty"`
}

const (
	// maxDatagramBytes lets a datagram pass common links without fragmentation.
	maxDatagramBytes = 1400
	// maxSnapshotBytes bounds the reply to a fetch and each part of it after
	// decompression.
	maxSnapshotBytes = 16 << 20
)

var errDatagramTooLong = errors.New("mesh: heartbeat exceeds the maximum datagram size")

// ageMS returns the age of something in milliseconds, as heartbeats give it.
func ageMS(at, now time.Time) uint32 {
	return uint32(min(max(now.Sub(at), 0).Milliseconds(), math.MaxUint32))
}

// timeOf returns the time of something with an age in milliseconds.
func timeOf(age uint32, now time.Time) time.Time {
	return now.Add(-time.Duration(age) * time.Millisecond)
}

// deflate compresses a configuration or a list of targets. Both are highly
// repetitive.
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

// inflate decompresses data; empty data yields nil.
func inflate(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, nil
	}
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxSnapshotBytes))
	if err != nil {
		return nil, fmt.Errorf("mesh: inflate: %w", err)
	}
	return out, nil
}

// encode encodes a heartbeat. It returns errDatagramTooLong if the result exceeds
// maxDatagramBytes.
func encode(hb *Heartbeat) ([]byte, error) {
	data, err := cbor.Marshal(hb)
	if err != nil {
		return nil, fmt.Errorf("mesh: encode heartbeat: %w", err)
	}
	if len(data) > maxDatagramBytes {
		return nil, errDatagramTooLong
	}
	return data, nil
}

// decode decodes a heartbeat.
func decode(data []byte) (*Heartbeat, error) {
	hb := &Heartbeat{}
	if err := cbor.Unmarshal(data, hb); err != nil {
		return nil, fmt.Errorf("mesh: decode heartbeat: %w", err)
	}
	if hb.From == "" {
		return nil, errors.New("mesh: heartbeat without a sender")
	}
	return hb, nil
}
