// Package capacity leases the memory of model engines to the entry VMs of a zone,
// in tokens. Rendezvous hashing assigns each group of engines to one entry VM as its
// scheduler. The scheduler records what it has granted and never grants the same
// memory twice, also while the zone is partitioned or the scheduler changes.
//
// A holder is an entry VM that uses leases. It renews them periodically. A lease
// that is not renewed expires, but its memory counts as used until the engine
// confirms that it is free.
//
// The package does not send inference requests to engines and does not know their prefix
// caches: for each request, the caller passes the engines that can serve it and the
// expected prefill on each.
package capacity

import "time"

// Config configures the leases of one engine.
type Config struct {
	// LeaseTerm is the time after which a lease that is not renewed expires.
	LeaseTerm time.Duration
	// CancelGrace is the time between the expiry of a lease and the first
	// cancel request to the engine, if the holder is alive. A lease of an
	// unreachable holder is kept until the deadline of its attempt, because
	// a partitioned holder may still use it.
	CancelGrace time.Duration
	// CancelInterval is the minimum time between two cancel requests for the
	// same attempt.
	CancelInterval time.Duration
	// MaxAttemptAge exceeds the maximum run time of any admitted request. An
	// older attempt on the engine without a lease is cancelled.
	MaxAttemptAge time.Duration
	// ShortReservePercent is the percentage of the grantable memory that is
	// reserved for short requests.
	ShortReservePercent float64
	// MaxLongPrefillTokens is the maximum sum of the prompt tokens of long
	// requests in prefill. A prompt that exceeds it by itself is prefilled
	// while no other long request is in prefill.
	MaxLongPrefillTokens int64
	// MaxQueue is the maximum number of requests queued for one engine.
	MaxQueue int
}

// DefaultConfig returns the default configuration for a lease term, the short
// reserve of the bundle in force and a maximum attempt age.
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
	// defaultLongPrefillTokens is the default of Config.MaxLongPrefillTokens.
	defaultLongPrefillTokens = 64_000
	// defaultMaxQueue is the default of Config.MaxQueue.
	defaultMaxQueue = 512
)

// Request is a request for a lease on one engine.
type Request struct {
	// Attempt is the attempt ID.
	Attempt string
	// Holder is the entry VM that will use and renew the lease.
	Holder string
	// Tokens is the requested engine memory.
	Tokens int64
	// PrefillTokens is the number of prompt tokens that the engine is expected
	// to prefill, without those in its prefix cache.
	PrefillTokens int64
	// Short tells that the request may use the memory reserved for short
	// requests.
	Short bool
	// Priority is 0 (lowest) to 9 (highest).
	Priority int
	// LatestStart is the latest time at which the request can start and still
	// finish by its deadline.
	LatestStart time.Time
	// Deadline is the time by which the attempt ends.
	Deadline time.Time
}

// Choice is an engine that can serve a request.
type Choice struct {
	// Server is the ID of the engine.
	Server string
	// PrefillTokens is the number of prompt tokens that this engine is expected
	// to prefill, without those in its prefix cache.
	PrefillTokens int64
	// TokenTime is the expected prefill time per prompt token on this engine.
	TokenTime time.Duration
	// Preferred choices take precedence over others, unless the expected wait
	// exceeds half of the time until the latest start.
	Preferred bool
}

// DecisionKind is the result of a lease request.
type DecisionKind int

// The decision kinds. The zero value is none of them.
const (
	// Granted means that the holder has the lease.
	Granted DecisionKind = iota + 1
	// RefusedTooLarge means that the request exceeds the engine's memory.
	RefusedTooLarge
	// RefusedDeadlineUnreachable means that the latest start has passed.
	RefusedDeadlineUnreachable
	// RefusedQueueFull means that the queue is full of requests that take
	// precedence or came earlier.
	RefusedQueueFull
	// RefusedReleased means that the attempt was released, or that its lease
	// has expired.
	RefusedReleased
	// RefusedNotScheduler means that this VM does not schedule any of the
	// engines, or that none has a limit as large as the request.
	RefusedNotScheduler
)

// Decision is the decision on a lease request.
type Decision struct {
	Attempt string
	Kind    DecisionKind
	// AheadTokens is the number of prompt tokens that the engine prefills
	// before those of the request, at the time of the grant.
	AheadTokens int64
}

// IsRefused reports whether the request was refused.
func (k DecisionKind) IsRefused() bool { return k != Granted }

// HeldAttempt is an attempt that holds engine memory, as listed by the engine.
type HeldAttempt struct {
	Attempt string
	Tokens  int64
	Age     time.Duration
}

// Usage is the memory usage of one engine, in tokens.
type Usage struct {
	// Memory is the memory of the engine, Limit the part that this scheduler
	// may grant.
	Memory int64
	Limit  int64
	// Long and Short are the leased memory of long and short requests. They
	// include expired leases until the engine has confirmed that the memory is
	// free.
	Long  int64
	Short int64
	// Unleased is memory that the engine holds for attempts without a lease of
	// this scheduler, as of the last list.
	Unleased int64
	// LongPrefill is the number of prompt tokens of long requests in prefill.
	LongPrefill int64
	// Prefill is the number of prompt tokens of all requests in prefill.
	Prefill int64
	// Queued, Leases and Orphans are counts. Orphans are the leases that are
	// being cancelled on the engine; Leases includes them.
	Queued  int
	Leases  int
	Orphans int
}

// Leased returns the memory that is granted and not yet released, in tokens.
func (u Usage) Leased() int64 { return u.Long + u.Short }
