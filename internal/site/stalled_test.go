package site

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub"
)

// tableWithin is the platform's bound from the acknowledgement of a route table until it is in force.
const tableWithin = 2 * time.Second

// connectedAfter is the time after its start from which the bounds of the platform hold for a VM.
const connectedAfter = 3 * time.Second

// follower returns the number of a control VM that follows the leader.
func (g *fullDiskGroup) follower() int {
	g.t.Helper()
	found := -1
	require.Eventually(g.t, func() bool {
		for n, vm := range g.vms {
			if member := vm.replica.Load(); member != nil && !member.Leadership().IsLeader && member.Leadership().LeaderID != 0 {
				found = n
				return true
			}
		}
		return false
	}, 5*time.Second, 10*time.Millisecond)
	return found
}

// requireTable requires that the entry VM gets the newest route table in time.
func (g *fullDiskGroup) requireTable(link *hub.Link, within time.Duration) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return tableVersion(link) >= g.version }, within, 10*time.Millisecond,
		"version %d was acknowledged %v ago", g.version, within)
}

// A control VM whose disk took no writes applied no entries while it knew the leader, and kept its
// entry VMs on an older route table.
func TestControlVMWithoutAWorkingDiskHandsOutTheNewestRouteTable(t *testing.T) {
	for name, trouble := range map[string]func(disk *fullDisk) (end func()){
		"stalled": func(disk *fullDisk) func() {
			disk.BlockSyncs()
			return disk.UnblockSyncs
		},
		"full": func(disk *fullDisk) func() {
			disk.full.Store(true)
			return func() { disk.full.Store(false) }
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFullDiskGroup(t, 3)
			lagging := g.follower()
			link := startEntryLink(t, g.vms[lagging])
			g.requireTable(link, connectedAfter+tableWithin)
			end := trouble(g.disks[lagging])
			defer end()
			other := g.vms[(lagging+1)%len(g.vms)]
			for range 8 {
				g.version++
				g.put(other, g.version, 2*time.Second)
				g.requireTable(link, tableWithin)
				time.Sleep(300 * time.Millisecond)
			}
			restarted := startEntryLink(t, g.vms[lagging])
			g.requireTable(restarted, connectedAfter+tableWithin)
		})
	}
}
