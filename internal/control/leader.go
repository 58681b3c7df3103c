package control

import (
	"sync"
	"time"
)

// leaderTracker remembers when this VM last knew who leads.
type leaderTracker struct {
	mu      sync.Mutex
	heardAt time.Time
}

func (m *leaderTracker) heard(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = now
}

func (m *leaderTracker) known(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) < leaderMemory
}
