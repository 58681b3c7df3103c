package capacity

import (
	"slices"
	"time"
)

// settleTerms is how many lease terms a scheduler waits before it counts the
// share of a VM that newly names it: one until the former scheduler has lost
// the share, one until the last lease granted on it is in use or expired.
const settleTerms = 2

// Members tells which VM of a zone schedules a group of engines, and how much of
// their memory a scheduler may grant. Each entry VM of the zone, as listed
// in the settings, stands for an equal share of each engine's memory and
// gives it to the one VM that it takes for the scheduler. When the zone is
// split, each side grants only the shares of the VMs that it can ask, so the
// sides together never grant more than the engine has. It is pure and not safe
// for concurrent use.
type Members struct {
	self  string
	term  time.Duration
	peers map[string]*peer
	// names lists all entry VMs of the zone, self included.
	names []string
	live  []string
}

// peer is what a VM knows of another, or of itself.
type peer struct {
	// lastSeen is the time of the last sign of life.
	lastSeen time.Time
	// askedAt is when the view was asked for that the peer answered last.
	askedAt time.Time
	// view is what the peer takes for the live VMs.
	view []string
	// since tells for each engine from when on the peer has named self as
	// its scheduler in every answer.
	since map[string]time.Time
}

// NewMembers returns the members of a zone as self sees them at its start:
// only itself alive.
func NewMembers(self string, names []string, term time.Duration) *Members {
	m := &Members{self: self, term: term, peers: map[string]*peer{}, names: slices.Sorted(slices.Values(names))}
	for _, name := range names {
		m.peers[name] = &peer{since: map[string]time.Time{}}
	}
	m.live = []string{self}
	return m
}

// RecordContact records a sign of life of another VM: its question or its answer.
func (m *Members) RecordContact(name string, now time.Time) {
	if p, known := m.peers[name]; known {
		p.lastSeen = now
	}
}

// RecordView records the view that a VM answered to a question of this VM that
// was asked at askedAt.
func (m *Members) RecordView(name string, view []string, askedAt, now time.Time) {
	p, known := m.peers[name]
	if !known || !askedAt.After(p.askedAt) {
		return
	}
	if askedAt.Sub(p.askedAt) > m.term {
		clear(p.since)
	}
	p.lastSeen = now
	p.askedAt = askedAt
	if !slices.Equal(p.view, view) {
		p.view = slices.Clone(view)
		p.dropMoved(m.self)
	}
}

// dropMoved forgets the engines that the peer no longer gives to self.
func (p *peer) dropMoved(self string) {
	for group := range p.since {
		if Scheduler(group, p.view) != self {
			delete(p.since, group)
		}
	}
}

// Update recomputes the live VMs and this VM's own view. It is called at each
// tick.
func (m *Members) Update(now time.Time) {
	live := make([]string, 0, len(m.names))
	for _, name := range m.names {
		if name == m.self || now.Sub(m.peers[name].lastSeen) < m.term && !m.peers[name].lastSeen.IsZero() {
			live = append(live, name)
		}
	}
	m.live = live
	m.RecordView(m.self, live, now, now)
}

// View returns the live VMs as this VM sees them, itself included. It is what
// this VM answers to others. The result must not be changed.
func (m *Members) View() []string { return m.live }

// SchedulerOf returns the VM that schedules group by this VM's view.
func (m *Members) SchedulerOf(group string) string { return Scheduler(group, m.live) }

// Shares returns how many shares of group's memory this VM may grant at now,
// and the number of all shares.
func (m *Members) Shares(group string, now time.Time) (held, total int) {
	for _, name := range m.names {
		if m.peers[name].gives(group, m.self, m.term, now) {
			held++
		}
	}
	return held, len(m.names)
}

// gives reports whether the peer's share of group is self's to grant.
func (p *peer) gives(group, self string, term time.Duration, now time.Time) bool {
	if p.askedAt.IsZero() || now.Sub(p.askedAt) >= term || Scheduler(group, p.view) != self {
		return false
	}
	since, found := p.since[group]
	if !found {
		p.since[group] = now
		return false
	}
	return now.Sub(since) >= settleTerms*term
}
