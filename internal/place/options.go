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

// View returns the live engines of this VM's zone; fleet.Table implements it.
type View interface {
	// Engines returns the live engines that have model loaded, and adapter if it is
	// not empty. Callers must not modify the result, which may be shared.
	Engines(model, adapter string, now time.Time) []Server
}

// LeaseHolder acquires leases of engine memory from schedulers; capacity.Holder
// implements it.
type LeaseHolder interface {
	// Acquire waits for a lease on one of choices, from the scheduler of leaseGroup (see
	// the function LeaseGroup). The error is
	// capacity.ErrNoScheduler, a *capacity.RefusedError or the error of ctx.
	Acquire(ctx context.Context, leaseGroup string, request capacity.Request, choices []capacity.Choice) (*capacity.Lease, error)
	// Adopt registers an attempt that was placed without a scheduler's grant, and
	// returns a lease to release at its end.
	Adopt(leaseGroup, server string, request capacity.Request) *capacity.Lease
}

// Listener is notified of placement results. Its methods must not block.
type Listener interface {
	// RecordPlacement reports that a query with a prompt of tokens tokens was placed.
	RecordPlacement(tokens int64, now time.Time)
	// RecordOverload reports that a query was refused because no engine can finish it by
	// its deadline.
	RecordOverload(now time.Time)
}

// Options configures a Placer.
type Options struct {
	Policy settings.Policy
	View   View
	// VM is the name of this VM, under which it holds leases.
	VM string
	// Seed makes random policies reproducible.
	Seed uint64
	// Clock returns the current time; time.Now outside tests.
	Clock func() time.Time
	// Leases is required for settings.PolicyLeases.
	Leases LeaseHolder
	// Index estimates cached prefixes for settings.PolicyLeases. It may be nil.
	Index *prefix.Index
	// MaxEjectedPercent returns the maximum percentage of ejected servers in the
	// current bundle. If it is nil, ejected servers still receive requests.
	MaxEjectedPercent func() float64
	// ShortReservePercent returns the percentage of engine memory that the current
	// bundle reserves for short prompts; group segments leave it free. It may be nil.
	ShortReservePercent func() float64
	// Listener may be nil.
	Listener Listener
	// OnEject is called for each ejection. It may be nil.
	OnEject func(server Server)
}

// New returns a Placer for options.Policy. It is safe for concurrent use.
func New(options Options) (Placer, error) {
	if options.View == nil || options.Clock == nil {
		return nil, errors.New("placer: Options.View and Options.Clock are required")
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Seed))
	if options.Policy == settings.PolicyLeases {
		if options.Leases == nil {
			return nil, errors.New("placer: Options.Leases is required for policy \"leases\"")
		}
		return newLeasePlacer(options, &twoChoices{random: random}), nil
	}
	policy, err := newPolicy(options.Policy, random)
	if err != nil {
		return nil, fmt.Errorf("placer: %w", err)
	}
	return newLocalPlacer(options, policy), nil
}
