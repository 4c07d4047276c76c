// Package loadmean sums quantities over the fleet: the load of a service's
// targets, and the demand on a limit.
//
// A quantity is named by a Key and reported by the routers that have a part in
// it. In each failure domain one router, chosen by rendezvous hashing of the
// key, is the aggregator: it sums the reports of its domain, exchanges the sum
// with the aggregators of the other domains and sends each reporter the sums of
// all other routers. All values are absolute and expire, so lost, duplicate and
// late datagrams do no lasting harm, and a change of aggregator needs no
// agreement. During a partition the sums of unreachable domains expire, which
// leaves the sum of the reachable domains.
package loadmean

import (
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
)

// Key names a quantity.
type Key string

// loadPrefix is the prefix of the keys of loads; all other keys are demands on
// limits.
const loadPrefix = "l/"

// ServiceKey returns the key of the load of a service's targets.
func ServiceKey(s fleet.ServiceName) Key {
	return Key(loadPrefix + s)
}

func (k Key) isDemand() bool {
	return !strings.HasPrefix(string(k), loadPrefix)
}

// AccountKey returns the key of the demand of a client account.
func AccountKey(a fleet.AccountName) Key {
	return Key("a/" + a)
}

// DemandKey returns the key of the demand on a service.
func DemandKey(s fleet.ServiceName) Key {
	return Key("s/" + s)
}

// FleetKey is the key of the demand on the fleet.
const FleetKey Key = "f"

// Sum is an amount and a weight. For the load of a service, they are requests
// in flight and the weight of the targets; for demand, requests per second and
// requests in flight.
type Sum struct {
	Amount float64
	Weight float64
}

// PeerSums holds the sums reported by other routers for a quantity.
type PeerSums struct {
	// Domain is the sum of the own failure domain and Total that of the fleet,
	// both without this router.
	Domain Sum
	Total  Sum
}

const (
	// tick is the interval at which changes are detected and sent.
	tick = 20 * time.Millisecond
	// minReportInterval is the minimum interval between two reports of a key.
	minReportInterval = 50 * time.Millisecond
	// minSumInterval is the minimum interval between two messages of an
	// aggregator about a key to one receiver. It increases with the number of
	// reporters.
	minSumInterval = 100 * time.Millisecond
	// reportersPerInterval is the number of reporters that adds one
	// minSumInterval to the interval.
	reportersPerInterval = 8
	// surgeInterval replaces both intervals if a load has changed by at least
	// loadSurgeShare since it was last sent, because bounds computed from the
	// old value would hold back a growing load.
	surgeInterval  = tick
	loadSurgeShare = 0.2
	// minDemandInterval is the minimum interval between two messages about a
	// demand to one receiver. Limits need to follow demand only within a
	// second, whereas bounds need the loads immediately.
	minDemandInterval = 500 * time.Millisecond
	// demandChangeShare is the minimum relative change of a demand that is sent
	// before the next refresh.
	demandChangeShare = 0.2
	// refreshInterval is the maximum interval between two messages about a key.
	refreshInterval = 2 * time.Second
	// valueTTL is the time after which a value that was not refreshed expires.
	valueTTL = 5 * time.Second
	// loadChangeShare is the minimum relative change of a load that is sent
	// before the next refresh.
	loadChangeShare = 0.05
	// bytesPerSecond and burstBytes limit the bytes that one router sends.
	bytesPerSecond = 1500
	burstBytes     = 16 << 10
	// itemOverheadBytes and messageOverheadBytes estimate the encoded size of
	// an item without its key and of a message without its items.
	// maxItemOverheadBytes is the upper limit for an item without its key.
	itemOverheadBytes    = 10
	maxItemOverheadBytes = 24
	messageOverheadBytes = 16
	maxDatagramBytes     = 1000
	maxItems             = 100
	maxKeys              = 8192
	fixedScale           = 100
)
