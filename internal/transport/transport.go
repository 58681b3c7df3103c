// Package transport carries gRPC between the system's own processes: mutual
// TLS, a check of the cluster name, bounds on what a peer may send, and the
// abandonment of connections that went silent.
package transport

import "time"

const (
	// pingInterval is the idle time after which gRPC probes a connection.
	pingInterval = 10 * time.Second
	// pingTimeout is the silence after which a probed connection is closed. It
	// also bounds how long sent bytes may stay unacknowledged.
	pingTimeout = 3 * time.Second
	// pingMinInterval is the shortest probe interval that a server accepts.
	pingMinInterval = 5 * time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// handshakeTimeout bounds the TLS handshake at a server.
	handshakeTimeout = 3 * time.Second
	// reconnectBase and reconnectMax bound the wait between two attempts to
	// connect to the same address.
	reconnectBase = 100 * time.Millisecond
	reconnectMax  = 250 * time.Millisecond
	// idleTimeout is the time without a call after which a connection is closed
	// until the next call.
	idleTimeout = 5 * time.Minute
	// maxMessageBytes bounds each message between VMs.
	maxMessageBytes = 16 << 20
	// maxStreams bounds the concurrent calls of one connection.
	maxStreams = 1024
	// streamWindowBytes and connWindowBytes bound the bytes in flight to a
	// receiver. They are fixed, since estimating them costs two probe frames
	// for each small message.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
	// maxHeaderBytes bounds the metadata of one call.
	maxHeaderBytes = 16 << 10
)

// MaxMessageBytes is the largest message that VMs accept from each other.
const MaxMessageBytes = maxMessageBytes

// Identity is what a VM tells other VMs of itself.
type Identity struct {
	// Cluster names the system. A server refuses calls of another cluster.
	// Empty turns the check off.
	Cluster string
	// VM is the VM's name.
	VM string
}
