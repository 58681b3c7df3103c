package soak

import (
	"io"
	"net"
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
	connect := func(ip string) net.Conn {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
		conn, err := dialer.Dial("tcp", public)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	a, b := connect("127.9.6.2"), connect("127.9.6.3")
	require.NoError(t, exchange(a))
	require.NoError(t, exchange(b))
	n.refuse(link{"a", "w"})
	require.NoError(t, exchange(a))
	require.NoError(t, exchange(connect("127.9.6.3")))
	require.Error(t, exchange(connect("127.9.6.2")))
	n.resetLink(link{"a", "w"})
	require.Error(t, exchange(a))
	require.NoError(t, exchange(b))
	n.accept(link{"a", "w"})
	require.NoError(t, exchange(connect("127.9.6.2")))
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
