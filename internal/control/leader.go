package control

import (
	"sync"
	"time"
)

// leaderTracker records when this VM last knew the leader of the control group.
type leaderTracker struct {
	mu       sync.Mutex
	lastSeen time.Time
}

func (t *leaderTracker) recordLeader(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastSeen = now
}

// hasRecentLeader reports whether a leader was known within leaderGracePeriod
// before now.
func (t *leaderTracker) hasRecentLeader(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.lastSeen.IsZero() && now.Sub(t.lastSeen) < leaderGracePeriod
}
