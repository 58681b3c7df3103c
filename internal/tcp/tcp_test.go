package tcp

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// Without keep-alive and TCP_USER_TIMEOUT, a connection to an unreachable peer stays open
// for minutes. The test reads the options back from the sockets of both ends.
func TestSocketOptionsAreSetOnBothEnds(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	for name, conn := range map[string]net.Conn{"dialed": dialed, "accepted": accepted} {
		raw, err := conn.(*net.TCPConn).SyscallConn()
		require.NoError(t, err)
		expected := map[int]int{
			unix.TCP_USER_TIMEOUT: int(unackedTimeout.Milliseconds()),
			unix.TCP_KEEPIDLE:     int(keepAliveIdle.Seconds()),
			unix.TCP_KEEPINTVL:    int(keepAliveInterval.Seconds()),
			unix.TCP_KEEPCNT:      keepAliveCount,
		}
		require.NoError(t, raw.Control(func(fd uintptr) {
			for option, value := range expected {
				got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
				require.NoError(t, err)
				require.Equal(t, value, got, "%s: option %d", name, option)
			}
		}))
	}
}

func TestConnectionToAnUnreachableVMIsClosedWithinTheGivenTime(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	require.NoError(t, SetUnreachableAfter(dialed.(*net.TCPConn), 3*time.Second))
	raw, err := dialed.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		values := map[int]int{}
		for _, option := range []int{unix.TCP_USER_TIMEOUT, unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL, unix.TCP_KEEPCNT} {
			values[option], err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
		}
		require.Equal(t, 3000, values[unix.TCP_USER_TIMEOUT])
		require.Equal(t, 3, values[unix.TCP_KEEPIDLE]+values[unix.TCP_KEEPINTVL]*values[unix.TCP_KEEPCNT])
	}))
}
