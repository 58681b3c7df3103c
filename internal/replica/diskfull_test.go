package replica

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/settings"
)

// A leader whose disk refuses a write gives leadership away at once; without
// that the others wait for the end of its lease.
func TestLeaderWithAFullDiskHandsOver(t *testing.T) {
	net := newMemoryNet(t, 3)
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
	begun := time.Now()
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
	require.Less(t, time.Since(begun), election/2, "well before an election by silence")
}
