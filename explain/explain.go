// Package explain extracts the history of a request from the log lines of several
// routers.
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
	// stateWindow is the maximum age, relative to a line of the request, of lines about
	// the state of the same router that are included.
	stateWindow = 5 * time.Second
)

// Line is a parsed log line.
type Line struct {
	Time   time.Time
	Router string
	Event  int
	Name   string
	// Request is empty for lines about the state of a router.
	Request string
	// Fields holds the remaining fields of the line, not decoded.
	Fields map[string]json.RawMessage
}

// parsedFields are the fields that are not in Line.Fields.
var parsedFields = []string{"time", "router", "event", "name", "request", "level"}

// Parse parses a log line and ignores text before the first brace. It returns false
// if the line is not JSON or has no event number.
func Parse(text []byte) (Line, bool) {
	i := bytes.IndexByte(text, '{')
	if i < 0 {
		return Line{}, false
	}
	var header struct {
		Time    time.Time `json:"time"`
		Router  string    `json:"router"`
		Event   int       `json:"event"`
		Name    string    `json:"name"`
		Request string    `json:"request"`
	}
	var fields map[string]json.RawMessage
	if json.Unmarshal(text[i:], &header) != nil || json.Unmarshal(text[i:], &fields) != nil || header.Event == 0 {
		return Line{}, false
	}
	for _, name := range parsedFields {
		delete(fields, name)
	}
	return Line{header.Time, header.Router, header.Event, header.Name, header.Request, fields}, true
}

// RequestLines returns the lines about a request, and the lines about state changes of its
// routers shortly before or during the request, sorted by time.
func RequestLines(request string, logs ...io.Reader) ([]Line, error) {
	var own, states []Line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
		for scanner.Scan() {
			line, ok := Parse(scanner.Bytes())
			switch {
			case !ok:
			case line.Request == request:
				own = append(own, line)
			case line.Request == "" && isStateEvent(line.Event):
				states = append(states, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("explain: %w", err)
		}
	}
	lines := own
	for _, line := range states {
		if affects(line, own) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return lines, nil
}

// isStateEvent reports whether an event is about the state of a router, such as its
// configuration or the health state of a target.
func isStateEvent(number int) bool {
	switch number {
	case event.TargetHealthChanged.Number, event.TargetEjected.Number, event.TargetReportedUnsound.Number, event.ConfigInForce.Number, event.TargetChanged.Number, event.StoreLost.Number,
		event.StoreRegained.Number, event.StoreWatchChanged.Number, event.NodeStarted.Number, event.NodeReady.Number, event.NodeDraining.Number, event.NodeStopped.Number:
		return true
	default:
		return false
	}
}

// affects reports whether a state line may have affected the request with the lines
// own: a line of the request is from the same router, at most 5 s later or 1 s
// earlier, and if the state line names a target, the request was sent there.
func affects(line Line, own []Line) bool {
	target, hasTarget := line.Fields["target"]
	nearby, sameTarget := false, false
	for _, o := range own {
		if o.Router != line.Router {
			continue
		}
		if gap := o.Time.Sub(line.Time); gap < stateWindow && gap > -time.Second {
			nearby = true
		}
		sameTarget = sameTarget || bytes.Equal(o.Fields["target"], target)
	}
	return nearby && (!hasTarget || sameTarget)
}

// Print writes one line of text for each log line of a request. Times are relative to the
// first line; "~" marks lines about the state of a router.
func Print(w io.Writer, lines []Line) error {
	var start time.Time
	for i, line := range lines {
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
		offset := line.Time.Sub(start).Seconds()
		if _, err := fmt.Fprintf(w, "%s %+8.3f s  %s  %s%s\n", mark, offset, line.Router, line.Name, fields.String()); err != nil {
			return fmt.Errorf("explain: %w", err)
		}
	}
	return nil
}
