package standin

import (
	"context"
	"fmt"
	"maps"
	"time"

	"golang.org/x/time/rate"

	"ragwortpond.example/ragwortpond/objectapi"
)

// Verb is a kind of API call, as counted by Counts and Granted.
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

// Faults configures the faults that the platform injects.
type Faults struct {
	// Outage refuses every call before it takes effect and ends waiting watches.
	Outage bool `json:"outage"`
	// RequestDelayMS delays each call before it takes effect, ResponseDelayMS delays the answer
	// afterwards. Both are means in milliseconds; the actual delay is uniform
	// between 0.5 and 1.5 times the mean.
	RequestDelayMS  int64 `json:"delay_ms"`
	ResponseDelayMS int64 `json:"slow_ms"`
	// DropResponses is the number of next writes that take effect but whose answers
	// are lost; DropWrites is the number of next writes that are lost before
	// they take effect.
	DropResponses int `json:"lose_after"`
	DropWrites    int `json:"lose_before"`
	// VMLagMS is the age in milliseconds at which a VM list becomes visible.
	VMLagMS int64 `json:"vm_lag_ms"`
}

// Faults returns the current fault settings.
func (o *Objects) Faults() Faults {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.faults
}

// SetFaults replaces all fault settings.
func (o *Objects) SetFaults(faults Faults) {
	o.UpdateFaults(func(f *Faults) { *f = faults })
}

// UpdateFaults applies change to the fault settings atomically.
func (o *Objects) UpdateFaults(change func(*Faults)) {
	o.mu.Lock()
	defer o.mu.Unlock()
	change(&o.faults)
	o.wake()
}

// Counts returns the number of received calls by verb, including refused calls.
func (o *Objects) Counts() map[Verb]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.counts)
}

// Granted returns the number of calls by verb that were not refused because of an
// outage or the rate limit.
func (o *Objects) Granted() map[Verb]uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return maps.Clone(o.granted)
}

// admit counts a call and applies the faults that precede its effect: refusal,
// loss or delay.
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
	if !o.limiterFor(verb).Allow() {
		return 0, objectapi.ErrRateLimited
	}
	o.granted[verb]++
	if verb.writes() && o.faults.DropWrites > 0 {
		o.faults.DropWrites--
		return 0, objectapi.ErrResultUnknown
	}
	return o.jitter(o.faults.RequestDelayMS), nil
}

func (o *Objects) limiterFor(verb Verb) *rate.Limiter {
	if verb.writes() {
		return o.writes
	}
	return o.reads
}

// applyAnswerFaults applies the faults that follow a call's effect: loss or delay
// of the answer.
func (o *Objects) applyAnswerFaults(ctx context.Context, verb Verb) error {
	o.mu.Lock()
	lost := verb.writes() && o.faults.DropResponses > 0
	if lost {
		o.faults.DropResponses--
	}
	delay := o.jitter(o.faults.ResponseDelayMS)
	o.mu.Unlock()
	if lost {
		return fmt.Errorf("%s: %w", verb, objectapi.ErrResultUnknown)
	}
	if err := sleep(ctx, delay); err != nil {
		return interrupted(verb, err)
	}
	return nil
}

// interrupted returns the error of a call whose context ended. For a write it
// wraps objectapi.ErrResultUnknown, since the write may have taken effect.
func interrupted(verb Verb, err error) error {
	if verb.writes() {
		return fmt.Errorf("%s: %w: %w", verb, objectapi.ErrResultUnknown, err)
	}
	return fmt.Errorf("%s: %w", verb, err)
}

// jitter returns a random duration between 0.5 and 1.5 times the mean. The caller
// holds o.mu.
func (o *Objects) jitter(meanMS int64) time.Duration {
	if meanMS <= 0 {
		return 0
	}
	mean := float64(time.Duration(meanMS) * time.Millisecond)
	return time.Duration(mean * (0.5 + o.random.Float64()))
}
