package h1

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// isIdle tells whether nothing has arrived on an idle connection: neither its end, nor bytes that would be read as the
// beginning of the next response. It peeks at the socket without blocking.
func (c *conn) isIdle() bool {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok || c.reader.Buffered() > 0 {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = control.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}
