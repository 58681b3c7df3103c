package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/serverstate"
)

func TestProbeTellsWhetherAProcessListens(t *testing.T) {
	started := time.UnixMilli(1_700_000_000_000)
	for name, c := range map[string]struct {
		handle func(conn *net.TCPConn)
		want   serverstate.Presence
	}{
		"it answers": {echo, serverstate.Presence{Result: serverstate.ProbeAnswered, StartedAt: started}},
		"it resets each connection": {func(conn *net.TCPConn) {
			time.Sleep(10 * time.Millisecond)
			_ = conn.SetLinger(0)
		}, serverstate.Presence{}},
		"it is silent": {func(*net.TCPConn) { time.Sleep(2 * probeTimeout) }, serverstate.Presence{}},
	} {
		t.Run(name, func(t *testing.T) {
			d := cutDialer(nil, 0)
			d.direct = connect
			d.options.Probe = func(ctx context.Context, conn net.Conn, address string) (time.Time, error) {
				if _, err := probeEcho(ctx, conn, address); err != nil {
					return time.Time{}, err
				}
				return started, nil
			}
			require.Equal(t, c.want, d.Probe(context.Background(), startBackend(t, c.handle)))
		})
	}
}

// A server that has left is probed once its responses have ended.
func TestProbesOfServersThatHaveLeftDoNotMakeThisVMCutOff(t *testing.T) {
	d := cutDialer(nil, 0)
	d.direct = connect
	for range minFailedPaths {
		listener := listen(t)
		address := listener.Addr().String()
		require.NoError(t, listener.Close())
		d.Forget(address)
		require.Equal(t, serverstate.ProbeRefused, d.Probe(context.Background(), address).Result)
	}
	require.False(t, d.IsCutOff())
}
