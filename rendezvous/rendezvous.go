// Package rendezvous implements weighted rendezvous hashing. Its functions are pure
// and safe for concurrent use.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the hash of a member's name. It depends on the name only.
func Seed(name string) uint64 {
	return xxhash.Sum64String(name)
}

// Mix combines a member's seed with a key into a uniform 64-bit value.
func Mix(seed, key uint64) uint64 {
	h := seed ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Unit maps a uniform hash to the open interval (0, 1).
func Unit(hash uint64) float64 {
	return (float64(hash>>12) + 0.5) / (1 << 52)
}

// Score returns the weighted rendezvous score of a uniform hash. Each member has the
// highest score with a probability proportional to its weight.
func Score(hash uint64, weight float64) float64 {
	return -weight / math.Log(Unit(hash))
}

// MayExceed reports whether Score(hash, weight) may exceed floor, without computing
// a logarithm. Since -log(u) >= 1-u, it may return true for a score up to floor, but
// never false for a score above it.
func MayExceed(hash uint64, weight, floor float64) bool {
	return floor*(1-Unit(hash)) < weight
}
