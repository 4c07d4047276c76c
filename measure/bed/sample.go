package bed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const controlBytesName = "ragwort_control_bytes_total"

// ControlBytes returns the control traffic of all routers so far in bytes,
// sent and received counted once each.
func (b *Bed) ControlBytes() float64 {
	total := 0.0
	for _, m := range b.Members() {
		total += counterSum(m.Metrics.Registry, controlBytesName)
	}
	return total
}

func counterSum(g prometheus.Gatherer, name string) float64 {
	families, err := g.Gather()
	if err != nil {
		return 0
	}
	total := 0.0
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			total += m.GetCounter().GetValue()
		}
	}
	return total
}

// SkewSample is one look at the requests running and waiting at all engines.
type SkewSample struct {
	At   time.Time
	Mean float64
	Max  float64
}

// Ratio is how far the busiest engine sits above the mean.
func (s SkewSample) Ratio() float64 {
	if s.Mean == 0 {
		return 1
	}
	return s.Max / s.Mean
}

// SkewSampler looks at the engines at a fixed interval.
type SkewSampler struct {
	mu      sync.Mutex
	samples []SkewSample
	cancel  context.CancelFunc
	done    chan struct{}
}

// SampleSkew starts a sampler; Stop ends it.
func (b *Bed) SampleSkew(interval time.Duration) *SkewSampler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &SkewSampler{cancel: cancel, done: make(chan struct{})}
	go s.run(ctx, b, interval)
	return s
}

func (s *SkewSampler) run(ctx context.Context, b *Bed, interval time.Duration) {
	defer close(s.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.add(b.skewNow())
		}
	}
}

func (s *SkewSampler) add(sample SkewSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

func (b *Bed) skewNow() SkewSample {
	engines := b.Engines()
	sample := SkewSample{At: time.Now()}
	for _, e := range engines {
		stats := e.Stats()
		load := float64(stats.Running + stats.Waiting)
		sample.Max = max(sample.Max, load)
		sample.Mean += load / float64(len(engines))
	}
	return sample
}

// Stop ends the sampler and returns what it saw.
func (s *SkewSampler) Stop() []SkewSample {
	s.cancel()
	<-s.done
	return s.samples
}

// SkewQuantile returns the q quantile of the ratios of samples whose mean is
// at least minMean requests, and 1 where there are none.
func SkewQuantile(samples []SkewSample, q, minMean float64) float64 {
	var ratios []float64
	for _, s := range samples {
		if s.Mean >= minMean {
			ratios = append(ratios, s.Ratio())
		}
	}
	if len(ratios) == 0 {
		return 1
	}
	slices.Sort(ratios)
	return ratios[min(len(ratios)-1, int(q*float64(len(ratios))))]
}

// CacheTokens returns the prompt tokens that all engines read and found in
// their caches so far.
func (b *Bed) CacheTokens() (prompt, cached int) {
	for _, e := range b.Engines() {
		stats := e.Stats()
		prompt += stats.PromptTokens
		cached += stats.CachedTokens
	}
	return prompt, cached
}

// RanTwice returns how many idempotency keys any plain services executed more
// than once.
func (b *Bed) RanTwice() int {
	runs := map[string]int{}
	for _, s := range b.Services() {
		for key, n := range s.Executions() {
			runs[key] += n
		}
	}
	twice := 0
	for _, n := range runs {
		if n > 1 {
			twice++
		}
	}
	return twice
}
