package hub

import (
	"sync"
	"time"
)

// failures holds until when control VMs are not tried again, ever longer while
// they stay out of reach.
// It is safe for concurrent use.
type failures struct {
	mu    sync.Mutex
	until map[string]time.Time
	wait  map[string]time.Duration
}

func newFailures() *failures {
	return &failures{until: map[string]time.Time{}, wait: map[string]time.Duration{}}
}

func (f *failures) add(address string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := min(max(2*f.wait[address], firstAvoid), longestAvoid)
	f.wait[address], f.until[address] = wait, now.Add(wait)
}

func (f *failures) clear(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.wait, address)
	delete(f.until, address)
}

func (f *failures) avoided(address string, now time.Time) bool {
	return now.Before(f.avoidedUntil(address))
}

func (f *failures) avoidedUntil(address string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.until[address]
}

// pause is how long address was last avoided, 0 when it has not failed.
func (f *failures) pause(address string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wait[address]
}
