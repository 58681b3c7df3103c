// Package fleet keeps what one entry VM knows of backend servers: their
// announcements, liveness, load and cache events.
package fleet

import (
	"time"

	"godwityoke.example/godwityoke/internal/place"
)

// View gives the live servers of this VM's zone. Implementations are safe for
// concurrent use.
type View interface {
	// Engines returns the live engines that have model loaded, and adapter
	// when it is not empty. The result is shared and must not be changed.
	Engines(model, adapter string, now time.Time) []place.Server
	// Services returns the live servers of a plain service.
	Services(service string, now time.Time) []place.Server
	// All returns all live servers.
	All(now time.Time) []place.Server
}
