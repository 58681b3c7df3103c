package capacity

import (
	"slices"
	"time"
)

// settleTerms is the number of lease terms from the time when a VM newly names a scheduler
// until that scheduler uses the share of the VM. In the first term the former scheduler
// loses the share. In the second term, the last lease that the former scheduler granted
// on the share is used or expires.
const settleTerms = 2

// Members determines which VM of a zone schedules a group of engines, and which part of
// their memory a scheduler may grant.
//
// Each entry VM of the zone, as listed in the settings, owns an equal share of each
// engine's memory. It gives the share to one VM: the scheduler according to its own view
// of the zone. A scheduler may grant only the shares of VMs whose view, requested within
// the last lease term, makes it the scheduler. So in a partitioned zone, each side grants
// only the shares of its own VMs, and all sides together never grant more than the
// engine's memory.
//
// Members does no I/O, takes the time as a parameter, and is not safe for concurrent use.
type Members struct {
	self  string
	term  time.Duration
	peers map[string]*peer
	// names lists all entry VMs of the zone, self included.
	names []string
	// live lists the VMs that self considers alive, self included.
	live []string
}

// peer is the state of one VM of the zone, which can be this VM.
type peer struct {
	// lastSeen is the time of the last message from the VM, zero before the first.
	lastSeen time.Time
	// requestedAt is the time at which view was requested.
	requestedAt time.Time
	// view lists the VMs that the peer considers alive.
	view []string
	// namedSelfSince holds, by group, the time since which every view of the
	// peer has made self the scheduler.
	namedSelfSince map[string]time.Time
}

// NewMembers returns the initial state of VM self, which considers only itself alive.
// names lists the entry VMs of the zone, including self.
func NewMembers(self string, names []string, term time.Duration) *Members {
	m := &Members{self: self, term: term, peers: map[string]*peer{}, names: slices.Sorted(slices.Values(names))}
	for _, name := range names {
		m.peers[name] = &peer{namedSelfSince: map[string]time.Time{}}
	}
	m.live = []string{self}
	return m
}

// RecordContact records that a message of another VM arrived. Unknown VMs are ignored.
func (m *Members) RecordContact(name string, now time.Time) {
	if p, known := m.peers[name]; known {
		p.lastSeen = now
	}
}

// RecordView records the view that a VM replied to a request sent at requestedAt. Replies that
// arrive out of order are discarded. If this view was requested more than a lease term
// after the one before, the VM may have named another scheduler in between, so its shares
// have to settle again.
func (m *Members) RecordView(name string, view []string, requestedAt, now time.Time) {
	p, known := m.peers[name]
	if !known || !requestedAt.After(p.requestedAt) {
		return
	}
	if requestedAt.Sub(p.requestedAt) > m.term {
		clear(p.namedSelfSince)
	}
	p.lastSeen = now
	p.requestedAt = requestedAt
	if !slices.Equal(p.view, view) {
		p.view = slices.Clone(view)
		p.dropReassigned(m.self)
	}
}

// dropReassigned removes the groups for which the peer no longer names self as scheduler.
func (p *peer) dropReassigned(self string) {
	for group := range p.namedSelfSince {
		if Scheduler(group, p.view) != self {
			delete(p.namedSelfSince, group)
		}
	}
}

// Update recomputes the live VMs: self and the VMs seen within the last lease term. It is
// called at each tick.
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

// View returns the VMs that this VM considers alive, including itself. It is sent to other
// VMs. The result must not be changed.
func (m *Members) View() []string { return m.live }

// SchedulerOf returns the VM that schedules group according to this VM's view.
func (m *Members) SchedulerOf(group string) string { return Scheduler(group, m.live) }

// Shares returns the number of shares of the memory of group that this VM may grant at now,
// and the total number of shares.
func (m *Members) Shares(group string, now time.Time) (held, total int) {
	for _, name := range m.names {
		if m.peers[name].givesShare(group, m.self, m.term, now) {
			held++
		}
	}
	return held, len(m.names)
}

// givesShare reports whether self may grant the peer's share of group. The first call after
// the peer names self as scheduler starts the settling time.
func (p *peer) givesShare(group, self string, term time.Duration, now time.Time) bool {
	if p.requestedAt.IsZero() || now.Sub(p.requestedAt) >= term || Scheduler(group, p.view) != self {
		return false
	}
	namedSince, found := p.namedSelfSince[group]
	if !found {
		p.namedSelfSince[group] = now
		return false
	}
	return now.Sub(namedSince) >= settleTerms*term
}
