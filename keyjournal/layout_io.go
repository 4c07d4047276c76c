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
	layoutName = "layout"
	// maxSweep is how many buckets back dead cells are looked for at once.
	maxSweep = 64
	// sweepSlack is how many dead buckets gather before a sweep.
	sweepSlack = 6
)

// currentLayout returns the layout, read from the platform at first use. Only
// one call at a time goes to the platform for it.
func (l *Log) currentLayout(ctx context.Context) (Layout, error) {
	if layout := l.layout.Load(); layout != nil {
		return *layout, nil
	}
	select {
	case l.layoutTurn <- struct{}{}:
		defer func() { <-l.layoutTurn }()
	case <-ctx.Done():
		return Layout{}, errors.Join(ErrUnavailable, ctx.Err())
	}
	if layout := l.layout.Load(); layout != nil {
		return *layout, nil
	}
	layout, _, err := l.readLayout(ctx)
	if errors.Is(err, objectapi.ErrNotFound) {
		layout, err = l.makeLayout(ctx)
	}
	if err != nil {
		return Layout{}, errors.Join(ErrUnavailable, fmt.Errorf("layout: %w", err))
	}
	return layout, nil
}

func (l *Log) readLayout(ctx context.Context) (Layout, uint64, error) {
	object, err := l.cfg.Store.Get(ctx, Kind, layoutName)
	if err != nil {
		return Layout{}, 0, err
	}
	var layout Layout
	if err := json.Unmarshal(object.Data, &layout); err != nil {
		return Layout{}, 0, err
	}
	if layout.Shards < 1 || layout.BucketMS < 1 || layout.UntimedCells < 1 {
		return Layout{}, 0, errors.New("no shards, buckets or untimed cells")
	}
	l.layout.Store(&layout)
	return layout, object.Version, nil
}

// makeLayout writes the first layout and reads back the one that stands, which
// may be another router's.
func (l *Log) makeLayout(ctx context.Context) (Layout, error) {
	values := l.cfg.Values()
	data, err := json.Marshal(Layout{
		Shards: values.Shards, UntimedCells: UntimedCells, BucketMS: BucketLength.Milliseconds(), KeepMS: int64(values.RetentionMS),
	})
	if err != nil {
		return Layout{}, err
	}
	_, err = l.cfg.Store.Put(ctx, Kind, layoutName, data, 0)
	if err == nil {
		event.JournalLayoutMade.Log(l.cfg.Log).Int("shards", values.Shards).Send()
	}
	layout, _, readErr := l.readLayout(ctx)
	if readErr != nil {
		return Layout{}, errors.Join(err, readErr)
	}
	return layout, nil
}

// tendLayout makes the layout follow a longer retention of the settings, and
// deletes dead cells. Where neither is due it makes no call.
func (l *Log) tendLayout(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	now := l.cfg.Clock()
	layout, err := l.currentLayout(ctx)
	if err != nil {
		return
	}
	values := l.cfg.Values()
	l.noteShards(layout, values.Shards)
	retention := values.RetentionMS.Duration()
	shards := l.unswept(layout, layout.Dead(now))
	if retention <= layout.keep() && len(shards) == 0 {
		return
	}
	layout, version, err := l.readLayout(ctx)
	if err != nil {
		return
	}
	if raised, ok := layout.Raise(now, retention); ok {
		l.raiseLayout(ctx, raised, version)
		return
	}
	l.sweep(ctx, shards, layout.Dead(now))
}

func (l *Log) noteShards(layout Layout, asked int) {
	if l.shardsAsked.Swap(int64(asked)) == int64(asked) || asked == layout.Shards {
		return
	}
	event.JournalShardsFixed.Log(l.cfg.Log).Int("shards", layout.Shards).Int("asked", asked).Send()
}

// raiseLayout writes a longer retention. The layout in force here changes once
// it is read back.
func (l *Log) raiseLayout(ctx context.Context, raised Layout, version uint64) {
	data, err := json.Marshal(raised)
	if err != nil {
		return
	}
	if _, err := l.cfg.Store.Put(ctx, Kind, layoutName, data, version); err != nil {
		return
	}
	keep := time.Duration(raised.KeepMS) * time.Millisecond
	event.JournalLayoutRaised.Log(l.cfg.Log).Dur("keep", keep).Send()
	_, _, _ = l.readLayout(ctx)
}

// unswept returns the shards that this router prefers and that were not swept
// up to the bucket.
func (l *Log) unswept(layout Layout, dead int64) []int {
	var shards []int
	for shard := range layout.Shards {
		_, here := l.preferred(Cell{Shard: shard})
		if here && l.sweptUpTo[shard]+sweepSlack < dead {
			shards = append(shards, shard)
		}
	}
	return shards
}

// sweep deletes the newest dead cells of the shards. The layout must have been
// read after the time from which dead was worked out.
func (l *Log) sweep(ctx context.Context, shards []int, dead int64) {
	dropped := 0
	for _, shard := range shards {
		first := max(l.sweptUpTo[shard]+1, dead-maxSweep+1)
		l.sweptUpTo[shard] = dead
		for bucket := first; bucket <= dead; bucket++ {
			if l.drop(ctx, Cell{Shard: shard, Bucket: bucket}) {
				dropped++
			}
		}
	}
	if dropped > 0 {
		event.JournalCellsDropped.Log(l.cfg.Log).Int("cells", dropped).Send()
	}
}

func (l *Log) drop(ctx context.Context, cell Cell) bool {
	object, err := l.cfg.Store.Get(ctx, Kind, cell.Name())
	if err != nil {
		return false
	}
	_, err = l.cfg.Store.Delete(ctx, Kind, cell.Name(), object.Version)
	return err == nil
}
