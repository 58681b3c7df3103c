package quarantine

import (
	"sync"
	"time"
)

// Guard is a Tracker that is safe for concurrent use.
type Guard struct {
	mu      sync.Mutex
	tracker *Tracker
}

// NewGuard returns a guard without evidence.
func NewGuard() *Guard { return &Guard{tracker: NewTracker()} }

// Do calls f with the tracker, which f must not keep.
func (g *Guard) Do(f func(*Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

// Quarantined is Tracker.Quarantined.
func (g *Guard) Quarantined(now time.Time, parts []Subject) (part Subject, found bool) {
	if len(parts) == 0 {
		return 0, false
	}
	g.Do(func(t *Tracker) { part, found = t.Quarantined(now, parts) })
	return part, found
}
