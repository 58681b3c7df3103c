package consensus

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// harness drives one core, member 1, with messages that the test makes up for its
// peers. Writes are synced only when the test says so or calls drain.
type harness struct {
	t    *testing.T
	core *Core
	now  time.Time
}

var threeVoters = NewMembership(simMember(1), simMember(2), simMember(3))

// storedLog returns a stored state whose first entry is the membership of three
// voters and whose further entries are commands of the given terms.
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

func newHarness(t *testing.T, stored StoredState) *harness {
	h := &harness{t: t, now: simStart}
	config := Config{
		ID: 1, HeartbeatInterval: simHeartbeat, ElectionTimeout: simElection, MaxClockDriftPercent: 5, MaxMessageBytes: 1 << 16,
		MaxCommandBytes: 1 << 16, MaxInFlightAppends: 4, MaxPendingBytes: 1 << 20, MaxSnapshotBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	core, err := New(config, stored, h.now)
	require.NoError(t, err)
	h.core = core
	h.drain()
	return h
}

// drain runs Ready until it returns no more work and syncs every write at once. It
// returns all messages, committed entries and read states, and the last write.
func (h *harness) drain() Ready {
	var all Ready
	for {
		next := h.core.Ready()
		if len(next.Messages) == 0 && next.Write == nil && len(next.Committed) == 0 &&
			len(next.ReadStates) == 0 && len(next.Events) == 0 && next.Restore == nil {
			return all
		}
		all.Messages = append(all.Messages, next.Messages...)
		all.Committed = append(all.Committed, next.Committed...)
		all.ReadStates = append(all.ReadStates, next.ReadStates...)
		if next.Write != nil {
			all.Write = next.Write
			h.core.ConfirmWrite()
		}
	}
}

// advance advances the time by d, with a tick every simStep.
func (h *harness) advance(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(simStep)
		h.core.Tick(h.now)
	}
}

func (h *harness) step(m Message) {
	h.t.Helper()
	m.To, m.Group = 1, simGroup
	require.NoError(h.t, h.core.Step(m, h.now))
}

// elect makes the core leader with the vote of member 2.
func (h *harness) elect() {
	h.t.Helper()
	for range 500 {
		h.advance(simStep)
		for _, m := range h.drain().Messages {
			switch {
			case m.Kind == MessagePreVote && m.To == 2:
				h.step(Message{Kind: MessagePreVoteResponse, From: 2, Term: m.Term})
			case m.Kind == MessageVote && m.To == 2:
				h.step(Message{Kind: MessageVoteResponse, From: 2, Term: m.Term})
			}
		}
		if h.core.role == RoleLeader {
			h.drain()
			return
		}
	}
	require.Fail(h.t, "member 1 was not elected")
}

// acknowledge sends responses of member to the append up to index and to the last
// heartbeat round.
func (h *harness) acknowledge(member MemberID, index uint64) {
	h.t.Helper()
	h.step(Message{Kind: MessageAppendResponse, From: member, Term: h.core.term, Index: index})
	h.step(Message{Kind: MessageHeartbeatResponse, From: member, Term: h.core.term, Round: h.core.lead.round})
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
		"same log":                      {3, 2, true},
		"shorter log":                   {2, 2, false},
		"longer log of an earlier term": {9, 1, false},
		"shorter log of a later term":   {2, 3, true},
	} {
		for _, kind := range []MessageKind{MessagePreVote, MessageVote} {
			t.Run(name, func(t *testing.T) {
				h := newHarness(t, storedLog(3, 2, 2))
				h.advance(simElection)
				h.step(Message{Kind: kind, From: 2, Term: 4, Index: c.index, LogTerm: c.term})
				messages := h.drain().Messages
				require.Len(t, messages, 1)
				require.Equal(t, c.granted, !messages[0].Reject)
			})
		}
	}
}

func TestOneVotePerTermAcrossRestart(t *testing.T) {
	h := newHarness(t, storedLog(1))
	h.advance(simElection)
	h.step(Message{Kind: MessageVote, From: 2, Term: 2, Index: 1, LogTerm: 1})
	stored := storedLog(1)
	stored.HardState = h.drain().Write.HardState
	h = newHarness(t, stored)
	h.advance(simElection)
	h.step(Message{Kind: MessageVote, From: 3, Term: 2, Index: 9, LogTerm: 1})
	require.True(t, h.drain().Messages[0].Reject)
}

func TestNoVoteWithinElectionTimeoutOfRestartOrLeaderMessage(t *testing.T) {
	heartbeat := Message{Kind: MessageHeartbeat, From: 2, Term: 2, Round: 1}
	for name, prepare := range map[string]func(h *harness){
		"restart":                       func(*harness) {},
		"leader message":                func(h *harness) { h.advance(3 * simElection / 4); h.step(heartbeat); h.advance(simElection / 2) },
		"leader message, clock forward": func(h *harness) { h.step(heartbeat); h.now = h.now.Add(time.Hour) },
		"leader message, clock back":    func(h *harness) { h.step(heartbeat); h.now = h.now.Add(-time.Hour) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, storedLog(1))
			prepare(h)
			h.drain()
			h.step(Message{Kind: MessagePreVote, From: 3, Term: 9, Index: 9, LogTerm: 8})
			require.True(t, h.drain().Messages[0].Reject)
			h.step(Message{Kind: MessageVote, From: 3, Term: 9, Index: 9, LogTerm: 8})
			require.Empty(t, h.drain().Messages)
			require.NotEqual(t, uint64(9), h.core.term)
			h.advance(simElection)
			h.step(Message{Kind: MessageVote, From: 3, Term: 99, Index: 9, LogTerm: 8})
			require.Contains(t, kinds(h.drain().Messages), MessageVoteResponse)
		})
	}
}

// An entry of an earlier term that is on a majority can still be overwritten by
// another leader, so it must not be committed by counting its copies.
func TestEntriesOfEarlierTermsCommitOnlyWithOneOfCurrentTerm(t *testing.T) {
	h := newHarness(t, storedLog(3, 2, 2))
	h.elect()
	h.acknowledge(2, 3)
	require.Equal(t, uint64(1), h.core.log.commit)
	h.acknowledge(2, 4)
	require.Equal(t, uint64(4), h.core.log.commit)
}

func TestLeaderCountsItsOwnEntriesOnlyWhenSynced(t *testing.T) {
	h := newHarness(t, storedLog(1))
	h.elect()
	h.acknowledge(2, 2)
	index, _, err := h.core.Propose([]byte("x"), h.now)
	require.NoError(t, err)
	h.core.Flush()
	require.NotNil(t, h.core.Ready().Write)
	h.acknowledge(2, index)
	require.Less(t, h.core.log.commit, index)
	require.Empty(t, h.core.Ready().Committed)
	h.core.ConfirmWrite()
	require.Equal(t, index, h.core.log.commit)
}

func TestFollowerAcknowledgesAndAppliesOnlySyncedEntries(t *testing.T) {
	h := newHarness(t, storedLog(1))
	h.step(Message{Kind: MessageAppend, From: 2, Term: 2, Index: 1, LogTerm: 1, Commit: 2, Entries: []Entry{{Index: 2, Term: 2}}})
	ready := h.core.Ready()
	require.NotNil(t, ready.Write)
	require.Empty(t, ready.Messages)
	require.Empty(t, ready.Committed)
	h.core.ConfirmWrite()
	ready = h.core.Ready()
	require.Equal(t, uint64(2), ready.Messages[0].Index)
	require.Len(t, ready.Committed, 1)
}

func TestReadIndexNeedsALaterHeartbeatRound(t *testing.T) {
	h := newHarness(t, storedLog(2, 2, 2))
	h.elect()
	h.acknowledge(2, 4)
	earlier := h.core.lead.round
	_, err := h.core.RequestReadIndex(h.now)
	require.NoError(t, err)
	h.core.Flush()
	h.step(Message{Kind: MessageHeartbeatResponse, From: 3, Term: h.core.term, Round: earlier})
	require.Empty(t, h.drain().ReadStates)
	h.step(Message{Kind: MessageHeartbeatResponse, From: 3, Term: h.core.term, Round: h.core.lead.round})
	reads := h.drain().ReadStates
	require.Len(t, reads, 1)
	require.Equal(t, uint64(4), reads[0].Index)
}

func TestReadIndexNeedsACommittedEntryOfCurrentTerm(t *testing.T) {
	h := newHarness(t, storedLog(2, 2, 2))
	h.elect()
	_, err := h.core.RequestReadIndex(h.now)
	require.NoError(t, err)
	h.core.Flush()
	h.step(Message{Kind: MessageHeartbeatResponse, From: 2, Term: h.core.term, Round: h.core.lead.round})
	require.Empty(t, h.drain().ReadStates, "no entry of this term is committed")
	h.step(Message{Kind: MessageAppendResponse, From: 2, Term: h.core.term, Index: 4})
	require.Len(t, h.drain().ReadStates, 1)
}

func TestLeaderWithoutQuorumStepsDownWhenLeaseExpires(t *testing.T) {
	h := newHarness(t, storedLog(1))
	h.elect()
	h.acknowledge(2, 2)
	until := h.core.Status().LeaseUntil
	require.LessOrEqual(t, until.Sub(h.now), simElection*95/100-simHeartbeat)
	h.advance(until.Sub(h.now) - simStep)
	require.Equal(t, RoleLeader, h.core.role)
	h.advance(2 * simStep)
	require.Equal(t, RoleFollower, h.core.role)
	require.Zero(t, h.core.Status().LeaseUntil)
}

func TestMembershipChangesOneAtATime(t *testing.T) {
	learner := Change{Kind: ChangeAddLearner, Member: simMember(4)}
	h := newHarness(t, storedLog(2, 2))
	h.elect()
	propose := func(change Change) error {
		_, _, err := h.core.ProposeChange(change, h.now)
		h.drain()
		return err
	}
	require.ErrorIs(t, propose(learner), ErrChangeInProgress, "no entry of this term is committed")
	h.acknowledge(2, h.core.log.lastIndex())
	require.NoError(t, propose(learner))
	require.ErrorIs(t, propose(Change{Kind: ChangeRemove, Member: simMember(3)}), ErrChangeInProgress)
	h.acknowledge(2, h.core.log.lastIndex())
	require.ErrorIs(t, propose(learner), ErrMemberExists)
	promote := Change{Kind: ChangePromote, Member: simMember(4)}
	require.ErrorIs(t, propose(promote), ErrNotCaughtUp)
	h.acknowledge(4, h.core.log.lastIndex())
	require.ErrorIs(t, propose(promote), ErrQuorumAtRisk, "member 3 never responded")
	require.ErrorIs(t, propose(Change{Kind: ChangeRemove, Member: simMember(3), MinVoters: 3}), ErrTooFewVoters)
	require.NoError(t, propose(Change{Kind: ChangeRemove, Member: simMember(3), MinVoters: 2}))
	h.acknowledge(2, h.core.log.lastIndex())
	h.acknowledge(4, h.core.log.lastIndex())
	require.NoError(t, propose(promote))
	h.acknowledge(2, h.core.log.lastIndex())
	require.ErrorIs(t, propose(Change{Kind: ChangeRemove, Member: simMember(9)}), ErrUnknownMember)
}

func TestLeadershipTransferGivesUpTheLeaseFirst(t *testing.T) {
	h := newHarness(t, storedLog(1))
	h.elect()
	require.ErrorIs(t, h.core.TransferLeadership(h.now), ErrNotCaughtUp)
	h.acknowledge(2, 2)
	require.NoError(t, h.core.TransferLeadership(h.now))
	require.Zero(t, h.core.Status().LeaseUntil)
	require.NotEqual(t, RoleLeader, h.core.role)
	require.Contains(t, kinds(h.drain().Messages), MessageTimeoutNow)
}

func TestReceivedSnapshotIsRestoredBeforeEntriesAreApplied(t *testing.T) {
	h := newHarness(t, storedLog(1, 1, 1, 1))
	chunk := func(offset int, data string) Message {
		return Message{Kind: MessageSnapshot, From: 2, Term: 5, Snapshot: &SnapshotChunk{
			Index: 4, Term: 4, Membership: threeVoters, Total: 6, Offset: uint64(offset), Data: []byte(data)}}
	}
	h.step(chunk(0, "abc"))
	require.Equal(t, uint64(3), h.drain().Messages[0].Hint)
	h.step(chunk(3, "def"))
	h.step(Message{Kind: MessageAppend, From: 2, Term: 5, Index: 4, LogTerm: 4, Commit: 5, Entries: []Entry{{Index: 5, Term: 5}}})
	ready := h.core.Ready()
	require.True(t, ready.Write.Reset)
	require.Len(t, ready.Write.Entries, 1)
	require.Empty(t, ready.Committed)
	require.Empty(t, ready.Messages)
	h.core.ConfirmWrite()
	ready = h.core.Ready()
	require.Equal(t, "abcdef", string(ready.Restore.Data))
	require.Len(t, ready.Committed, 1)
}

func TestInvalidMessagesAreRefusedWithoutEffect(t *testing.T) {
	valid := Message{Kind: MessageAppend, Group: simGroup, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
	for name, change := range map[string]func(m *Message){
		"to another member":                   func(m *Message) { m.To = 9 },
		"from itself":                         func(m *Message) { m.From = 1 },
		"another group":                       func(m *Message) { m.Group = 8 },
		"no group":                            func(m *Message) { m.Group = 0 },
		"unknown kind":                        func(m *Message) { m.Kind = 99 },
		"term 0":                              func(m *Message) { m.Term = 0 },
		"huge term":                           func(m *Message) { m.Term = 1 << 63 },
		"gap in entries":                      func(m *Message) { m.Entries = []Entry{{Index: 3, Term: 2}} },
		"entry of later term":                 func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 3}} },
		"membership entry without membership": func(m *Message) { m.Entries = []Entry{{Index: 2, Term: 2, Kind: EntryMembership}} },
		"unexpected snapshot":                 func(m *Message) { m.Snapshot = &SnapshotChunk{Index: 1} },
		"huge snapshot": func(m *Message) {
			m.Kind, m.Snapshot = MessageSnapshot, &SnapshotChunk{Index: 1, Total: 1 << 40, Membership: threeVoters}
		},
		"response from a non-member": func(m *Message) { m.Kind, m.From = MessageAppendResponse, 9 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, storedLog(1))
			m := valid
			change(&m)
			require.ErrorIs(t, h.core.Step(m, h.now), ErrMessageRefused)
			require.Equal(t, uint64(1), h.core.term)
			require.Empty(t, h.drain().Messages)
		})
	}
}

// The only member with an uncommitted entry is the one that the entry removes. No
// other member can win an election against its longer log, so the group would stay
// without a leader if it did not campaign.
func TestMemberWithOnlyCopyOfItsRemovalCampaigns(t *testing.T) {
	stored := storedLog(2)
	next := threeVoters.without(1)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: &next})
	h := newHarness(t, stored)
	h.advance(2 * simElection)
	require.Contains(t, kinds(h.drain().Messages), MessagePreVote)
}

func TestRemovedMemberIsNotifiedOnce(t *testing.T) {
	stored := storedLog(2)
	next := threeVoters.without(3)
	stored.Entries = append(stored.Entries, Entry{Index: 2, Term: 2, Kind: EntryMembership, Membership: &next})
	stored.HardState.Commit = 2
	h := newHarness(t, stored)
	for from, removed := range map[MemberID]bool{2: false, 3: true} {
		h.step(Message{Kind: MessagePreVote, From: from, Term: 3, Index: 1, LogTerm: 1})
		require.Equal(t, removed, h.drain().Messages[0].Removed)
	}
	h = newHarness(t, storedLog(2))
	h.advance(2 * simElection)
	for range 2 {
		h.step(Message{Kind: MessagePreVoteResponse, From: 2, Term: 2, Reject: true, Removed: true})
	}
	events := 0
	for _, event := range h.core.Ready().Events {
		if event.Kind == EventRemoved {
			events++
		}
	}
	require.Equal(t, 1, events)
}

func TestTermIsAtLeastThatOfTheLog(t *testing.T) {
	h := newHarness(t, StoredState{
		HardState: HardState{Group: simGroup, Term: 2, Vote: 3},
		Snapshot:  &Snapshot{Index: 9, Term: 5, Membership: threeVoters},
	})
	require.Equal(t, uint64(5), h.core.term)
	h.advance(2 * simElection)
	for _, m := range h.drain().Messages {
		require.Equal(t, uint64(6), m.Term)
	}
}

// A learner and a removed member named a leader that was gone for as long as they lived, since only a member that may start an
// election gave up a silent leader.
func TestMemberThatCannotCampaignForgetsASilentLeader(t *testing.T) {
	learner := simMember(1)
	learner.Learner = true
	for name, membership := range map[string]Membership{
		"learner": NewMembership(learner, simMember(2), simMember(3)),
		"removed": NewMembership(simMember(2), simMember(3)),
	} {
		t.Run(name, func(t *testing.T) {
			stored := storedLog(1)
			stored.Entries[0].Membership = &membership
			h := newHarness(t, stored)
			heartbeat := Message{Kind: MessageHeartbeat, From: 2, Term: 1}
			for range 20 {
				h.advance(simHeartbeat)
				h.step(heartbeat)
				require.EqualValues(t, 2, h.core.Status().Leader)
			}
			h.advance(simElection)
			require.EqualValues(t, 2, h.core.Status().Leader, "the leader may still be there")
			h.advance(simElection)
			require.Zero(t, h.core.Status().Leader)
			require.Equal(t, RoleFollower, h.core.Status().Role)
			h.step(heartbeat)
			require.EqualValues(t, 2, h.core.Status().Leader)
		})
	}
}
