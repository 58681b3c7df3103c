// Package retrybudget limits the retries of requests over all entry VMs. Each VM
// counts its own traffic and uses an equal share of the fixed allowance, so the
// total stays within the budget without communication between VMs. The package
// does not decide which failures may be retried.
package retrybudget

import "time"

// bucketsPerWindow is the number of buckets into which a window is divided. The
// counters hold one bucket more: retries count in all of them, but first attempts
// only if their whole bucket lies within the window. So the limit holds for every
// span of a window's length, wherever it begins.
const bucketsPerWindow = 10

// Options are the limits of a budget.
type Options struct {
	// Ratio is the number of retries allowed per first attempt.
	Ratio float64
	// Allowance is the number of further retries allowed in a window, over all
	// entry VMs.
	Allowance float64
	// Window is the sliding time span in which attempts are counted.
	Window time.Duration
}

// Budget is the share of one VM. It is not safe for concurrent use.
type Budget struct {
	options      Options
	currentStart time.Time
	// allowanceFrom is the earliest time at which the allowance may be used, one
	// window after the start: an earlier process on this VM may have used the
	// allowance just before.
	allowanceFrom time.Time
	// firstAttempts and retries are rings of buckets. current is the index of the
	// bucket in use, which began at currentStart.
	firstAttempts [bucketsPerWindow + 1]int
	retries       [bucketsPerWindow + 1]int
	current       int
}

// safetyFactor scales the limit down, because VMs may count different numbers of
// entry VMs for a while.
const safetyFactor = 0.8

// New returns a budget that starts at now.
func New(options Options, now time.Time) *Budget {
	return &Budget{options: options, currentStart: now, allowanceFrom: now.Add(options.Window)}
}

// RecordFirstAttempt counts the first attempt of a request.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.firstAttempts[b.current]++
}

// TryRetry reports whether the budget allows a retry, and counts it if so. vms is
// the number of entry VMs that share the allowance.
func (b *Budget) TryRetry(now time.Time, vms int) bool {
	if !b.CanRetry(now, vms) {
		return false
	}
	b.retries[b.current]++
	return true
}

// CanRetry reports whether TryRetry would allow a retry at now.
func (b *Budget) CanRetry(now time.Time, vms int) bool {
	b.advance(now)
	firstAttempts, retries := 0, 0
	for i := range b.firstAttempts {
		retries += b.retries[i]
		if i != (b.current+1)%len(b.firstAttempts) {
			firstAttempts += b.firstAttempts[i]
		}
	}
	allowed := safetyFactor * b.options.Ratio * float64(firstAttempts)
	if !now.Before(b.allowanceFrom) {
		allowed += safetyFactor * b.options.Allowance / float64(max(vms, 1))
	}
	return float64(retries+1) <= allowed
}

// advance drops the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	width := b.options.Window / bucketsPerWindow
	for steps := 0; now.Sub(b.currentStart) >= width; steps++ {
		if steps > len(b.firstAttempts) {
			b.currentStart = now
			return
		}
		b.currentStart = b.currentStart.Add(width)
		b.current = (b.current + 1) % len(b.firstAttempts)
		b.firstAttempts[b.current], b.retries[b.current] = 0, 0
	}
}
