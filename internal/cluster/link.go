package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/settings"
)

const (
	// pieceBytes is the most that a link forwards at one time.
	pieceBytes = 32 << 10
	// piecesInFlight bounds the pieces of one direction that are on their way.
	piecesInFlight = 1024
	// jitterPart of the delay is added at random at most: a fifth.
	jitterPart = 5
)

// links delay what VMs of different zones send each other: each VM has one
// listener for each other zone, which forwards to its internal listener.
type links struct {
	delay time.Duration
	// listeners are by zone of the sender and name of the receiver.
	listeners map[linkKey]net.Listener

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	group       sync.WaitGroup
}

type linkKey struct {
	fromZone string
	toVM     string
}

// openLinks opens the listeners. Without a delay between zones there are none.
func openLinks(scenario *load.Scenario, vms []*vm) (*links, error) {
	l := &links{
		delay: scenario.Fleet.ZoneDelay.Std(), listeners: map[linkKey]net.Listener{}, connections: map[net.Conn]bool{},
	}
	if l.delay == 0 {
		return l, nil
	}
	for _, to := range vms {
		for _, zone := range scenario.Fleet.Zones {
			if zone == to.peer.Zone {
				continue
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				l.close()
				return nil, fmt.Errorf("link from zone %s to %s: %w", zone, to.peer.Name, err)
			}
			l.listeners[linkKey{zone, to.peer.Name}] = listener
			l.group.Go(func() { l.accept(listener, to.peer.Internal) })
		}
	}
	return l, nil
}

// address returns where VMs of a zone reach another VM.
func (l *links) address(zone string, to settings.Peer) string {
	if listener, found := l.listeners[linkKey{zone, to.Name}]; found {
		return listener.Addr().String()
	}
	return to.Internal
}

func (l *links) accept(listener net.Listener, target string) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", target)
		if err != nil {
			_ = near.Close()
			continue
		}
		if !l.keep(near, far) {
			return
		}
		l.group.Go(func() { l.forward(near, far) })
		l.group.Go(func() { l.forward(far, near) })
	}
}

// keep remembers connections so that close ends them. It reports false, and
// closes them, when the links are closed already.
func (l *links) keep(connections ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		if l.closed {
			_ = connection.Close()
		}
		l.connections[connection] = true
	}
	return !l.closed
}

// piece is data on its way.
type piece struct {
	data []byte
	due  time.Time
}

// forward passes on what from receives, each piece after the delay, until one
// side closes.
func (l *links) forward(from, to net.Conn) {
	pieces := make(chan piece, piecesInFlight)
	l.group.Go(func() {
		defer l.drop(from, to)
		for next := range pieces {
			time.Sleep(time.Until(next.due))
			if _, err := to.Write(next.data); err != nil {
				_ = from.Close() // ends the reads
			}
		}
	})
	defer close(pieces)
	for {
		data := make([]byte, pieceBytes)
		count, err := from.Read(data)
		if count > 0 {
			pieces <- piece{data: data[:count], due: time.Now().Add(l.drawDelay())}
		}
		if err != nil {
			return
		}
	}
}

func (l *links) drawDelay() time.Duration {
	return l.delay + time.Duration(rand.Int64N(int64(l.delay)/jitterPart+1))
}

func (l *links) drop(connections ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		_ = connection.Close()
		delete(l.connections, connection)
	}
}

func (l *links) close() {
	if l == nil {
		return
	}
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
	l.mu.Lock()
	l.closed = true
	for connection := range l.connections {
		_ = connection.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
}
