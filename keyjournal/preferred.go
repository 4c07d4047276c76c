package keyjournal

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// PreferredWriter returns the router that batches the writes of a shard: the one
// with the highest rendezvous hash; false means that routers is empty. Routers
// that see different members may choose different writers; the only cost is
// writes refused with a version conflict.
func PreferredWriter(shard int, routers []fleet.Router) (fleet.Router, bool) {
	var best fleet.Router
	var bestScore uint64
	for _, r := range routers {
		score := rendezvousScore(shard, r.ID)
		if best.ID == "" || score > bestScore || score == bestScore && r.ID < best.ID {
			best, bestScore = r, score
		}
	}
	return best, best.ID != ""
}

func rendezvousScore(shard int, id fleet.RouterID) uint64 {
	var input [8]byte
	binary.BigEndian.PutUint64(input[:], uint64(shard))
	d := xxhash.New()
	d.Write(input[:])
	d.WriteString(string(id))
	return d.Sum64()
}
