package bundle

import "sync"

// Holder holds the bundle in force on this VM. The version of the bundle never
// decreases. Holder is safe for concurrent use.
type Holder struct {
	mu      sync.RWMutex
	current *AcceptedBundle
	changed chan struct{}
}

// NewHolder returns a holder without a bundle.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the bundle in force, or nil before the first one.
func (h *Holder) Current() *AcceptedBundle {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.current
}

// Advance puts next in force if its version is higher than the current one, and
// reports whether it did. The caller must have verified next.
func (h *Holder) Advance(next *AcceptedBundle) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.current != nil && next.Version <= h.current.Version {
		return false
	}
	h.current = next
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next bundle is put in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}
