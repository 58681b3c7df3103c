// Package observe provides structured logs with numbered events and the metrics
// of a process, with their output in the Prometheus text format. It holds the
// catalogue of all events; which of them are logged, and when, is up to the other
// packages.
package observe

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Event is a numbered kind of log line. The catalogue of all events is also
// written to docs/EVENTS.md. A number is never reused.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning says what happened, why it may happen, and what an operator does.
	Meaning string
}

var catalogue = map[int]Event{}

// newEvent registers an event in the catalogue. It panics if the number is
// already registered. Since events are package variables, any test of this
// package detects that.
func newEvent(number int, name string, level zerolog.Level, meaning string) Event {
	if old, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event %d is registered twice: %s and %s", number, old.Name, name))
	}
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = event
	return event
}

// Catalogue returns all events in ascending order of number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log starts a log line for event, at the level of the event. The caller adds
// fields and writes the line with Send or Msg.
func Log(logger zerolog.Logger, event Event) *zerolog.Event {
	return logger.WithLevel(event.Level).Int("event", event.Number).Str("name", event.Name)
}
