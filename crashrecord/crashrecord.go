// Package crashrecord keeps what the routers know of crashes of targets in the store, so that it
// outlasts the end of all of them: the verdicts of package quarantine, and the crashes that
// are not under one yet. It is one object. The first routers by precedence write it when the evidence
// changes, and each router reads it when it starts.
package crashrecord

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/platform"
	"ragwortpond.example/ragwortpond/quarantine"
	"ragwortpond.example/ragwortpond/sleep"
)

// Kind and Name are those of the object in the store.
const (
	Kind = "ragwort-quarantine"
	Name = "evidence"
)

const (
	// maxBytes bounds the evidence of the object, before its encoding in JSON.
	maxBytes = 128 << 10
	// writeDelay is the time from a change until the first router writes it, in which further
	// ones join it. Others wait precedenceDelay longer each, and write what is missing then.
	writeDelay      = 100 * time.Millisecond
	precedenceDelay = 300 * time.Millisecond
	// writers is the number of routers, by precedence, that write.
	writers = 2
	// minWriteInterval is the shortest time between two writes of one router.
	minWriteInterval = time.Second
	// checkInterval is the interval at which the writers look for changes that were not written.
	// refreshInterval is that at which the first one writes what has not changed, since the
	// lifetime of a verdict counts from the last request that it refused.
	checkInterval   = 5 * time.Second
	refreshInterval = time.Minute
	// minRetryDelay and maxRetryDelay bound the pause after a failed call.
	minRetryDelay = 300 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// maxConflicts is the number of conditional writes in a row that may fail because another
	// router wrote.
	maxConflicts = 4
)

// Store is the subset of platform.Store that a Recorder uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind string, o platform.Object) (platform.Object, error)
}

// Evidence holds the evidence of this router. It must be safe for concurrent use.
type Evidence interface {
	ExportEvidence(now time.Time, maxBytes int) quarantine.Evidence
	MergeEvidence(e quarantine.Evidence, now time.Time) (forward, answer quarantine.Evidence)
}

// Config configures a Recorder.
type Config struct {
	Store    func() Store
	Evidence Evidence
	// Precedence returns the number of routers that come before this one.
	Precedence func() int
	Log        zerolog.Logger
}

// Recorder reads and writes the object. It is safe for concurrent use.
type Recorder struct {
	cfg     Config
	changed chan struct{}
	// tried is set once the object was read, or could not be read at the first attempt.
	tried atomic.Bool
	// dirty is set while the object may lack something.
	dirty atomic.Bool

	// The other fields belong to the goroutine of Run.
	// known is the object as last read or written, with its contents and the time at which it
	// was written; its revision is zero if there is none.
	known         platform.Object
	knownContents []string
	writtenAt     time.Time
}

// New returns a recorder, which does nothing before Run.
func New(cfg Config) *Recorder {
	return &Recorder{cfg: cfg, changed: make(chan struct{}, 1)}
}

// WasTried reports whether the object was read, or its first read failed: a store that is away does not
// keep a router from starting.
func (r *Recorder) WasTried() bool {
	return r.tried.Load()
}

// Changed records that the evidence of this router has changed.
func (r *Recorder) Changed() {
	r.dirty.Store(true)
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

// Run reads the object until that succeeds, and then writes changes, until ctx ends. It returns nil.
func (r *Recorder) Run(ctx context.Context) error {
	delay := minRetryDelay
	for !r.load(ctx) {
		if sleep.For(ctx, delay) != nil {
			return nil
		}
		delay = min(2*delay, maxRetryDelay)
	}
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.check(ctx)
		case <-r.changed:
			if rank := r.cfg.Precedence(); rank < writers && sleep.For(ctx, writeDelay+time.Duration(rank)*precedenceDelay) == nil {
				r.write(ctx, rank > 0)
			}
		}
	}
}

// load reads the object for the first time and reports whether it could be read.
func (r *Recorder) load(ctx context.Context) bool {
	err := r.read(ctx)
	r.tried.Store(true)
	if err != nil {
		event.CrashRecordUnread.Log(r.cfg.Log).Err(err).Send()
		return false
	}
	return true
}

// read reads the object and merges what it holds. That there is none is no error.
func (r *Recorder) read(ctx context.Context) error {
	object, err := r.cfg.Store().Get(ctx, Kind, Name)
	if errors.Is(err, platform.ErrNotFound) {
		r.known, r.knownContents = platform.Object{Name: Name}, nil
		return nil
	}
	if err != nil {
		return err
	}
	r.known, r.knownContents = object, nil
	now := time.Now()
	e, age, err := decode(object.Spec, now)
	if err != nil {
		// It is replaced by the next change.
		event.CrashRecordUnread.Log(r.cfg.Log).Err(err).Send()
		return nil
	}
	r.knownContents, r.writtenAt = contents(e), now.Add(-age)
	r.merge(e, now)
	return nil
}

// merge merges evidence of the store, in pieces that are as long as messages of routers, of which only
// so much is read.
func (r *Recorder) merge(e quarantine.Evidence, now time.Time) {
	const pieceBytes = 1000
	news := quarantine.Evidence{}
	for _, piece := range e.Split(pieceBytes) {
		forward, _ := r.cfg.Evidence.MergeEvidence(piece, now)
		news.Verdicts, news.Sets, news.Crashes = append(news.Verdicts, forward.Verdicts...), append(news.Sets, forward.Sets...), append(news.Crashes, forward.Crashes...)
	}
	if !news.Empty() {
		event.CrashRecordRead.Log(r.cfg.Log).Int("verdicts", len(news.Verdicts)+len(news.Sets)).Int("crashes", len(news.Crashes)).Send()
	}
}

// check writes changes that no other router has written, and refreshes what stands.
func (r *Recorder) check(ctx context.Context) {
	rank := r.cfg.Precedence()
	if rank >= writers {
		return
	}
	due := time.Since(r.writtenAt) >= refreshInterval && len(r.knownContents) > 0
	if r.dirty.Load() || (rank == 0 && due) {
		r.write(ctx, rank > 0 || r.writtenAt.IsZero())
	}
}

// write brings the object in line with the evidence of this router. With readFirst another router may
// have done so.
func (r *Recorder) write(ctx context.Context, readFirst bool) {
	if sleep.For(ctx, minWriteInterval-time.Since(r.writtenAt)) != nil {
		return
	}
	var err error
	for conflicts := 0; conflicts < maxConflicts; conflicts++ {
		if readFirst {
			if err = r.read(ctx); err != nil {
				break
			}
		}
		r.dirty.Store(false)
		if err = r.put(ctx); !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrNotFound) {
			break
		}
		readFirst = true
	}
	if err != nil && ctx.Err() == nil {
		event.CrashRecordUnwritten.Log(r.cfg.Log).Err(err).Send()
		// The next check tries again.
		r.dirty.Store(true)
	}
}

// put writes the object if it lacks something, holds what no longer stands, or is to be refreshed.
func (r *Recorder) put(ctx context.Context) error {
	now := time.Now()
	e := r.cfg.Evidence.ExportEvidence(now, maxBytes)
	next := contents(e)
	if slices.Equal(next, r.knownContents) && (len(next) == 0 || time.Since(r.writtenAt) < refreshInterval) {
		return nil
	}
	spec, err := encode(e, now)
	if err != nil {
		return err
	}
	stored, err := r.cfg.Store().Put(ctx, Kind, platform.Object{Name: Name, Revision: r.known.Revision, Spec: spec})
	if err != nil {
		return err
	}
	r.known, r.knownContents, r.writtenAt = stored, next, now
	event.CrashRecordWritten.Log(r.cfg.Log).Int("verdicts", len(e.Verdicts)+len(e.Sets)).Int("crashes", len(e.Crashes)).Send()
	return nil
}
