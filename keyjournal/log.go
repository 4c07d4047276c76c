package keyjournal

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/metrics"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/peer"
	"ragwortpond.example/ragwortpond/settings"
	"ragwortpond.example/ragwortpond/task"
)

const (
	poolSize     = 4096
	tendInterval = time.Second
	stopTimeout  = 2 * time.Second
)

// Config is what a Log needs.
type Config struct {
	Store  objectapi.Store
	Caller peer.Caller
	Self   fleet.RouterID
	// Members returns the live routers, this one included.
	Members func() []fleet.Router
	// Find returns a router by its id, leaving ones included; nil looks among
	// the members.
	Find func(fleet.RouterID) (fleet.Router, bool)
	// Values returns the settings of the fleet level.
	Values func() settings.Journal
	// Clock returns the time of day; nil means time.Now.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Log is the journal as one router uses it. It is safe for concurrent use.
type Log struct {
	cfg      Config
	owner    Owner
	pool     *task.Pool
	attempts *attempts
	backlog  *backlog
	layout   atomic.Pointer[Layout]
	// layoutTurn holds one element while the layout is read for the first time.
	layoutTurn chan struct{}
	// shardsAsked is the number of shards that the settings last asked for.
	shardsAsked atomic.Int64
	// sweptUpTo is the newest bucket swept, by shard; it belongs to Run.
	sweptUpTo map[int]int64

	mu    sync.Mutex
	lanes map[Cell]*lane
	// pacers are the pacers of the shards written here.
	pacers map[int]*pacer
}

// New returns a Log. Run must be running for results to be recorded again
// after the platform refused them.
func New(cfg Config) (*Log, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.Find == nil {
		cfg.Find = memberFinder(cfg.Members)
	}
	pool, err := task.NewPool(poolSize)
	if err != nil {
		return nil, err
	}
	l := &Log{
		cfg:      cfg,
		owner:    Owner{Router: cfg.Self, Boot: newBoot()},
		pool:     pool,
		attempts: newAttempts(),
		backlog:  newBacklog(),
		lanes:    map[Cell]*lane{},
		pacers:   map[int]*pacer{},

		layoutTurn: make(chan struct{}, 1),

		sweptUpTo: map[int]int64{},
	}
	return l, nil
}

func memberFinder(members func() []fleet.Router) func(fleet.RouterID) (fleet.Router, bool) {
	return func(id fleet.RouterID) (fleet.Router, bool) {
		for _, r := range members() {
			if r.ID == id {
				return r, true
			}
		}
		return fleet.Router{}, false
	}
}

func newBoot() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// Run tends the journal until ctx ends: it records what could not be recorded
// at once, follows the settings and deletes cells whose keys have expired. At
// the end it tries once more to record what is left.
func (l *Log) Run(ctx context.Context) error {
	ticker := time.NewTicker(tendInterval)
	defer ticker.Stop()
	for {
		l.tendLayout(ctx)
		l.retryBacklog(ctx)
		l.retireIdle()
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case <-ticker.C:
		}
	}
}

// Flush waits until every result handed to FinishLater is recorded or ctx ends.
func (l *Log) Flush(ctx context.Context) error {
	return l.backlog.wait(ctx)
}

func (l *Log) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	l.retryBacklog(ctx)
	if l.Flush(ctx) != nil {
		event.JournalStoppedUnsaid.Log(l.cfg.Log).Int("results", l.backlog.size()).Send()
	}
	l.Close()
}

// Close stops the journal at once; intents are refused from then on. Run does
// it at its end. It may be called more than once.
func (l *Log) Close() {
	l.mu.Lock()
	lanes := l.lanes
	l.lanes = nil
	l.mu.Unlock()
	for _, ln := range lanes {
		ln.stop()
	}
	l.pool.Release()
}

// preferred returns the router that gathers the writes of a cell, and whether
// that is this one.
func (l *Log) preferred(cell Cell) (fleet.Router, bool) {
	writer, ok := Preferred(cell.Shard, l.cfg.Members())
	return writer, !ok || writer.ID == l.cfg.Self
}
