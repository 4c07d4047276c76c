// Package targetpace estimates how long work takes at a target, from paces that change many times
// a second and reach a router late.
//
// A pace is a multiple of the usual time for the same work. The latest one is trusted for a
// fraction of a second, and after that the mean over several, which in turn gives way to the mean
// of the service. The package does no I/O; time is a parameter.
package targetpace

import (
	"math"
	"time"
)

const (
	// latestMemory is the time constant within which the latest pace gives way to the mean of the
	// target, and after which another one counts fully towards that mean.
	latestMemory = 300 * time.Millisecond
	// meanMemory is the time constant within which the mean of a target gives way to that of its
	// service.
	meanMemory = 10 * time.Second
	// meanEvidence is the number of independent paces from which on the mean of a target weighs
	// more than that of its service.
	meanEvidence = 8
	// requestTime is the time for which an expected pace has to hold: about that of a request.
	requestTime = time.Second
	// MaxAge is the age up to which an estimate says anything.
	MaxAge = 3 * meanMemory
)

// latestShare is the part of the difference between the latest pace and the mean that is left, on
// average, over the time of a request that begins with it.
var latestShare = latestMemory.Seconds() / requestTime.Seconds() * (1 - math.Exp(-requestTime.Seconds()/latestMemory.Seconds()))

// Estimate is what is known of the pace of one target. The zero value knows nothing. It is not safe
// for concurrent use.
type Estimate struct {
	latest float64
	at     time.Time
	// sum and weight are those of the paces seen, as of at. Paces that follow each other at once
	// count as one, because they tell of the same moment.
	sum, weight float64
}

// Record adds a pace as of a time. Those that are not positive, and those that are not newer than
// the latest, are ignored.
func (e *Estimate) Record(pace float64, at time.Time) {
	if !(pace > 0) || (e.weight > 0 && !at.After(e.at)) {
		return
	}
	added := 1.0
	if e.weight > 0 {
		gap := at.Sub(e.at)
		added = 1 - decay(gap, latestMemory)
		kept := decay(gap, meanMemory)
		e.sum, e.weight = e.sum*kept, e.weight*kept
	}
	e.latest, e.at = pace, at
	e.sum, e.weight = e.sum+added*pace, e.weight+added
}

// Known reports whether any pace was recorded within MaxAge.
func (e *Estimate) Known(now time.Time) bool {
	return e.weight > 0 && now.Sub(e.at) < MaxAge
}

// Age returns the age of the latest pace, or -1 ms if there is none.
func (e *Estimate) Age(now time.Time) time.Duration {
	if e.weight == 0 {
		return -time.Millisecond
	}
	return now.Sub(e.at)
}

// Mean returns the mean pace of the target, near serviceMean while little is known of it.
func (e *Estimate) Mean(serviceMean float64, now time.Time) float64 {
	kept := decay(now.Sub(e.at), meanMemory)
	return (e.sum*kept + serviceMean*meanEvidence) / (e.weight*kept + meanEvidence)
}

// Expected returns the pace to expect over the time of a request that begins now, given the mean
// of the service.
func (e *Estimate) Expected(serviceMean float64, now time.Time) float64 {
	if !e.Known(now) {
		return serviceMean
	}
	mean := e.Mean(serviceMean, now)
	return mean + (e.latest-mean)*latestShare*decay(now.Sub(e.at), latestMemory)
}

// ServiceMean is the mean pace of a service, over its targets. The zero value has none.
type ServiceMean struct {
	sum   float64
	count int
}

// Add adds a target to the mean, unless nothing is known of it.
func (m *ServiceMean) Add(e *Estimate, now time.Time) {
	if e.Known(now) {
		m.sum += e.sum / e.weight
		m.count++
	}
}

// Value returns the mean, or zero if nothing is known of any target.
func (m *ServiceMean) Value() float64 {
	return m.sum / float64(max(m.count, 1))
}

// decay returns what is left of a weight after a time, given its time constant.
func decay(d, constant time.Duration) float64 {
	return math.Exp(-max(d, 0).Seconds() / constant.Seconds())
}
