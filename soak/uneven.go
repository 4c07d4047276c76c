package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// paceInterval is how long a target keeps a pace.
	paceInterval = 100 * time.Millisecond
	// usualPace and slowPace are paces in percent of the usual time, as targets report them. One
	// interval in slowIntervals is slow.
	usualPace     = 100
	slowPace      = 250
	slowIntervals = 8
	// oddReportRate is the fraction of reports that have a further field, or cannot be read.
	oddReportRate = 0.02
)

// loadText returns the load that the target reports: with a pace that changes ten times a second,
// and at times with a field that routers do not know, or in a form that they cannot read.
func (t *target) loadText() string {
	interval := time.Now().UnixNano() / int64(paceInterval)
	pace := usualPace
	if xxhash.Sum64String(fmt.Sprint(t.ID, interval))%slowIntervals == 0 {
		pace = slowPace
	}
	load := fmt.Sprintf("1,0,8,%d", pace)
	switch odd := rand.Float64(); {
	case odd < oddReportRate:
		return load + ",unknown"
	case odd < 2*oddReportRate:
		return "many,0,8"
	default:
		return load
	}
}
