// Package observe sets up structured logs with numbered events, and metrics.
package observe

import (
	"fmt"
	"sort"

	"github.com/rs/zerolog"
)

// Event is a numbered kind of log line. Every event is listed in
// docs/EVENTS.md; a number is never reused.
type Event struct {
	Number int
	Name   string
	Level  zerolog.Level
	// Meaning is the text of the catalogue, with what an operator should do.
	Meaning string
}

var catalogue = map[int]Event{}

// newEvent registers an event in the catalogue. It panics on a number that is
// taken, which a test of this package finds before a release.
func newEvent(number int, name string, level zerolog.Level, meaning string) Event {
	if old, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event %d is registered twice: %s and %s", number, old.Name, name))
	}
	event := Event{Number: number, Name: name, Level: level, Meaning: meaning}
	catalogue[number] = event
	return event
}

// Catalogue returns all events by ascending number.
func Catalogue() []Event {
	events := make([]Event, 0, len(catalogue))
	for _, event := range catalogue {
		events = append(events, event)
	}
	sort.Slice(events, func(i, j int) bool { return events[i].Number < events[j].Number })
	return events
}

// Log starts a log line for event. The caller adds fields and ends the line
// with Send or Msg.
func Log(logger zerolog.Logger, event Event) *zerolog.Event {
	return logger.WithLevel(event.Level).Int("event", event.Number).Str("name", event.Name)
}
