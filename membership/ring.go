package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// ringPosition returns a router's position in a ring: a hash of its ID seeded
// with the ring number.
func ringPosition(ring int, id fleet.RouterID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(ring))
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// neighbours returns the distinct successors and predecessors of self over all
// rings. The rings contain the present entries.
func neighbours(self fleet.RouterID, entries map[fleet.RouterID]*entry, rings int) (successors, predecessors []fleet.RouterID) {
	for ring := range rings {
		successor, predecessor := adjacent(self, entries, ring)
		if successor == "" {
			return nil, nil
		}
		successors = appendDistinct(successors, successor)
		predecessors = appendDistinct(predecessors, predecessor)
	}
	return successors, predecessors
}

// adjacent returns the routers directly after and before self in one ring.
func adjacent(self fleet.RouterID, entries map[fleet.RouterID]*entry, ring int) (successor, predecessor fleet.RouterID) {
	own := ringPosition(ring, self)
	var successorDistance, predecessorDistance uint64
	for id, e := range entries {
		if id == self || !e.present() {
			continue
		}
		p := ringPosition(ring, id)
		if d := p - own; successor == "" || d < successorDistance || (d == successorDistance && id < successor) {
			successor, successorDistance = id, d
		}
		if d := own - p; predecessor == "" || d < predecessorDistance || (d == predecessorDistance && id < predecessor) {
			predecessor, predecessorDistance = id, d
		}
	}
	return successor, predecessor
}

func appendDistinct(ids []fleet.RouterID, id fleet.RouterID) []fleet.RouterID {
	for _, existing := range ids {
		if existing == id {
			return ids
		}
	}
	return append(ids, id)
}

// entryDigest returns an entry's contribution to the digest of its bucket; zero
// for an entry that is not present.
func entryDigest(e *entry) uint32 {
	if e == nil || !e.present() {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var buf [9]byte
	binary.BigEndian.PutUint64(buf[:8], e.router.Incarnation)
	if e.leaving {
		buf[8] = 1
	}
	_, _ = d.WriteString(string(e.router.ID))
	_, _ = d.Write(buf[:])
	return uint32(d.Sum64())
}

func syncBucket(id fleet.RouterID) int {
	return int(xxhash.Sum64String(string(id)) % syncBuckets)
}
