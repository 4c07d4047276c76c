// Package withdraw carries out the withdrawals of the leaving targets that a
// router is home to: it follows what the settings and the platform's VM list
// say, moves the KV cache of chats to where their return will be placed, and
// tells when a target is empty. A router that takes over a withdrawal in the
// middle learns the chats from the engine's cache events.
package withdraw

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/membership"
	"ragwortpond.example/ragwortpond/placement"
	"ragwortpond.example/ragwortpond/router/home"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/withdrawal"
)

const (
	tick = 50 * time.Millisecond
	// loadInterval is how often a leaving engine is asked for its load, and its
	// chats are looked up.
	loadInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	// moveTimeout bounds the move of one chat.
	moveTimeout = 30 * time.Second
)

// Config is what a driver needs. All fields are required.
type Config struct {
	Self     fleet.Router
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	Picker   func() *placement.Picker
	Chats    *home.Chats
	Groups   *home.Groups
	// InFlight returns the attempts that this router has in flight before a
	// target.
	InFlight func(fleet.TargetID) int
	Engine   engine.Client
	// Notify tells a router where a chat's context is now.
	Notify func(fleet.Router, placement.ChatNote)
	Log    zerolog.Logger
}

// Driver runs withdrawals. Its exported methods are safe for concurrent use.
type Driver struct {
	cfg   Config
	moves sync.WaitGroup

	mu      sync.Mutex
	targets map[fleet.TargetID]*leaving
}

// leaving is one target under withdrawal.
type leaving struct {
	target  fleet.Target
	machine *withdrawal.Machine
	// stored are the chats that the engine's cache events name, held from
	// sequence number seq on.
	stored map[fleet.ChatKey]withdrawal.Chat
	seq    uint64
	// load is what the engine last reported to have in flight.
	load   int
	asked  time.Time
	asking bool
	// heard says that the engine told its chats, or cannot be reached.
	heard   bool
	offered time.Time
}

// Status is one withdrawal as this router drives it.
type Status struct {
	Target fleet.TargetID `json:"target" cbor:"1,keyasint"`
	withdrawal.Status
}

// New returns a driver.
func New(cfg Config) *Driver {
	return &Driver{cfg: cfg, targets: map[fleet.TargetID]*leaving{}}
}

// Run drives until ctx ends and waits for moves under way.
func (d *Driver) Run(ctx context.Context) error {
	defer d.moves.Wait()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			d.step(ctx, now)
		}
	}
}

// Statuses returns the withdrawals that this router drives.
func (d *Driver) Statuses() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Status
	for id, l := range d.targets {
		all = append(all, Status{Target: id, Status: l.machine.Status()})
	}
	return all
}

func (d *Driver) step(ctx context.Context, now time.Time) {
	mine := d.mine()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, l := range d.targets {
		if _, still := mine[id]; !still {
			d.end(l, now)
		}
	}
	for id, t := range mine {
		d.drive(ctx, d.found(id, t), now)
	}
}

// mine returns the leaving targets whose home is this router.
func (d *Driver) mine() map[fleet.TargetID]fleet.Target {
	snapshot, view := d.cfg.Snapshot(), d.cfg.View()
	region := func(name fleet.DomainName) fleet.RegionName { return snapshot.Domains[name] }
	mine := map[fleet.TargetID]fleet.Target{}
	for _, all := range snapshot.Targets {
		for _, t := range all {
			if t.State != fleet.Leaving && !view.LeavingVMs[vmOf(t)] {
				continue
			}
			if at, ok := placement.Home(t, view.Routers, region); ok && at.ID == d.cfg.Self.ID {
				mine[t.ID] = t
			}
		}
	}
	return mine
}

// vmOf returns the name of the target's machine in the platform's VM list.
func vmOf(t fleet.Target) string {
	if t.VM != "" {
		return t.VM
	}
	return string(t.ID)
}

func (d *Driver) found(id fleet.TargetID, t fleet.Target) *leaving {
	l, ok := d.targets[id]
	if !ok {
		l = &leaving{machine: withdrawal.New(), stored: map[fleet.ChatKey]withdrawal.Chat{}}
		d.targets[id] = l
		event.WithdrawalStarted.Log(d.cfg.Log).Str("target", string(id)).Send()
	}
	l.target = t
	return l
}

// end forgets a target that no longer leaves, or that has another home now.
func (d *Driver) end(l *leaving, now time.Time) {
	l.machine.Observe(now, false, 0, settings.Withdrawal{})
	event.WithdrawalCalledOff.Log(d.cfg.Log).Str("target", string(l.target.ID)).Send()
	delete(d.targets, l.target.ID)
}

func (d *Driver) drive(ctx context.Context, l *leaving, now time.Time) {
	values := d.cfg.Snapshot().Effective(l.target.Domain, l.target.Service, "").Withdrawal
	before := l.machine.Status().Phase
	l.machine.Observe(now, true, max(d.cfg.InFlight(l.target.ID), l.load), values)
	d.offer(l, now)
	if l.target.Kind == fleet.KindEngine {
		d.ask(ctx, l, now)
		d.move(ctx, l, now)
	}
	d.tell(l, before)
}

// offer tells the machine what the target holds, now and then.
func (d *Driver) offer(l *leaving, now time.Time) {
	if l.target.Kind == fleet.KindEngine && !l.heard || now.Sub(l.offered) < loadInterval {
		return
	}
	l.offered = now
	l.machine.Offer(now, d.chats(l))
}

// chats returns what the target holds: as the chat table has it, else as the
// engine's cache events tell.
func (d *Driver) chats(l *leaving) []withdrawal.Chat {
	notes := d.cfg.Chats.Export(func(id fleet.TargetID) bool { return id == l.target.ID })
	chats := make([]withdrawal.Chat, 0, len(notes)+len(l.stored))
	for _, n := range notes {
		chats = append(chats, withdrawal.Chat{Key: n.Chat, Held: n.Held, Seen: time.Unix(int64(n.Seen), 0)})
	}
	for key, c := range l.stored {
		if _, known := d.cfg.Chats.Lookup(key); !known {
			chats = append(chats, c)
		}
	}
	return chats
}

func (d *Driver) tell(l *leaving, before withdrawal.Phase) {
	s := l.machine.Status()
	if s.Phase == before {
		return
	}
	line := event.WithdrawalEmpty
	switch s.Phase {
	case withdrawal.Empty:
	case withdrawal.Overdue:
		line = event.WithdrawalOverdue
	default:
		return
	}
	line.Log(d.cfg.Log).Str("target", string(l.target.ID)).Int("in_flight", s.InFlight).
		Int("moved", s.Moved).Int("failed", s.Failed).Int64("bytes", s.Bytes).Send()
}

// ask reads the engine's load and cache events now and then, off the loop.
func (d *Driver) ask(ctx context.Context, l *leaving, now time.Time) {
	if l.asking || now.Sub(l.asked) < loadInterval {
		return
	}
	l.asking = true
	addr, seq := l.target.Addr, l.seq
	d.moves.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		load, loadErr := d.cfg.Engine.Load(ctx, addr)
		events, err := d.cfg.Engine.CacheEvents(ctx, addr, seq)
		d.mu.Lock()
		defer d.mu.Unlock()
		l.asking, l.asked = false, time.Now()
		l.load = 0
		if loadErr == nil {
			l.load = load.Running + load.Waiting
		}
		l.heard = l.heard || err == nil || errors.Is(err, engine.ErrNotSent)
		l.apply(events, l.asked)
	})
}

func (l *leaving) apply(events []engine.CacheEvent, now time.Time) {
	for _, e := range events {
		l.seq = max(l.seq, e.Seq)
		if !e.Stored {
			delete(l.stored, e.Chat)
			continue
		}
		l.stored[e.Chat] = withdrawal.Chat{Key: e.Chat, Held: uint32(max(e.Tokens, 0)), Seen: now}
	}
}
