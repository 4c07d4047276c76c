package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"ragwortpond.example/ragwortpond/fleet"
)

// seed returns the fixed hash of a member's name.
func seed(name string) uint64 {
	return xxhash.Sum64String(name)
}

// mix combines a member's seed with a key into a uniform 64-bit value.
func mix(seed, key uint64) uint64 {
	h := seed ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// unit maps a uniform hash into the open interval from 0 to 1.
func unit(hash uint64) float64 {
	return (float64(hash>>12) + 0.5) / (1 << 52)
}

// score turns a uniform hash into a weighted rendezvous score; the member with
// the highest score wins with a probability proportional to its weight.
func score(hash uint64, weight float64) float64 {
	return -weight / math.Log(unit(hash))
}

// mayExceed reports whether score(hash, weight) may exceed floor. It rests on
// -log(u) >= 1-u and errs to true only.
func mayExceed(hash uint64, weight, floor float64) bool {
	return floor*(1-unit(hash)) < weight
}

// normalWeight returns the weight to reckon with: 1 where none is set.
func normalWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// targetScore is the weighted rendezvous score of a target for a key.
func targetScore(t *fleet.Target, key uint64) float64 {
	return score(mix(seed(string(t.ID)), key), normalWeight(t.Weight))
}

// Order appends targets to dst in the chat's candidate order, the preferred
// target first. The order depends only on the chat and on each target's id and
// weight, so adding or removing a target moves no other target relative to the
// rest. It does not allocate when dst has room, and is safe for concurrent use
// with distinct dst.
func Order(dst []fleet.Target, chat fleet.ChatKey, targets []fleet.Target) []fleet.Target {
	start := len(dst)
	dst = append(dst, targets...)
	slices.SortFunc(dst[start:], func(a, b fleet.Target) int {
		return compareTargets(&a, &b, uint64(chat))
	})
	return dst
}

// compareTargets orders by falling score, then by id.
func compareTargets(a, b *fleet.Target, key uint64) int {
	if c := cmp.Compare(targetScore(b, key), targetScore(a, key)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}
