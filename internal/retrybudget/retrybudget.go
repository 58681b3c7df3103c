// Package retrybudget bounds how often requests are sent again, over all entry
// VMs. Each VM counts its own traffic and takes an equal part of the fixed
// allowance, so that the sum stays within the whole without an exchange.
package retrybudget

import "time"

// buckets is the number of parts of a window. A request is counted only while
// its whole bucket lies within the window, so the bound holds for any span.
const buckets = 10

// Options are the bounds of a budget.
type Options struct {
	// Ratio is the repeats allowed for each first send.
	Ratio float64
	// Allowance is the repeats allowed in a window beside those, over all VMs.
	Allowance float64
	Window    time.Duration
}

// Budget is the part of one VM. It is not safe for concurrent use.
type Budget struct {
	options Options
	start   time.Time
	// wholeAt is when the allowance may be used: a process that ran here before
	// may have spent it in the window that began with its last repeat.
	wholeAt time.Time
	firsts  [buckets + 1]int
	repeats [buckets + 1]int
	at      int
}

// safetyFactor leaves room for VMs that count a different number of peers.
const safetyFactor = 0.8

// New returns a budget that starts at now.
func New(options Options, now time.Time) *Budget {
	return &Budget{options: options, start: now, wholeAt: now.Add(options.Window)}
}

// RecordFirstAttempt counts a request that is sent for the first time.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.advance(now)
	b.firsts[b.at]++
}

// TryRetry counts a repeat if the budget allows it. VMs is the number of
// entry VMs that share the allowance.
func (b *Budget) TryRetry(now time.Time, vms int) bool {
	b.advance(now)
	firsts, repeats := 0, 0
	for i := range b.firsts {
		repeats += b.repeats[i]
		if i != (b.at+1)%len(b.firsts) {
			firsts += b.firsts[i]
		}
	}
	allowed := safetyFactor * b.options.Ratio * float64(firsts)
	if !now.Before(b.wholeAt) {
		allowed += safetyFactor * b.options.Allowance / float64(max(vms, 1))
	}
	if float64(repeats+1) > allowed {
		return false
	}
	b.repeats[b.at]++
	return true
}

// advance forgets the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	width := b.options.Window / buckets
	for steps := 0; now.Sub(b.start) >= width; steps++ {
		if steps > len(b.firsts) {
			b.start = now
			return
		}
		b.start = b.start.Add(width)
		b.at = (b.at + 1) % len(b.firsts)
		b.firsts[b.at], b.repeats[b.at] = 0, 0
	}
}
