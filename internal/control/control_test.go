package control

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
)

// inGroup runs a test on three control VMs that have recorded their founders.
func inGroup(t *testing.T, test func(t *testing.T, g *fakeGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(t)
		require.NoError(t, g.vms["c1"].control.recordFoundersOnce(t.Context()))
		test(t, g)
	})
}

// submitOnce submits under a fault and checks that there is one acceptance and
// one answer, also for a later resend.
func submitOnce(t *testing.T, g *fakeGroup) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	first, err := g.client().Submit(ctx, submission(t, "s", 0, "one"))
	require.NoError(t, err)
	require.Equal(t, registry.CodeAccepted, first.Code)
	require.Equal(t, uint64(1), first.Version)
	again, err := g.client().Submit(ctx, submission(t, "s", 0, "one"))
	require.NoError(t, err)
	assert.Equal(t, first, again)
	for name, vm := range g.vms {
		assert.Len(t, vm.registry.History(10), 1, name)
	}
}

func TestFaultsAnswer(t *testing.T) {
	moveTo := func(g *fakeGroup, name string, err error) func() error {
		return func() error {
			g.elect(name)
			return err
		}
	}
	faults := map[string]func(g *fakeGroup){
		"none":               func(*fakeGroup) {},
		"kill before commit": func(g *fakeGroup) { g.beforeApply = moveTo(g, "c2", replica.ErrOutcomeUnknown); g.loseAnswers = 1 },
		"kill after commit":  func(g *fakeGroup) { g.afterApply = moveTo(g, "c2", replica.ErrOutcomeUnknown); g.loseAnswers = 1 },
		"silent connection":  func(g *fakeGroup) { g.loseAnswers = 2 },
		"freeze":             func(g *fakeGroup) { g.frozen["c1"] = true; g.leader = "c3" },
		"cut both ways":      func(g *fakeGroup) { g.dead["c1"] = true; g.leader = "c2" },
		"disk lost": func(g *fakeGroup) {
			g.afterApply = func() error { g.start("c1"); g.elect("c2"); return replica.ErrOutcomeUnknown }
		},
		"two faults at once": func(g *fakeGroup) {
			g.afterApply = moveTo(g, "c3", replica.ErrOutcomeUnknown)
			g.dead["c2"] = true
			g.loseAnswers = 1
		},
		"leader moves between check and commit": func(g *fakeGroup) { g.beforeApply = moveTo(g, "c3", replica.ErrNotLeader) },
	}
	faults["cut one way"] = func(g *fakeGroup) {
		g.mute = "c1"
		time.AfterFunc(10*time.Second, func() { g.elect("c2") })
	}
	faults["second loss right after repair"] = func(g *fakeGroup) {
		g.afterApply = func() error {
			g.start("c1")
			g.elect("c3")
			g.dead["c2"] = true
			return replica.ErrOutcomeUnknown
		}
	}
	for name, fault := range faults {
		t.Run("answer/"+name, func(t *testing.T) {
			inGroup(t, func(t *testing.T, g *fakeGroup) {
				fault(g)
				submitOnce(t, g)
			})
		})
	}
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	inGroup(t, func(t *testing.T, g *fakeGroup) {
		g.loseAnswers = 3
		var group sync.WaitGroup
		replies := make([]*operatorapi.SubmitReply, 2)
		for i, name := range []string{"one", "two"} {
			group.Go(func() {
				reply, err := g.client().Submit(t.Context(), submission(t, "id-"+name, 0, name))
				assert.NoError(t, err)
				replies[i] = reply
			})
		}
		group.Wait()
		winner, loser := replies[0], replies[1]
		if loser.Code == registry.CodeAccepted {
			winner, loser = loser, winner
		}
		assert.Equal(t, registry.CodeAccepted, winner.Code)
		assert.Equal(t, registry.Result{Code: registry.CodeConflict, Version: 1, Digest: winner.Digest}, loser.Result)
	})
}

// TestFollowerNamesTheLeader asks by way of a follower only.
func TestFollowerNamesTheLeader(t *testing.T) {
	inGroup(t, func(t *testing.T, g *fakeGroup) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		list, err := operatorapi.NewClientWithTransport([]string{"c2"}, g).VMs(ctx)
		require.NoError(t, err)
		assert.Len(t, list.Members, 3)
	})
}

func TestSubmitSaysWhatIsWrong(t *testing.T) {
	inGroup(t, func(t *testing.T, g *fakeGroup) {
		request := submission(t, "s", 0, "one")
		request.Content = append([]byte(nil), request.Content...)
		request.Content[len(request.Content)-1] = ' '
		request.Signatures = append(request.Signatures, request.Signatures[0])
		reply, err := g.client().Submit(t.Context(), request)
		require.NoError(t, err)
		assert.Equal(t, registry.CodeRefused, reply.Code)
		assert.GreaterOrEqual(t, len(reply.Findings), 3, "form, wrong, repeated and too few: %v", reply.Findings)
		assert.Nil(t, g.vms["c1"].registry.Newest())
	})
}

func TestFaultsMemberChange(t *testing.T) {
	added := operatorapi.VMRequest{Name: "c4", Zone: "b", Internal: "c4", Operators: "c4"}
	faults := map[string]func(g *fakeGroup){
		"none":            func(*fakeGroup) {},
		"answer lost":     func(g *fakeGroup) { g.loseAnswers = 2 },
		"kill of learner": func(g *fakeGroup) { g.afterLearner = func() error { return context.DeadlineExceeded } },
		"kill of leader":  func(g *fakeGroup) { g.afterLearner = func() error { g.elect("c2"); return replica.ErrOutcomeUnknown } },
		"cut both ways":   func(g *fakeGroup) { g.dead["c1"] = true; g.leader = "c2" },
		"two at once": func(g *fakeGroup) {
			g.afterLearner = func() error { g.elect("c3"); g.dead["c1"] = true; return errReset }
		},
		"before it is put": func(g *fakeGroup) { g.beforeApply = func() error { g.elect("c2"); return replica.ErrOutcomeUnknown } },
	}
	faults["freeze"] = func(g *fakeGroup) { g.frozen["c1"] = true; g.leader = "c2" }
	faults["disk lost"] = func(g *fakeGroup) {
		g.afterLearner = func() error {
			g.start("c1")
			g.elect("c2")
			return replica.ErrOutcomeUnknown
		}
	}
	faults["cut one way"] = func(g *fakeGroup) {
		g.mute = "c1"
		time.AfterFunc(10*time.Second, func() { g.elect("c2") })
	}
	faults["second loss right after repair"] = func(g *fakeGroup) {
		g.afterLearner = func() error {
			g.elect("c2")
			g.afterLearner = nil
			g.beforeApply = func() error { g.elect("c3"); return replica.ErrOutcomeUnknown }
			return replica.ErrOutcomeUnknown
		}
	}
	for name, fault := range faults {
		t.Run("member change/"+name, func(t *testing.T) {
			inGroup(t, func(t *testing.T, g *fakeGroup) {
				fault(g)
				_, err := g.client().AddVM(t.Context(), &added)
				require.NoError(t, err)
				list, err := g.client().RemoveVM(t.Context(), "c1")
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err = g.client().RemoveVM(ctx, "c1")
				require.NoError(t, err, "a resend changes nothing")
				require.Len(t, list.Members, 3)
				for _, member := range list.Members {
					assert.False(t, member.Learner, member.Name)
				}
				assert.ElementsMatch(t, []string{"c2", "c3", "c4"}, holderAddresses(g.vms["c2"].registry.Epoch()))
				assert.Equal(t, uint64(3), g.vms["c2"].registry.Epoch().Number, "one epoch for each change")
			})
		})
	}
	t.Run("member change/last one", func(t *testing.T) {
		inGroup(t, func(t *testing.T, g *fakeGroup) {
			g.members = g.members[:1]
			_, err := g.client().RemoveVM(t.Context(), "c1")
			var refused *operatorapi.ErrorReply
			require.ErrorAs(t, err, &refused)
			assert.Equal(t, operatorapi.ErrorRefused, refused.Code)
		})
	})
}

// holderAddresses returns the addresses of an epoch's holders, which are the
// VM names in a fakeGroup.
func holderAddresses(epoch registry.Epoch) []string {
	addresses := make([]string, len(epoch.Holders))
	for i, holder := range epoch.Holders {
		addresses[i] = holder.Address
	}
	return addresses
}

func TestZoneOutOfReachIsNotDone(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	report := func(vm, zone string, version uint64, silent time.Duration) distribute.Report {
		return distribute.Report{VM: vm, Zone: zone, Version: version, ConfirmedAt: now.Add(-silent)}
	}
	expected := []ExpectedVM{{Name: "a1", Zone: "a"}, {Name: "b1", Zone: "b"}, {Name: "c1", Zone: "c"}, {Name: "c2", Zone: "c"}, {Name: "d1", Zone: "d"}}
	reports := []distribute.Report{
		report("a1", "a", 2, time.Second), report("b1", "b", 1, time.Second),
		report("c1", "c", 2, time.Second), report("c2", "c", 2, time.Minute),
	}
	zones := zoneStatuses(2, expected, reports, now)
	var states []operatorapi.ZoneState
	for _, zone := range zones {
		states = append(states, zone.State)
	}
	assert.Equal(t, []operatorapi.ZoneState{
		operatorapi.ZoneInForce, operatorapi.ZoneUpdating, operatorapi.ZonePartlyUnreachable, operatorapi.ZoneUnreachable,
	}, states)
	status := operatorapi.Status{Version: 2, Zones: zones}
	assert.False(t, status.IsInForceEverywhere())
}
