package place

import (
	"sync"
	"time"
)

const (
	// teamReserve and vmReserve are the retries that are allowed before any
	// success, and the most that can be saved up.
	teamReserve = 20
	vmReserve   = 50
	// reserveRefill is the time in which an empty reserve fills again without
	// any success.
	reserveRefill = time.Minute
)

// Budget bounds retries to a share of recent successes, for the VM and for
// each team. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	vm    balance
	teams map[string]*balance
}

// balance is the number of retries saved up.
type balance struct {
	retries float64
	updated time.Time
}

// NewBudget returns a budget with full reserves.
func NewBudget() *Budget {
	return &Budget{vm: balance{retries: vmReserve}, teams: map[string]*balance{}}
}

func (b *balance) refill(reserve float64, now time.Time) {
	if !b.updated.IsZero() {
		b.add(reserve*now.Sub(b.updated).Seconds()/reserveRefill.Seconds(), reserve)
	}
	b.updated = now
}

func (b *balance) add(retries, reserve float64) {
	b.retries = min(reserve, b.retries+retries)
}

func (b *Budget) team(name string) *balance {
	if b.teams[name] == nil {
		b.teams[name] = &balance{retries: teamReserve}
	}
	return b.teams[name]
}

// RecordSuccess records a completed request; percent of it may be retried.
func (b *Budget) RecordSuccess(team string, percent float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.vm.add(percent/100, vmReserve)
	b.team(team).add(percent/100, teamReserve)
}

// TrySpend takes one retry at now and reports whether there was one.
func (b *Budget) TrySpend(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := b.team(team)
	b.vm.refill(vmReserve, now)
	own.refill(teamReserve, now)
	if b.vm.retries < 1 || own.retries < 1 {
		return false
	}
	b.vm.retries--
	own.retries--
	return true
}
