package streamversion

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// Key identifies a stream: a hash of the client account and of the ID of the request that
// brought its first event.
type Key uint64

// NewKey returns the key of a stream. Clients choose request IDs, so that only those of one
// account can name the same stream.
func NewKey(account fleet.AccountName, id fleet.RequestID) Key {
	h := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = h.WriteString(string(account))
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(string(id))
	return Key(h.Sum64())
}

// String returns the key's name in logs.
func (k Key) String() string {
	return strconv.FormatUint(uint64(k), 36)
}

// Share is the weight of one version in a split.
type Share struct {
	Version fleet.SoftwareVersion `json:"version"`
	Weight  uint32                `json:"weight"`
}

// Split divides the new streams of a service among software versions, in proportion to
// their weights. It is sorted by version and has no weight of zero.
type Split []Share

// VersionOf returns the version of a new stream, or an empty one if the split is empty. A
// change of weights moves no more streams than it has to.
func (s Split) VersionOf(key Key) fleet.SoftwareVersion {
	var best fleet.SoftwareVersion
	bestScore := -1.0
	for _, share := range s {
		score := rendezvous.Score(rendezvous.Mix(rendezvous.Seed(string(share.Version)), uint64(key)), float64(share.Weight))
		if score > bestScore {
			best, bestScore = share.Version, score
		}
	}
	return best
}

// has reports whether a version receives new streams.
func (s Split) has(version fleet.SoftwareVersion) bool {
	return slices.ContainsFunc(s, func(share Share) bool { return share.Version == version })
}

// fraction returns the part of the new streams that a version receives, from 0 to 1.
func (s Split) fraction(version fleet.SoftwareVersion) float64 {
	sum, own := 0.0, 0.0
	for _, share := range s {
		sum += float64(share.Weight)
		if share.Version == version {
			own = float64(share.Weight)
		}
	}
	if sum == 0 {
		return 0
	}
	return own / sum
}
