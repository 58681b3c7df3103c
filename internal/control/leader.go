package control

import (
	"sync"
	"time"
)

// leaderMemo remembers when this VM last knew who leads.
type leaderMemo struct {
	mu      sync.Mutex
	heardAt time.Time
}

func (m *leaderMemo) heard(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.heardAt = now
}

func (m *leaderMemo) known(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) < leaderMemory
}
