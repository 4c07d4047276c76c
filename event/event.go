// Package event defines the catalogue of numbered log events. Each package of the
// module that logs has a block of one hundred numbers and a file here.
// docs/EVENTS.md is generated from this catalogue.
package event

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Event is a kind of log line with a stable number.
type Event struct {
	// Number is the stable number, unique in the catalogue.
	Number int
	// Name is a short stable name in kebab case.
	Name string
	// Level is the level at which the event is logged.
	Level zerolog.Level
	// Text says what the event means and, where useful, what an operator should
	// do about it.
	Text string
}

var catalogue = map[int]Event{}

// define adds an event to the catalogue; it panics if the number is in use.
func define(number int, level zerolog.Level, name, text string) Event {
	if old, ok := catalogue[number]; ok {
		panic(fmt.Sprintf("event %d defined twice: %s and %s", number, old.Name, name))
	}
	e := Event{Number: number, Name: name, Level: level, Text: text}
	catalogue[number] = e
	return e
}

// Log returns a log line for e; the caller adds fields and writes it with Send.
func (e Event) Log(log zerolog.Logger) *zerolog.Event {
	return log.WithLevel(e.Level).Int("event", e.Number).Str("name", e.Name)
}

// All returns all events, sorted by number.
func All() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		events = append(events, e)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}
