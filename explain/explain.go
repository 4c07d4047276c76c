// Package explain finds a request's story in the log lines of several routers.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"ragwortpond.example/ragwortpond/event"
)

const (
	// maxLine bounds one log line.
	maxLine = 1 << 20
	// before is how far back from a request's first line its routers' beliefs are
	// of interest.
	before = 5 * time.Second
)

// Line is one log line.
type Line struct {
	Time   time.Time
	Router string
	Event  int
	Name   string
	// Request is empty on lines about what a router believes.
	Request string
	// Fields are the others, as they stand in the line.
	Fields map[string]json.RawMessage
}

// known are the fields that a Line has members for.
var known = []string{"time", "router", "event", "name", "request", "level"}

// Parse reads a log line; text before the first brace is passed over. False
// means that it is none of this system's.
func Parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var head struct {
		Time    time.Time `json:"time"`
		Router  string    `json:"router"`
		Event   int       `json:"event"`
		Name    string    `json:"name"`
		Request string    `json:"request"`
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[i:], &head) != nil || json.Unmarshal(text[i:], &fields) != nil || head.Event == 0 {
		return Line{}, false
	}
	for _, name := range known {
		delete(fields, name)
	}
	return Line{head.Time, head.Router, head.Event, head.Name, head.Request, fields}, true
}

// Story returns the lines about a request in the order of time, and before them
// what its routers came to believe shortly before or during it.
func Story(request string, logs ...io.Reader) ([]Line, error) {
	var own, beliefs []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
		for scanner.Scan() {
			line, ok := Parse(scanner.Bytes())
			switch {
			case !ok:
			case line.Request == request:
				own = append(own, line)
			case line.Request == "" && belief(line.Event):
				beliefs = append(beliefs, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
	}
	story := own
	for _, line := range beliefs {
		if concerns(line, own) {
			story = append(story, line)
		}
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

// belief reports whether an event says what a router believes.
func belief(number int) bool {
	switch number {
	case event.TargetStanding.Number, event.DirectoryConfig.Number, event.DirectoryTarget.Number, event.DirectoryLost.Number,
		event.DirectoryRegained.Number, event.DirectoryWatches.Number, event.NodeStarted.Number, event.NodeReady.Number, event.NodeDraining.Number, event.NodeStopped.Number:
		return true
	default:
		return false
	}
}

// concerns reports whether a belief may have decided a request: its router
// served the request, and if it is about a target, the request was there.
func concerns(line Line, own []Line) bool {
	target, about := line.Fields["target"]
	near, same := false, false
	for _, o := range own {
		if o.Router != line.Router {
			continue
		}
		if gap := o.Time.Sub(line.Time); gap < before && gap > -time.Second {
			near = true
		}
		same = same || bytes.Equal(o.Fields["target"], target)
	}
	return near && (!about || same)
}

// Print writes a story, a line each.
func Print(w io.Writer, story []Line) error {
	var start time.Time
	for i, line := range story {
		if i == 0 {
			start = line.Time
		}
		mark := " "
		if line.Request == "" {
			mark = "~"
		}
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&fields, " %s=%s", name, line.Fields[name])
		}
		at := line.Time.Sub(start).Seconds()
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %s  %s%s\n", mark, at, line.Router, line.Name, fields.String()); err != nil {
			return fmt.Errorf("explain: %w", err)
		}
	}
	return nil
}
