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
	poolSize            = 4096
	maintenanceInterval = time.Second
	stopTimeout         = 2 * time.Second
)

// Config configures a Journal.
type Config struct {
	Store      objectapi.Store
	PeerClient peer.Client
	Self       fleet.RouterID
	// Members returns the live routers, this one included.
	Members func() []fleet.Router
	// FindRouter returns a router by its id, leaving routers included; nil means a
	// search of Members.
	FindRouter func(fleet.RouterID) (fleet.Router, bool)
	// Settings returns the journal settings of the fleet level.
	Settings func() settings.Journal
	// Clock returns the wall-clock time; nil means time.Now.
	Clock   func() time.Time
	Log     zerolog.Logger
	Metrics *metrics.Set
}

// Journal is one router's access to the journal. It is safe for concurrent use.
type Journal struct {
	cfg     Config
	owner   Owner
	pool    *task.Pool
	intents *intentTable
	backlog *backlog
	layout  atomic.Pointer[Layout]
	// layoutLock serializes the first read of the layout. Its holder has sent an
	// element to the channel.
	layoutLock chan struct{}
	// requestedShards is the last seen number of shards in the settings.
	requestedShards atomic.Int64
	// lastSweptBucket is the newest swept bucket of each shard; it belongs to
	// Run's goroutine.
	lastSweptBucket map[int]int64

	mu       sync.Mutex
	batchers map[Cell]*batcher
	// limiters holds the limiters of the shards that this router writes.
	limiters map[int]*shardLimiter
}

// New returns a Journal. Failed writes of results are retried only while Run is
// running.
func New(cfg Config) (*Journal, error) {
	if cfg.Clock == nil {
		cfg.Clock = time.Now
	}
	if cfg.FindRouter == nil {
		cfg.FindRouter = findInMembers(cfg.Members)
	}
	pool, err := task.NewPool(poolSize)
	if err != nil {
		return nil, err
	}
	l := &Journal{
		cfg:      cfg,
		owner:    Owner{Router: cfg.Self, BootID: newBootID()},
		pool:     pool,
		intents:  newIntentTable(),
		backlog:  newBacklog(),
		batchers: map[Cell]*batcher{},
		limiters: map[int]*shardLimiter{},

		layoutLock: make(chan struct{}, 1),

		lastSweptBucket: map[int]int64{},
	}
	return l, nil
}

func findInMembers(members func() []fleet.Router) func(fleet.RouterID) (fleet.Router, bool) {
	return func(id fleet.RouterID) (fleet.Router, bool) {
		for _, r := range members() {
			if r.ID == id {
				return r, true
			}
		}
		return fleet.Router{}, false
	}
}

func newBootID() uint64 {
	var raw [8]byte
	rand.Read(raw[:])
	return binary.BigEndian.Uint64(raw[:])
}

// Run maintains the journal until ctx ends: it retries failed operations,
// extends the layout when the settings have a longer retention, and deletes cells
// whose keys have expired. Then it retries the remaining operations once more,
// closes the journal and returns nil.
func (l *Journal) Run(ctx context.Context) error {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		l.maintainLayout(ctx)
		l.retryBacklog(ctx)
		l.stopIdleBatchers()
		select {
		case <-ctx.Done():
			l.stop()
			return nil
		case <-ticker.C:
		}
	}
}

// Flush waits until no operation runs in the background or waits for a retry, so
// that the results passed to FinishAsync are recorded. It returns the error of
// ctx if ctx ends first.
func (l *Journal) Flush(ctx context.Context) error {
	return l.backlog.wait(ctx)
}

func (l *Journal) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	l.retryBacklog(ctx)
	if l.Flush(ctx) != nil {
		event.JournalStoppedWithBacklog.Log(l.cfg.Log).Int("results", l.backlog.size()).Send()
	}
	l.Close()
}

// Close stops the journal immediately; intents are refused from then on. Run
// calls it before it returns. It may be called more than once.
func (l *Journal) Close() {
	l.mu.Lock()
	batchers := l.batchers
	l.batchers = nil
	l.mu.Unlock()
	for _, b := range batchers {
		b.stop()
	}
	l.pool.Release()
}

// preferredWriter returns the router that batches the writes of a cell, and
// whether this router writes itself: it is the preferred writer, or there are no
// members.
func (l *Journal) preferredWriter(cell Cell) (fleet.Router, bool) {
	writer, ok := PreferredWriter(cell.Shard, l.cfg.Members())
	return writer, !ok || writer.ID == l.cfg.Self
}
