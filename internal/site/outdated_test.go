package site

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/transport"
)

// startEntryLink starts the link of an entry VM that knows the given control VMs.
func startEntryLink(t *testing.T, vms ...*controlVM) *hub.Link {
	t.Helper()
	pool := transport.NewPool(transport.PoolOptions{Identity: transport.Identity{Cluster: clusterName, VM: "entry"}})
	var seeds []string
	for _, vm := range vms {
		seeds = append(seeds, vm.settings.InternalAddress())
	}
	link := hub.NewLink(hub.LinkOptions{
		VM: "entry", Zone: "a", Incarnation: 1, Seeds: seeds, Pool: pool, Decode: versionCodec{}.DecodeRoutes,
		UnresponsiveAfter: time.Minute, ExpireAfter: time.Minute, Logger: zerolog.Nop(), OnServerGone: func(string) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		link.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
	})
	return link
}

func tableVersion(link *hub.Link) uint64 {
	if table := link.Table(); table != nil {
		return table.Version
	}
	return 0
}

// After a restart of all VMs, a control VM handed out the route table of its last snapshot, older
// than the newest acknowledged one, and entry VMs refused the routes that had been added since.
func TestRestartedControlVMHandsOutNoOutdatedRouteTable(t *testing.T) {
	const newest = snapshotEntries + 6 // so that the last ones are in the log only
	g := newControlGroup(t)
	var vms []*controlVM
	for n := range 3 {
		vms = append(vms, g.start(n, t.TempDir(), true))
	}
	for version := uint64(1); version <= newest; version++ {
		g.put(vms[int(version)%3], version, 10*time.Second)
	}
	for _, vm := range vms {
		vm.kill()
	}
	vms[0] = g.start(0, vms[0].settings.DataDir, false)
	link := startEntryLink(t, vms[0])
	require.Never(t, func() bool { return tableVersion(link) != 0 }, 3*time.Second, 20*time.Millisecond,
		"a control VM alone can't know which route table is the newest")
	vms[1] = g.start(1, vms[1].settings.DataDir, false)
	require.Eventually(t, func() bool { return tableVersion(link) != 0 }, 5*time.Second, 20*time.Millisecond)
	require.EqualValues(t, newest, tableVersion(link))
}

// A control VM that is removed from the group while it is down comes back with the route table
// that it had. The entry VMs of its zone must get the newest one.
func TestRemovedControlVMHandsOutNoOutdatedRouteTable(t *testing.T) {
	g := newControlGroup(t)
	vms, replacement := g.startWithReplacement()
	vms[2].kill()
	time.Sleep(4 * time.Second) // longer than a voter that can be spared may be unresponsive
	g.awaitVoters(replacement, 3, 5*time.Second)
	g.put(replacement, 2, 5*time.Second)
	vms[2] = g.start(2, vms[2].settings.DataDir, false)
	link := startEntryLink(t, vms[2])
	require.Eventually(t, func() bool { return tableVersion(link) != 0 }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 2, tableVersion(link))
}
