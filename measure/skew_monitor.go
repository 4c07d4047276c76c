package measure

import (
	"context"
	"slices"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/measure/testbed"
	"ragwortpond.example/ragwortpond/placement"
)

const (
	skewSampleInterval = 5 * time.Millisecond
	// minSkewMeanRequests is the mean load below which the ratio is not recorded:
	// with so few requests, single requests dominate it.
	minSkewMeanRequests = 4
)

// skewMonitor samples the running and waiting requests at all engines that are not
// excluded, and counts samples in which an engine exceeds the load limit that the
// configured multiple of the mean allows.
type skewMonitor struct {
	testbed      *testbed.Testbed
	loadMultiple float64
	cancel       context.CancelFunc
	done         chan struct{}

	mu                 sync.Mutex
	excluded           map[fleet.TargetID]bool
	ratios             []float64
	sampleCount        int
	violationSamples   int
	violationDurations []time.Duration
	violationStart     time.Time
	meanSum            float64
}

// startSkewMonitor starts a monitor. The caller must call stop.
func startSkewMonitor(b *testbed.Testbed, loadMultiple float64) *skewMonitor {
	ctx, cancel := context.WithCancel(context.Background())
	m := &skewMonitor{testbed: b, loadMultiple: loadMultiple, cancel: cancel, done: make(chan struct{}), excluded: map[fleet.TargetID]bool{}}
	go m.run(ctx)
	return m
}

// exclude removes an engine that left or crashed from the samples.
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
	for _, e := range m.testbed.Engines() {
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
	m.recordViolation(now, busiest > service.Limit(m.loadMultiple, 1))
}

// recordViolation counts a sample if it is over the limit, and records the duration
// of each period of consecutive samples over the limit.
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

// skewFigures holds the figures of a skewMonitor.
type skewFigures struct {
	// SkewP99 is the 99th percentile of the busiest engine's load divided by the
	// mean load.
	SkewP99 float64 `json:"skew"`
	// SkewMax is the maximum of that ratio.
	SkewMax float64 `json:"skew_max"`
	// LoadMultiple is the configured multiple of the mean.
	LoadMultiple float64 `json:"skew_set"`
	// MeanLoad is the mean number of requests per engine.
	MeanLoad float64 `json:"mean_load"`
	// Violations counts periods over the limit, ViolationShare is their share of
	// the samples, and MaxViolationMS the duration of the longest one.
	Violations     int     `json:"violations"`
	ViolationShare float64 `json:"violation_share"`
	MaxViolationMS float64 `json:"violation_longest_ms"`
}

// stop stops the monitor and returns its figures.
func (m *skewMonitor) stop() skewFigures {
	m.cancel()
	<-m.done
	m.recordViolation(time.Now(), false)
	slices.Sort(m.ratios)
	f := skewFigures{LoadMultiple: m.loadMultiple, Violations: len(m.violationDurations)}
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
