package keyjournal

import (
	"slices"
	"time"
)

// Expire replaces expired records by tombstones, which are kept for
// UntimedRetentions more retentions, and reports whether the content changed.
// Only untimed cells hold records that expire; a timed cell goes as a whole.
// The margin of SkewLimit leaves each router the same verdict on a key.
func (c *Content) Expire(now time.Time, retention time.Duration) bool {
	changed := false
	horizon := now.Add(-SkewLimit)
	for _, record := range c.records {
		if !record.expired(horizon) {
			continue
		}
		c.remove(record)
		c.bury(shortHash(record.Hash), record.ExpiresMS+UntimedRetentions*retention.Milliseconds())
		changed = true
	}
	for hash, until := range c.tombstones {
		if horizon.UnixMilli() < until {
			continue
		}
		delete(c.tombstones, hash)
		c.size -= tombstoneOverhead
		changed = true
	}
	return changed
}

func (c *Content) bury(hash uint64, untilMS int64) {
	if _, ok := c.tombstones[hash]; !ok {
		c.size += tombstoneOverhead
	}
	c.tombstones[hash] = max(c.tombstones[hash], untilMS)
}

// makeRoom drops the bodies of recorded answers, those that expire first
// first, until n more bytes fit, and reports whether they do.
func (c *Content) makeRoom(n int) bool {
	if c.size+n <= maxCellBytes {
		return true
	}
	for _, record := range c.withBodies() {
		c.remove(record)
		record.Answer = record.Answer.withoutBody()
		c.add(record)
		if c.size+n <= maxCellBytes {
			return true
		}
	}
	return false
}

func (c *Content) withBodies() []*Record {
	var found []*Record
	for _, record := range c.records {
		if record.Answer != nil && !record.Answer.BodyOmitted {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b *Record) int {
		if a.ExpiresMS != b.ExpiresMS {
			return int(a.ExpiresMS - b.ExpiresMS)
		}
		return slices.Compare(a.Hash[:], b.Hash[:])
	})
	return found
}
