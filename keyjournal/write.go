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
	writeTimeout = 2500 * time.Millisecond
	retryWait    = 10 * time.Millisecond
	maxRetryWait = 320 * time.Millisecond
)

// held is a cell's content as it was seen in place at a version; a nil content
// means that it has to be read.
type held struct {
	content *Content
	version uint64
}

// writeResult says what a write met.
type writeResult struct {
	taken        bool
	rateRefusals int
}

// writer carries one batch into the cell.
type writer struct {
	ln    *lane
	batch []*request
	held  held
	// fresh says that held was read or written by this writer.
	fresh  bool
	result writeResult
}

// write carries a batch of operations into the cell and answers them. It is
// called on a goroutine of its own.
func (ln *lane) write(start held, batch []*request) *writeDone {
	ctx, cancel := context.WithTimeout(ln.ctx, writeTimeout)
	defer cancel()
	w := &writer{ln: ln, batch: batch, held: start}
	// An absent object has no version that could show a change.
	if start.version == 0 {
		w.held = held{}
	}
	verdicts, err := w.run(ctx)
	if err != nil {
		event.JournalUnavailable.Log(ln.log.cfg.Log).Str("cell", ln.cell.Name()).Err(err).Send()
		answerAll(batch, Verdict{Kind: Unavailable})
		return &writeDone{result: w.result}
	}
	for i, r := range batch {
		r.reply <- verdicts[i]
	}
	return &writeDone{held: w.held, result: w.result}
}

// run repeats reading, applying and writing until the operations are seen in
// place. Operations that took effect in a write whose answer was lost are found
// in place by their nonces.
func (w *writer) run(ctx context.Context) ([]Verdict, error) {
	wait := retryWait
	for {
		verdicts, err := w.try(ctx)
		if err == nil {
			return verdicts, nil
		}
		if !errors.Is(err, objectapi.ErrConflict) && !errors.Is(err, objectapi.ErrRateLimited) {
			return nil, err
		}
		if errors.Is(err, objectapi.ErrConflict) {
			w.held = held{}
		}
		if sleepErr := sleep.For(ctx, jitter(wait)); sleepErr != nil {
			return nil, err
		}
		wait = min(2*wait, maxRetryWait)
	}
}

func (w *writer) try(ctx context.Context) ([]Verdict, error) {
	if w.held.content == nil {
		loaded, err := w.ln.log.load(ctx, w.ln.cell)
		if err != nil {
			w.countRate(err)
			return nil, err
		}
		w.held = loaded
		w.fresh = true
	}
	next := w.held.content.Clone()
	verdicts, changed, settled := w.apply(next)
	if !settled && !w.fresh {
		w.held = held{}
		return w.try(ctx)
	}
	if !changed {
		return verdicts, nil
	}
	version, err := w.put(ctx, next)
	if err != nil {
		w.countRate(err)
		return nil, err
	}
	w.result.taken = true
	w.ln.log.cfg.Metrics.Journal.BatchOps.Observe(float64(len(w.batch)))
	w.held = held{content: next, version: version}
	w.fresh = true
	return verdicts, nil
}

// apply applies the batch; settled says that every operation is done, so that
// content which may be stale is as good as fresh.
func (w *writer) apply(next *Content) (verdicts []Verdict, changed, settled bool) {
	now := w.ln.log.cfg.Clock()
	changed = next.Expire(now, w.ln.log.cfg.Values().RetentionMS.Duration())
	settled = true
	verdicts = make([]Verdict, len(w.batch))
	for i, r := range w.batch {
		verdict, did := next.Apply(r.op, now)
		verdicts[i] = verdict
		changed = changed || did
		settled = settled && verdict.Kind == Done
	}
	return verdicts, changed, settled
}

func (w *writer) countRate(err error) {
	if errors.Is(err, objectapi.ErrRateLimited) {
		w.result.rateRefusals++
	}
}

// put writes the content on the condition of the version held. After a lost
// answer it repeats the same write until the platform says whether the
// condition held; a conflict then leaves open whether the write took effect.
func (w *writer) put(ctx context.Context, next *Content) (uint64, error) {
	data, err := next.Encode(NewNonce())
	if err != nil {
		return 0, err
	}
	lost := false
	wait := retryWait
	for {
		version, err := w.ln.log.cfg.Store.Put(ctx, Kind, w.ln.cell.Name(), data, w.held.version)
		w.ln.log.countWrite(err)
		if err == nil || errors.Is(err, objectapi.ErrConflict) {
			return version, err
		}
		lost = lost || errors.Is(err, objectapi.ErrUnknown)
		if !lost {
			return 0, err
		}
		if sleep.For(ctx, jitter(wait)) != nil {
			return 0, err
		}
		wait = min(2*wait, maxRetryWait)
	}
}

func (l *Log) countWrite(err error) {
	label := "failed"
	switch {
	case err == nil:
		label = "taken"
	case errors.Is(err, objectapi.ErrConflict):
		label = "conflict"
	case errors.Is(err, objectapi.ErrRateLimited):
		label = "rate-limited"
	case errors.Is(err, objectapi.ErrUnknown):
		label = "unknown"
	}
	l.cfg.Metrics.Journal.Writes.WithLabelValues(label).Inc()
}

// load reads a cell from the platform.
func (l *Log) load(ctx context.Context, cell Cell) (held, error) {
	object, err := l.cfg.Store.Get(ctx, Kind, cell.Name())
	if errors.Is(err, objectapi.ErrNotFound) {
		return held{content: NewContent()}, nil
	}
	if err != nil {
		return held{}, err
	}
	content, err := Decode(object.Data)
	if err != nil {
		event.JournalCellUnread.Log(l.cfg.Log).Str("cell", cell.Name()).Err(err).Send()
		return held{}, err
	}
	return held{content: content, version: object.Version}, nil
}

func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}
