package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bench drives one core by hand; its peers are members 2 to 5.
type bench struct {
	t    *testing.T
	core *Core
	now  time.Time
}

var threeVoters = NewMembership(simMember(1), simMember(2), simMember(3))

// storedLog returns a log whose first entry forms the group and whose further
// entries have the given terms.
func storedLog(term uint64, terms ...uint64) StoredState {
	founders := threeVoters
	stored := StoredState{
		HardState: HardState{Group: simGroup, Term: term, Commit: 1},
		Entries:   []Entry{{Index: 1, Term: 1, Kind: EntryMembership, Membership: &founders}},
	}
	for i, entryTerm := range terms {
		stored.Entries = append(stored.Entries, Entry{Index: uint64(i + 2), Term: entryTerm, Kind: EntryCommand})
	}
	return stored
}

func newBench(t *testing.T, stored StoredState) *bench {
	b := &bench{t: t, now: simStart}
	config := Config{
		ID: 1, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, MaxClockDriftPercent: 5, MaxMessageBytes: 1 << 16,
		MaxCommandBytes: 1 << 16, MaxInFlightAppends: 4, MaxPendingBytes: 1 << 20, MaxSnapshotBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	core, err := New(config, stored, b.now)
	require.NoError(t, err)
	b.core = core
	b.ready()
	return b
}

// ready returns all output, with every write synced at once.
func (b *bench) ready() Ready {
	var all Ready
	for {
		next := b.core.Ready()
		if len(next.Messages) == 0 && next.Write == nil && len(next.Committed) == 0 && len(next.ReadStates) == 0 && len(next.Events) == 0 && next.Restore == nil {
			return all
		}
		all.Messages = append(all.Messages, next.Messages...)
		all.Committed = append(all.Committed, next.Committed...)
		all.ReadStates = append(all.ReadStates, next.ReadStates...)
		if next.Write != nil {
			all.Write = next.Write
			b.core.ConfirmWrite()
		}
	}
}

// pass lets time pass in small ticks.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(simStep)
		b.core.Tick(b.now)
	}
}

func (b *bench) step(m Message) {
	b.t.Helper()
	m.To, m.Group = 1, simGroup
	require.NoError(b.t, b.core.Step(m, b.now))
}

// elect makes the core leader with the votes of member 2.
func (b *bench) elect() {
	b.t.Helper()
	for range 500 {
		b.pass(simStep)
		for _, m := range b.ready().Messages {
			switch {
			case m.Kind == MessagePreVote && m.To == 2:
				b.step(Message{Kind: MessagePreVoteResponse, From: 2, Term: m.Term})
			case m.Kind == MessageVote && m.To == 2:
				b.step(Message{Kind: MessageVoteResponse, From: 2, Term: m.Term})
			}
		}
		if b.core.role == RoleLeader {
			b.ready()
			return
		}
	}
	require.Fail(b.t, "not elected")
}

// acknowledge tells the leader that member has synced up to index, and
// answered the newest heartbeat.
func (b *bench) acknowledge(member MemberID, index uint64) {
	b.t.Helper()
	b.step(Message{Kind: MessageAppendResponse, From: member, Term: b.core.term, Index: index})
	b.step(Message{Kind: MessageHeartbeatResponse, From: member, Term: b.core.term, Round: b.core.lead.round})
}

func kinds(messages []Message) []MessageKind {
	var list []MessageKind
	for _, m := range messages {
		list = append(list, m.Kind)
	}
	return list
}

func TestVoteNeedsAnUpToDateLog(t *testing.T) {
	for name, c := range map[string]struct {
		index, term uint64
		granted     bool
	}{
		"same log":              {3, 2, true},
		"shorter":               {2, 2, false},
		"longer of older term":  {9, 1, false},
		"shorter of newer term": {2, 3, true},
	} {
		for _, kind := range []MessageKind{MessagePreVote, MessageVote} {
			t.Run(name, func(t *testing.T) {
				b := newBench(t, storedLog(3, 2, 2))
				b.pass(simElection)
				b.step(Message{Kind: kind, From: 2, Term: 4, Index: c.index, LogTerm: c.term})
				messages := b.ready().Messages
				require.Len(t, messages, 1)
				require.Equal(t, c.granted, !messages[0].Reject)
			})
		}
	}
}

func TestOneVoteInATermAlsoAfterRestart(t *testing.T) {
	b := newBench(t, storedLog(1))
	b.pass(simElection)
	b.step(Message{Kind: MessageVote, From: 2, Term: 2, Index: 1, LogTerm: 1})
	stored := storedLog(1)
	stored.HardState = b.ready().Write.HardState
	b = newBench(t, stored)
	b.pass(simElection)
	b.step(Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1})
	require.True(t, b.ready().Messages[0].Reject)
}

func TestNoVoteWithinAPromise(t *testing.T) {
	heartbeat := Message{Kind: MessageHeartbeat, From: 2, Term: 2, Round: 1}
	for name, prepare := range map[string]func(b *bench){
		"restarted just now":      func(*bench) {},
		"heard from a leader":     func(b *bench) { b.pass(3 * simElection / 4); b.step(heartbeat); b.pass(simElection / 2) },
		"heard, then clock jumps": func(b *bench) { b.step(heartbeat); b.now = b.now.Add(time.Hour) },
		"heard, then clock back":  func(b *bench) { b.step(heartbeat); b.now = b.now.Add(-time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, storedLog(1))
			prepare(b)
			b.ready()
			b.step(Message{Kind: MessagePreVote, From: 3, Term: 9, Index: 9, LogTerm: 8})
			require.True(t, b.ready().Messages[0].Reject)
			b.step(Message{Kind: MessageVote, From: 3, Term: 9, Index: 9, LogTerm: 8})
			require.Empty(t, b.ready().Messages)
			require.NotEqual(t, uint64(9), b.core.term)
			b.pass(simElection)
			b.step(Message{Kind: MessageVote, From: 3, Term: 99, Index: 9, LogTerm: 8})
			require.Contains(t, kinds(b.ready().Messages), MessageVoteResponse)
		})
	}
}

// TestOldTermsCommitOnlyWithAnEntryOfThisTerm is the case in which an entry of
// an earlier term is on a majority and may still be replaced.
func TestOldTermsCommitOnlyWithAnEntryOfThisTerm(t *testing.T) {
	b := newBench(t, storedLog(3, 2, 2))
	b.elect()
	b.acknowledge(2, 3)
	require.Equal(t, uint64(1), b.core.log.commit)
	b.acknowledge(2, 4)
	require.Equal(t, uint64(4), b.core.log.commit)
}

func TestLeaderCountsItsOwnEntriesOnlyWhenSynced(t *testing.T) {
	b := newBench(t, storedLog(1))
	b.elect()
	b.acknowledge(2, 2)
	index, _, err := b.core.Propose([]byte("x"), b.now)
	require.NoError(t, err)
	b.core.Flush()
	require.NotNil(t, b.core.Ready().Write)
	b.acknowledge(2, index)
	require.Less(t, b.core.log.commit, index)
	require.Empty(t, b.core.Ready().Committed)
	b.core.ConfirmWrite()
	require.Equal(t, index, b.core.log.commit)
}

func TestFollowerAnswersAndAppliesOnlyWhatIsSynced(t *testing.T) {
	b := newBench(t, storedLog(1))
	b.step(Message{Kind: MessageAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 2}}})
	ready := b.core.Ready()
	require.NotNil(t, ready.Write)
	require.Empty(t, ready.Messages)
	require.Empty(t, ready.Committed)
	b.core.ConfirmWrite()
	ready = b.core.Ready()
	require.Equal(t, uint64(2), ready.Messages[0].Index)
	require.Len(t, ready.Committed, 1)
}

func TestReadBarrierNeedsALaterRound(t *testing.T) {
	b := newBench(t, storedLog(2, 2, 2))
	b.elect()
	b.acknowledge(2, 4)
	earlier := b.core.lead.round
	_, err := b.core.RequestReadIndex(b.now)
	require.NoError(t, err)
	b.core.Flush()
	b.step(Message{Kind: MessageHeartbeatResponse, From: 3, Term: b.core.term, Round: earlier})
	require.Empty(t, b.ready().ReadStates)
	b.step(Message{Kind: MessageHeartbeatResponse, From: 3, Term: b.core.term, Round: b.core.lead.round})
	reads := b.ready().ReadStates
	require.Len(t, reads, 1)
	require.Equal(t, uint64(4), reads[0].Index)
}

func TestReadBarrierNeedsAnEntryOfThisTerm(t *testing.T) {
	b := newBench(t, storedLog(2, 2, 2))
	b.elect()
	_, err := b.core.RequestReadIndex(b.now)
	require.NoError(t, err)
	b.core.Flush()
	b.step(Message{Kind: MessageHeartbeatResponse, From: 2, Term: b.core.term, Round: b.core.lead.round})
	require.Empty(t, b.ready().ReadStates, "no entry of this term is committed")
	b.step(Message{Kind: MessageAppendResponse, From: 2, Term: b.core.term, Index: 4})
	require.Len(t, b.ready().ReadStates, 1)
}

func TestLeaderWithoutQuorumStepsDownWithinItsLease(t *testing.T) {
	b := newBench(t, storedLog(1))
	b.elect()
	b.acknowledge(2, 2)
	until := b.core.Status().LeaseUntil
	require.LessOrEqual(t, until.Sub(b.now), simElection*95/100-simHeartbeat)
	b.pass(until.Sub(b.now) - simStep)
	require.Equal(t, RoleLeader, b.core.role)
	b.pass(2 * simStep)
	require.Equal(t, RoleFollower, b.core.role)
	require.Zero(t, b.core.Status().LeaseUntil)
}

func TestMemberChangesOneAtATime(t *testing.T) {
	learner := Change{Kind: ChangeAddLearner, Member: simMember(4)}
	b := newBench(t, storedLog(2, 2))
	b.elect()
	propose := func(change Change) error {
		_, _, err := b.core.ProposeChange(change, b.now)
		b.ready()
		return err
	}
	require.ErrorIs(t, propose(learner), ErrChangeInProgress, "no entry of this term is committed")
	b.acknowledge(2, b.core.log.last())
	require.NoError(t, propose(learner))
	require.ErrorIs(t, propose(Change{Kind: ChangeRemove, Member: simMember(3)}), ErrChangeInProgress)
	b.acknowledge(2, b.core.log.last())
	require.ErrorIs(t, propose(learner), ErrMemberExists)
	promote := Change{Kind: ChangePromote, Member: simMember(4)}
	require.ErrorIs(t, propose(promote), ErrNotCaughtUp)
	b.acknowledge(4, b.core.log.last())
	require.ErrorIs(t, propose(promote), ErrQuorumAtRisk, "member 3 was never heard")
	require.NoError(t, propose(Change{Kind: ChangeRemove, Member: simMember(3)}))
	b.acknowledge(2, b.core.log.last())
	b.acknowledge(4, b.core.log.last())
	require.NoError(t, propose(promote))
	b.acknowledge(2, b.core.log.last())
	require.ErrorIs(t, propose(Change{Kind: ChangeRemove, Member: simMember(9)}), ErrUnknownMember)
}

func TestTransferGivesUpTheLeaseFirst(t *testing.T) {
	b := newBench(t, storedLog(1))
	b.elect()
	require.ErrorIs(t, b.core.TransferLeadership(b.now), ErrNotCaughtUp)
	b.acknowledge(2, 2)
	require.NoError(t, b.core.TransferLeadership(b.now))
	require.Zero(t, b.core.Status().LeaseUntil)
	require.NotEqual(t, RoleLeader, b.core.role)
	require.Contains(t, kinds(b.ready().Messages), MessageTimeoutNow)
}

func TestReceivedSnapshotReplacesTheLogBeforeAnythingIsApplied(t *testing.T) {
	b := newBench(t, storedLog(1, 1, 1, 1))
	chunk := func(offset int, data string) Message {
		return Message{Kind: MessageSnapshot, From: 2, Term: 5, Snapshot: &SnapshotChunk{
			Index: 4, Term: 4, Membership: threeVoters, Total: 6, Offset: uint64(offset), Data: []byte(data)}}
	}
	b.step(chunk(0, "abc"))
	require.Equal(t, uint64(3), b.ready().Messages[0].Hint)
	b.step(chunk(3, "def"))
	b.step(Message{Kind: MessageAppend, From: 2, Term: 5, Index: 4, LogTerm: 4, Commit: 5, Entries: []Entry{{Index: 5, Term: 5}}})
	ready := b.core.Ready()
	require.True(t, ready.Write.Reset)
	require.Len(t, ready.Write.Entries, 1)
	require.Empty(t, ready.Committed)
	require.Empty(t, ready.Messages)
	b.core.ConfirmWrite()
	ready = b.core.Ready()
	require.Equal(t, "abcdef", string(ready.Restore.Data))
	require.Len(t, ready.Committed, 1)
}

func TestMessagesThatAreNotForThisMemberAreRefused(t *testing.T) {
	valid := Message{Kind: MessageAppend, Group: simGroup, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
	for name, change := range map[string]func(m *Message){
		"another member":       func(m *Message) { m.To = 9 },
		"itself":               func(m *Message) { m.From = 1 },
		"another group":        func(m *Message) { m.Group = 8 },
		"no group":             func(m *Message) { m.Group = 0 },
		"unknown kind":         func(m *Message) { m.Kind = 99 },
		"term 0":               func(m *Message) { m.Term = 0 },
		"huge term":            func(m *Message) { m.Term = 1 << 63 },
		"gap in entries":       func(m *Message) { m.Entries = []Entry{{Index: 3, Term: 2}} },
		"entry of later term":  func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 3}} },
		"entry without member": func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 2, Kind: EntryMembership}} },
		"stray snapshot":       func(m *Message) { m.Snapshot = &SnapshotChunk{Index: 1} },
		"huge snapshot": func(m *Message) {
			m.Kind, m.Snapshot = MessageSnapshot, &SnapshotChunk{Index: 1, Total: 1 << 40, Membership: threeVoters}
		},
		"response of a stranger": func(m *Message) { m.Kind, m.From = MessageAppendResponse, 9 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, storedLog(1))
			m := valid
			change(&m)
			require.ErrorIs(t, b.core.Step(m, b.now), ErrMessageRefused)
			require.Equal(t, uint64(1), b.core.term)
			require.Empty(t, b.ready().Messages)
		})
	}
}

// TestRemovedLeaderWithTheOnlyCopyCampaigns is a failure that the property
// test found: the only member with an uncommitted entry had been removed by it.
func TestRemovedLeaderWithTheOnlyCopyCampaigns(t *testing.T) {
	stored := storedLog(2)
	next := threeVoters.without(1)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: &next})
	b := newBench(t, stored)
	b.pass(2 * simElection)
	require.Contains(t, kinds(b.ready().Messages), MessagePreVote)
}

func TestRemovedMemberIsToldOnce(t *testing.T) {
	stored := storedLog(2)
	next := threeVoters.without(3)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: &next})
	stored.HardState.Commit = 2
	b := newBench(t, stored)
	for from, removed := range map[MemberID]bool{2: false, 3: true} {
		b.step(Message{Kind: MessagePreVote, From: from, Term: 3, Index: 1, LogTerm: 1})
		require.Equal(t, removed, b.ready().Messages[0].Removed)
	}
	b = newBench(t, storedLog(2))
	b.pass(2 * simElection)
	for range 2 {
		b.step(Message{Kind: MessagePreVoteResponse, From: 2, Term: 2, Reject: true, Removed: true})
	}
	events := 0
	for _, event := range b.core.Ready().Events {
		if event.Kind == EventRemoved {
			events++
		}
	}
	require.Equal(t, 1, events)
}

func TestTermIsNeverBehindTheLog(t *testing.T) {
	b := newBench(t, StoredState{
		HardState: HardState{Group: simGroup, Term: 2, Vote: 3},
		Snapshot:  &Snapshot{Index: 9, Term: 5, Membership: threeVoters},
	})
	require.Equal(t, uint64(5), b.core.term)
	b.pass(2 * simElection)
	for _, m := range b.ready().Messages {
		require.Equal(t, uint64(6), m.Term)
	}
}
