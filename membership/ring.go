package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// position is a router's place in a ring.
func position(ring int, id fleet.RouterID) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(ring))
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// neighbours returns the distinct successors and predecessors of self in each
// of the rings formed by the present entries.
func neighbours(self fleet.RouterID, entries map[fleet.RouterID]*entry, rings int) (next, prev []fleet.RouterID) {
	for ring := range rings {
		succ, pred := adjacent(self, entries, ring)
		if succ == "" {
			return nil, nil
		}
		next = appendDistinct(next, succ)
		prev = appendDistinct(prev, pred)
	}
	return next, prev
}

// adjacent finds the routers right after and right before self in one ring.
func adjacent(self fleet.RouterID, entries map[fleet.RouterID]*entry, ring int) (succ, pred fleet.RouterID) {
	own := position(ring, self)
	var after, before uint64
	for id, e := range entries {
		if id == self || !e.present() {
			continue
		}
		p := position(ring, id)
		if d := p - own; succ == "" || d < after || (d == after && id < succ) {
			succ, after = id, d
		}
		if d := own - p; pred == "" || d < before || (d == before && id < pred) {
			pred, before = id, d
		}
	}
	return succ, pred
}

func appendDistinct(ids []fleet.RouterID, id fleet.RouterID) []fleet.RouterID {
	for _, have := range ids {
		if have == id {
			return ids
		}
	}
	return append(ids, id)
}

// fingerprint is an entry's share of a digest; absent entries have none.
func fingerprint(e *entry) uint32 {
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

func bucketOf(id fleet.RouterID) int {
	return int(xxhash.Sum64String(string(id)) % syncBuckets)
}
