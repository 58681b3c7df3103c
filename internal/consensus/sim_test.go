package consensus

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	simStep      = 10 * time.Millisecond
	simHeartbeat = 100 * time.Millisecond
	simElection  = time.Second
	simGroup     = 7
)

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simDisk is the state that a node has synced.
type simDisk struct {
	state    HardState
	snapshot *Snapshot
	entries  []Entry
}

func (d *simDisk) save(w *Write) {
	d.state = w.HardState
	if w.Snapshot != nil {
		d.snapshot = w.Snapshot
	}
	if w.Reset {
		d.entries = nil
	}
	for _, entry := range w.Entries {
		for len(d.entries) > 0 && d.entries[len(d.entries)-1].Index >= entry.Index {
			d.entries = d.entries[:len(d.entries)-1]
		}
		d.entries = append(d.entries, entry)
	}
	if w.Snapshot != nil {
		d.entries = slices.DeleteFunc(slices.Clone(d.entries), func(e Entry) bool { return e.Index < w.KeepFrom })
	}
}

// has reports whether the disk has the entry, or a snapshot that covers it.
func (d *simDisk) has(index, term uint64) bool {
	if d.snapshot != nil && d.snapshot.Index >= index {
		return true
	}
	return slices.ContainsFunc(d.entries, func(e Entry) bool { return e.Index == index && e.Term == term })
}

// simNode is one member with its clock, disk and state machine.
type simNode struct {
	id   MemberID
	core *Core
	disk simDisk
	up   bool
	// frozen nodes neither run nor lose state; messages to them wait in inbox.
	frozen bool
	// dead nodes have lost their disks for good.
	dead bool
	// The node's clock shows the simulated time multiplied by rate, plus offset.
	rate   float64
	offset time.Duration
	// nextClockStepAt is the earliest time at which the clock may step again: the
	// core tolerates one step within a lease.
	nextClockStepAt time.Duration

	// write is the write in progress, nil for none. It reaches the disk at writeDue.
	write    *Write
	writeDue time.Duration
	inbox    []Message
	// applied and state are the replicated state machine: the last applied index
	// and a hash chain of the entries.
	applied uint64
	state   []byte
}

func (n *simNode) clock(now time.Duration) time.Time {
	return simStart.Add(time.Duration(float64(now)*n.rate) + n.offset)
}

// simInFlight is a message that is to be delivered at due.
type simInFlight struct {
	due time.Duration
	m   Message
}

// simFaults are the current faults of the network and the disks: the probability
// that a message is dropped or repeated, and the maximum delays of messages and
// writes.
type simFaults struct {
	drop, repeat       float64
	maxDelay, maxWrite time.Duration
}

// simRead is a read index request at a node.
type simRead struct {
	node      MemberID
	requestID uint64
	term      uint64
	// minIndex is the highest entry that was applied at any node when the read was
	// requested.
	minIndex uint64
}

// sim is a deterministic simulation of a group. It runs cores with simulated
// clocks, disks and links under faults, and checks the safety properties of the
// protocol.
type sim struct {
	fail     func(format string, args ...any)
	rand     *rand.Rand
	now      time.Duration
	nodes    map[MemberID]*simNode
	order    []MemberID
	inFlight []simInFlight
	cutLinks map[[2]MemberID]bool
	faults   simFaults
	nextID   MemberID

	// leaders holds the leader of each term.
	leaders map[uint64]MemberID
	// committed holds each applied entry by index.
	committed map[uint64]Entry
	// commitTerm holds, by index, the term of the node that first applied the entry.
	commitTerm map[uint64]uint64
	// states holds the state after each applied entry, by index.
	states    map[uint64][]byte
	maxCommit uint64
	// reads holds all read requests of the nodes since their last crash.
	reads []simRead
	// commands counts the proposed commands, to give each a name of its own.
	commands int
}

func newSim(size int, seed uint64, fail func(string, ...any)) *sim {
	s := &sim{
		fail:       fail,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		nodes:      map[MemberID]*simNode{},
		cutLinks:   map[[2]MemberID]bool{},
		leaders:    map[uint64]MemberID{},
		committed:  map[uint64]Entry{},
		commitTerm: map[uint64]uint64{},
		states:     map[uint64][]byte{0: nil},
	}
	var members []Member
	for range size {
		n := s.addNode()
		members = append(members, simMember(n.id))
	}
	for _, id := range s.order {
		n := s.nodes[id]
		if err := n.core.Bootstrap(simGroup, NewMembership(members...), n.clock(s.now)); err != nil {
			s.fail("bootstrap: %v", err)
		}
		s.drain(n)
	}
	return s
}

func simMember(id MemberID) Member {
	return Member{ID: id, Name: fmt.Sprintf("vm-%d", id), Address: fmt.Sprintf("10.0.0.%d", id)}
}

func (s *sim) addNode() *simNode {
	s.nextID++
	n := &simNode{id: s.nextID, rate: 0.98 + 0.04*s.rand.Float64()}
	s.nodes[n.id] = n
	s.order = append(s.order, n.id)
	s.boot(n)
	return n
}

func (s *sim) boot(n *simNode) {
	config := Config{
		ID: n.id, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, MaxClockDriftPercent: 5,
		MaxMessageBytes: 200, MaxCommandBytes: 1000, MaxInFlightAppends: 4, MaxPendingBytes: 1 << 20,
		MaxSnapshotBytes: 1 << 20, KeepEntries: 3, Rand: rand.New(rand.NewPCG(uint64(n.id), s.rand.Uint64())),
	}
	stored := StoredState{HardState: n.disk.state, Snapshot: n.disk.snapshot, Entries: slices.Clone(n.disk.entries)}
	core, err := New(config, stored, n.clock(s.now))
	if err != nil {
		s.fail("start of node %d: %v", n.id, err)
		return
	}
	n.core, n.up, n.frozen = core, true, false
	n.write, n.inbox, n.applied, n.state = nil, nil, 0, nil
	s.drain(n)
}

// crash stops a node, which loses all state that is not synced. A write in
// progress is on the disk afterwards if reachesDisk is set.
func (s *sim) crash(n *simNode, reachesDisk bool) {
	if n.write != nil && reachesDisk {
		n.disk.save(n.write)
	}
	n.up, n.core, n.write, n.inbox = false, nil, nil, nil
	s.reads = slices.DeleteFunc(s.reads, func(r simRead) bool { return r.node == n.id })
}

func (s *sim) running(n *simNode) bool { return n.up && !n.frozen && !n.dead }

// run advances the simulated time by d in steps of simStep. Each step ticks the
// running nodes, completes their writes, delivers messages and checks the leases;
// the logs are checked at the end.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, id := range s.order {
			if n := s.nodes[id]; s.running(n) {
				s.stepNode(n)
			}
		}
		s.deliver()
		s.checkLeases()
	}
	s.checkLogs()
}

func (s *sim) stepNode(n *simNode) {
	inbox := n.inbox
	n.inbox = nil
	for _, m := range inbox {
		_ = n.core.Step(m, n.clock(s.now))
	}
	n.core.Tick(n.clock(s.now))
	if n.write != nil && s.now >= n.writeDue {
		n.disk.save(n.write)
		n.write = nil
		n.core.ConfirmWrite()
	}
	s.drain(n)
}

func (s *sim) deliver() {
	messages := s.inFlight
	s.inFlight = nil
	for _, f := range messages {
		if f.due > s.now {
			s.inFlight = append(s.inFlight, f)
			continue
		}
		n := s.nodes[f.m.To]
		if n == nil || !n.up || n.dead || s.cutLinks[[2]MemberID{f.m.From, f.m.To}] {
			continue
		}
		if n.frozen {
			n.inbox = append(n.inbox, f.m)
			continue
		}
		_ = n.core.Step(f.m, n.clock(s.now))
		s.drain(n)
	}
}

func (s *sim) send(m Message) {
	copies := 1
	if s.rand.Float64() < s.faults.drop {
		copies = 0
	} else if s.rand.Float64() < s.faults.repeat {
		copies = 2
	}
	for range copies {
		s.inFlight = append(s.inFlight, simInFlight{due: s.now + s.randomDelay(s.faults.maxDelay), m: m})
	}
}

func (s *sim) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(limit) + 1))
}

// drain does the work that Ready returns, as package replica does.
func (s *sim) drain(n *simNode) {
	n.core.Flush()
	for {
		ready := n.core.Ready()
		if len(ready.Messages) == 0 && ready.Write == nil && ready.Restore == nil &&
			len(ready.Committed) == 0 && len(ready.ReadStates) == 0 && len(ready.Events) == 0 {
			return
		}
		for _, m := range ready.Messages {
			s.send(m)
		}
		if ready.Write != nil {
			if n.write != nil {
				s.fail("node %d has two writes in progress", n.id)
			}
			n.write, n.writeDue = ready.Write, s.now+s.randomDelay(s.faults.maxWrite)
		}
		for _, event := range ready.Events {
			if event.Kind == EventBecameLeader {
				s.checkNewLeader(n, event.Term)
			}
		}
		s.apply(n, &ready)
		for _, read := range ready.ReadStates {
			s.checkRead(n, read)
		}
	}
}

func (s *sim) apply(n *simNode, ready *Ready) {
	if ready.Restore != nil {
		if ready.Restore.Index < n.applied {
			s.fail("node %d, which applied entry %d, restores a snapshot at entry %d", n.id, n.applied, ready.Restore.Index)
		}
		n.applied, n.state = ready.Restore.Index, ready.Restore.Data
		s.checkState(n)
	}
	for _, entry := range ready.Committed {
		if entry.Index != n.applied+1 {
			s.fail("node %d applies entry %d after entry %d", n.id, entry.Index, n.applied)
		}
		s.checkCommitted(n, entry)
		n.applied = entry.Index
		hash := fnv.New64a()
		hash.Write(n.state)
		fmt.Fprintf(hash, "%d %d %s", entry.Index, entry.Kind, entry.Data)
		n.state = append(hash.Sum(nil), bytes.Repeat([]byte("state"), 100)...)
		s.checkState(n)
	}
}

// leader returns the running node that leads in the highest term, nil if there is
// none.
func (s *sim) leader() *simNode {
	var leader *simNode
	for _, n := range s.believedLeaders() {
		if leader == nil || n.core.term > leader.core.term {
			leader = n
		}
	}
	return leader
}

// believedLeaders returns all running nodes whose role is leader.
func (s *sim) believedLeaders() []*simNode {
	var believedLeaders []*simNode
	for _, id := range s.order {
		if n := s.nodes[id]; s.running(n) && n.core.role == RoleLeader {
			believedLeaders = append(believedLeaders, n)
		}
	}
	return believedLeaders
}

func (s *sim) propose(n *simNode) {
	s.commands++
	_, _, _ = n.core.Propose(fmt.Appendf(nil, "command-%d", s.commands), n.clock(s.now))
	s.drain(n)
}

func (s *sim) read(n *simNode) {
	requestID, err := n.core.RequestReadIndex(n.clock(s.now))
	if err != nil {
		return
	}
	s.reads = append(s.reads, simRead{node: n.id, requestID: requestID, term: n.core.term, minIndex: s.maxCommit})
	s.drain(n)
}

// canLoseDisk reports whether n can lose its disk so that every membership in a
// node or a message keeps a majority of voters with disks.
func (s *sim) canLoseDisk(n *simNode) bool {
	var memberships []Membership
	messages := []Message{}
	for _, f := range s.inFlight {
		messages = append(messages, f.m)
	}
	for _, id := range s.order {
		node := s.nodes[id]
		if node.dead {
			continue
		}
		if node.core == nil {
			return false
		}
		memberships = append(memberships, node.core.membership)
		messages = append(messages, node.inbox...)
	}
	for _, m := range messages {
		for _, entry := range m.Entries {
			if entry.Membership != nil {
				memberships = append(memberships, *entry.Membership)
			}
		}
	}
	return !slices.ContainsFunc(memberships, func(m Membership) bool { return s.aliveWithout(m, n.id) < m.Quorum() })
}

// aliveWithout returns the number of voters other than id that have their disks.
func (s *sim) aliveWithout(membership Membership, id MemberID) int {
	alive := 0
	for _, voter := range membership.Voters() {
		if voter != id && !s.nodes[voter].dead {
			alive++
		}
	}
	return alive
}

// canRemove reports whether a majority of the voters that remain without id, and at
// least two, have their disks.
func (s *sim) canRemove(leader *simNode, id MemberID) bool {
	next := leader.core.membership.without(id)
	alive := s.aliveWithout(next, id)
	return alive >= max(next.Quorum(), 2)
}

// heal ends all faults and starts all nodes except those that lost their disks.
func (s *sim) heal() {
	clear(s.cutLinks)
	s.faults = simFaults{maxDelay: 5 * time.Millisecond}
	for _, id := range s.order {
		n := s.nodes[id]
		n.frozen = false
		if !n.up && !n.dead {
			s.boot(n)
		}
	}
}
