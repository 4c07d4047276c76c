package streamversion

import "slices"

// Bounds on the deviation of a split from the targets of each version. Each change makes the
// version of some streams ambiguous for a while, so that small deviations are left.
const (
	// maxFractionError is the largest difference between the part of the new streams that
	// a version receives and its part of the targets.
	maxFractionError = 0.15
	// maxOverload is how many times its part of the targets a version may receive.
	maxOverload = 1.4
)

// Plan is what should become of a service's split.
type Plan struct {
	// Split suits the targets.
	Split Split
	// Change reports whether it should replace the current split. Urgent means that new
	// streams of the current one have no target.
	Change, Urgent bool
}

// newPlan compares the current split with the versions of the targets. Without targets the
// current split stays.
func newPlan(current Split, targets targetVersions) Plan {
	plan := Plan{Split: targets.split}
	if len(plan.Split) == 0 {
		return plan
	}
	for _, share := range current {
		now, want := current.fraction(share.Version), plan.Split.fraction(share.Version)
		plan.Urgent = plan.Urgent || !slices.Contains(targets.serving, share.Version)
		plan.Change = plan.Change || now > maxOverload*want || now-want > maxFractionError
	}
	plan.Urgent = plan.Urgent || len(current) == 0
	plan.Change = plan.Change || plan.Urgent
	return plan
}
