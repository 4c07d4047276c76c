package home

import (
	"context"
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/router/targets"
	"ragwortpond.example/ragwortpond/sleep"

	"github.com/rs/zerolog"
)

const (
	// pollPeriod is the time between two polls of the same engine.
	pollPeriod  = 2 * time.Second
	pollTimeout = time.Second
	// maxConcurrentPolls limits the engines polled concurrently.
	maxConcurrentPolls = 8
)

// LoadRecorder receives the load reported by engines. *LoadGate implements it.
type LoadRecorder interface {
	Report(t fleet.Target, requests float64, at time.Time)
}

// PollConfig configures a Poller. All fields are required.
type PollConfig struct {
	Self    fleet.RouterID
	Targets *targets.Tracker
	Engine  engine.Client
	Loads   LoadRecorder
	// EventPeriod returns the minimum time between two reads of a service's
	// cache events; zero disables reading.
	EventPeriod func(fleet.ServiceName) time.Duration
	Chats       *Chats
	Clock       func() time.Time
	Log         zerolog.Logger
}

// Poller polls the engines that this router is home to for their load and their
// cache events, and corrects the gate and the chat table accordingly.
type Poller struct {
	cfg PollConfig

	mu        sync.Mutex
	positions map[fleet.TargetID]position
}

// position is the sequence number of an engine's last cache event and the time
// at which its events were last read.
type position struct {
	seq    uint64
	readAt time.Time
}

// NewPoller returns a Poller with the given configuration.
func NewPoller(cfg PollConfig) *Poller {
	return &Poller{cfg: cfg, positions: map[fleet.TargetID]position{}}
}

// Run polls until ctx ends and returns its error.
func (p *Poller) Run(ctx context.Context) error {
	for {
		p.pollAll(ctx)
		if err := sleep.For(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// pollAll polls every engine once, at most maxConcurrentPolls at a time.
func (p *Poller) pollAll(ctx context.Context) {
	engines := p.engines()
	slots := make(chan struct{}, maxConcurrentPolls)
	var polls sync.WaitGroup
	for _, t := range engines {
		slots <- struct{}{}
		polls.Go(func() {
			p.poll(ctx, t)
			<-slots
		})
	}
	polls.Wait()
}

// engines returns the live engines that this router is home to, and removes the
// recorded positions of all others.
func (p *Poller) engines() []fleet.Target {
	var engines []fleet.Target
	homed := map[fleet.TargetID]bool{}
	p.cfg.Targets.Picker().ForEachHomed(p.cfg.Self, func(t *fleet.Target) {
		if t.Kind == fleet.KindEngine {
			engines = append(engines, *t)
			homed[t.ID] = true
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.positions {
		if !homed[id] {
			delete(p.positions, id)
		}
	}
	return engines
}

// poll polls one engine. After a failed load query, all cache events are
// requested again, so that a restarted event sequence is detected.
func (p *Poller) poll(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.cfg.Engine.Load(ctx, t.Addr)
	if err != nil {
		p.setPosition(t.ID, position{})
		event.EnginePollFailed.Log(p.cfg.Log).Str("target", string(t.ID)).Err(err).Send()
		return
	}
	p.cfg.Loads.Report(t, float64(load.Running+load.Waiting), reportTime(load.At, p.cfg.Clock()))
	p.readEvents(ctx, t)
}

// readEvents reads an engine's cache events if reading is enabled for its
// service and due.
func (p *Poller) readEvents(ctx context.Context, t fleet.Target) {
	last, now := p.position(t.ID), p.cfg.Clock()
	period := p.cfg.EventPeriod(t.Service)
	if period <= 0 || now.Sub(last.readAt) < period {
		return
	}
	events, err := p.cfg.Engine.CacheEvents(ctx, t.Addr, last.seq)
	if err != nil {
		return
	}
	last.readAt = now
	if len(events) > 0 {
		last.seq = events[len(events)-1].Seq
	}
	p.setPosition(t.ID, last)
	if missed := p.cfg.Chats.Apply(t.ID, events); missed > 0 {
		event.CacheEventsMissed.Log(p.cfg.Log).Str("target", string(t.ID)).Uint64("missed", missed).Send()
	}
}

// reportTime returns the time of a load report by the engine's clock, or now if
// the engine gave none or one in this router's future.
func reportTime(at, now time.Time) time.Time {
	if at.IsZero() || at.After(now) {
		return now
	}
	return at
}

func (p *Poller) position(id fleet.TargetID) position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.positions[id]
}

func (p *Poller) setPosition(id fleet.TargetID, pos position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.positions[id] = pos
}
