package keyjournal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"ragwortpond.example/ragwortpond/event"
	"ragwortpond.example/ragwortpond/objectapi"
)

const (
	layoutObjectName = "layout"
	// maxSweepBuckets is how many of the newest expired buckets of a shard one
	// sweep checks for cells.
	maxSweepBuckets = 64
	// sweepThresholdBuckets is the number of expired buckets above which a shard
	// is swept.
	sweepThresholdBuckets = 6
)

// currentLayout returns the layout, which is read from the platform on first
// use and created if it does not exist. Only one call at a time does so.
func (l *Journal) currentLayout(ctx context.Context) (Layout, error) {
	if layout := l.layout.Load(); layout != nil {
		return *layout, nil
	}
	select {
	case l.layoutLock <- struct{}{}:
		defer func() { <-l.layoutLock }()
	case <-ctx.Done():
		return Layout{}, errors.Join(ErrUnavailable, ctx.Err())
	}
	if layout := l.layout.Load(); layout != nil {
		return *layout, nil
	}
	layout, _, err := l.readLayout(ctx)
	if errors.Is(err, objectapi.ErrNotFound) {
		layout, err = l.createLayout(ctx)
	}
	if err != nil {
		return Layout{}, errors.Join(ErrUnavailable, fmt.Errorf("load layout: %w", err))
	}
	return layout, nil
}

func (l *Journal) readLayout(ctx context.Context) (Layout, uint64, error) {
	object, err := l.cfg.Store.Get(ctx, Kind, layoutObjectName)
	if err != nil {
		return Layout{}, 0, err
	}
	var layout Layout
	if err := json.Unmarshal(object.Data, &layout); err != nil {
		return Layout{}, 0, err
	}
	if layout.Shards < 1 || layout.BucketMS < 1 || layout.UntimedCells < 1 {
		return Layout{}, 0, errors.New("shards, bucket_ms and untimed_cells must be at least 1")
	}
	l.layout.Store(&layout)
	return layout, object.Version, nil
}

// createLayout writes the first layout and reads back the stored one, which may
// be that of another router.
func (l *Journal) createLayout(ctx context.Context) (Layout, error) {
	values := l.cfg.Settings()
	data, err := json.Marshal(Layout{
		Shards: values.Shards, UntimedCells: UntimedCellsPerShard, BucketMS: BucketDuration.Milliseconds(), MaxRetentionMS: int64(values.RetentionMS),
	})
	if err != nil {
		return Layout{}, err
	}
	_, err = l.cfg.Store.Put(ctx, Kind, layoutObjectName, data, 0)
	if err == nil {
		event.JournalLayoutCreated.Log(l.cfg.Log).Int("shards", values.Shards).Send()
	}
	layout, _, readErr := l.readLayout(ctx)
	if readErr != nil {
		return Layout{}, errors.Join(err, readErr)
	}
	return layout, nil
}

// maintainLayout extends the layout when the settings have a longer retention,
// and deletes expired cells. If neither is due, it makes no platform call, apart
// from the first one that loads the layout.
func (l *Journal) maintainLayout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := l.cfg.Clock()
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return
	}
	values := l.cfg.Settings()
	l.logShardMismatch(layout, values.Shards)
	retention := values.RetentionMS.Duration()
	shards := l.shardsToSweep(layout, layout.LastExpiredBucket(now))
	if retention <= layout.maxRetention() && len(shards) == 0 {
		return
	}
	layout, version, err := l.readLayout(ctx)
	if err != nil {
		return
	}
	if extended, ok := layout.WithRetention(now, retention); ok {
		l.storeExtendedLayout(ctx, extended, version)
		return
	}
	l.sweep(ctx, shards, layout.LastExpiredBucket(now))
}

func (l *Journal) logShardMismatch(layout Layout, requested int) {
	if l.requestedShards.Swap(int64(requested)) == int64(requested) || requested == layout.Shards {
		return
	}
	event.JournalShardMismatch.Log(l.cfg.Log).Int("shards", layout.Shards).Int("asked", requested).Send()
}

// storeExtendedLayout writes a layout with a longer retention. The layout in use
// on this router changes only when it is read back.
func (l *Journal) storeExtendedLayout(ctx context.Context, extended Layout, version uint64) {
	data, err := json.Marshal(extended)
	if err != nil {
		return
	}
	if _, err := l.cfg.Store.Put(ctx, Kind, layoutObjectName, data, version); err != nil {
		return
	}
	retention := time.Duration(extended.MaxRetentionMS) * time.Millisecond
	event.JournalRetentionExtended.Log(l.cfg.Log).Dur("keep", retention).Send()
	_, _, _ = l.readLayout(ctx)
}

// shardsToSweep returns the shards of which this router is the preferred writer
// and which have more than sweepThresholdBuckets unswept buckets up to
// lastExpired.
func (l *Journal) shardsToSweep(layout Layout, lastExpired int64) []int {
	var shards []int
	for shard := range layout.Shards {
		_, local := l.preferredWriter(Cell{Shard: shard})
		if local && l.lastSweptBucket[shard]+sweepThresholdBuckets < lastExpired {
			shards = append(shards, shard)
		}
	}
	return shards
}

// sweep deletes the cells of the newest expired buckets of the shards. The layout
// must have been read after the time from which lastExpired was computed.
func (l *Journal) sweep(ctx context.Context, shards []int, lastExpired int64) {
	deleted := 0
	for _, shard := range shards {
		first := max(l.lastSweptBucket[shard]+1, lastExpired-maxSweepBuckets+1)
		l.lastSweptBucket[shard] = lastExpired
		for bucket := first; bucket <= lastExpired; bucket++ {
			if l.deleteCell(ctx, Cell{Shard: shard, Bucket: bucket}) {
				deleted++
			}
		}
	}
	if deleted > 0 {
		event.JournalCellsDropped.Log(l.cfg.Log).Int("cells", deleted).Send()
	}
}

func (l *Journal) deleteCell(ctx context.Context, cell Cell) bool {
	object, err := l.cfg.Store.Get(ctx, Kind, cell.Name())
	if err != nil {
		return false
	}
	_, err = l.cfg.Store.Delete(ctx, Kind, cell.Name(), object.Version)
	return err == nil
}
