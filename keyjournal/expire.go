package keyjournal

import (
	"slices"
	"time"
)

// Expire replaces expired records by tombstones, which are kept for
// TombstoneRetentions more retention periods, and reports whether the content
// changed. Only untimed cells hold records that expire; a timed cell is deleted
// as a whole. A record is replaced MaxClockSkew after it expired, so that all
// routers reach the same verdict on a key.
func (c *Content) Expire(now time.Time, retention time.Duration) bool {
	changed := false
	cutoff := now.Add(-MaxClockSkew)
	for _, record := range c.records {
		if !record.expired(cutoff) {
			continue
		}
		c.remove(record)
		c.addTombstone(shortHash(record.Hash), record.ExpiresMS+TombstoneRetentions*retention.Milliseconds())
		changed = true
	}
	for hash, until := range c.tombstones {
		if cutoff.UnixMilli() < until {
			continue
		}
		delete(c.tombstones, hash)
		c.sizeBytes -= tombstoneBytes
		changed = true
	}
	return changed
}

func (c *Content) addTombstone(hash uint64, untilMS int64) {
	if _, ok := c.tombstones[hash]; !ok {
		c.sizeBytes += tombstoneBytes
	}
	c.tombstones[hash] = max(c.tombstones[hash], untilMS)
}

// makeRoom drops the header fields and bodies of recorded responses, earliest
// expiry first, then by hash, until n more bytes fit, and reports whether they
// do. Records of a timed cell have no expiry of their own, so there the hash
// alone decides.
func (c *Content) makeRoom(n int) bool {
	if c.sizeBytes+n <= maxCellBytes {
		return true
	}
	for _, record := range c.recordsWithBodies() {
		c.remove(record)
		record.Response = record.Response.statusOnly()
		c.add(record)
		if c.sizeBytes+n <= maxCellBytes {
			return true
		}
	}
	return false
}

func (c *Content) recordsWithBodies() []*Record {
	var found []*Record
	for _, record := range c.records {
		if record.Response != nil && !record.Response.BodyOmitted {
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
