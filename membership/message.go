package membership

import "ragwortpond.example/ragwortpond/fleet"

// Update is a change that routers pass on by gossip: a router's new state, or a
// VM that the platform lists as leaving.
type Update struct {
	ID          fleet.RouterID `cbor:"1,keyasint,omitempty"`
	Incarnation uint64         `cbor:"2,keyasint,omitempty"`
	State       State          `cbor:"3,keyasint,omitempty"`
	// Leaving is set for a suspected router that had announced that it leaves.
	Leaving bool `cbor:"4,keyasint,omitempty"`
	// Router is the full record. It is omitted in state changes of routers that
	// the receivers already have in their tables.
	Router *fleet.Router `cbor:"5,keyasint,omitempty"`
	// VM is the name of a leaving VM; the other fields are then empty.
	VM string `cbor:"6,keyasint,omitempty"`
}

// size estimates the encoded size in bytes.
func (r *Update) size() int {
	n := updateBaseBytes + len(r.ID) + len(r.VM)
	if r.Router != nil {
		n += recordBaseBytes + len(r.Router.ID) + len(r.Router.Domain) + len(r.Router.Region) + len(r.Router.PeerAddr)
	}
	return n
}

// Heartbeat is the payload of a peer.MethodHeartbeat datagram.
type Heartbeat struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	// Digest is a hash of the sender's table. A receiver whose own digest differs
	// for long starts a sync.
	Digest uint32 `cbor:"2,keyasint"`
	// Self is the sender's record. It is sent after a change of the rings, every
	// recordIntervalTicks periods and with WantReply.
	Self    *fleet.Router `cbor:"3,keyasint,omitempty"`
	Updates []Update      `cbor:"4,keyasint,omitempty"`
	// Leaving is set once the sender has announced that it leaves.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// WantReply asks the receiver for a heartbeat in return; Self is then set.
	WantReply bool `cbor:"6,keyasint,omitempty"`
}

// SyncRequest is the request of peer.MethodMembershipSync. It carries the
// caller's record and a digest for each bucket of its table.
type SyncRequest struct {
	Self    fleet.Router `cbor:"1,keyasint"`
	Digests []uint32     `cbor:"2,keyasint"`
}

// SyncResponse is the response of peer.MethodMembershipSync. It carries the
// entries of the buckets whose digests differ, and the leaving VMs.
type SyncResponse struct {
	Updates    []Update `cbor:"1,keyasint,omitempty"`
	LeavingVMs []string `cbor:"2,keyasint,omitempty"`
}

// Message is a heartbeat to send to one router.
type Message struct {
	To        fleet.RouterID
	Addr      string
	Heartbeat Heartbeat
}
