package evacuation

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Shares of the bound within which a failure domain must be evacuated.
const (
	// emptyingShare is the part over which its targets are emptied one after the other. If all keys of a
	// domain moved at the same moment, the other targets would read their prompts and exceed their bounds.
	emptyingShare = 0.5
	// cacheShare is the part in which other targets may fetch cache from there. The rest covers the time until
	// a router knows of the evacuation, and that of a fetch.
	cacheShare = 0.7
)

// Plan says when the targets of an evacuated failure domain cease to get requests. All routers compute
// the same.
type Plan struct {
	since, emptied, cacheUntil time.Time
}

// NewPlan returns the plan of an evacuation in force, which must be so everywhere within bound. One that was found at the
// start is complete at once.
func NewPlan(r Record, bound time.Duration) Plan {
	if r.FoundAtStart {
		return Plan{}
	}
	after := func(share float64) time.Time { return r.Since.Add(time.Duration(share * float64(bound))) }
	return Plan{since: r.Since, emptied: after(emptyingShare), cacheUntil: after(cacheShare)}
}

// Emptied reports whether a target gets no more requests at a time.
func (p Plan) Emptied(id fleet.TargetID, now time.Time) bool {
	place := float64(id.Hash()) / (math.MaxUint32 + 1)
	return !now.Before(p.since.Add(time.Duration(place * float64(p.emptied.Sub(p.since)))))
}

// Completed reports whether no target gets requests at a time.
func (p Plan) Completed(now time.Time) bool {
	return !now.Before(p.emptied)
}

// CacheUntil returns when other targets cease to fetch cache from the failure domain.
func (p Plan) CacheUntil() time.Time {
	return p.cacheUntil
}
