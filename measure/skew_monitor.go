package measure

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/bed"
	"ragwortpond.example/ragwortpond/placement"
)

const (
	skewSampleInterval = 5 * time.Millisecond
	// skewLeast is the mean, in requests, below which the ratio of whole
	// requests says nothing of skew.
	minSkewMeanRequests = 4
)

// balance watches the requests running and waiting at all engines that are to
// take work, and counts where one carries more than the set multiple of the
// mean allows.
type skewMonitor struct {
	bed      *bed.Bed
	multiple float64
	cancel   context.CancelFunc
	done     chan struct{}

	mu                 sync.Mutex
	excluded           map[fleet.TargetID]bool
	ratios             []float64
	sampleCount        int
	violationSamples   int
	violationDurations []time.Duration
	violationStart     time.Time
	meanSum            float64
}

// watchBalance starts a watch; stop ends it.
func startSkewMonitor(b *bed.Bed, multiple float64) *skewMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &skewMonitor{bed: b, multiple: multiple, cancel: cancel, done: make(chan struct{}), excluded: map[fleet.TargetID]bool{}}
	go m.run(ctx)
	return m
}

// leaveOut takes an engine that left or crashed out of the mean.
func (m *skewMonitor) exclude(id fleet.TargetID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.excluded[id] = true
}

func (m *skewMonitor) run(ctx context.Context) {
	defer close(m.done)
	ticker := time.NewTicker(skewSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			m.sample(now)
		}
	}
}

func (m *skewMonitor) sample(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var busiest float64
	var service placement.ServiceLoad
	for _, e := range m.bed.Engines() {
		if m.excluded[e.ID()] {
			continue
		}
		stats := e.Stats()
		load := float64(stats.Running + stats.Waiting)
		busiest = max(busiest, load)
		service.Requests += load
		service.Weight++
	}
	m.sampleCount++
	m.meanSum += service.Mean()
	if service.Mean() >= minSkewMeanRequests {
		m.ratios = append(m.ratios, busiest/service.Mean())
	}
	m.recordViolation(now, busiest > service.Limit(m.multiple, 1))
}

// judge counts samples over the limit and how long they last together.
func (m *skewMonitor) recordViolation(now time.Time, exceeded bool) {
	if exceeded {
		m.violationSamples++
		if m.violationStart.IsZero() {
			m.violationStart = now
		}
		return
	}
	if !m.violationStart.IsZero() {
		m.violationDurations = append(m.violationDurations, now.Sub(m.violationStart))
		m.violationStart = time.Time{}
	}
}

// balanceFigures are what a watch found.
type skewFigures struct {
	// Skew is the 99th percentile of the busiest engine's load over the mean.
	SkewP99 float64 `json:"skew"`
	// SkewMax is the highest ratio seen.
	SkewMax float64 `json:"skew_max"`
	// SkewSet is the set multiple.
	LoadMultiple float64 `json:"skew_set"`
	// MeanLoad is the mean number of requests at an engine.
	MeanLoad float64 `json:"mean_load"`
	// Violations counts spells over the bound; OverShare is their share of the
	// time and LongestMS the longest of them.
	Violations     int     `json:"violations"`
	ViolationShare float64 `json:"violation_share"`
	MaxViolationMS float64 `json:"violation_longest_ms"`
}

// stop ends the watch and returns its figures.
func (m *skewMonitor) stop() skewFigures {
	m.cancel()
	<-m.done
	m.recordViolation(time.Now(), false)
	slices.Sort(m.ratios)
	f := skewFigures{LoadMultiple: m.multiple, Violations: len(m.violationDurations)}
	if len(m.ratios) > 0 {
		f.SkewP99 = m.ratios[len(m.ratios)*99/100]
		f.SkewMax = m.ratios[len(m.ratios)-1]
	}
	if m.sampleCount > 0 {
		f.MeanLoad = m.meanSum / float64(m.sampleCount)
		f.ViolationShare = float64(m.violationSamples) / float64(m.sampleCount)
	}
	if len(m.violationDurations) > 0 {
		f.MaxViolationMS = float64(slices.Max(m.violationDurations)) / float64(time.Millisecond)
	}
	return f
}
