package members

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

var now = time.Unix(1_000_000, 0)

func voter(id uint64, address string, unresponsiveFor time.Duration) Member {
	return Member{Member: consensus.Member{ID: consensus.MemberID(id), Name: address, Address: address}, UnresponsiveFor: unresponsiveFor}
}

func joiner(id uint64, address string) Joiner {
	return Joiner{ID: consensus.MemberID(id), Name: address, Address: address, RequestedAt: now}
}

// The former ID is removed before the new one is added as a learner and then promoted.
func TestVMThatLostItsDiskReplacesItsFormerMember(t *testing.T) {
	members := []Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Second)}
	step := Plan(members, []Joiner{joiner(9, "c")}, MinVoters(1), now)
	require.Equal(t, StepRemove, step.Kind)
	require.EqualValues(t, 3, step.Member.ID)
	step = Plan(members[:2], []Joiner{joiner(9, "c")}, MinVoters(1), now)
	require.Equal(t, StepAdd, step.Kind)
	learner := voter(9, "c", 0)
	learner.Learner = true
	step = Plan(append(members[:2:2], learner), []Joiner{joiner(9, "c")}, MinVoters(1), now)
	require.Equal(t, StepPromote, step.Kind)
}

func TestUnresponsiveVoterIsRemovedOnlyForAJoiner(t *testing.T) {
	members := []Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Minute)}
	require.Equal(t, StepNone, Plan(members, nil, MinVoters(1), now).Kind)
	step := Plan(members, []Joiner{joiner(9, "d")}, MinVoters(1), now)
	require.Equal(t, StepRemove, step.Kind)
	require.EqualValues(t, 3, step.Member.ID)
}

func TestUnresponsiveVoterIsRemovedBeforeItsReplacementIsPromoted(t *testing.T) {
	learner := voter(9, "d", 0)
	learner.Learner = true
	members := []Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Minute), learner}
	step := Plan(members, []Joiner{joiner(9, "d")}, MinVoters(1), now)
	require.Equal(t, StepRemove, step.Kind)
	require.EqualValues(t, 3, step.Member.ID)
}

func TestJoinRequestsOfVotersAndExpiredOnesAreIgnored(t *testing.T) {
	members := []Member{voter(1, "a", 0), voter(2, "b", 0)}
	require.Equal(t, StepNone, Plan(members, []Joiner{joiner(2, "b")}, MinVoters(1), now).Kind)
	expired := joiner(9, "d")
	expired.RequestedAt = now.Add(-joinRequestTTL - time.Second)
	require.Equal(t, StepNone, Plan(members, []Joiner{expired}, MinVoters(1), now).Kind)
}

func TestVoterThatIsGoneAfterItsReplacementJoinedIsRemoved(t *testing.T) {
	members := []Member{voter(1, "a", 0), voter(2, "b", 0), voter(3, "c", time.Minute), voter(4, "d", 0)}
	step := Plan(members, nil, MinVoters(1), now)
	require.Equal(t, StepRemove, step.Kind)
	require.EqualValues(t, 3, step.Member.ID)
	require.Equal(t, 3, step.MinVoters)
	require.Equal(t, StepNone, Plan(members, nil, MinVoters(2), now).Kind, "two disks may be lost")
	members[2].UnresponsiveFor = unresponsiveAfter
	require.Equal(t, StepNone, Plan(members, nil, MinVoters(1), now).Kind, "the voter may only be restarting")
}

func TestUnresponsiveLearnerIsRemoved(t *testing.T) {
	learner := voter(9, "c", time.Minute)
	learner.Learner = true
	require.Equal(t, StepRemove, Plan([]Member{voter(1, "a", 0), learner}, nil, MinVoters(1), now).Kind)
}

func TestNoJoinerIsAddedToAFullGroup(t *testing.T) {
	var members []Member
	for i := range uint64(maxMembers) {
		members = append(members, voter(i+1, string(rune('a'+i)), 0))
	}
	require.Equal(t, StepNone, Plan(members, []Joiner{joiner(99, "z")}, MinVoters(1), now).Kind)
}
