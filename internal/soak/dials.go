package soak

import (
	"encoding/binary"
	"errors"
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
	filter := []unix.SockFilter{{Code: unix.BPF_LD | unix.BPF_W | unix.BPF_ABS, K: sourceOffset}}
	for i, source := range sources {
		filter = append(filter, unix.SockFilter{
			Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: binary.BigEndian.Uint32(source.To4()), Jt: uint8(len(sources) - i),
		})
	}
	filter = append(filter, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket}, unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket})
	if err := attachFilter(listener, filter); err != nil {
		return fmt.Errorf("filter the connection attempts to %s: %w", listener.Addr(), err)
	}
	return nil
}

// dropAllPackets makes a socket drop all packets that it receives, so that nothing is acknowledged to its peer.
func dropAllPackets(socket syscall.Conn) error {
	return attachFilter(socket, []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket}})
}

// attachFilter attaches a classic BPF program to a socket.
func attachFilter(socket syscall.Conn, filter []unix.SockFilter) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	controlErr := raw.Control(func(descriptor uintptr) {
		program := unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]}
		err = unix.SetsockoptSockFprog(int(descriptor), syscall.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	return errors.Join(controlErr, err)
}
