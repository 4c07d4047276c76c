// Package rendezvous holds the arithmetic of weighted rendezvous hashing. Its
// functions do no I/O and are safe for concurrent use.
package rendezvous

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Seed returns the fixed hash of a member's name.
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

// Unit maps a uniform hash into the open interval from 0 to 1.
func Unit(hash uint64) float64 {
	return (float64(hash>>12) + 0.5) / (1 << 52)
}

// Score turns a uniform hash into a weighted rendezvous score; the member with
// the highest score wins with a probability proportional to its weight.
func Score(hash uint64, weight float64) float64 {
	return -weight / math.Log(Unit(hash))
}

// MayExceed reports whether Score(hash, weight) may exceed floor. It rests on
// -log(u) >= 1-u and errs to true only.
func MayExceed(hash uint64, weight, floor float64) bool {
	return floor*(1-Unit(hash)) < weight
}
