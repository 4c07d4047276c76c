package streamversion

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ragwortpond.example/ragwortpond/fleet"
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
	next := &History{Splits: []Entry{{Split: split}}}
	if h == nil {
		return next
	}
	next.Era, next.UnknownUntilMS = h.Era, h.UnknownUntilMS
	for i, entry := range h.Splits {
		if i == 0 {
			entry.ReplacedAtMS = now.UnixMilli()
		}
		if len(next.Splits) < maxSplits && now.Sub(time.UnixMilli(entry.ReplacedAtMS)) < historyLifetime {
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
	if !slices.Equal(lost.Current(), h.Current()) {
		replaced = append(replaced, Entry{Split: lost.Current(), ReplacedAtMS: endedAt.UnixMilli()})
	}
	slices.SortStableFunc(replaced, func(a, b Entry) int { return cmp.Compare(b.ReplacedAtMS, a.ReplacedAtMS) })
	next.Splits = append(next.Splits, replaced[:min(len(replaced), maxSplits-1)]...)
	return next
}

// incomplete reports whether streams in progress may have begun under a split that the history lacks.
func (h *History) incomplete(w Window, now time.Time) bool {
	return h.Era < w.Era || now.Sub(time.UnixMilli(h.UnknownUntilMS)) < w.Lifetime+clockError+leaseTime
}

// Window is the time in which streams in progress began.
type Window struct {
	// Lifetime is how long a stream lasts at most.
	Lifetime time.Duration
	// Unchanged is how long this router has known that the newest split is in force.
	Unchanged time.Duration
	// Era is the era of the store that the history was read in.
	Era uint64
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
