package soak

import (
	"encoding/binary"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Offsets of a classic BPF program relative to the IPv4 header (SKF_NET_OFF), and its results.
const (
	networkHeader = 0xfff00000
	sourceOffset  = networkHeader + 12
	dropPacket    = 0
	acceptPacket  = 0xffffffff
)

// dropDialsFrom makes a listener drop the SYN packets from the given IPv4 addresses, so that their dials get no answer. Open
// connections are not affected. It replaces the addresses of an earlier call; without addresses the listener drops nothing.
func dropDialsFrom(listener *net.TCPListener, sources []net.IP) error {
	raw, err := listener.SyscallConn()
	if err != nil {
		return fmt.Errorf("access the socket of %s: %w", listener.Addr(), err)
	}
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, source := range sources {
		filter = append(filter, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: binary.BigEndian.Uint32(source.To4()), Jt: uint8(len(sources) - i),
		})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket})
	controlErr := raw.Control(func(descriptor uintptr) {
		program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		err = unix.SetsockoptSockFprog(int(descriptor), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if controlErr != nil {
		err = controlErr
	}
	if err != nil {
		return fmt.Errorf("filter the connection attempts to %s: %w", listener.Addr(), err)
	}
	return nil
}
