package distribute_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
)

// runInTree runs a test in three zones a, b and c with one control VM and three entry VMs each, named control-a,
// entry-a1 to entry-a3 and so on. Version 1 is in force on all VMs when the test starts.
func runInTree(t *testing.T, test func(t *testing.T, tr *tree)) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTree(t, 5*time.Millisecond)
		defer tr.stop()
		var peers []distribute.Peer
		for _, zone := range []string{"a", "b", "c"} {
			peers = append(peers, tr.addPeer("control-"+zone, zone, true))
			for i := range 3 {
				peers = append(peers, tr.addPeer(fmt.Sprint("entry-", zone, i+1), zone, false))
			}
		}
		for _, peer := range peers {
			tr.start(peer)
		}
		tr.accept(1)
		time.Sleep(5 * time.Second)
		tr.requireVersion(1)
		test(t, tr)
	})
}

// accept puts a new bundle in force on the given control VMs, or on all of them if none is given.
func (tr *tree) accept(version uint64, control ...string) {
	if len(control) == 0 {
		control = []string{"control-a", "control-b", "control-c"}
	}
	for _, name := range control {
		tr.vms[name].node.Store().Put(newBundle(tr.t, version, 20))
	}
}

// requireVersion fails the test unless version is in force on all VMs.
func (tr *tree) requireVersion(version uint64) {
	for name, v := range tr.vms {
		require.Equal(tr.t, version, v.version(), name)
	}
}

// requireAttached fails the test unless each of the VMs has a path to a control VM.
func (tr *tree) requireAttached(names []string) {
	for _, name := range names {
		require.True(tr.t, tr.vms[name].node.IsAttached(), name)
	}
}

var zoneAVMs = []string{"control-a", "entry-a1", "entry-a2", "entry-a3"}
var zonesBCVMs = []string{"control-b", "entry-b1", "entry-b2", "entry-b3", "control-c", "entry-c1", "entry-c2", "entry-c3"}

// TestFaultsDistribute injects faults of VMs, connections and the network into a tree. Each VM that can still reach a
// control VM, directly or through other VMs, must have a new bundle in force within seconds.
func TestFaultsDistribute(t *testing.T) {
	t.Run("distribute/none", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.accept(2)
			time.Sleep(100 * time.Millisecond)
			tr.requireVersion(2)
		})
	})
	t.Run("distribute/kill", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			time.Sleep(time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(5 * time.Second)
			tr.requireVersion(2)
		})
	})
	t.Run("distribute/silent connection", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			for _, entry := range zoneAVMs[1:] {
				tr.network.blackhole(entry, "control-a")
			}
			tr.accept(2)
			time.Sleep(5 * time.Second)
			tr.requireVersion(2)
			tr.requireAttached(zoneAVMs[1:])
		})
	})
	t.Run("distribute/cut both ways", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.network.setPartitioned(zoneAVMs, zonesBCVMs, true)
			tr.vms["control-a"].knowsLeader.Store(false)
			time.Sleep(10 * time.Second)
			for version := uint64(2); version < 300; version++ {
				tr.accept(version, "control-b", "control-c")
			}
			time.Sleep(5 * time.Second)
			for _, name := range zoneAVMs {
				require.Equal(t, uint64(1), tr.vms[name].version(), "a partitioned VM must keep the newest version it holds")
				require.NotNil(t, tr.vms[name].holder.Current())
			}
			tr.network.setPartitioned(zoneAVMs, zonesBCVMs, false)
			time.Sleep(5 * time.Second)
			for _, name := range zoneAVMs[1:] {
				require.Equal(t, uint64(299), tr.vms[name].version(), name)
			}
		})
	})
	t.Run("distribute/cut off from control VMs but for one VM", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.network.setPartitioned(zoneAVMs[:3], zonesBCVMs, true)
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			time.Sleep(15 * time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(time.Second)
			tr.requireVersion(2)
		})
	})
	t.Run("distribute/freeze of a control VM that has lost the leader", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].knowsLeader.Store(false)
			time.Sleep(5 * time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(time.Second)
			for _, name := range zoneAVMs[1:] {
				require.Equal(t, uint64(2), tr.vms[name].version(), name)
			}
			tr.requireAttached(zoneAVMs[1:])
		})
	})
	t.Run("distribute/disk lost", testRestartWithoutDisk)
	t.Run("distribute/cut one way", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			for _, entry := range zoneAVMs[1:] {
				tr.network.blackholeToDialer(entry, "control-a")
			}
			tr.accept(2)
			time.Sleep(5 * time.Second)
			tr.requireVersion(2)
			tr.requireAttached(zoneAVMs[1:])
		})
	})
	t.Run("distribute/second loss right after repair", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].stop()
			tr.accept(2, "control-b", "control-c")
			tr.start(tr.vms["control-a"].peer)
			tr.accept(2, "control-a")
			for _, second := range []string{"control-b", "control-c"} {
				tr.vms[second].stop()
				delete(tr.vms, second)
			}
			tr.accept(3, "control-a")
			time.Sleep(8 * time.Second)
			tr.requireVersion(3)
		})
	})
	t.Run("distribute/two faults at once", func(t *testing.T) {
		runInTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			for _, entry := range zoneAVMs[1:] {
				tr.network.blackhole(entry, "control-b")
				tr.network.blackhole(entry, "control-c")
			}
			tr.accept(2, "control-b", "control-c")
			time.Sleep(9 * time.Second)
			tr.requireVersion(2)
		})
	})
}

// testRestartWithoutDisk guards against an entry VM that becomes ready with an outdated bundle after a restart without
// stored state. Its zone is partitioned from the others and has no control VM, and only one of the two other entry VMs
// of the zone is given the newest version. The VM must become ready with that version, before ReadyWait (2 s) is over.
func testRestartWithoutDisk(t *testing.T) {
	runInTree(t, func(t *testing.T, tr *tree) {
		tr.accept(2)
		time.Sleep(time.Second)
		tr.network.setPartitioned(zoneAVMs, zonesBCVMs, true)
		tr.vms["control-a"].stop()
		tr.vms["entry-a1"].stop()
		delete(tr.vms, "control-a")
		tr.vms["entry-a2"].node.Store().Put(newBundle(t, 3, 20))
		restarted := tr.start(tr.vms["entry-a1"].peer)
		started := time.Now()
		for !restarted.node.IsReady() {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, uint64(3), restarted.version(), "the VM must take the highest version among the entry VMs of its zone")
		assert.Less(t, time.Since(started), 2*time.Second, "the VM must become ready when its peers have replied")
	})
}

// TestVersionNeverDecreases restarts a control VM with a lower version than the one that its watchers have in force.
// They must keep their version.
func TestVersionNeverDecreases(t *testing.T) {
	runInTree(t, func(t *testing.T, tr *tree) {
		tr.accept(7)
		time.Sleep(time.Second)
		tr.vms["control-a"].stop()
		restarted := tr.start(tr.vms["control-a"].peer)
		restarted.node.Store().Put(newBundle(t, 3, 20))
		time.Sleep(10 * time.Second)
		for _, name := range zoneAVMs[1:] {
			require.Equal(t, uint64(7), tr.vms[name].version(), name)
		}
	})
}

// TestVerifyBundleRejectsForgedBundles verifies bundles that a faulty VM could forward: their version, content, digest
// and signatures don't belong together.
func TestVerifyBundleRejectsForgedBundles(t *testing.T) {
	good := newBundle(t, 5, 2)
	other := newBundle(t, 6, 3)
	forge := func(change func(accepted *bundle.AcceptedBundle)) *bundle.AcceptedBundle {
		forged := *good.Accepted
		change(&forged)
		return &forged
	}
	cases := map[string]struct {
		accepted *bundle.AcceptedBundle
		content  []byte
	}{
		"higher version":     {forge(func(a *bundle.AcceptedBundle) { a.Version = 9 }), good.Content},
		"other content":      {good.Accepted, other.Content},
		"other digest":       {forge(func(a *bundle.AcceptedBundle) { a.Digest = other.Digest() }), other.Content},
		"no signature":       {forge(func(a *bundle.AcceptedBundle) { a.Signatures = nil }), good.Content},
		"signature of other": {forge(func(a *bundle.AcceptedBundle) { a.Signatures = other.Accepted.Signatures }), good.Content},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := distribute.VerifyBundle(c.accepted, c.content, keyring(t))
			require.Error(t, err)
		})
	}
	_, err := distribute.VerifyBundle(good.Accepted, good.Content, keyring(t))
	require.NoError(t, err)
}
