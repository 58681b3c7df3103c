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

// inTree runs a test on three zones a, b, c with a control VM and three entry
// VMs each, called control-a and entry-a1 to entry-a3 and so on.
func inTree(t *testing.T, test func(t *testing.T, tr *tree)) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTree(t, 5*time.Millisecond)
		defer tr.stop()
		var peers []distribute.Peer
		for _, zone := range []string{"a", "b", "c"} {
			peers = append(peers, tr.know("control-"+zone, zone, true))
			for i := range 3 {
				peers = append(peers, tr.know(fmt.Sprint("entry-", zone, i+1), zone, false))
			}
		}
		for _, peer := range peers {
			tr.start(peer)
		}
		tr.accept(1)
		time.Sleep(5 * time.Second)
		tr.requireAll(1)
		test(t, tr)
	})
}

// accept puts a version in force on the control VMs.
func (tr *tree) accept(version uint64, control ...string) {
	if len(control) == 0 {
		control = []string{"control-a", "control-b", "control-c"}
	}
	for _, name := range control {
		tr.vms[name].node.Store().Put(sealed(tr.t, version, 20))
	}
}

func (tr *tree) requireAll(version uint64) {
	for name, v := range tr.vms {
		require.Equal(tr.t, version, v.version(), name)
	}
}

// requireAttached holds the VMs to a path to a control VM.
func (tr *tree) requireAttached(names []string) {
	for _, name := range names {
		require.True(tr.t, tr.vms[name].node.IsAttached(), name)
	}
}

var zoneA = []string{"control-a", "entry-a1", "entry-a2", "entry-a3"}
var zonesBC = []string{"control-b", "entry-b1", "entry-b2", "entry-b3", "control-c", "entry-c1", "entry-c2", "entry-c3"}

func TestFaultsDistribute(t *testing.T) {
	t.Run("distribute/none", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.accept(2)
			time.Sleep(100 * time.Millisecond)
			tr.requireAll(2)
		})
	})
	t.Run("distribute/kill", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			time.Sleep(time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(5 * time.Second)
			tr.requireAll(2)
		})
	})
	t.Run("distribute/silent connection", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			for _, entry := range zoneA[1:] {
				tr.network.silence(entry, "control-a")
			}
			tr.accept(2)
			time.Sleep(5 * time.Second)
			tr.requireAll(2)
			tr.requireAttached(zoneA[1:])
		})
	})
	t.Run("distribute/cut both ways", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.network.setCut(zoneA, zonesBC, true)
			tr.vms["control-a"].root.Store(false)
			time.Sleep(10 * time.Second)
			for version := uint64(2); version < 300; version++ {
				tr.accept(version, "control-b", "control-c")
			}
			time.Sleep(5 * time.Second)
			for _, name := range zoneA {
				require.Equal(t, uint64(1), tr.vms[name].version(), "goes on with the newest it knows")
				require.NotNil(t, tr.vms[name].holder.Current())
			}
			tr.network.setCut(zoneA, zonesBC, false)
			time.Sleep(5 * time.Second)
			for _, name := range zoneA[1:] {
				require.Equal(t, uint64(299), tr.vms[name].version(), name)
			}
		})
	})
	t.Run("distribute/cut off from control VMs but for one VM", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.network.setCut(zoneA[:3], zonesBC, true)
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			time.Sleep(15 * time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(time.Second)
			tr.requireAll(2)
		})
	})
	t.Run("distribute/freeze of a control VM that has lost the leader", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].root.Store(false)
			time.Sleep(5 * time.Second)
			tr.accept(2, "control-b", "control-c")
			time.Sleep(time.Second)
			for _, name := range zoneA[1:] {
				require.Equal(t, uint64(2), tr.vms[name].version(), name)
			}
			tr.requireAttached(zoneA[1:])
		})
	})
	t.Run("distribute/disk lost", testRestartWithoutDisk)
	t.Run("distribute/cut one way", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			for _, entry := range zoneA[1:] {
				tr.network.silenceToDialer(entry, "control-a")
			}
			tr.accept(2)
			time.Sleep(5 * time.Second)
			tr.requireAll(2)
			tr.requireAttached(zoneA[1:])
		})
	})
	t.Run("distribute/second loss right after repair", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
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
			tr.requireAll(3)
		})
	})
	t.Run("distribute/two faults at once", func(t *testing.T) {
		inTree(t, func(t *testing.T, tr *tree) {
			tr.vms["control-a"].stop()
			delete(tr.vms, "control-a")
			for _, entry := range zoneA[1:] {
				tr.network.silence(entry, "control-b")
				tr.network.silence(entry, "control-c")
			}
			tr.accept(2, "control-b", "control-c")
			time.Sleep(9 * time.Second)
			tr.requireAll(2)
		})
	})
}

// testRestartWithoutDisk restarts an entry VM whose zone is cut off: it must
// not turn ready before it has asked its peers.
func testRestartWithoutDisk(t *testing.T) {
	inTree(t, func(t *testing.T, tr *tree) {
		tr.accept(2)
		time.Sleep(time.Second)
		tr.network.setCut(zoneA, zonesBC, true)
		tr.vms["control-a"].stop()
		tr.vms["entry-a1"].stop()
		delete(tr.vms, "control-a")
		tr.vms["entry-a2"].node.Store().Put(sealed(t, 3, 20))
		restarted := tr.start(tr.vms["entry-a1"].peer)
		started := time.Now()
		for !restarted.node.IsReady() {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, uint64(3), restarted.version(), "the highest of several entry VMs of the zone")
		assert.Less(t, time.Since(started), 2*time.Second, "it has asked, not waited")
	})
}

func TestVersionNeverFalls(t *testing.T) {
	inTree(t, func(t *testing.T, tr *tree) {
		tr.accept(7)
		time.Sleep(time.Second)
		tr.vms["control-a"].stop()
		restarted := tr.start(tr.vms["control-a"].peer)
		restarted.node.Store().Put(sealed(t, 3, 20))
		time.Sleep(10 * time.Second)
		for _, name := range zoneA[1:] {
			require.Equal(t, uint64(7), tr.vms[name].version(), name)
		}
	})
}

// TestReceiverVerifies offers bundles that a faulty VM could pass on.
func TestReceiverVerifies(t *testing.T) {
	good := sealed(t, 5, 2)
	other := sealed(t, 6, 3)
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
