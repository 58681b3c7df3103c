package place

import (
	"sync"
	"time"
)

const (
	// maxTeamRetries and maxVMRetries are the numbers of retries that a new budget
	// allows before any success, and the maximum that it can accumulate.
	maxTeamRetries = 20
	maxVMRetries   = 50
	// budgetRefillTime is the time in which an empty bucket fills up without any
	// success.
	budgetRefillTime = time.Minute
)

// Budget limits retries to a percentage of recent successes, for the VM and for each
// team. A retry is taken from both buckets. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	vm    retryBucket
	teams map[string]*retryBucket
}

// retryBucket counts the retries that are available, up to a capacity.
type retryBucket struct {
	retries  float64
	filledAt time.Time
}

// NewBudget returns a budget whose buckets are full.
func NewBudget() *Budget {
	return &Budget{vm: retryBucket{retries: maxVMRetries}, teams: map[string]*retryBucket{}}
}

// refill adds the retries for the time since the last refill.
func (b *retryBucket) refill(capacity float64, now time.Time) {
	if !b.filledAt.IsZero() {
		b.add(capacity*now.Sub(b.filledAt).Seconds()/budgetRefillTime.Seconds(), capacity)
	}
	b.filledAt = now
}

func (b *retryBucket) add(retries, capacity float64) {
	b.retries = min(capacity, b.retries+retries)
}

func (b *Budget) team(name string) *retryBucket {
	if b.teams[name] == nil {
		b.teams[name] = &retryBucket{retries: maxTeamRetries}
	}
	return b.teams[name]
}

// RecordSuccess adds percent/100 of a retry to the buckets of the VM and of team.
func (b *Budget) RecordSuccess(team string, percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vm.add(percent/100, maxVMRetries)
	b.team(team).add(percent/100, maxTeamRetries)
}

// TrySpend takes one retry at now from the buckets of the VM and of team. It reports
// whether both had one, and takes none otherwise.
func (b *Budget) TrySpend(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	teamBucket := b.team(team)
	b.vm.refill(maxVMRetries, now)
	teamBucket.refill(maxTeamRetries, now)
	if b.vm.retries < 1 || teamBucket.retries < 1 {
		return false
	}
	b.vm.retries--
	teamBucket.retries--
	return true
}
