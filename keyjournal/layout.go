package keyjournal

import (
	"encoding/binary"
	"fmt"
	"time"
)

// Limits on clocks and time.
const (
	// MaxClockSkew bounds the difference between the clocks of two routers, and
	// the time from checking an intent's key to the confirmation that the intent
	// is stored.
	MaxClockSkew = time.Minute
	// MaxKeyAhead is how far a key's timestamp may be ahead of a router's clock.
	MaxKeyAhead = 5 * time.Minute
	// BucketDuration is the span of key timestamps that share a cell in a new
	// layout.
	BucketDuration = 10 * time.Second
	// UntimedCellsPerShard is the number of cells in each shard of a new layout
	// for keys without a timestamp.
	UntimedCellsPerShard = 16
	// TombstoneRetentions is the number of retention periods, after the first,
	// for which a tombstone of an expired key without a timestamp is kept.
	TombstoneRetentions = 7
)

// Layout defines in which cell the record of a key is stored. It is one object
// of the API, created by the first router, because two routers with different
// layouts could both record the same key. Shards, UntimedCells and BucketMS
// never change afterwards.
type Layout struct {
	Shards int `json:"shards"`
	// UntimedCells is the number of cells in each shard for keys without a
	// timestamp. These keys are kept for a long time, so that one cell would
	// be too small.
	UntimedCells int `json:"untimed_cells"`
	// BucketMS is the span of key timestamps that share a cell, in milliseconds.
	BucketMS int64 `json:"bucket_ms"`
	// MaxRetentionMS is the longest retention that was ever in force, in
	// milliseconds.
	MaxRetentionMS int64 `json:"keep_ms"`
	// MinKeyTimeMS is the Unix time in milliseconds before which keys have
	// expired permanently, regardless of the retention.
	MinKeyTimeMS int64 `json:"floor_ms"`
}

// Cell identifies one object of records: those of all keys of a shard whose
// timestamps fall into the same bucket, or of a share of its keys without a
// timestamp.
type Cell struct {
	Shard int `cbor:"1,keyasint"`
	// Bucket is the key's Unix time divided by the layout's BucketMS; for keys
	// without a timestamp it is negative, from -1 down.
	Bucket int64 `cbor:"2,keyasint"`
}

// Timed reports whether the cell's keys have timestamps.
func (c Cell) Timed() bool {
	return c.Bucket >= 0
}

// Name returns the name of the cell's object.
func (c Cell) Name() string {
	if !c.Timed() {
		return fmt.Sprintf("shard-%d-untimed-%d", c.Shard, -c.Bucket)
	}
	return fmt.Sprintf("shard-%d-%d", c.Shard, c.Bucket)
}

// Locate returns the cell of a key, or ErrExpired if the key's timestamp is
// older than the retention. The cell depends on the key and the layout alone, so
// that routers whose clocks differ look for the key in the same place.
func (l Layout) Locate(hash KeyHash, key string, now time.Time, retention time.Duration) (Cell, error) {
	cell := Cell{Shard: int(binary.BigEndian.Uint64(hash[:8]) % uint64(l.Shards))}
	cell.Bucket = -1 - int64(binary.BigEndian.Uint64(hash[8:])%uint64(l.UntimedCells))
	keyTime, ok := KeyTime(key)
	if !ok {
		return cell, nil
	}
	if keyTime.Before(l.minKeyTime(now, retention)) {
		return Cell{}, ErrExpired
	}
	cell.Bucket = keyTime.UnixMilli() / l.BucketMS
	return cell, nil
}

// isTooFarAhead reports whether a key's timestamp is more than MaxKeyAhead after
// now.
func isTooFarAhead(key string, now time.Time) bool {
	keyTime, ok := KeyTime(key)
	return ok && keyTime.After(now.Add(MaxKeyAhead))
}

// minKeyTime returns the earliest timestamp of keys that have not expired.
func (l Layout) minKeyTime(now time.Time, retention time.Duration) time.Time {
	minTime := now.Add(-min(retention, l.maxRetention()))
	if fixedMin := time.UnixMilli(l.MinKeyTimeMS); fixedMin.After(minTime) {
		return fixedMin
	}
	return minTime
}

func (l Layout) maxRetention() time.Duration {
	return time.Duration(l.MaxRetentionMS) * time.Millisecond
}

// WithRetention returns the layout extended to a longer retention; false means
// that the retention is not longer. Keys that expired under the shorter one stay
// expired, since their cells may have been deleted.
func (l Layout) WithRetention(now time.Time, retention time.Duration) (Layout, bool) {
	if retention <= l.maxRetention() {
		return l, false
	}
	l.MinKeyTimeMS = max(l.MinKeyTimeMS, now.Add(-l.maxRetention()).UnixMilli())
	l.MaxRetentionMS = retention.Milliseconds()
	return l, true
}

// LastExpiredBucket returns the newest bucket whose keys have all expired
// permanently at now, by the clock of any router.
func (l Layout) LastExpiredBucket(now time.Time) int64 {
	cutoff := now.Add(-l.maxRetention() - 2*MaxClockSkew)
	return cutoff.UnixMilli()/l.BucketMS - 1
}
