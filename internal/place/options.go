package place

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/settings"
)

// View gives the live engines of this VM's zone; fleet.View implements it.
type View interface {
	// Engines returns the live engines that have model loaded, and adapter
	// when it is not empty. The result is shared and must not be changed.
	Engines(model, adapter string, now time.Time) []Server
}

// Options are what a Placer works with.
type Options struct {
	Policy settings.Policy
	View   View
	// Seed makes the choices of a random policy repeatable.
	Seed uint64
	// Clock returns the time; time.Now outside tests.
	Clock func() time.Time
}

// New returns a Placer for options.Policy. It is safe for concurrent use.
func New(options Options) (Placer, error) {
	if options.View == nil || options.Clock == nil {
		return nil, errors.New("a placer needs a view and a clock")
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	policy, err := newPolicy(options.Policy, random)
	if err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	return newLocalPlacer(options, policy), nil
}
