// Package withdraw withdraws the leaving targets that a router is home to. It
// detects them from the settings and the platform's VM list, moves the KV cache
// of their chats to the targets where the chats will be placed on return, and
// reports when a target is empty. A router that takes over a withdrawal in
// progress gets the chats from the engine's cache events.
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
	tickInterval = 50 * time.Millisecond
	// pollInterval is how often a leaving engine is polled for its load and
	// cache events, and how often its chats are passed to the state machine.
	pollInterval = 500 * time.Millisecond
	callTimeout  = 2 * time.Second
	// moveTimeout limits the move of one chat.
	moveTimeout = 30 * time.Second
)

// Config configures a Driver. All fields are required.
type Config struct {
	Self     fleet.Router
	Snapshot func() *settings.Snapshot
	View     func() *membership.View
	Picker   func() *placement.Picker
	Chats    *home.Chats
	Groups   *home.Groups
	// InFlight returns the number of attempts that this router has in flight to
	// a target.
	InFlight func(fleet.TargetID) int
	Engine   engine.Client
	// Notify sends the location of a chat's context to a router.
	Notify func(fleet.Router, placement.ChatRecord)
	Log    zerolog.Logger
}

// Driver runs withdrawals. Its exported methods are safe for concurrent use.
type Driver struct {
	cfg        Config
	background sync.WaitGroup

	mu      sync.Mutex
	targets map[fleet.TargetID]*targetWithdrawal
}

// targetWithdrawal is the state of the withdrawal of one target.
type targetWithdrawal struct {
	target  fleet.Target
	machine *withdrawal.StateMachine
	// stored holds the chats named by the engine's cache events. seq is the
	// highest sequence number read.
	stored map[fleet.ChatKey]withdrawal.Chat
	seq    uint64
	// load is the number of requests in flight as last reported by the engine.
	load     int
	polledAt time.Time
	polling  bool
	// chatsKnown is set once the engine's cache events have been read, or the
	// engine could not be reached.
	chatsKnown bool
	offeredAt  time.Time
}

// Status is the state of a withdrawal driven by this router.
type Status struct {
	Target fleet.TargetID `json:"target" cbor:"1,keyasint"`
	withdrawal.Status
}

// New returns a Driver with the given configuration.
func New(cfg Config) *Driver {
	return &Driver{cfg: cfg, targets: map[fleet.TargetID]*targetWithdrawal{}}
}

// Run drives withdrawals until ctx ends, then waits for the moves and polls in
// progress.
func (d *Driver) Run(ctx context.Context) error {
	defer d.background.Wait()
	ticker := time.NewTicker(tickInterval)
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

// Statuses returns the withdrawals that this router drives, in no particular
// order.
func (d *Driver) Statuses() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Status
	for id, w := range d.targets {
		all = append(all, Status{Target: id, Status: w.machine.Status()})
	}
	return all
}

func (d *Driver) step(ctx context.Context, now time.Time) {
	own := d.ownTargets()
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, w := range d.targets {
		if _, still := own[id]; !still {
			d.stopTracking(w, now)
		}
	}
	for id, t := range own {
		d.advance(ctx, d.track(id, t), now)
	}
}

// ownTargets returns the leaving targets whose home is this router.
func (d *Driver) ownTargets() map[fleet.TargetID]fleet.Target {
	snapshot, view := d.cfg.Snapshot(), d.cfg.View()
	region := func(name fleet.DomainName) fleet.RegionName { return snapshot.Domains[name] }
	own := map[fleet.TargetID]fleet.Target{}
	for _, all := range snapshot.Targets {
		for _, t := range all {
			if t.State != fleet.Leaving && !view.LeavingVMs[vmName(t)] {
				continue
			}
			if homeRouter, ok := placement.HomeRouter(t, view.Routers, region); ok && homeRouter.ID == d.cfg.Self.ID {
				own[t.ID] = t
			}
		}
	}
	return own
}

// vmName returns the name of the target's VM in the platform's VM list.
func vmName(t fleet.Target) string {
	if t.VM != "" {
		return t.VM
	}
	return string(t.ID)
}

// track returns the withdrawal of a target and starts it if it is new.
func (d *Driver) track(id fleet.TargetID, t fleet.Target) *targetWithdrawal {
	w, ok := d.targets[id]
	if !ok {
		w = &targetWithdrawal{machine: withdrawal.New(), stored: map[fleet.ChatKey]withdrawal.Chat{}}
		d.targets[id] = w
		event.WithdrawalStarted.Log(d.cfg.Log).Str("target", string(id)).Send()
	}
	w.target = t
	return w
}

// stopTracking removes a target that is no longer leaving, or that has another
// home now.
func (d *Driver) stopTracking(w *targetWithdrawal, now time.Time) {
	w.machine.Observe(now, false, 0, settings.Withdrawal{})
	event.WithdrawalCancelled.Log(d.cfg.Log).Str("target", string(w.target.ID)).Send()
	delete(d.targets, w.target.ID)
}

func (d *Driver) advance(ctx context.Context, w *targetWithdrawal, now time.Time) {
	values := d.cfg.Snapshot().Effective(w.target.Domain, w.target.Service, "").Withdrawal
	before := w.machine.Status().Phase
	w.machine.Observe(now, true, max(d.cfg.InFlight(w.target.ID), w.load), values)
	d.offerChats(w, now)
	if w.target.Kind == fleet.KindEngine {
		d.poll(ctx, w, now)
		d.startMove(ctx, w, now)
	}
	d.logPhaseChange(w, before)
}

// offerChats passes the target's chats to the state machine, at most once per
// pollInterval.
func (d *Driver) offerChats(w *targetWithdrawal, now time.Time) {
	if w.target.Kind == fleet.KindEngine && !w.chatsKnown || now.Sub(w.offeredAt) < pollInterval {
		return
	}
	w.offeredAt = now
	w.machine.AddChats(now, d.chats(w))
}

// chats returns the chats held by the target: those in the chat table, and
// those named by the engine's cache events that the chat table does not
// contain.
func (d *Driver) chats(w *targetWithdrawal) []withdrawal.Chat {
	notes := d.cfg.Chats.Export(func(id fleet.TargetID) bool { return id == w.target.ID })
	chats := make([]withdrawal.Chat, 0, len(notes)+len(w.stored))
	for _, n := range notes {
		chats = append(chats, withdrawal.Chat{Key: n.Chat, Tokens: n.Tokens, LastSeen: time.Unix(int64(n.LastSeen), 0)})
	}
	for key, c := range w.stored {
		if _, known := d.cfg.Chats.Lookup(key); !known {
			chats = append(chats, c)
		}
	}
	return chats
}

func (d *Driver) logPhaseChange(w *targetWithdrawal, before withdrawal.Phase) {
	s := w.machine.Status()
	if s.Phase == before {
		return
	}
	ev := event.WithdrawalEmpty
	switch s.Phase {
	case withdrawal.Empty:
	case withdrawal.Overdue:
		ev = event.WithdrawalOverdue
	default:
		return
	}
	ev.Log(d.cfg.Log).Str("target", string(w.target.ID)).Int("in_flight", s.InFlight).
		Int("moved", s.Moved).Int("failed", s.Failed).Int64("bytes", s.Bytes).Send()
}

// poll reads the engine's load and cache events in its own goroutine, at most
// once per pollInterval.
func (d *Driver) poll(ctx context.Context, w *targetWithdrawal, now time.Time) {
	if w.polling || now.Sub(w.polledAt) < pollInterval {
		return
	}
	w.polling = true
	addr, seq := w.target.Addr, w.seq
	d.background.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		load, loadErr := d.cfg.Engine.Load(ctx, addr)
		events, err := d.cfg.Engine.CacheEvents(ctx, addr, seq)
		d.mu.Lock()
		defer d.mu.Unlock()
		w.polling, w.polledAt = false, time.Now()
		w.load = 0
		if loadErr == nil {
			w.load = load.Running + load.Waiting
		}
		w.chatsKnown = w.chatsKnown || err == nil || errors.Is(err, engine.ErrNotSent)
		w.apply(events, w.polledAt)
	})
}

func (w *targetWithdrawal) apply(events []engine.CacheEvent, now time.Time) {
	for _, e := range events {
		w.seq = max(w.seq, e.Seq)
		if !e.Stored {
			delete(w.stored, e.Chat)
			continue
		}
		w.stored[e.Chat] = withdrawal.Chat{Key: e.Chat, Tokens: uint32(max(e.Tokens, 0)), LastSeen: now}
	}
}
