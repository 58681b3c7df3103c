package registry

import (
	"fmt"
	"slices"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/roster"
)

const (
	// maxDepartures is the maximum number of departures in the registry, which drops the
	// oldest ones.
	maxDepartures = 4096
	// departureRetentionMs is how long a departure is kept, in milliseconds: as long as a
	// roster keeps a server that is gone.
	departureRetentionMs = int64(roster.GoneRetention / 1e6)
)

// recordDepartures stores departures at the time of the command. A departure of an earlier
// incarnation, or of a server that is known to be gone, changes nothing.
func (s *state) recordDepartures(command *registrypb.RecordDepartures) Result {
	at := command.GetUnixMs()
	s.departures = slices.DeleteFunc(s.departures, func(d *registrypb.Departure) bool { return at-d.GetUnixMs() > departureRetentionMs })
	for _, departure := range command.GetDepartures() {
		known := s.findDeparture(departure.GetId())
		if known != nil && !isLaterDeparture(departure, known) {
			continue
		}
		if known != nil {
			s.departures = slices.DeleteFunc(s.departures, func(d *registrypb.Departure) bool { return d == known })
		}
		departure.UnixMs = at
		s.departures = append(s.departures, departure)
	}
	if excess := len(s.departures) - maxDepartures; excess > 0 {
		s.departures = slices.Delete(s.departures, 0, excess)
	}
	s.departuresRevision++
	return Result{Code: CodeAccepted}
}

// findDeparture returns the departure of the server with this id, nil if there is none.
func (s *state) findDeparture(id string) *registrypb.Departure {
	i := slices.IndexFunc(s.departures, func(d *registrypb.Departure) bool { return d.GetId() == id })
	if i < 0 {
		return nil
	}
	return s.departures[i]
}

// isLaterDeparture tells whether a is of a later incarnation than b, or a later state of the
// same one.
func isLaterDeparture(a, b *registrypb.Departure) bool {
	if a.GetBornMs() != b.GetBornMs() {
		return a.GetBornMs() > b.GetBornMs()
	}
	return a.GetGone() && !b.GetGone()
}

func validateDepartures(departures []*registrypb.Departure) error {
	if len(departures) > maxDepartures {
		return fmt.Errorf("%w: %d departures, allowed: %d", ErrInvalidCommand, len(departures), maxDepartures)
	}
	for _, departure := range departures {
		if departure.GetId() == "" || len(departure.GetId()) > roster.MaxNameBytes {
			return fmt.Errorf("%w: a server id has %d bytes, allowed: 1 to %d", ErrInvalidCommand, len(departure.GetId()), roster.MaxNameBytes)
		}
	}
	return nil
}

// Departures returns the backend servers that drain or have left, oldest first, and a number
// that changes with them. The caller must not change the departures.
func (r *Registry) Departures() (revision uint64, departures []*registrypb.Departure) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.departuresRevision, slices.Clone(r.state.departures)
}

// HasDeparture tells whether departure, or one that supersedes it, is stored.
func (r *Registry) HasDeparture(departure *registrypb.Departure) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	known := r.state.findDeparture(departure.GetId())
	return known != nil && !isLaterDeparture(departure, known)
}
