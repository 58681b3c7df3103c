package hub

import (
	"sync"
	"time"
)

// backoffs records the control VMs that are in backoff after a failed attempt to
// attach. The backoff doubles with each consecutive failure, from minBackoff to
// maxBackoff. It is safe for concurrent use.
type backoffs struct {
	mu sync.Mutex
	// until holds the end of the last backoff of each address, wait its duration.
	until map[string]time.Time
	wait  map[string]time.Duration
}

func newBackoffs() *backoffs {
	return &backoffs{until: map[string]time.Time{}, wait: map[string]time.Duration{}}
}

// add starts the backoff of address after a failure.
func (b *backoffs) add(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	wait := min(max(2*b.wait[address], minBackoff), maxBackoff)
	b.wait[address], b.until[address] = wait, now.Add(wait)
}

// clear ends the backoff of address, so that the next one is minBackoff again.
func (b *backoffs) clear(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.wait, address)
	delete(b.until, address)
}

func (b *backoffs) isActive(address string, now time.Time) bool {
	return now.Before(b.activeUntil(address))
}

// activeUntil returns the end of the last backoff of address, zero if there was
// none since the last clear.
func (b *backoffs) activeUntil(address string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.until[address]
}

// lastDuration returns the duration of the last backoff of address, 0 if there was
// none since the last clear.
func (b *backoffs) lastDuration(address string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.wait[address]
}
