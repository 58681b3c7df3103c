package codec_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/consensus/consensuspb"
)

var group = consensus.NewMembership(
	consensus.Member{ID: 1, Name: "control-1", Address: "10.0.0.1:1"},
	consensus.Member{ID: 2, Name: "control-2", Address: "10.0.0.2:1"},
)

// seedMessages returns a message of each kind.
func seedMessages() []consensus.Message {
	header := consensus.Message{Group: 7, From: 2, To: 1, Term: 2, Index: 1, LogTerm: 1}
	var seeds []consensus.Message
	for kind := consensus.MessagePreVote; kind <= consensus.MessageTimeoutNow; kind++ {
		m := header
		m.Kind = kind
		switch kind {
		case consensus.MessageAppend:
			m.Commit = 2
			m.Entries = []consensus.Entry{
				{Index: 2, Term: 2, Kind: consensus.EntryCommand, Data: []byte("command")},
				{Index: 3, Term: 2, Kind: consensus.EntryMembership, Membership: &group},
			}
		case consensus.MessageSnapshot:
			m.Snapshot = &consensus.SnapshotChunk{Index: 9, Term: 2, Membership: group, Total: 4, Data: []byte("data")}
		}
		seeds = append(seeds, m)
	}
	return seeds
}

func TestMessagesRoundTripThroughProtobuf(t *testing.T) {
	for _, m := range seedMessages() {
		data, err := proto.Marshal(codec.MessageToProto(&m))
		require.NoError(t, err)
		var wire consensuspb.Message
		require.NoError(t, proto.Unmarshal(data, &wire))
		decoded, err := codec.MessageFromProto(&wire)
		require.NoError(t, err)
		require.Equal(t, m, decoded)
	}
}

// FuzzMessage decodes arbitrary bytes and passes the message to a member. The member
// must not panic, its commit index and term must not fall, and a refused message
// must not change its state.
func FuzzMessage(f *testing.F) {
	for _, m := range seedMessages() {
		data, err := proto.Marshal(codec.MessageToProto(&m))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var wire consensuspb.Message
		if proto.Unmarshal(data, &wire) != nil {
			return
		}
		m, err := codec.MessageFromProto(&wire)
		if err != nil {
			return
		}
		core := newMember(t)
		before := core.Status()
		now := time.Unix(1, 0)
		if err := core.Step(m, now); err != nil {
			require.Equal(t, before, core.Status())
		}
		for range 3 {
			if ready := core.Ready(); ready.Write != nil {
				core.ConfirmWrite()
			}
			core.Tick(now)
		}
		require.GreaterOrEqual(t, core.Status().Commit, before.Commit)
		require.GreaterOrEqual(t, core.Status().Term, before.Term)
	})
}

// newMember returns member 1 of a group of two, with one committed entry and one
// uncommitted entry.
func newMember(t *testing.T) *consensus.Core {
	config := consensus.Config{
		ID: 1, HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: time.Second, MaxClockDriftPercent: 5,
		MaxMessageBytes: 1 << 10, MaxCommandBytes: 1 << 10, MaxInFlightAppends: 4, MaxPendingBytes: 1 << 20,
		MaxSnapshotBytes: 1 << 20, Rand: rand.New(rand.NewPCG(1, 1)),
	}
	core, err := consensus.New(config, consensus.StoredState{
		HardState: consensus.HardState{Group: 7, Term: 1, Commit: 1},
		Entries: []consensus.Entry{
			{Index: 1, Term: 1, Kind: consensus.EntryMembership, Membership: &group},
			{Index: 2, Term: 1, Kind: consensus.EntryCommand, Data: []byte("x")},
		},
	}, time.Unix(0, 0))
	require.NoError(t, err)
	return core
}
