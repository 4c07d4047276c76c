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
	// pollPeriod is the time between two questions to the same engine.
	pollPeriod  = 2 * time.Second
	pollTimeout = time.Second
	// pollParallel bounds the engines asked at once.
	pollParallel = 8
)

// Reports takes the load that engines report; *LoadGate implements it.
type Reports interface {
	Report(t fleet.Target, requests float64, at time.Time)
}

// PollConfig is what a poller needs. All fields are required.
type PollConfig struct {
	Self    fleet.RouterID
	Targets *targets.Tracker
	Engine  engine.Client
	Reports Reports
	// EventPeriod is the time between two readings of a service's cache
	// events; zero reads none.
	EventPeriod func(fleet.ServiceName) time.Duration
	Chats       *Chats
	Clock       func() time.Time
	Log         zerolog.Logger
}

// Poller asks the engines that this router is home to for their load and their
// cache events, and corrects the gate and the chat table by them.
type Poller struct {
	cfg PollConfig

	mu   sync.Mutex
	seen map[fleet.TargetID]position
}

// position is the number of an engine's last cache event, and when its events
// were read.
type position struct {
	seq uint64
	at  time.Time
}

// NewPoller returns a poller.
func NewPoller(cfg PollConfig) *Poller {
	return &Poller{cfg: cfg, seen: map[fleet.TargetID]position{}}
}

// Run asks until ctx ends.
func (p *Poller) Run(ctx context.Context) error {
	for {
		p.round(ctx)
		if err := sleep.For(ctx, pollPeriod); err != nil {
			return err
		}
	}
}

// round asks every engine once, a few at a time.
func (p *Poller) round(ctx context.Context) {
	engines := p.engines()
	slots := make(chan struct{}, pollParallel)
	var asked sync.WaitGroup
	for _, t := range engines {
		slots <- struct{}{}
		asked.Go(func() {
			p.ask(ctx, t)
			<-slots
		})
	}
	asked.Wait()
}

// engines returns the live engines that this router is home to, and forgets
// the others' event numbers.
func (p *Poller) engines() []fleet.Target {
	var engines []fleet.Target
	homed := map[fleet.TargetID]bool{}
	p.cfg.Targets.Picker().Homed(p.cfg.Self, func(t *fleet.Target) {
		if t.Kind == fleet.KindEngine {
			engines = append(engines, *t)
			homed[t.ID] = true
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.seen {
		if !homed[id] {
			delete(p.seen, id)
		}
	}
	return engines
}

// ask asks one engine. After a fault all events are asked for again, so that a
// sequence which started anew shows.
func (p *Poller) ask(ctx context.Context, t fleet.Target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	load, err := p.cfg.Engine.Load(ctx, t.Addr)
	if err != nil {
		p.setSeen(t.ID, position{})
		event.EnginePollFailed.Log(p.cfg.Log).Str("target", string(t.ID)).Err(err).Send()
		return
	}
	p.cfg.Reports.Report(t, float64(load.Running+load.Waiting), reportTime(load.At, p.cfg.Clock()))
	p.readEvents(ctx, t)
}

// readEvents reads an engine's cache events where they are wanted and due.
func (p *Poller) readEvents(ctx context.Context, t fleet.Target) {
	last, now := p.lastSeen(t.ID), p.cfg.Clock()
	period := p.cfg.EventPeriod(t.Service)
	if period <= 0 || now.Sub(last.at) < period {
		return
	}
	events, err := p.cfg.Engine.CacheEvents(ctx, t.Addr, last.seq)
	if err != nil {
		return
	}
	last.at = now
	if len(events) > 0 {
		last.seq = events[len(events)-1].Seq
	}
	p.setSeen(t.ID, last)
	if missed := p.cfg.Chats.Apply(t.ID, events); missed > 0 {
		event.CacheEventsMissed.Log(p.cfg.Log).Str("target", string(t.ID)).Uint64("missed", missed).Send()
	}
}

// reportTime is when a report was made, by the engine's clock but never in this
// router's future.
func reportTime(at, now time.Time) time.Time {
	if at.IsZero() || at.After(now) {
		return now
	}
	return at
}

func (p *Poller) lastSeen(id fleet.TargetID) position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.seen[id]
}

func (p *Poller) setSeen(id fleet.TargetID, at position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.seen[id] = at
}
