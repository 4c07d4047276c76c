package keyjournal

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/objectapi"
	"ragwortpond.example/ragwortpond/sleep"
)

const (
	writeTimeout  = 2500 * time.Millisecond
	minRetryDelay = 10 * time.Millisecond
	maxRetryDelay = 320 * time.Millisecond
)

// cellSnapshot is the content of a cell as stored at a version; nil content means
// that the cell has to be read.
type cellSnapshot struct {
	content *Content
	version uint64
}

// writeStats records whether a batch was written and how many of its platform
// calls were rejected by the platform's rate limit.
type writeStats struct {
	succeeded   bool
	rateLimited int
}

// batchWrite writes one batch of operations to the cell.
type batchWrite struct {
	batcher  *batcher
	batch    []*pendingOp
	snapshot cellSnapshot
	// fresh means that snapshot was read or written by this batchWrite.
	fresh bool
	stats writeStats
}

// write writes a batch of operations to the cell and sends their verdicts. It is
// called on a separate goroutine.
func (b *batcher) write(snapshot cellSnapshot, batch []*pendingOp) *writeOutcome {
	ctx, cancel := context.WithTimeout(b.ctx, writeTimeout)
	defer cancel()
	w := &batchWrite{batcher: b, batch: batch, snapshot: snapshot}
	// Read the cell again if the snapshot has no version: a cell that was created
	// and deleted since then would go unnoticed, because creating it would
	// succeed.
	if snapshot.version == 0 {
		w.snapshot = cellSnapshot{}
	}
	verdicts, err := w.run(ctx)
	if err != nil {
		event.JournalUnavailable.Log(b.log.cfg.Log).Str("cell", b.cell.Name()).Err(err).Send()
		replyAll(batch, Verdict{Kind: Unavailable})
		return &writeOutcome{stats: w.stats}
	}
	for i, p := range batch {
		p.verdict <- verdicts[i]
	}
	return &writeOutcome{snapshot: w.snapshot, stats: w.stats}
}

// run repeats reading, applying and writing until the operations are confirmed
// as stored. Operations that took effect in a write whose response was lost are
// recognized by their nonces.
func (w *batchWrite) run(ctx context.Context) ([]Verdict, error) {
	delay := minRetryDelay
	for {
		verdicts, err := w.writeOnce(ctx)
		if err == nil {
			return verdicts, nil
		}
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrRateLimited) {
			return nil, err
		}
		if errors.Is(err, objectapi.ErrConflict) {
			w.snapshot = cellSnapshot{}
		}
		if sleepErr := sleep.For(ctx, jitter(delay)); sleepErr != nil {
			return nil, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (w *batchWrite) writeOnce(ctx context.Context) ([]Verdict, error) {
	if w.snapshot.content == nil {
		loaded, err := w.batcher.log.loadCell(ctx, w.batcher.cell)
		if err != nil {
			w.countRateLimited(err)
			return nil, err
		}
		w.snapshot = loaded
		w.fresh = true
	}
	next := w.snapshot.content.Clone()
	verdicts, changed, allDone := w.apply(next)
	if !allDone && !w.fresh {
		w.snapshot = cellSnapshot{}
		return w.writeOnce(ctx)
	}
	if !changed {
		return verdicts, nil
	}
	version, err := w.put(ctx, next)
	if err != nil {
		w.countRateLimited(err)
		return nil, err
	}
	w.stats.succeeded = true
	w.batcher.log.cfg.Metrics.Journal.BatchOps.Observe(float64(len(w.batch)))
	w.snapshot = cellSnapshot{content: next, version: version}
	w.fresh = true
	return verdicts, nil
}

// apply applies the batch to next. allDone reports whether every verdict is Done;
// then the verdicts are valid even if the content may be stale.
func (w *batchWrite) apply(next *Content) (verdicts []Verdict, changed, allDone bool) {
	now := w.batcher.log.cfg.Clock()
	changed = next.Expire(now, w.batcher.log.cfg.Settings().RetentionMS.Duration())
	allDone = true
	verdicts = make([]Verdict, len(w.batch))
	for i, p := range w.batch {
		verdict, opChanged := next.Apply(p.op, now)
		verdicts[i] = verdict
		changed = changed || opChanged
		allDone = allDone && verdict.Kind == Done
	}
	return verdicts, changed, allDone
}

func (w *batchWrite) countRateLimited(err error) {
	if errors.Is(err, objectapi.ErrRateLimited) {
		w.stats.rateLimited++
	}
}

// put writes the content on condition that the cell still has the snapshot's
// version. After a lost response it repeats the same write until the platform
// reports whether the condition held; a conflict then leaves open whether the
// write took effect.
func (w *batchWrite) put(ctx context.Context, next *Content) (uint64, error) {
	data, err := next.Encode(NewNonce())
	if err != nil {
		return 0, err
	}
	responseLost := false
	delay := minRetryDelay
	for {
		version, err := w.batcher.log.cfg.Store.Put(ctx, Kind, w.batcher.cell.Name(), data, w.snapshot.version)
		w.batcher.log.countWrite(err)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return version, err
		}
		responseLost = responseLost || errors.Is(err, objectapi.ErrResultUnknown)
		if !responseLost {
			return 0, err
		}
		if sleep.For(ctx, jitter(delay)) != nil {
			return 0, err
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

func (l *Journal) countWrite(err error) {
	label := "failed"
	switch {
	case err == nil:
		label = "taken"
	case errors.Is(err, objectapi.ErrConflict):
		label = "conflict"
	case errors.Is(err, objectapi.ErrRateLimited):
		label = "rate-limited"
	case errors.Is(err, objectapi.ErrResultUnknown):
		label = "unknown"
	}
	l.cfg.Metrics.Journal.Writes.WithLabelValues(label).Inc()
}

// loadCell reads a cell from the platform. A cell without an object is empty.
func (l *Journal) loadCell(ctx context.Context, cell Cell) (cellSnapshot, error) {
	object, err := l.cfg.Store.Get(ctx, Kind, cell.Name())
	if errors.Is(err, objectapi.ErrNotFound) {
		return cellSnapshot{content: NewContent()}, nil
	}
	if err != nil {
		return cellSnapshot{}, err
	}
	content, err := Decode(object.Data)
	if err != nil {
		event.JournalCellUndecodable.Log(l.cfg.Log).Str("cell", cell.Name()).Err(err).Send()
		return cellSnapshot{}, err
	}
	return cellSnapshot{content: content, version: object.Version}, nil
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
