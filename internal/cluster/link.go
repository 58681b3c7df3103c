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
	// maxChunkBytes is the maximum size of one read from a connection.
	maxChunkBytes = 32 << 10
	// maxChunksInFlight is the maximum number of delayed chunks in one direction of a
	// connection. Reading pauses while it is reached.
	maxChunksInFlight = 1024
	// jitterDivisor is the divisor of the delay whose quotient is the maximum random
	// addition to the delay.
	jitterDivisor = 5
)

// delayLinks delays the traffic between VMs of different zones in both directions. For each
// pair of a VM and another zone it has a listener, which forwards to the VM's internal
// listener.
type delayLinks struct {
	delay time.Duration
	// listeners are keyed by the zone of the sender and the name of the receiver.
	listeners map[linkKey]net.Listener

	mu          sync.Mutex
	connections map[net.Conn]bool
	closed      bool
	forwarders  sync.WaitGroup
}

type linkKey struct {
	fromZone string
	toVM     string
}

// openDelayLinks opens the listeners and forwards their connections. It opens none if the
// scenario has no delay between zones.
func openDelayLinks(scenario *load.Scenario, vms []*vm) (*delayLinks, error) {
	l := &delayLinks{
		delay: scenario.Fleet.ZoneDelay.Std(), listeners: map[linkKey]net.Listener{}, connections: map[net.Conn]bool{},
	}
	if l.delay == 0 {
		return l, nil
	}
	for _, receiver := range vms {
		for _, zone := range scenario.Fleet.Zones {
			if zone == receiver.peer.Zone {
				continue
			}
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				l.close()
				return nil, fmt.Errorf("link from zone %s to %s: %w", zone, receiver.peer.Name, err)
			}
			l.listeners[linkKey{zone, receiver.peer.Name}] = listener
			l.forwarders.Go(func() { l.accept(listener, receiver.peer.Internal) })
		}
	}
	return l, nil
}

// address returns the address at which VMs of zone reach the internal listener of receiver.
func (l *delayLinks) address(zone string, receiver settings.Peer) string {
	if listener, found := l.listeners[linkKey{zone, receiver.Name}]; found {
		return listener.Addr().String()
	}
	return receiver.Internal
}

// accept forwards each connection of listener to target until listener is closed. A
// connection is closed if target cannot be reached.
func (l *delayLinks) accept(listener net.Listener, target string) {
	for {
		inbound, err := listener.Accept()
		if err != nil {
			return
		}
		outbound, err := net.Dial("tcp", target)
		if err != nil {
			_ = inbound.Close()
			continue
		}
		if !l.track(inbound, outbound) {
			return
		}
		l.forwarders.Go(func() { l.forward(inbound, outbound) })
		l.forwarders.Go(func() { l.forward(outbound, inbound) })
	}
}

// track records connections, which the method close closes. If l is closed already, it
// closes them and returns false.
func (l *delayLinks) track(connections ...net.Conn) bool {
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

// chunk is data that is written at the time writeAt.
type chunk struct {
	data    []byte
	writeAt time.Time
}

// forward copies data from source to destination, each chunk after the delay. It reads until
// the end of source or the first failed write, and closes both connections once the chunks
// that were read have been written.
func (l *delayLinks) forward(source, destination net.Conn) {
	chunks := make(chan chunk, maxChunksInFlight)
	l.forwarders.Go(func() {
		defer l.closeAndUntrack(source, destination)
		for next := range chunks {
			time.Sleep(time.Until(next.writeAt))
			if _, err := destination.Write(next.data); err != nil {
				_ = source.Close() // ends the read loop
			}
		}
	})
	defer close(chunks)
	for {
		data := make([]byte, maxChunkBytes)
		count, err := source.Read(data)
		if count > 0 {
			chunks <- chunk{data: data[:count], writeAt: time.Now().Add(l.randomDelay())}
		}
		if err != nil {
			return
		}
	}
}

// randomDelay returns the delay with a random addition.
func (l *delayLinks) randomDelay() time.Duration {
	return l.delay + time.Duration(rand.Int64N(int64(l.delay)/jitterDivisor+1))
}

func (l *delayLinks) closeAndUntrack(connections ...net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, connection := range connections {
		_ = connection.Close()
		delete(l.connections, connection)
	}
}

// close closes all listeners and connections and waits for the forwarding to end. l may be
// nil.
func (l *delayLinks) close() {
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
	l.forwarders.Wait()
}
