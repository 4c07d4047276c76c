package placement

import (
	"cmp"
	"slices"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// normalWeight returns the effective weight of a target: 1 if none is set.
func normalWeight(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// targetScore returns the weighted rendezvous score of a target for a key.
func targetScore(t *fleet.Target, key uint64) float64 {
	return rendezvous.Score(rendezvous.Mix(rendezvous.Seed(string(t.ID)), key), normalWeight(t.Weight))
}

// Order appends targets to dst in the chat's candidate order, the preferred
// target first. The order depends only on the chat and on each target's ID and
// weight, so adding or removing a target does not reorder the others. Order
// does not allocate if dst has enough capacity, and is safe for concurrent use
// with distinct dst.
func Order(dst []fleet.Target, chat fleet.ChatKey, targets []fleet.Target) []fleet.Target {
	start := len(dst)
	dst = append(dst, targets...)
	slices.SortFunc(dst[start:], func(a, b fleet.Target) int {
		return compareTargets(&a, &b, uint64(chat))
	})
	return dst
}

// compareTargets orders targets by descending score, then by ID.
func compareTargets(a, b *fleet.Target, key uint64) int {
	if c := cmp.Compare(targetScore(b, key), targetScore(a, key)); c != 0 {
		return c
	}
	return cmp.Compare(a.ID, b.ID)
}
