package hub

import (
	"cmp"
	"sync"
	"time"
)

// backoffs records the control VMs that are in backoff after a failed attempt to
// attach. The backoff doubles with each consecutive failure, from minBackoff to
// maxBackoff. It is forgotten when it has been over for as long as it lasted, so that an
// old failure does not outweigh a recent one. backoffs is safe for concurrent use.
type backoffs struct {
	mu sync.Mutex
	// last holds the last backoff of each address.
	last map[string]backoff
}

// backoff is the time of one address in which it is tried only if no other is left.
type backoff struct {
	until    time.Time
	duration time.Duration
}

func newBackoffs() *backoffs { return &backoffs{last: map[string]backoff{}} }

// add starts the backoff of address after a failure.
func (b *backoffs) add(address string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	duration := min(max(2*b.remembered(address, now).duration, minBackoff), maxBackoff)
	b.last[address] = backoff{until: now.Add(duration), duration: duration}
}

// clear ends the backoff of address, so that the next one is minBackoff again.
func (b *backoffs) clear(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.last, address)
}

func (b *backoffs) isActive(address string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Before(b.last[address].until)
}

// remembered returns the last backoff of address, zero if it is forgotten. The caller holds mu.
func (b *backoffs) remembered(address string, now time.Time) backoff {
	last := b.last[address]
	if now.Sub(last.until) >= last.duration {
		return backoff{}
	}
	return last
}

// compare orders addresses: those that are not in backoff by the duration of the last one,
// then the others by its end.
func (b *backoffs) compare(x, y string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	first, second := b.remembered(x, now), b.remembered(y, now)
	firstActive, secondActive := now.Before(first.until), now.Before(second.until)
	switch {
	case firstActive && secondActive:
		return first.until.Compare(second.until)
	case firstActive:
		return 1
	case secondActive:
		return -1
	}
	return cmp.Compare(first.duration, second.duration)
}
