package standin

import (
	"sync"
	"time"

	"ragwortpond.example/ragwortpond/engine"
	"ragwortpond.example/ragwortpond/fleet"
)

// EngineConfig configures a stand-in engine; zero values take the defaults
// named with each field.
type EngineConfig struct {
	// Addr is host:port to listen on; "127.0.0.1:0" picks a port.
	Addr string
	// ID is the target's name.
	ID fleet.TargetID
	// Seed makes the faults repeatable.
	Seed   uint64
	Faults EngineFaults
	// TokensPerSecond is the speed of one request alone; 200.
	TokensPerSecond int
	// LoadSlope is by what share of its length each further running request
	// lengthens a step; 0.03.
	LoadSlope float64
	// PrefillPerSecond is how many uncached prompt tokens are read a second;
	// 50,000.
	PrefillPerSecond int
	// CacheTokens is the memory of the prefix cache in tokens; 1,000,000.
	CacheTokens int
	// KVBytesPerToken is the size of an exported token; 64.
	KVBytesPerToken int
	// Slots is how many requests run at once; 32.
	Slots int
	// Queue is how many wait before further ones are refused; 64.
	Queue int
	// ResumeWindow is how long an ended stream can still be resumed; 30 s.
	ResumeWindow time.Duration
	// AbandonAfter is how long a stream runs on without a reader; 3 s.
	AbandonAfter time.Duration
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// OrderTime is how long an order takes.
	OrderTime time.Duration
}

func (c EngineConfig) withDefaults() EngineConfig {
	if c.Addr == "" {
		c.Addr = "127.0.0.1:0"
	}
	setInt(&c.TokensPerSecond, 200)
	setInt(&c.PrefillPerSecond, 50_000)
	setInt(&c.CacheTokens, 1_000_000)
	setInt(&c.KVBytesPerToken, 64)
	setInt(&c.Slots, 32)
	setInt(&c.Queue, 64)
	setDuration(&c.ResumeWindow, 30*time.Second)
	setDuration(&c.AbandonAfter, 3*time.Second)
	if c.LoadSlope <= 0 {
		c.LoadSlope = 0.03
	}
	return c
}

func setInt(v *int, otherwise int) {
	if *v <= 0 {
		*v = otherwise
	}
}

func setDuration(v *time.Duration, otherwise time.Duration) {
	if *v <= 0 {
		*v = otherwise
	}
}

// EngineStats is what an engine counted since its start.
type EngineStats struct {
	Running int
	Waiting int
	// Peak is the highest number of requests running and waiting at once.
	Peak int
	// Executed is the number of attempts accepted.
	Executed  int
	Completed int
	Cancelled int
	Refused   int
	// PromptTokens and CachedTokens count the prompts of started attempts.
	PromptTokens int
	CachedTokens int
	// Exports and Imports count chats whose KV cache was moved.
	Exports int
	Imports int
	// LastAccepted is when the latest attempt was accepted.
	LastAccepted time.Time
}

// Engine is a stand-in model engine: continuous batching with a speed that
// depends on load, a prefix cache of limited memory, priorities, resumable
// streams, cache events, KV export and import, and orders. It is safe for
// concurrent use.
type Engine struct {
	config EngineConfig
	dice   *dice
	host   *host

	mu       sync.Mutex
	faults   EngineFaults
	leaving  bool
	running  []*run
	waiting  []*run
	runs     map[fleet.AttemptID]*run
	order    int
	steps    int
	attempts map[fleet.AttemptID]int
	cache    *prefixCache
	stats    EngineStats
	events   []timedEvent
	eventSeq uint64
	reported engine.Load
	state    engine.State

	wake     chan struct{}
	stop     chan struct{}
	stopOnce sync.Once
	loopDone chan struct{}
}

// StartEngine starts an engine.
func StartEngine(c EngineConfig) (*Engine, error) {
	e := &Engine{
		config: c.withDefaults(), dice: newDice(c.Seed), faults: c.Faults,
		runs: map[fleet.AttemptID]*run{}, attempts: map[fleet.AttemptID]int{},
		wake: make(chan struct{}, 1), stop: make(chan struct{}), loopDone: make(chan struct{}),
	}
	e.cache = newPrefixCache(e.config.CacheTokens, e.noteCache)
	h, err := startHost(e.config.Addr, e.register)
	if err != nil {
		return nil, err
	}
	e.host = h
	go e.batchLoop()
	return e, nil
}

// Addr is host:port of the engine's listener.
func (e *Engine) Addr() string {
	return e.host.addr()
}

// ID is the target's name.
func (e *Engine) ID() fleet.TargetID {
	return e.config.ID
}

// SetLeaving makes the engine refuse new work, or take it again.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetFaults replaces the fault knobs.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Stats returns what was counted so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Running = len(e.running)
	s.Waiting = len(e.waiting)
	return s
}

// Executions returns how often each attempt was accepted.
func (e *Engine) Executions() map[fleet.AttemptID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[fleet.AttemptID]int, len(e.attempts))
	for id, n := range e.attempts {
		counts[id] = n
	}
	return counts
}

// closeLimit bounds a planned stop.
const closeLimit = 30 * time.Second

// Close is a planned stop: the engine refuses new work, finishes what runs and
// then goes.
func (e *Engine) Close() error {
	e.SetLeaving(true)
	for deadline := time.Now().Add(closeLimit); time.Now().Before(deadline); {
		s := e.Stats()
		if s.Running+s.Waiting == 0 && e.unread() == 0 {
			break
		}
		time.Sleep(2 * time.Millisecond)
	}
	e.Kill()
	return nil
}

// unread counts connections that still read a run.
func (e *Engine) unread() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		n += r.readers
	}
	return n
}

// Kill is an abrupt end: all connections are reset.
func (e *Engine) Kill() {
	e.stopOnce.Do(func() { close(e.stop) })
	e.host.kill()
	<-e.loopDone
}
