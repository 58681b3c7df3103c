package replica

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/settings"
)

// A leader whose disk is full must stop and transfer leadership at once. Otherwise the
// group has no leader until the others start an election after the lease has expired.
func TestLeaderWithFullDiskTransfersLeadership(t *testing.T) {
	net := newMemNetwork(t, 3)
	defer func() {
		for _, vm := range net.all() {
			vm.kill()
		}
	}()
	first := net.leader(t)
	require.Eventually(t, func() bool {
		_, err := first.replica.Propose(context.Background(), []byte("a"))
		return err == nil
	}, 5*time.Second, 10*time.Millisecond)
	first.disk.SetFreeBytes(0)
	start := time.Now()
	go func() { _, _ = first.replica.Propose(context.Background(), []byte("b")) }()
	<-first.replica.Done()
	require.Error(t, first.replica.Err())
	require.Eventually(t, func() bool {
		for _, vm := range net.all() {
			if vm != first && vm.replica.Leadership().IsLeader {
				return true
			}
		}
		return false
	}, 5*time.Second, 5*time.Millisecond)
	election := time.Duration(settings.Defaults().Control.ElectionTimeout)
	require.Less(t, time.Since(start), election/2, "the next leader must lead well before an election timeout")
}
