// Package capacity leases the memory of model engines. Each engine has one
// scheduler among the entry VMs of its zone, which knows what it has granted
// and therefore never grants memory twice. A lease that is not renewed
// expires; its memory counts as used until the engine confirms that it holds
// nothing any more.
package capacity

import "time"

// Config tunes the leases of one engine.
type Config struct {
	// LeaseTerm is the time after which a lease that is not renewed expires.
	LeaseTerm time.Duration
	// CancelGrace is the time between the expiry of a lease and the first
	// order to the engine to cancel its attempt, while its holder is alive.
	// Leases of a holder that cannot be reached are kept until the deadline
	// of the attempt: behind a split, the holder still uses them.
	CancelGrace time.Duration
	// CancelInterval is the time between two cancel orders for an attempt.
	CancelInterval time.Duration
	// MaxAttemptAge is longer than any admitted request may take. An attempt
	// on the engine that is older and belongs to no lease is cancelled.
	MaxAttemptAge time.Duration
	// ShortReservePercent of the memory serves short requests only.
	ShortReservePercent float64
	// MaxLongPrefillTokens bounds the prompt tokens of long requests that
	// are in prefill at one time. A single longer prompt runs alone.
	MaxLongPrefillTokens int64
	// MaxQueue bounds the requests that wait for one engine.
	MaxQueue int
}

// DefaultConfig returns the configuration for a lease term and the reserve of
// the bundle in force.
func DefaultConfig(term time.Duration, shortReservePercent float64, maxAttemptAge time.Duration) Config {
	return Config{
		LeaseTerm:            term,
		CancelGrace:          term,
		CancelInterval:       term / 2,
		MaxAttemptAge:        maxAttemptAge,
		ShortReservePercent:  shortReservePercent,
		MaxLongPrefillTokens: defaultLongPrefillTokens,
		MaxQueue:             defaultMaxQueue,
	}
}

const (
	// defaultLongPrefillTokens bounds long prefill in progress, in tokens.
	defaultLongPrefillTokens = 64_000
	// defaultMaxQueue bounds the requests waiting for one engine.
	defaultMaxQueue = 512
)

// Request asks for a lease on one engine.
type Request struct {
	Attempt string
	// Holder is the entry VM that will use and renew the lease.
	Holder string
	// Tokens is the engine memory asked for.
	Tokens int64
	// PrefillTokens is the part of the prompt that the engine is expected to
	// process, without what its prefix cache holds.
	PrefillTokens int64
	// Short requests may use the reserve.
	Short bool
	// Priority is 0 (lowest) to 9 (highest).
	Priority int
	// LatestStart is the last time at which the request can start and still
	// finish by its deadline.
	LatestStart time.Time
	// Deadline is when the attempt has ended at the latest.
	Deadline time.Time
}

// Choice is an engine that may serve a request.
type Choice struct {
	Server string
	// PrefillTokens is the part of the prompt that this engine is expected
	// to process, without what its prefix cache holds.
	PrefillTokens int64
	// TokenTime is the expected time for one prompt token on this engine.
	TokenTime time.Duration
	// Preferred choices are taken before others, unless that costs more than
	// half of the time until the latest start.
	Preferred bool
}

// DecisionKind tells what was decided on a request.
type DecisionKind int

// Kinds of decision.
const (
	// Granted means that the lease is held from now on.
	Granted DecisionKind = iota + 1
	// RefusedTooLarge means that the engine can never hold the request.
	RefusedTooLarge
	// RefusedDeadlineUnreachable means that the request could not start in time.
	RefusedDeadlineUnreachable
	// RefusedQueueFull means that too many requests wait.
	RefusedQueueFull
	// RefusedReleased means that the attempt was released before.
	RefusedReleased
	// RefusedNotScheduler means that this VM does not schedule the engine.
	RefusedNotScheduler
)

// Decision is the answer to a request.
type Decision struct {
	Attempt string
	Kind    DecisionKind
	// AheadTokens is the prefill ahead of the request on the engine when the
	// lease was granted.
	AheadTokens int64
}

// IsRefused reports whether the request was decided against.
func (k DecisionKind) IsRefused() bool { return k != Granted }

// HeldAttempt is an attempt that holds memory, as the engine lists it.
type HeldAttempt struct {
	Attempt string
	Tokens  int64
	Age     time.Duration
}

// Usage sums up the memory of one engine, in tokens.
type Usage struct {
	// Memory is what the engine has, Limit what this scheduler may grant.
	Memory int64
	Limit  int64
	// Long and Short are leased, expired leases that are not yet confirmed
	// free included.
	Long  int64
	Short int64
	// Unleased is held on the engine without a lease of this scheduler.
	Unleased int64
	// LongPrefill is the prompt tokens of long requests in prefill.
	LongPrefill int64
	// Prefill is the prompt tokens of all requests in prefill.
	Prefill int64
	Queued  int
	Leases  int
	Orphans int
}

// Leased returns the memory that the scheduler has granted and not got back.
func (u Usage) Leased() int64 { return u.Long + u.Short }
