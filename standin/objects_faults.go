package standin

import (
	"context"
	"fmt"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"ragwortpond.example/ragwortpond/objectapi"
)

// Verb names a kind of call, for counting.
type Verb string

// The verbs.
const (
	VerbGet    Verb = "get"
	VerbList   Verb = "list"
	VerbPut    Verb = "put"
	VerbDelete Verb = "delete"
	VerbWatch  Verb = "watch"
	VerbVMs    Verb = "vms"
)

func (v Verb) writes() bool {
	return v == VerbPut || v == VerbDelete
}

// Faults are the fault knobs of the platform.
type Faults struct {
	// Outage refuses every call before it runs and ends waiting watches.
	Outage bool `json:"outage"`
	// DelayMS holds each call before it takes effect, SlowMS each answer after
	// it took effect. Both are means; each call draws between half and one and
	// a half times the mean.
	DelayMS int64 `json:"delay_ms"`
	SlowMS  int64 `json:"slow_ms"`
	// LoseAfter loses the answers of the next so many writes after they took
	// effect; LoseBefore loses the next so many writes before.
	LoseAfter  int `json:"lose_after"`
	LoseBefore int `json:"lose_before"`
	// VMLagMS is the age that a VM list must have before it is shown.
	VMLagMS int64 `json:"vm_lag_ms"`
}

// Faults returns the knobs as they stand.
func (o *Objects) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// SetFaults replaces all knobs.
func (o *Objects) SetFaults(faults Faults) {
	o.UpdateFaults(func(f *Faults) { *f = faults })
}

// UpdateFaults changes some knobs at once.
func (o *Objects) UpdateFaults(change func(*Faults)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.faults)
	o.wake()
}

// Counts returns the number of calls received by verb, the refused included.
func (o *Objects) Counts() map[Verb]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.counts)
}

// Granted returns the number of calls by verb that were neither refused for an
// outage nor for the rate.
func (o *Objects) Granted() map[Verb]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.granted)
}

// admit counts a call and refuses, loses or holds it before it takes effect.
func (o *Objects) admit(ctx context.Context, verb Verb) error {
	delay, refusal := o.admission(verb)
	if refusal != nil {
		return fmt.Errorf("%s: %w", verb, refusal)
	}
	if err := sleep(ctx, delay); err != nil {
		return interrupted(verb, err)
	}
	return nil
}

func (o *Objects) admission(verb Verb) (time.Duration, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[verb]++
	if o.faults.Outage {
		return 0, objectapi.ErrUnavailable
	}
	if !o.limit(verb).Allow() {
		return 0, objectapi.ErrRateLimited
	}
	o.granted[verb]++
	if verb.writes() && o.faults.LoseBefore > 0 {
		o.faults.LoseBefore--
		return 0, objectapi.ErrUnknown
	}
	return o.spread(o.faults.DelayMS), nil
}

func (o *Objects) limit(verb Verb) *rate.Limiter {
	if verb.writes() {
		return o.writes
	}
	return o.reads
}

// answer loses or holds an answer after its call took effect.
func (o *Objects) answer(ctx context.Context, verb Verb) error {
	o.mu.Lock()
	lost := verb.writes() && o.faults.LoseAfter > 0
	if lost {
		o.faults.LoseAfter--
	}
	delay := o.spread(o.faults.SlowMS)
	o.mu.Unlock()
	if lost {
		return fmt.Errorf("%s: %w", verb, objectapi.ErrUnknown)
	}
	if err := sleep(ctx, delay); err != nil {
		return interrupted(verb, err)
	}
	return nil
}

// interrupted is the error of a call whose context ended: a write may have
// taken effect.
func interrupted(verb Verb, err error) error {
	if verb.writes() {
		return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrUnknown, err)
	}
	return fmt.Errorf("%s: %w", verb, err)
}

// spread draws a duration around a mean. The lock is held.
func (o *Objects) spread(meanMS int64) time.Duration {
	if meanMS <= 0 {
		return 0
	}
	mean := float64(time.Duration(meanMS) * time.Millisecond)
	return time.Duration(mean * (0.5 + o.random.Float64()))
}
