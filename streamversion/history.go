package streamversion

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
	"ragwortpond.example/ragwortpond/platform"
)

const (
	// clockError is the largest difference between the clocks of two routers, and the time
	// that a new split takes to reach them.
	clockError = 3 * time.Second
	// historyLifetime is how long a replaced split stays in the history: longer than a stream
	// may last with the longest timeouts in use.
	historyLifetime = 3 * time.Minute
	// maxSplits bounds the history; with minSplitInterval between changes it holds those of
	// historyLifetime.
	maxSplits = 200
)

// Entry is one split of a history.
type Entry struct {
	Split Split `json:"split"`
	// ReplacedAtMS is the Unix time in milliseconds, by the clock of the router that
	// replaced the split; zero for the split in force.
	ReplacedAtMS int64 `json:"replaced_at_ms,omitempty"`
	// Revision is that of the history in which it came into force; zero if it is not known.
	Revision uint64 `json:"revision,omitempty"`
}

// History holds a service's split in force and those before it, newest first. It is the
// document that the routers keep in the store.
type History struct {
	Splits []Entry `json:"splits"`
	// Era is the store's era in which it was written. In a newer one, the store came back from
	// a copy, which may lack later splits.
	Era uint64 `json:"era,omitempty"`
	// UnknownUntilMS is the Unix time in milliseconds until which splits may have been in use
	// that the store lost and nobody remembered; zero if there were none.
	UnknownUntilMS int64 `json:"unknown_until_ms,omitempty"`
}

// ParseHistory decodes a history. It returns an error if the document is malformed or has
// no split.
func ParseHistory(document []byte) (*History, error) {
	h := &History{}
	if err := json.Unmarshal(document, h); err != nil {
		return nil, fmt.Errorf("streamversion: history: %w", err)
	}
	if len(h.Splits) == 0 || len(h.Splits[0].Split) == 0 {
		return nil, fmt.Errorf("streamversion: history without a split")
	}
	return h, nil
}

// Current returns the split in force.
func (h *History) Current() Split {
	return h.Splits[0].Split
}

// Replace returns the history with a new split in force from now on.
func (h *History) Replace(split Split, now time.Time) *History {
	return h.replace(split, now, math.MaxUint64)
}

// replace is Replace that keeps the splits which routers may use that have not told to know a newer
// one: all that were not replaced up to the revision told.
func (h *History) replace(split Split, now time.Time, told uint64) *History {
	next := &History{Splits: []Entry{{Split: split}}}
	if h == nil {
		return next
	}
	next.Era, next.UnknownUntilMS = h.Era, h.UnknownUntilMS
	for i, entry := range h.Splits {
		if i == 0 {
			entry.ReplacedAtMS = now.UnixMilli()
		}
		late := i > 0 && h.Splits[i-1].Revision > told
		if len(next.Splits) < maxSplits && (late || now.Sub(time.UnixMilli(entry.ReplacedAtMS)) < historyLifetime) {
			next.Splits = append(next.Splits, entry)
		}
	}
	return next
}

// inEra returns the history as of an era of the store. If it was written in an older one, it may lack
// splits, which are added from lost: the history at the time when that era ended, nil if it is
// not known.
func (h *History) inEra(era uint64, lost *History, endedAt time.Time) *History {
	if h.Era >= era {
		return h
	}
	if lost == nil {
		return &History{Splits: h.Splits, Era: era, UnknownUntilMS: endedAt.UnixMilli()}
	}
	next := &History{Splits: []Entry{{Split: h.Current()}}, Era: era, UnknownUntilMS: max(h.UnknownUntilMS, lost.UnknownUntilMS)}
	replaced := slices.Concat(lost.Splits[1:], h.Splits[1:])
	if last := lost.Splits[0]; last.Revision > 0 || !slices.Equal(last.Split, h.Current()) {
		replaced = append(replaced, Entry{Split: last.Split, ReplacedAtMS: endedAt.UnixMilli(), Revision: last.Revision})
	}
	slices.SortStableFunc(replaced, func(a, b Entry) int { return cmp.Compare(b.ReplacedAtMS, a.ReplacedAtMS) })
	next.Splits = append(next.Splits, replaced[:min(len(replaced), maxSplits-1)]...)
	return next
}

// incomplete reports whether streams in progress may have begun under a split that the history lacks.
func (h *History) incomplete(w Window, now time.Time) bool {
	if h.Era < w.Era || now.Sub(time.UnixMilli(h.UnknownUntilMS)) < w.Lifetime+clockError+leaseTime {
		return true
	}
	if w.Told >= w.Revision {
		return false
	}
	lost := h.UnknownUntilMS > 0 && platform.EraOf(w.Told) < w.Era
	return lost || h.inForceAt(w.Told) == len(h.Splits)
}

// inForceAt returns the index of the split that was in force at a revision, or the number of splits if that is not known.
func (h *History) inForceAt(revision uint64) int {
	for i, entry := range h.Splits {
		if entry.Revision > 0 && entry.Revision <= revision {
			return i
		}
	}
	return len(h.Splits)
}

// Window is the time in which streams in progress began.
type Window struct {
	// Lifetime is how long a stream lasts at most.
	Lifetime time.Duration
	// Unchanged is how long this router has known that the newest split is in force.
	Unchanged time.Duration
	// Era is the era of the store that the history was read in.
	Era uint64
	// Revision is that of the newest split. Listed routers may have used each split from that at Told
	// on, as long as that is lower.
	Revision, Told uint64
	// Settled is set if all routers know the newest split. Otherwise some may have used an
	// older one for leaseTime after it was replaced.
	Settled bool
	// AbsentFrom and AbsentUntil are the time in which routers were absent, which used the
	// splits from before it; zero if all were present.
	AbsentFrom, AbsentUntil time.Time
}

// mayHaveBegun reports whether a stream in progress may have begun under a split that was
// replaced at a time.
func (w Window) mayHaveBegun(replacedAt, now time.Time) bool {
	bound, unchanged := w.Lifetime+clockError, w.Lifetime
	if !w.Settled {
		bound, unchanged = bound+leaseTime, bound+leaseTime
	}
	if w.Unchanged < unchanged && now.Sub(replacedAt) < bound {
		return true
	}
	bound = w.Lifetime + clockError
	return !w.AbsentUntil.IsZero() && replacedAt.After(w.AbsentFrom.Add(-clockError)) && now.Sub(w.AbsentUntil) < bound
}

// relevant returns the splits under which streams in progress may have begun.
func (h *History) relevant(w Window, now time.Time) []Entry {
	n := 1
	for n < len(h.Splits) && w.mayHaveBegun(time.UnixMilli(h.Splits[n].ReplacedAtMS), now) {
		n++
	}
	if w.Told < w.Revision {
		n = max(n, min(h.inForceAt(w.Told)+1, len(h.Splits)))
	}
	return h.Splits[:n]
}

// VersionOf returns the version at which a stream began, or false if that is ambiguous.
func (h *History) VersionOf(key Key, w Window, now time.Time) (fleet.SoftwareVersion, bool) {
	if h.incomplete(w, now) {
		return "", false
	}
	version := h.Current().VersionOf(key)
	for _, entry := range h.relevant(w, now) {
		if entry.Split.VersionOf(key) != version {
			return "", false
		}
	}
	return version, true
}

// SoleVersion returns the version at which all streams in progress began, or false if there
// is more than one.
func (h *History) SoleVersion(w Window, now time.Time) (fleet.SoftwareVersion, bool) {
	if h.incomplete(w, now) {
		return "", false
	}
	sole := h.Current()[0].Version
	for _, entry := range h.relevant(w, now) {
		if len(entry.Split) != 1 || entry.Split[0].Version != sole {
			return "", false
		}
	}
	return sole, true
}
