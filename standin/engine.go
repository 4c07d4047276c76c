package standin

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// EngineConfig configures a stand-in engine. A zero value selects the default
// given with each field.
type EngineConfig struct {
	// Addr is host:port to listen on; "127.0.0.1:0" picks a port.
	Addr string
	// ID is the target ID.
	ID fleet.TargetID
	// Seed seeds the random choice of faults, so that a run is reproducible.
	Seed   uint64
	Faults EngineFaults
	// TokensPerSecond is the generation rate of a request that runs alone;
	// default 200.
	TokensPerSecond int
	// LoadSlope is the fraction by which each additional running request
	// lengthens a batch step; default 0.03.
	LoadSlope float64
	// PrefillPerSecond is the number of uncached prompt tokens processed per
	// second; default 50,000.
	PrefillPerSecond int
	// CacheTokens is the capacity of the prefix cache in tokens; default
	// 1,000,000.
	CacheTokens int
	// KVBytesPerToken is the size of an exported token; default 64.
	KVBytesPerToken int
	// Slots is the maximum number of concurrently running requests; default 32.
	Slots int
	// Queue is the maximum number of waiting requests; further ones are
	// refused. Default 64.
	Queue int
	// ResumeWindow is how long a stream can be resumed after it ended; default
	// 30 s.
	ResumeWindow time.Duration
	// AbandonAfter is how long a stream without a reader runs before it is
	// cancelled; default 3 s.
	AbandonAfter time.Duration
	// ChecksFencing makes the engine refuse orders whose fencing number is lower
	// than that of an earlier order.
	ChecksFencing bool
	// OrderTime is the delay before an order is applied.
	OrderTime time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	defaultInt(&c.TokensPerSecond, 200)
	defaultInt(&c.PrefillPerSecond, 50_000)
	defaultInt(&c.CacheTokens, 1_000_000)
	defaultInt(&c.KVBytesPerToken, 64)
	defaultInt(&c.Slots, 32)
	defaultInt(&c.Queue, 64)
	defaultDuration(&c.ResumeWindow, 30*time.Second)
	defaultDuration(&c.AbandonAfter, 3*time.Second)
	if c.LoadSlope <= 0 {
		c.LoadSlope = 0.03
	}
	return c
}

func defaultInt(v *int, fallback int) {
	if *v <= 0 {
		*v = fallback
	}
}

func defaultDuration(v *time.Duration, fallback time.Duration) {
	if *v <= 0 {
		*v = fallback
	}
}

// EngineStats holds the counters of an engine since its start, and its current
// load.
type EngineStats struct {
	Running int
	Waiting int
	// Peak is the highest number of requests running and waiting at once.
	Peak int
	// Executed is the number of accepted attempts.
	Executed  int
	Completed int
	Cancelled int
	Refused   int
	// PromptTokens is the total prompt length of the started attempts,
	// CachedTokens the part of it found in the prefix cache.
	PromptTokens int
	CachedTokens int
	// Exports and Imports count transfers of a chat's KV cache.
	Exports int
	Imports int
	// LastAccepted is the time of the most recent accepted attempt.
	LastAccepted time.Time
}

// Engine is a stand-in model engine. It implements continuous batching whose
// speed depends on load, a prefix cache of limited capacity, priorities,
// resumable streams, cache events, KV export and import, and orders. It is safe
// for concurrent use.
type Engine struct {
	config       EngineConfig
	faultSampler *faultSampler
	host         *host

	mu       sync.Mutex
	faults   EngineFaults
	leaving  bool
	running  []*run
	waiting  []*run
	runs     map[fleet.AttemptID]*run
	sequence int
	steps    int
	attempts map[fleet.AttemptID]int
	cache    *prefixCache
	stats    EngineStats
	events   []timedEvent
	eventSeq uint64
	lastLoad engine.Load
	state    engine.State

	// audible is closed while the engine is not silent.
	audible chan struct{}

	wake     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	loopDone chan struct{}
}

// StartEngine starts an engine that listens on c.Addr. The caller stops it with
// Close or Kill.
func StartEngine(c EngineConfig) (*Engine, error) {
	e := &Engine{
		config: c.withDefaults(), faultSampler: newFaultSampler(c.Seed), faults: c.Faults,
		runs: map[fleet.AttemptID]*run{}, attempts: map[fleet.AttemptID]int{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}), loopDone: make(chan struct{}), audible: make(chan struct{}),
	}
	close(e.audible)
	e.cache = newPrefixCache(e.config.CacheTokens, e.recordCacheEvent)
	h, err := startHost(e.config.Addr, e.register)
	if err != nil {
		return nil, err
	}
	e.host = h
	go e.batchLoop()
	return e, nil
}

// Addr returns host:port of the engine's listener.
func (e *Engine) Addr() string {
	return e.host.addr()
}

// ID returns the target ID.
func (e *Engine) ID() fleet.TargetID {
	return e.config.ID
}

// SetLeaving sets whether the engine refuses new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFaults replaces the fault settings.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns a snapshot of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running = len(e.running)
	s.Waiting = len(e.waiting)
	return s
}

// Executions returns the number of times each attempt was accepted.
func (e *Engine) Executions() map[fleet.AttemptID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[fleet.AttemptID]int, len(e.attempts))
	for id, n := range e.attempts {
		counts[id] = n
	}
	return counts
}

// closeLimit bounds the time that Close waits for running requests.
const closeLimit = 30 * time.Second

// Close shuts the engine down gracefully: it refuses new requests and waits, at
// most closeLimit, until the accepted ones have finished and been read.
func (e *Engine) Close() error {
	e.SetLeaving(true)
	for deadline := time.Now().Add(closeLimit); time.Now().Before(deadline); {
		s := e.Stats()
		if s.Running+s.Waiting == 0 && e.readerCount() == 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Kill()
	return nil
}

// readerCount returns the number of connections that read a run.
func (e *Engine) readerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		n += r.readers
	}
	return n
}

// Kill stops the engine at once and resets all connections, as a crash would.
func (e *Engine) Kill() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.host.kill()
	<-e.loopDone
}
