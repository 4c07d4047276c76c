package testbed

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const controlBytesName = "ragwort_control_bytes_total"

// ControlBytes returns the total control traffic of all routers so far, in bytes.
// A message between two routers counts twice: as sent and as received.
func (b *Testbed) ControlBytes() float64 {
	total := 0.0
	for _, m := range b.Routers() {
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

// SkewSample holds the mean and the maximum number of running and waiting requests
// per engine at one time.
type SkewSample struct {
	At   time.Time
	Mean float64
	Max  float64
}

// Ratio returns the load of the busiest engine divided by the mean load. It
// returns 1 if there is no load.
func (s SkewSample) Ratio() float64 {
	if s.Mean == 0 {
		return 1
	}
	return s.Max / s.Mean
}

// SkewSampler takes a SkewSample at a fixed interval until Stop.
type SkewSampler struct {
	mu      sync.Mutex
	samples []SkewSample
	cancel  context.CancelFunc
	done    chan struct{}
}

// StartSkewSampler starts a sampler. The caller must call its Stop method.
func (b *Testbed) StartSkewSampler(interval time.Duration) *SkewSampler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &SkewSampler{cancel: cancel, done: make(chan struct{})}
	go s.run(ctx, b, interval)
	return s
}

func (s *SkewSampler) run(ctx context.Context, b *Testbed, interval time.Duration) {
	defer close(s.done)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.add(b.sampleSkew())
		}
	}
}

func (s *SkewSampler) add(sample SkewSample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.samples = append(s.samples, sample)
}

func (b *Testbed) sampleSkew() SkewSample {
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

// Stop stops the sampler and returns its samples in order of time.
func (s *SkewSampler) Stop() []SkewSample {
	s.cancel()
	<-s.done
	return s.samples
}

// SkewQuantile returns the q quantile of the ratios of the samples whose mean is
// at least minMean requests. It returns 1 if there are no such samples.
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

// CacheTokens returns the number of prompt tokens that all engines have processed
// so far, and how many of them were found in their prefix caches.
func (b *Testbed) CacheTokens() (prompt, cached int) {
	for _, e := range b.Engines() {
		stats := e.Stats()
		prompt += stats.PromptTokens
		cached += stats.CachedTokens
	}
	return prompt, cached
}

// DuplicateExecutions returns the number of idempotency keys that the plain
// services together executed more than once.
func (b *Testbed) DuplicateExecutions() int {
	runs := map[string]int{}
	for _, s := range b.Services() {
		for key, n := range s.Executions() {
			runs[key] += n
		}
	}
	duplicates := 0
	for _, n := range runs {
		if n > 1 {
			duplicates++
		}
	}
	return duplicates
}
