package place

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/prefix"
	"godwityoke.example/godwityoke/internal/settings"
)

// View gives the live engines of this VM's zone; fleet.View implements it.
type View interface {
	// Engines returns the live engines that have model loaded, and adapter
	// when it is not empty. The result is shared and must not be changed.
	Engines(model, adapter string, now time.Time) []Server
}

// LeaseHolder asks schedulers for engine memory; capacity.Holder implements it.
type LeaseHolder interface {
	// Acquire waits for a lease on one of choices. It returns
	// capacity.ErrNoScheduler, a *capacity.RefusedError or the error of ctx.
	Acquire(ctx context.Context, group string, request capacity.Request, choices []capacity.Choice) (*capacity.Lease, error)
	// Adopt notes an attempt that is placed without a lease.
	Adopt(group, server string, request capacity.Request) *capacity.Lease
}

// Listener hears what became of queries. Its methods must not block.
type Listener interface {
	// RecordPlacement reports a query of about tokens prompt tokens that was placed.
	RecordPlacement(tokens int64, now time.Time)
	// RecordOverload reports a query that no engine can finish in time.
	RecordOverload(now time.Time)
}

// Options are what a Placer works with.
type Options struct {
	Policy settings.Policy
	View   View
	// VM is the name of this VM, the holder of its leases.
	VM string
	// Seed makes the choices of a random policy repeatable.
	Seed uint64
	// Clock returns the time; time.Now outside tests.
	Clock func() time.Time
	// Leases is needed for settings.PolicyLeases.
	Leases LeaseHolder
	// Index guesses cached prefixes for settings.PolicyLeases. It may be nil.
	Index *prefix.Index
	// MaxEjectedPercent returns the bound of the bundle in force. Without it
	// no server is ejected.
	MaxEjectedPercent func() float64
	// ShortReservePercent returns the reserve of the bundle in force, which
	// the segments of a group leave free. It may be nil.
	ShortReservePercent func() float64
	// Listener may be nil.
	Listener Listener
	// OnEject is called for each server that is taken out of use. It may be
	// nil.
	OnEject func(server Server)
}

// New returns a Placer for options.Policy. It is safe for concurrent use.
func New(options Options) (Placer, error) {
	if options.View == nil || options.Clock == nil {
		return nil, errors.New("a placer needs a view and a clock")
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	if options.Policy == settings.PolicyLeases {
		if options.Leases == nil {
			return nil, errors.New("the policy \"leases\" needs a lease holder")
		}
		return newLeasePlacer(options, &twoChoices{random: random}), nil
	}
	policy, err := newPolicy(options.Policy, random)
	if err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	return newBaseline(options, policy), nil
}
