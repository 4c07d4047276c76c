package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/platform/standin"
)

// Options are what a soak is asked for.
type Options struct {
	// Program is the router's binary.
	Program  string
	Seed     uint64
	Duration time.Duration
	Routers  int
	Clients  int
	Lanes    int
	// Dir keeps the logs; empty makes a directory that is removed if nothing was
	// found.
	Dir string
}

// Report is what a soak saw.
type Report struct {
	Seed       uint64         `json:"seed"`
	Requests   int            `json:"requests"`
	Served     int            `json:"served"`
	Runs       int            `json:"runs"`
	Faults     map[string]int `json:"faults"`
	Planned    map[string]int `json:"planned"`
	Violations int            `json:"violations"`
	Found      []Violation    `json:"found,omitempty"`
	// Logs is the directory with the routers' logs, kept if something was found.
	Logs string `json:"logs,omitempty"`
}

// Times of a soak.
const (
	// warmUp is the time before the first fault, calmEnd that after the last one,
	// in which the system has to be as before.
	warmUp  = 2 * time.Second
	calmEnd = touch + 2*time.Second
)

// Play plays one seed.
func Play(ctx context.Context, o Options) (*Report, error) {
	dir := o.Dir
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "ragwort-soak-"); err != nil {
			return nil, fmt.Errorf("soak: %w", err)
		}
	}
	w, err := newWorld(dir, o.Program, o.Routers)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return nil, err
	}
	h, planned := play(ctx, w, o)
	report := reportOf(o, h, planned)
	if report.Violations > 0 {
		report.Logs = dir
	} else if o.Dir == "" {
		// Logs that are left behind do no harm.
		_ = os.RemoveAll(dir)
	}
	return report, nil
}

// play runs clients and faults side by side and returns what was seen.
func play(ctx context.Context, w *world, o Options) (*History, map[string]int) {
	var mu sync.Mutex
	h := &History{
		Events: streamSize, Event: standin.EventText,
		PlainBody: func(id string) string { return (&standin.Target{ID: id}).PlainBody() },
		Repeats:   repeats,
	}
	planned := map[string]int{}
	// The routers' start is no promise yet.
	h.Faults = append(h.Faults, Span{"start", time.Now().Add(-time.Minute), time.Now().Add(warmUp)})
	whole, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	var all sync.WaitGroup
	all.Go(func() {
		runClients(whole, w, o.Clients, o.Seed, func(r Request) {
			mu.Lock()
			defer mu.Unlock()
			h.Requests = append(h.Requests, r)
		})
	})
	faulty, stop := context.WithTimeout(ctx, max(o.Duration-calmEnd, warmUp))
	defer stop()
	for lane := range o.Lanes {
		i := &injector{
			world: w, random: rand.New(rand.NewPCG(o.Seed, 1000+uint64(lane))),
			fault: func(s Span) {
				mu.Lock()
				defer mu.Unlock()
				h.Faults = append(h.Faults, s)
			},
			planned: func(kind string) {
				mu.Lock()
				defer mu.Unlock()
				planned[kind]++
			},
			mark: func(m Mark) {
				mu.Lock()
				defer mu.Unlock()
				h.Marks = append(h.Marks, m)
			},
		}
		all.Go(func() {
			select {
			case <-time.After(warmUp):
				i.run(faulty)
			case <-faulty.Done():
			}
		})
	}
	all.Wait()
	h.Runs, h.Arrivals = w.seen()
	return h, planned
}

// seen gathers what all targets saw.
func (w *world) seen() ([]Run, []Arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []Run
	var arrivals []Arrival
	for _, t := range append(append([]*target{}, w.serving...), w.past...) {
		for _, r := range t.Runs() {
			all = append(all, Run{Target: t.ID, ID: r.Request, Account: r.Account, Credential: r.Credential, At: r.At})
		}
		for _, a := range t.Arrivals() {
			arrivals = append(arrivals, Arrival{Service: t.Service, ID: a.Request, At: a.At})
		}
	}
	return all, arrivals
}

func reportOf(o Options, h *History, planned map[string]int) *Report {
	r := &Report{Seed: o.Seed, Requests: len(h.Requests), Runs: len(h.Runs), Faults: map[string]int{}, Planned: planned}
	for _, f := range h.Faults {
		r.Faults[f.Kind]++
	}
	delete(r.Faults, "start")
	for i := range h.Requests {
		if h.Requests[i].Status == 200 && h.Requests[i].Err == "" {
			r.Served++
		}
	}
	r.Found = Check(h)
	r.Violations = len(r.Found)
	return r
}
