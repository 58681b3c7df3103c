// Package fleet holds the state of the zone's backend servers as one entry VM knows it
// from their announcements: addresses, models, liveness and load. It passes cache
// events on to a listener. It does not contact servers and does not place requests.
package fleet

import (
	"time"

	"godwityoke.example/godwityoke/internal/place"
)

// View returns the servers of this VM's zone that accept new work: those that are responsive
// and not draining. Implementations are safe for concurrent use. Callers must not modify
// the results, which may be shared.
type View interface {
	// Engines returns the engines that have model loaded, and adapter if it is not empty.
	Engines(model, adapter string, now time.Time) []place.Server
	// Services returns the servers of a plain service.
	Services(service string, now time.Time) []place.Server
	// All returns the servers of every kind.
	All(now time.Time) []place.Server
}
