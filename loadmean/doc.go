// Package loadmean adds up quantities over the fleet: the load of a service's
// targets, and the demand on a limit.
//
// A quantity is named by a Key and reported by the routers that have a part in
// it. In each failure domain one router, found by rendezvous hashing of the
// key, adds up the domain's reports, exchanges the sum with the aggregators of
// the other domains and answers each reporter with what the others have. All
// values are absolute and expire, so lost, doubled and late datagrams do no
// lasting harm, and a change of aggregator needs no agreement. Across a
// partition the sums of unreachable domains expire, and what is left is the
// domain's own.
package loadmean

import (
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Key names a quantity.
type Key string

// loadPrefix begins the keys of loads; all other keys are demands on limits.
const loadPrefix = "l/"

// ServiceKey names the load of a service's targets.
func ServiceKey(s fleet.ServiceName) Key {
	return Key(loadPrefix + s)
}

func (k Key) demand() bool {
	return !strings.HasPrefix(string(k), loadPrefix)
}

// AccountKey names the demand of a client account.
func AccountKey(a fleet.AccountName) Key {
	return Key("a/" + a)
}

// DemandKey names the demand on a service.
func DemandKey(s fleet.ServiceName) Key {
	return Key("s/" + s)
}

// FleetKey names the demand on the fleet.
const FleetKey Key = "f"

// Sum is an amount and the weight that it is spread over. For a service they
// are requests in flight and targets' weights, for demand requests a second and
// routers.
type Sum struct {
	Amount float64
	Weight float64
}

// Others is what other routers report of a quantity.
type Others struct {
	// Domain is the sum of the own failure domain, Total that of the fleet,
	// both without this router.
	Domain Sum
	Total  Sum
}

const (
	// tick is how often changes are looked for.
	tick = 20 * time.Millisecond
	// reportInterval is the least time between two reports on one key.
	reportInterval = 50 * time.Millisecond
	// sumInterval is the least time between two messages of an aggregator on
	// one key to one receiver; it grows with the number of reporters.
	sumInterval = 100 * time.Millisecond
	// reportersPerInterval scales sumInterval.
	reportersPerInterval = 8
	// surgeInterval replaces both where a load changed by surgeShare since it
	// was sent, since bounds by the old value would hold a growing load back.
	surgeInterval = tick
	surgeShare    = 0.2
	// demandInterval is the least time between two messages on one demand to
	// one receiver: limits follow demand within a second, while bounds need
	// the loads at once.
	demandInterval = 500 * time.Millisecond
	// demandShare is the relative change of a demand that is worth a message.
	demandShare = 0.2
	// refresh is the longest time between two messages on one key.
	refresh = 2 * time.Second
	// expiry is when a value that was not refreshed is dropped.
	expiry = 5 * time.Second
	// changeShare is the relative change that is worth a message.
	changeShare = 0.05
	// bytesPerSecond and bytesBurst bound what one router sends.
	bytesPerSecond = 1500
	bytesBurst     = 16 << 10
	// itemBytes and messageBytes estimate encoded sizes besides the key.
	itemBytes        = 10
	largestItemBytes = 24
	messageBytes     = 16
	maxDatagramBytes = 1000
	maxItems         = 100
	maxKeys          = 8192
	scale            = 100
)
