package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"ragwortpond.example/ragwortpond/objectapi"
)

const (
	maxLogEntries   = 20_000
	maxLogBytes     = 32 << 20
	burstDivisor    = 20
	faultSeedStream = 0x6f626a65
)

// ObjectsConfig sets the rate limits of the object API.
type ObjectsConfig struct {
	// WritesPerSecond and ReadsPerSecond limit the rate of admitted calls; zero
	// means no limit. A watch and a VM list count as one read each.
	WritesPerSecond int
	ReadsPerSecond  int
	// Seed seeds the random variation of delays.
	Seed uint64
}

// Objects is the platform's object API and VM list in memory. It implements
// objectapi.Store and objectapi.VMLister and is safe for concurrent use.
type Objects struct {
	writes *rate.Limiter
	reads  *rate.Limiter

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	revision uint64
	kinds    map[string]*kindState
	changed  chan struct{}
	vmLists  []vmList
	counts   map[Verb]uint64
	granted  map[Verb]uint64
}

// kindState holds the objects of one kind and the log of their changes.
type kindState struct {
	objects   map[string]objectapi.Object
	log       []objectapi.Change
	logBytes  int
	compacted uint64
}

var (
	_ objectapi.Store    = (*Objects)(nil)
	_ objectapi.VMLister = (*Objects)(nil)
)

// NewObjects returns an empty object API.
func NewObjects(config ObjectsConfig) *Objects {
	return &Objects{
		writes:  newLimiter(config.WritesPerSecond),
		reads:   newLimiter(config.ReadsPerSecond),
		random:  rand.New(rand.NewPCG(config.Seed, faultSeedStream)),
		kinds:   map[string]*kindState{},
		changed: make(chan struct{}),
		counts:  map[Verb]uint64{},
		granted: map[Verb]uint64{},
	}
}

func newLimiter(perSecond int) *rate.Limiter {
	l := rate.NewLimiter(rate.Inf, 1)
	setRate(l, perSecond)
	return l
}

func setRate(l *rate.Limiter, perSecond int) {
	if perSecond == 0 {
		l.SetLimit(rate.Inf)
		return
	}
	l.SetBurst(max(1, perSecond/burstDivisor))
	l.SetLimit(rate.Limit(perSecond))
}

// SetRates changes the limits of calls per second; zero means no limit.
func (o *Objects) SetRates(writesPerSecond, readsPerSecond int) {
	setRate(o.writes, writesPerSecond)
	setRate(o.reads, readsPerSecond)
}

// Get implements objectapi.Store.
func (o *Objects) Get(ctx context.Context, kind, name string) (objectapi.Object, error) {
	if err := o.admit(ctx, VerbGet); err != nil {
		return objectapi.Object{}, err
	}
	o.mu.Lock()
	object, ok := o.kind(kind).objects[name]
	o.mu.Unlock()
	if err := o.applyAnswerFaults(ctx, VerbGet); err != nil {
		return objectapi.Object{}, err
	}
	if !ok {
		return objectapi.Object{}, fmt.Errorf("%s/%s: %w", kind, name, objectapi.ErrNotFound)
	}
	return object, nil
}

// List implements objectapi.Store.
func (o *Objects) List(ctx context.Context, kind string) ([]objectapi.Object, uint64, error) {
	if err := o.admit(ctx, VerbList); err != nil {
		return nil, 0, err
	}
	o.mu.Lock()
	objects := make([]objectapi.Object, 0, len(o.kind(kind).objects))
	for _, object := range o.kind(kind).objects {
		objects = append(objects, object)
	}
	revision := o.revision
	o.mu.Unlock()
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects, revision, o.applyAnswerFaults(ctx, VerbList)
}

// Put implements objectapi.Store.
func (o *Objects) Put(ctx context.Context, kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	if len(data) > objectapi.MaxValueBytes {
		return 0, fmt.Errorf("%s/%s: %w", kind, name, objectapi.ErrTooLarge)
	}
	if err := o.admit(ctx, VerbPut); err != nil {
		return 0, err
	}
	version, err := o.put(kind, name, data, ifVersion)
	if answerErr := o.applyAnswerFaults(ctx, VerbPut); answerErr != nil {
		return 0, answerErr
	}
	return version, err
}

func (o *Objects) put(kind, name string, data []byte, ifVersion uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kind(kind).objects[name].Version != ifVersion {
		return 0, fmt.Errorf("%s/%s: %w", kind, name, objectapi.ErrConflict)
	}
	o.revision++
	object := objectapi.Object{Kind: kind, Name: name, Version: o.revision, Data: append([]byte(nil), data...)}
	o.kind(kind).objects[name] = object
	o.record(objectapi.Change{Object: object})
	return o.revision, nil
}

// Delete implements objectapi.Store.
func (o *Objects) Delete(ctx context.Context, kind, name string, ifVersion uint64) (uint64, error) {
	if err := o.admit(ctx, VerbDelete); err != nil {
		return 0, err
	}
	version, err := o.remove(kind, name, ifVersion)
	if answerErr := o.applyAnswerFaults(ctx, VerbDelete); answerErr != nil {
		return 0, answerErr
	}
	return version, err
}

func (o *Objects) remove(kind, name string, ifVersion uint64) (uint64, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	object, ok := o.kind(kind).objects[name]
	if !ok {
		return 0, fmt.Errorf("%s/%s: %w", kind, name, objectapi.ErrNotFound)
	}
	if object.Version != ifVersion {
		return 0, fmt.Errorf("%s/%s: %w", kind, name, objectapi.ErrConflict)
	}
	o.revision++
	delete(o.kind(kind).objects, name)
	removed := objectapi.Object{Kind: kind, Name: name, Version: o.revision}
	o.record(objectapi.Change{Object: removed, Deleted: true})
	return o.revision, nil
}

// kind returns the state of a kind and creates it at first use. The caller holds
// o.mu.
func (o *Objects) kind(name string) *kindState {
	state, ok := o.kinds[name]
	if !ok {
		state = &kindState{objects: map[string]objectapi.Object{}}
		o.kinds[name] = state
	}
	return state
}

// record appends a change to the log of its kind and wakes the watches. The caller
// holds o.mu.
func (o *Objects) record(change objectapi.Change) {
	state := o.kind(change.Object.Kind)
	state.log = append(state.log, change)
	state.logBytes += len(change.Object.Data)
	for len(state.log) > maxLogEntries || state.logBytes > maxLogBytes {
		state.compactOldest()
	}
	o.wake()
}

// compactOldest drops the oldest change of the log.
func (k *kindState) compactOldest() {
	first := k.log[0].Object
	k.compacted = first.Version
	k.logBytes -= len(first.Data)
	k.log[0] = objectapi.Change{}
	k.log = k.log[1:]
}

func (o *Objects) wake() {
	close(o.changed)
	o.changed = make(chan struct{})
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
