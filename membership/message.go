package membership

import "ragwortpond.example/ragwortpond/fleet"

// Rumour is one change on its way through the fleet: of a router, or of a VM
// that the platform names as leaving.
type Rumour struct {
	ID          fleet.RouterID `cbor:"1,keyasint,omitempty"`
	Incarnation uint64         `cbor:"2,keyasint,omitempty"`
	State       State          `cbor:"3,keyasint,omitempty"`
	// Leaving says that a suspected router had announced its leaving.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Router is the full record; changes of routers known to all omit it.
	Router *fleet.Router `cbor:"5,keyasint,omitempty"`
	// VM names a leaving VM; the other fields are then empty.
	VM string `cbor:"6,keyasint,omitempty"`
}

// size estimates the encoded size in bytes.
func (r *Rumour) size() int {
	n := rumourBaseBytes + len(r.ID) + len(r.VM)
	if r.Router != nil {
		n += recordExtraBytes + len(r.Router.ID) + len(r.Router.Domain) + len(r.Router.Region) + len(r.Router.PeerAddr)
	}
	return n
}

// Heartbeat is the datagram of peer.MethodHeartbeat.
type Heartbeat struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Digest sums up the sender's table, so that misses are noticed.
	Digest uint32 `cbor:"2,keyasint"`
	// Self is the sender's record, sent now and then.
	Self    *fleet.Router `cbor:"3,keyasint,omitempty"`
	Rumours []Rumour      `cbor:"4,keyasint,omitempty"`
	// Leaving says that the sender has announced its leaving.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Ask wants a heartbeat in return; Self is then set.
	Ask bool `cbor:"6,keyasint,omitempty"`
}

// SyncRequest is the call of peer.MethodMembershipSync. It carries the
// caller's record and a digest for each bucket of its table.
type SyncRequest struct {
	Self    fleet.Router `cbor:"1,keyasint"`
	Digests []uint32     `cbor:"2,keyasint"`
}

// SyncAnswer carries the entries of the buckets whose digests differ.
type SyncAnswer struct {
	Rumours    []Rumour `cbor:"1,keyasint,omitempty"`
	LeavingVMs []string `cbor:"2,keyasint,omitempty"`
}

// Message is a heartbeat to send.
type Message struct {
	To        fleet.RouterID
	Addr      string
	Heartbeat Heartbeat
}
