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

// runWithGroup runs a test on a group of three control VMs that has recorded its
// initial VMs.
func runWithGroup(t *testing.T, test func(t *testing.T, g *fakeGroup)) {
	synctest.Test(t, func(t *testing.T) {
		g := newFakeGroup(t)
		require.NoError(t, g.vms["c1"].control.tryRecordInitialVMs(t.Context()))
		test(t, g)
	})
}

// requireSubmittedOnce submits a bundle under a fault. The bundle must be accepted
// once, and a later resend must get the same answer.
func requireSubmittedOnce(t *testing.T, g *fakeGroup) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	first, err := g.client().Submit(ctx, submission(t, "s", 0, "one"))
	require.NoError(t, err)
	require.Equal(t, registry.CodeAccepted, first.Code)
	require.Equal(t, uint64(1), first.Version)
	resent, err := g.client().Submit(ctx, submission(t, "s", 0, "one"))
	require.NoError(t, err)
	assert.Equal(t, first, resent)
	for name, vm := range g.vms {
		assert.Len(t, vm.registry.History(10), 1, name)
	}
}

// TestFaultsAnswer submits a bundle under faults of the leader and its
// connections, before and after the commit of the command.
func TestFaultsAnswer(t *testing.T) {
	electAndReturn := func(g *fakeGroup, name string, err error) func() error {
		return func() error {
			g.elect(name)
			return err
		}
	}
	faults := map[string]func(g *fakeGroup){
		"none": func(*fakeGroup) {},
		"kill before commit": func(g *fakeGroup) {
			g.beforeApply = electAndReturn(g, "c2", replica.ErrOutcomeUnknown)
			g.answersToLose = 1
		},
		"kill after commit": func(g *fakeGroup) {
			g.afterApply = electAndReturn(g, "c2", replica.ErrOutcomeUnknown)
			g.answersToLose = 1
		},
		"silent connection": func(g *fakeGroup) { g.answersToLose = 2 },
		"freeze":            func(g *fakeGroup) { g.frozen["c1"] = true; g.leader = "c3" },
		"cut both ways":     func(g *fakeGroup) { g.dead["c1"] = true; g.leader = "c2" },
		"disk lost": func(g *fakeGroup) {
			g.afterApply = func() error { g.startVM("c1"); g.elect("c2"); return replica.ErrOutcomeUnknown }
		},
		"two faults at once": func(g *fakeGroup) {
			g.afterApply = electAndReturn(g, "c3", replica.ErrOutcomeUnknown)
			g.dead["c2"] = true
			g.answersToLose = 1
		},
		"leader moves between check and commit": func(g *fakeGroup) { g.beforeApply = electAndReturn(g, "c3", replica.ErrNotLeader) },
	}
	faults["cut one way"] = func(g *fakeGroup) {
		g.mutedVM = "c1"
		time.AfterFunc(10*time.Second, func() { g.elect("c2") })
	}
	faults["second loss right after repair"] = func(g *fakeGroup) {
		g.afterApply = func() error {
			g.startVM("c1")
			g.elect("c3")
			g.dead["c2"] = true
			return replica.ErrOutcomeUnknown
		}
	}
	for name, fault := range faults {
		t.Run("answer/"+name, func(t *testing.T) {
			runWithGroup(t, func(t *testing.T, g *fakeGroup) {
				fault(g)
				requireSubmittedOnce(t, g)
			})
		})
	}
}

// TestConcurrentSubmissionsAcceptOne has two operators submit different bundles as
// the same version. One must be accepted, and the other must get its digest.
func TestConcurrentSubmissionsAcceptOne(t *testing.T) {
	runWithGroup(t, func(t *testing.T, g *fakeGroup) {
		g.answersToLose = 3
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
		accepted, conflicting := replies[0], replies[1]
		if conflicting.Code == registry.CodeAccepted {
			accepted, conflicting = conflicting, accepted
		}
		assert.Equal(t, registry.CodeAccepted, accepted.Code)
		assert.Equal(t, registry.Result{Code: registry.CodeConflict, Version: 1, Digest: accepted.Digest}, conflicting.Result)
	})
}

// TestClientFindsLeaderThroughFollower uses a client that knows only the address
// of a follower.
func TestClientFindsLeaderThroughFollower(t *testing.T) {
	runWithGroup(t, func(t *testing.T, g *fakeGroup) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		list, err := operatorapi.NewClientWithTransport([]string{"c2"}, g).VMs(ctx)
		require.NoError(t, err)
		assert.Len(t, list.Members, 3)
	})
}

func TestSubmitReportsAllFindings(t *testing.T) {
	runWithGroup(t, func(t *testing.T, g *fakeGroup) {
		request := submission(t, "s", 0, "one")
		request.Content = append([]byte(nil), request.Content...)
		request.Content[len(request.Content)-1] = ' '
		request.Signatures = append(request.Signatures, request.Signatures[0])
		reply, err := g.client().Submit(t.Context(), request)
		require.NoError(t, err)
		assert.Equal(t, registry.CodeRefused, reply.Code)
		assert.GreaterOrEqual(t, len(reply.Findings), 3, "expected findings on the form, the invalid and repeated signatures and their number: %v", reply.Findings)
		assert.Nil(t, g.vms["c1"].registry.Newest())
	})
}

// TestFaultsMemberChange adds and removes a control VM under faults. Resends must
// complete each change once, and each change must start one ledger epoch.
func TestFaultsMemberChange(t *testing.T) {
	added := operatorapi.VMRequest{Name: "c4", Zone: "b", Internal: "c4", Operators: "c4"}
	faults := map[string]func(g *fakeGroup){
		"none":            func(*fakeGroup) {},
		"answer lost":     func(g *fakeGroup) { g.answersToLose = 2 },
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
			g.startVM("c1")
			g.elect("c2")
			return replica.ErrOutcomeUnknown
		}
	}
	faults["cut one way"] = func(g *fakeGroup) {
		g.mutedVM = "c1"
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
			runWithGroup(t, func(t *testing.T, g *fakeGroup) {
				fault(g)
				_, err := g.client().AddVM(t.Context(), &added)
				require.NoError(t, err)
				list, err := g.client().RemoveVM(t.Context(), "c1")
				require.NoError(t, err)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_, err = g.client().RemoveVM(ctx, "c1")
				require.NoError(t, err, "a resend must succeed and change nothing")
				require.Len(t, list.Members, 3)
				for _, member := range list.Members {
					assert.False(t, member.Learner, member.Name)
				}
				assert.ElementsMatch(t, []string{"c2", "c3", "c4"}, holderAddresses(g.vms["c2"].registry.Epoch()))
				assert.Equal(t, uint64(3), g.vms["c2"].registry.Epoch().Number, "expected the first epoch and one for each change")
			})
		})
	}
	t.Run("member change/last one", func(t *testing.T) {
		runWithGroup(t, func(t *testing.T, g *fakeGroup) {
			g.members = g.members[:1]
			_, err := g.client().RemoveVM(t.Context(), "c1")
			var refused *operatorapi.ErrorReply
			require.ErrorAs(t, err, &refused)
			assert.Equal(t, operatorapi.ErrorRefused, refused.Code)
		})
	})
}

// holderAddresses returns the addresses of the holders of an epoch. In a fakeGroup
// the address of a VM is its name.
func holderAddresses(epoch registry.Epoch) []string {
	addresses := make([]string, len(epoch.Holders))
	for i, holder := range epoch.Holders {
		addresses[i] = holder.Address
	}
	return addresses
}

// TestStatusOfUnreachableAndOutdatedVMs checks the state of a zone for each state
// of its VMs, and that an unreachable zone doesn't count as in force.
func TestStatusOfUnreachableAndOutdatedVMs(t *testing.T) {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	report := func(vm, zone string, version uint64, age time.Duration) distribute.Report {
		return distribute.Report{VM: vm, Zone: zone, Version: version, ConfirmedAt: now.Add(-age)}
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
