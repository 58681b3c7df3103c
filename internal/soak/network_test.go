package soak

import (
	"io"
	"net"
	"os"

	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoServer listens on an address and returns the bytes of each connection until the returned function is called.
func echoServer(t *testing.T, listen string) (stop func()) {
	listener, err := net.Listen("tcp", listen)
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn) // ends with the connection
				_ = conn.Close()
			}()
		}
	}()
	return func() { _ = listener.Close() }
}

// exchange sends a byte and reports the error of the send or of the answer.
func exchange(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(300 * time.Millisecond)) // a failure shows in the calls below
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 1))
	return err
}

func TestRefusedLinkKeepsOpenConnectionsAndOtherLinks(t *testing.T) {
	const own, public = "127.9.6.1:7400", "127.9.7.1:7400"
	defer echoServer(t, own)()
	n := newNetwork()
	defer n.close()
	n.setName("127.9.6.2", "a")
	n.setName("127.9.6.3", "b")
	require.NoError(t, n.forward(public, own, "w"))
	// The reset of a refused connection may arrive before the dial returns.
	connect := func(ip string) (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", public)
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { _ = conn.Close() })
		return conn, exchange(conn)
	}
	a, err := connect("127.9.6.2")
	require.NoError(t, err)
	b, err := connect("127.9.6.3")
	require.NoError(t, err)
	n.refuse(link{"a", "w"})
	require.NoError(t, exchange(a))
	_, err = connect("127.9.6.3")
	require.NoError(t, err)
	_, err = connect("127.9.6.2")
	require.ErrorIs(t, err, syscall.ECONNRESET)
	n.resetLink(link{"a", "w"})
	require.Error(t, exchange(a))
	require.NoError(t, exchange(b))
	n.accept(link{"a", "w"})
	_, err = connect("127.9.6.2")
	require.NoError(t, err)
}

func TestDroppedDialsGetNoAnswer(t *testing.T) {
	const own, public = "127.9.10.1:7400", "127.9.11.1:7400"
	defer echoServer(t, own)()
	n := newNetwork()
	defer n.close()
	require.NoError(t, n.forward(public, own, "w"))
	connect := func(ip string) (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}, Timeout: 300 * time.Millisecond}
		conn, err := dialer.Dial("tcp", public)
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
		}
		return conn, err
	}
	open, err := connect("127.9.10.2")
	require.NoError(t, err)
	require.NoError(t, n.dropDials("w", []net.IP{net.ParseIP("127.9.10.2"), net.ParseIP("127.9.10.3")}))
	for _, ip := range []string{"127.9.10.2", "127.9.10.3"} {
		_, err := connect(ip)
		var failure net.Error
		require.ErrorAs(t, err, &failure)
		require.True(t, failure.Timeout())
	}
	require.NoError(t, exchange(open))
	other, err := connect("127.9.10.4")
	require.NoError(t, err)
	require.NoError(t, n.dropDials("w", nil))
	require.NoError(t, exchange(other))
	_, err = connect("127.9.10.2")
	require.NoError(t, err)
}

func TestConnectionIsRefusedWhileNodeDoesNotListen(t *testing.T) {
	const own, public = "127.9.8.1:7340", "127.9.9.1:7340"
	n := newNetwork()
	defer n.close()
	n.forwardWhileListening(public, own, "vm")
	dial := func() (net.Conn, error) { return net.DialTimeout("tcp", public, time.Second) }
	_, err := dial()
	require.ErrorIs(t, err, syscall.ECONNREFUSED)
	for range 2 {
		stop := echoServer(t, own)
		require.Eventually(t, func() bool {
			conn, err := dial()
			return err == nil && exchange(conn) == nil && conn.Close() == nil
		}, 5*time.Second, 10*time.Millisecond)
		stop()
		require.Eventually(t, func() bool {
			_, err := dial()
			return err != nil
		}, 5*time.Second, 10*time.Millisecond)
		_, err = dial()
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	}
}

// Runs were not played because a process that was being started still held the address of the run before.
func TestNetworkWaitsForAnAddress(t *testing.T) {
	held, err := net.Listen("tcp", "127.9.4.1:7404")
	require.NoError(t, err)
	time.AfterFunc(100*time.Millisecond, func() { _ = held.Close() })
	n := newNetwork()
	defer n.close()
	require.NoError(t, n.forward("127.9.4.1:7404", "127.9.4.2:7404", "node"))
}

// Peers of a VM without power fill their send buffers; a stopped process goes on to acknowledge bytes through its kernel.
func TestNodeWithoutPowerAcknowledgesNothing(t *testing.T) {
	n := newNetwork()
	t.Cleanup(n.close)
	own, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = own.Close() }()
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	public := free.Addr().String()
	require.NoError(t, free.Close())
	require.NoError(t, n.forward(public, own.Addr().String(), "node"))
	conn, err := net.Dial("tcp", public)
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = conn.Write([]byte("x"))
	require.NoError(t, err)
	accepted, err := own.Accept()
	require.NoError(t, err)
	defer func() { _ = accepted.Close() }()
	_, err = accepted.Read(make([]byte, 1))
	require.NoError(t, err)
	require.NoError(t, n.powerOff("node"))
	_, err = net.DialTimeout("tcp", public, 300*time.Millisecond)
	var failure net.Error
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Timeout())
	require.NoError(t, conn.SetWriteDeadline(time.Now().Add(2*time.Second)))
	written, err := conn.Write(make([]byte, 64<<20))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	require.Less(t, written, 16<<20)
}
