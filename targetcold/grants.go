package targetcold

import (
	"math"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/rendezvous"
)

// Role is that of a router which grants the permits of a target.
type Role uint8

const (
	// Holder is the role of the router which all others ask.
	Holder Role = iota
	// Substitute is that of a router which has just become the holder, so that others may
	// still ask the one before, or which is asked because the holder does not answer.
	Substitute
)

// MaxWait bounds the time until the next permit.
const MaxWait = 2 * time.Second

// Answer is the answer to a request for a permit.
type Answer struct {
	// Answered is false if no router that grants could be asked. Routers is then the number
	// of routers that may be in the same place.
	Answered, Granted bool
	Routers           int
	// Wait is the time until the next permit, if this one was denied.
	Wait time.Duration
}

// Grant is what a router is asked to grant for a target.
type Grant struct {
	// PerSecond is the rate that the target takes while it is cold.
	PerSecond float64
	Role      Role
	// Share is the part of the fleet, from 0 to 1, that this router hears from. The others may
	// have a holder too.
	Share float64
	// Ramp multiplies the rate after the cold time; see Tracker.Ramp.
	Ramp float64
}

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take takes a token at a rate per second, or returns the time until there is one. The first
// call finds the bucket filled with initial tokens.
func (b *bucket) take(rate, depth, initial float64, now time.Time) (bool, time.Duration) {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = initial, now
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, depth)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if rate <= 0 {
		return false, MaxWait
	}
	return false, min(time.Duration(math.Ceil((1-b.tokens)/rate*float64(time.Second))), MaxWait)
}

// Grant grants one send to a cold target, by any router, or returns the time until there may be
// another. Only a router with a Role for the target may call it.
func (t *Tracker) Grant(id fleet.TargetID, g Grant, now time.Time) (bool, time.Duration) {
	r := t.bounds.rates(g.PerSecond)
	rate, initial := r.steady, 1.0
	if g.Role == Substitute {
		rate, initial = r.substitute, 0
	}
	rate = min(rate, r.total*g.Share)
	if rate <= 0 {
		return false, MaxWait
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.getOrCreate(id, now)
	if state == nil {
		return false, MaxWait
	}
	return state.granted.take(rate*max(g.Ramp, 1), r.depth, initial, now)
}

// ownSlotOpen is how long a router may use its turn to send without a permit. It is short, so
// that the turns of many routers do not add up.
const ownSlotOpen = 500 * time.Millisecond

// TakeOwnPart grants one send by this router while no router that grants can be asked. The
// routers, of which there are as many as told, take turns, which are spread at random; what is
// not used expires.
func (t *Tracker) TakeOwnPart(id fleet.TargetID, perSecond float64, routers int, now time.Time) (bool, time.Duration) {
	own := t.bounds.rates(perSecond).own
	if own <= 0 {
		return false, MaxWait
	}
	period := max(time.Duration(float64(max(routers, 1))/own*float64(time.Second)), 1)
	phase := time.Duration(rendezvous.Unit(rendezvous.Mix(rendezvous.Seed(string(id)), t.seed)) * float64(period))
	since := now.Sub(t.epoch) + phase
	into := since % period
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.getOrCreate(id, now)
	if state == nil {
		return false, MaxWait
	}
	// The first turn may have begun before this process did.
	if began := now.Add(-into); since >= period && into < ownSlotOpen && state.ownTurnAt.Before(began) {
		state.ownTurnAt = now
		return true, 0
	}
	return false, min(period-into, MaxWait)
}

// maxDenial bounds how long a router does not ask again after a denial.
const maxDenial = 250 * time.Millisecond

// RecordDenial keeps this router from asking again at once.
func (t *Tracker) RecordDenial(id fleet.TargetID, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state := t.getOrCreate(id, now); state != nil {
		state.deniedUntil = now.Add(min(wait, maxDenial))
	}
}

// Denied reports whether a permit was denied so lately that another one would be too.
func (t *Tracker) Denied(id fleet.TargetID, now time.Time) bool {
	if t.known.Load() == 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	state := t.targets[id]
	return state != nil && now.Before(state.deniedUntil)
}
