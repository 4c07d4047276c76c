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
	balanceInterval = 5 * time.Millisecond
	// skewLeast is the mean, in requests, below which the ratio of whole
	// requests says nothing of skew.
	skewLeast = 4
)

// balance watches the requests running and waiting at all engines that are to
// take work, and counts where one carries more than the set multiple of the
// mean allows.
type balance struct {
	bed      *bed.Bed
	multiple float64
	cancel   context.CancelFunc
	done     chan struct{}

	mu       sync.Mutex
	out      map[fleet.TargetID]bool
	ratios   []float64
	samples  int
	over     int
	episodes []time.Duration
	since    time.Time
	means    float64
}

// watchBalance starts a watch; stop ends it.
func watchBalance(b *bed.Bed, multiple float64) *balance {
	ctx, cancel := context.WithCancel(context.Background())
	w := &balance{bed: b, multiple: multiple, cancel: cancel, done: make(chan struct{}), out: map[fleet.TargetID]bool{}}
	go w.run(ctx)
	return w
}

// leaveOut takes an engine that left or crashed out of the mean.
func (w *balance) leaveOut(id fleet.TargetID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.out[id] = true
}

func (w *balance) run(ctx context.Context) {
	defer close(w.done)
	ticker := time.NewTicker(balanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			w.look(now)
		}
	}
}

func (w *balance) look(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var busiest float64
	var service placement.ServiceLoad
	for _, e := range w.bed.Engines() {
		if w.out[e.ID()] {
			continue
		}
		stats := e.Stats()
		load := float64(stats.Running + stats.Waiting)
		busiest = max(busiest, load)
		service.Requests += load
		service.Weight++
	}
	w.samples++
	w.means += service.Mean()
	if service.Mean() >= skewLeast {
		w.ratios = append(w.ratios, busiest/service.Mean())
	}
	w.judge(now, busiest > service.Limit(w.multiple, 1))
}

// judge counts samples over the limit and how long they last together.
func (w *balance) judge(now time.Time, over bool) {
	if over {
		w.over++
		if w.since.IsZero() {
			w.since = now
		}
		return
	}
	if !w.since.IsZero() {
		w.episodes = append(w.episodes, now.Sub(w.since))
		w.since = time.Time{}
	}
}

// balanceFigures are what a watch found.
type balanceFigures struct {
	// Skew is the 99th percentile of the busiest engine's load over the mean.
	Skew float64 `json:"skew"`
	// SkewMax is the highest ratio seen.
	SkewMax float64 `json:"skew_max"`
	// SkewSet is the set multiple.
	SkewSet float64 `json:"skew_set"`
	// MeanLoad is the mean number of requests at an engine.
	MeanLoad float64 `json:"mean_load"`
	// Violations counts spells over the bound; OverShare is their share of the
	// time and LongestMS the longest of them.
	Violations int     `json:"violations"`
	OverShare  float64 `json:"violation_share"`
	LongestMS  float64 `json:"violation_longest_ms"`
}

// stop ends the watch and returns its figures.
func (w *balance) stop() balanceFigures {
	w.cancel()
	<-w.done
	w.judge(time.Now(), false)
	slices.Sort(w.ratios)
	f := balanceFigures{SkewSet: w.multiple, Violations: len(w.episodes)}
	if len(w.ratios) > 0 {
		f.Skew = w.ratios[len(w.ratios)*99/100]
		f.SkewMax = w.ratios[len(w.ratios)-1]
	}
	if w.samples > 0 {
		f.MeanLoad = w.means / float64(w.samples)
		f.OverShare = float64(w.over) / float64(w.samples)
	}
	if len(w.episodes) > 0 {
		f.LongestMS = float64(slices.Max(w.episodes)) / float64(time.Millisecond)
	}
	return f
}
