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

// probing holds the socket options by which the kernel ends a connection without received data.
type probing struct {
	idle, interval, userTimeout time.Duration
}

func readProbing(t *testing.T, conn net.Conn) (p probing) {
	t.Helper()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		for option, value := range map[int]*time.Duration{unix.TCP_KEEPIDLE: &p.idle, unix.TCP_KEEPINTVL: &p.interval, unix.TCP_USER_TIMEOUT: &p.userTimeout} {
			got, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option)
			require.NoError(t, err)
			*value = time.Duration(got) * time.Second
			if option == unix.TCP_USER_TIMEOUT {
				*value = time.Duration(got) * time.Millisecond
			}
		}
	}))
	return p
}

// closedAfter returns the time without received data after which Linux closes an idle connection with a TCP_USER_TIMEOUT,
// which takes precedence over the number of probes, and the time between the first and the last probe: a shorter loss of
// all packets does not end the connection.
func (p probing) closedAfter() (closed, tolerated time.Duration) {
	closed = p.idle + p.interval
	for closed < p.userTimeout {
		closed += p.interval
	}
	return closed, closed - p.interval - p.idle
}

func TestUserTimeoutAndProbesTogetherOutlastASecondWithoutPackets(t *testing.T) {
	listener, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	dialed, err := Dialer(time.Second).DialContext(t.Context(), "tcp", listener.Addr().String())
	require.NoError(t, err)
	defer dialed.Close()
	accepted, err := listener.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	for _, conn := range []net.Conn{dialed, accepted} {
		closed, tolerated := readProbing(t, conn).closedAfter()
		require.Equal(t, 6*time.Second, closed)
		require.Equal(t, 2*time.Second, tolerated)
	}
	require.NoError(t, SetUnreachableAfter(dialed.(*net.TCPConn), 3*time.Second))
	closed, tolerated := readProbing(t, dialed).closedAfter()
	require.Equal(t, 3*time.Second, closed)
	require.Equal(t, time.Second, tolerated)
}
