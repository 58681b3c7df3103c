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

// simDisk is what a node has synced.
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

// holds tells whether the disk has the entry, or a snapshot that covers it.
func (d *simDisk) holds(index, term uint64) bool {
	if d.snapshot != nil && d.snapshot.Index >= index {
		return true
	}
	return slices.ContainsFunc(d.entries, func(e Entry) bool { return e.Index == index && e.Term == term })
}

// simNode is one member with its clock, disk and state machine.
type simNode struct {
	id     MemberID
	core   *Core
	disk   simDisk
	up     bool
	frozen bool
	dead   bool
	// rate and offset make its clock from the true time.
	rate   float64
	offset time.Duration
	// mayStep is the earliest time of the next step of its clock.
	mayStep time.Duration

	write    *Write
	writeDue time.Duration
	inbox    []Message
	// applied and state are the state machine: a hash chain of commands.
	applied uint64
	state   []byte
}

func (n *simNode) clock(now time.Duration) time.Time {
	return simStart.Add(time.Duration(float64(now)*n.rate) + n.offset)
}

type simFlight struct {
	due time.Duration
	m   Message
}

// simFaults are the faults of the network and of the disks for a while.
type simFaults struct {
	drop, repeat       float64
	maxDelay, maxWrite time.Duration
}

type simRead struct {
	node    MemberID
	request uint64
	term    uint64
	// known is what was committed anywhere when the read began.
	known uint64
}

// sim drives real cores under faults and checks their promises.
type sim struct {
	fail   func(format string, args ...any)
	rand   *rand.Rand
	now    time.Duration
	nodes  map[MemberID]*simNode
	order  []MemberID
	flight []simFlight
	cut    map[[2]MemberID]bool
	faults simFaults
	nextID MemberID

	leaders   map[uint64]MemberID
	committed map[uint64]Entry
	// commitTerm is the term of the member that first knew an entry committed.
	commitTerm map[uint64]uint64
	states     map[uint64][]byte
	maxCommit  uint64
	reads      []simRead
	commands   int
}

func newSim(size int, seed uint64, fail func(string, ...any)) *sim {
	s := &sim{
		fail:       fail,
		rand:       rand.New(rand.NewPCG(seed, 1)),
		nodes:      map[MemberID]*simNode{},
		cut:        map[[2]MemberID]bool{},
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
			s.fail("form: %v", err)
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
		s.fail("node %d does not start: %v", n.id, err)
		return
	}
	n.core, n.up, n.frozen = core, true, false
	n.write, n.inbox, n.applied, n.state = nil, nil, 0, nil
	s.drain(n)
}

// crash loses what is not synced. A write in progress may have reached the
// disk or not.
func (s *sim) crash(n *simNode, reachesDisk bool) {
	if n.write != nil && reachesDisk {
		n.disk.save(n.write)
	}
	n.up, n.core, n.write, n.inbox = false, nil, nil, nil
	s.reads = slices.DeleteFunc(s.reads, func(r simRead) bool { return r.node == n.id })
}

func (s *sim) running(n *simNode) bool { return n.up && !n.frozen && !n.dead }

// run lets time pass: ticks, disks, messages.
func (s *sim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.now += simStep
		for _, id := range s.order {
			if n := s.nodes[id]; s.running(n) {
				s.turn(n)
			}
		}
		s.deliver()
		s.checkLeases()
	}
	s.checkLogs()
}

func (s *sim) turn(n *simNode) {
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
	waiting := s.flight
	s.flight = nil
	for _, f := range waiting {
		if f.due > s.now {
			s.flight = append(s.flight, f)
			continue
		}
		n := s.nodes[f.m.To]
		if n == nil || !n.up || n.dead || s.cut[[2]MemberID{f.m.From, f.m.To}] {
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

func (s *sim) post(m Message) {
	copies := 1
	if s.rand.Float64() < s.faults.drop {
		copies = 0
	} else if s.rand.Float64() < s.faults.repeat {
		copies = 2
	}
	for range copies {
		s.flight = append(s.flight, simFlight{due: s.now + s.delay(s.faults.maxDelay), m: m})
	}
}

func (s *sim) delay(most time.Duration) time.Duration {
	return time.Duration(s.rand.Int64N(int64(most) + 1))
}

// drain does what a core asks for, as the runner does.
func (s *sim) drain(n *simNode) {
	n.core.Flush()
	for {
		ready := n.core.Ready()
		if len(ready.Messages) == 0 && ready.Write == nil && ready.Restore == nil &&
			len(ready.Committed) == 0 && len(ready.ReadStates) == 0 && len(ready.Events) == 0 {
			return
		}
		for _, m := range ready.Messages {
			s.post(m)
		}
		if ready.Write != nil {
			if n.write != nil {
				s.fail("node %d has two writes", n.id)
			}
			n.write, n.writeDue = ready.Write, s.now+s.delay(s.faults.maxWrite)
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
			s.fail("node %d goes back from %d to %d", n.id, n.applied, ready.Restore.Index)
		}
		n.applied, n.state = ready.Restore.Index, ready.Restore.Data
		s.checkState(n)
	}
	for _, entry := range ready.Committed {
		if entry.Index != n.applied+1 {
			s.fail("node %d applies %d after %d", n.id, entry.Index, n.applied)
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

// leader returns the running node that leads in the highest term.
func (s *sim) leader() *simNode {
	var leader *simNode
	for _, n := range s.leading() {
		if leader == nil || n.core.term > leader.core.term {
			leader = n
		}
	}
	return leader
}

// leading returns all running nodes that believe that they lead.
func (s *sim) leading() []*simNode {
	var leading []*simNode
	for _, id := range s.order {
		if n := s.nodes[id]; s.running(n) && n.core.role == RoleLeader {
			leading = append(leading, n)
		}
	}
	return leading
}

func (s *sim) propose(n *simNode) {
	s.commands++
	_, _, _ = n.core.Propose(fmt.Appendf(nil, "command-%d", s.commands), n.clock(s.now))
	s.drain(n)
}

func (s *sim) read(n *simNode) {
	request, err := n.core.RequestReadIndex(n.clock(s.now))
	if err != nil {
		return
	}
	s.reads = append(s.reads, simRead{node: n.id, request: request, term: n.core.term, known: s.maxCommit})
	s.drain(n)
}

// mayLose tells whether a majority of every membership that any node or
// message knows stays alive when n loses its disk.
func (s *sim) mayLose(n *simNode) bool {
	var known []Membership
	messages := []Message{}
	for _, f := range s.flight {
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
		known = append(known, node.core.membership)
		messages = append(messages, node.inbox...)
	}
	for _, m := range messages {
		for _, entry := range m.Entries {
			if entry.Membership != nil {
				known = append(known, *entry.Membership)
			}
		}
	}
	return !slices.ContainsFunc(known, func(m Membership) bool { return s.aliveWithout(m, n.id) < m.Quorum() })
}

// aliveWithout counts the voters that have their disks, without id.
func (s *sim) aliveWithout(membership Membership, id MemberID) int {
	alive := 0
	for _, voter := range membership.Voters() {
		if voter != id && !s.nodes[voter].dead {
			alive++
		}
	}
	return alive
}

// mayRemove tells whether most of the remaining voters have their disks.
func (s *sim) mayRemove(leader *simNode, id MemberID) bool {
	next := leader.core.membership.without(id)
	alive := s.aliveWithout(next, id)
	return alive >= max(next.Quorum(), 2)
}

// heal ends all faults and brings all nodes back but those that are dead.
func (s *sim) heal() {
	clear(s.cut)
	s.faults = simFaults{maxDelay: 5 * time.Millisecond}
	for _, id := range s.order {
		n := s.nodes[id]
		n.frozen = false
		if !n.up && !n.dead {
			s.boot(n)
		}
	}
}
