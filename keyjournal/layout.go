package keyjournal

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Limits on clocks and time.
const (
	// SkewLimit bounds the difference between two routers' clocks, and the time
	// from looking at an intent's key to seeing the intent in place.
	SkewLimit = time.Minute
	// AheadLimit is how far ahead of a router's clock a key's time may be.
	AheadLimit = 5 * time.Minute
	// BucketLength is the span of key times that share a cell in a new layout.
	BucketLength = 10 * time.Second
	// UntimedCells is the number of cells in each shard of a new layout for keys
	// that carry no time.
	UntimedCells = 16
	// UntimedRetentions is for how many retentions, after its first, an expired
	// key that carries no time is remembered as such.
	UntimedRetentions = 7
)

// Layout says where records are. It is one object of the API, made by the
// first router, because two routers that disagree on it could both record the
// same key. Shards, UntimedCells and BucketMS never change afterwards.
type Layout struct {
	Shards int `json:"shards"`
	// UntimedCells is the number of cells in each shard for keys that carry no
	// time; these stay for long, so that one cell would be too small.
	UntimedCells int `json:"untimed_cells"`
	// BucketMS is the span of key times that share a cell, in milliseconds.
	BucketMS int64 `json:"bucket_ms"`
	// KeepMS is the longest retention that was ever in force, in milliseconds.
	KeepMS int64 `json:"keep_ms"`
	// FloorMS is the Unix time in milliseconds before which keys have expired
	// for good, whatever the retention.
	FloorMS int64 `json:"floor_ms"`
}

// Cell names one object of records: all keys of a shard whose times fall into
// the same bucket, or a share of its keys that carry no time.
type Cell struct {
	Shard int `cbor:"1,keyasint"`
	// Bucket is the key's Unix time divided by the layout's span; for keys that
	// carry no time it is negative, -1 and down.
	Bucket int64 `cbor:"2,keyasint"`
}

// Timed reports whether the cell's keys carry their time.
func (c Cell) Timed() bool {
	return c.Bucket >= 0
}

// Name is the name of the cell's object.
func (c Cell) Name() string {
	if !c.Timed() {
		return fmt.Sprintf("shard-%d-untimed-%d", c.Shard, -c.Bucket)
	}
	return fmt.Sprintf("shard-%d-%d", c.Shard, c.Bucket)
}

// Locate returns the cell of a key: ErrExpired if the key's own time says that
// it is older than the retention. The cell depends on the key and the layout alone, so that routers whose clocks
// differ look for the key in the same place.
func (l Layout) Locate(hash KeyHash, key string, now time.Time, retention time.Duration) (Cell, error) {
	cell := Cell{Shard: int(binary.BigEndian.Uint64(hash[:8]) % uint64(l.Shards))}
	cell.Bucket = -1 - int64(binary.BigEndian.Uint64(hash[8:])%uint64(l.UntimedCells))
	at, ok := KeyTime(key)
	if !ok {
		return cell, nil
	}
	if at.Before(l.oldest(now, retention)) {
		return Cell{}, ErrExpired
	}
	cell.Bucket = at.UnixMilli() / l.BucketMS
	return cell, nil
}

// ahead reports whether a key's time is more than AheadLimit ahead.
func ahead(key string, now time.Time) bool {
	at, ok := KeyTime(key)
	return ok && at.After(now.Add(AheadLimit))
}

// oldest is the time of the oldest key that has not expired.
func (l Layout) oldest(now time.Time, retention time.Duration) time.Time {
	oldest := now.Add(-min(retention, l.keep()))
	if floor := time.UnixMilli(l.FloorMS); floor.After(oldest) {
		return floor
	}
	return oldest
}

func (l Layout) keep() time.Duration {
	return time.Duration(l.KeepMS) * time.Millisecond
}

// Raise returns the layout for a longer retention. Keys that had expired under
// the shorter one stay expired, since their cells may be gone.
func (l Layout) Raise(now time.Time, retention time.Duration) (Layout, bool) {
	if retention <= l.keep() {
		return l, false
	}
	l.FloorMS = max(l.FloorMS, now.Add(-l.keep()).UnixMilli())
	l.KeepMS = retention.Milliseconds()
	return l, true
}

// Dead returns the newest bucket of which every key has expired for good at
// now, on any router's clock.
func (l Layout) Dead(now time.Time) int64 {
	horizon := now.Add(-l.keep() - 2*SkewLimit)
	return horizon.UnixMilli()/l.BucketMS - 1
}
