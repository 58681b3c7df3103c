// Package transport configures gRPC between the processes of the system: mutual TLS, a check of the cluster name,
// limits on what a peer may send, and the detection of unresponsive connections. It defines no gRPC service of its own.
package transport

import "time"

const (
	// pingInterval is the time without received data after which gRPC pings the peer of a connection.
	pingInterval = 10 * time.Second
	// pingTimeout is how long gRPC waits for the answer to a ping before it closes the connection. gRPC also sets it as
	// TCP_USER_TIMEOUT, which bounds how long sent bytes may remain unacknowledged.
	pingTimeout = 3 * time.Second
	// minPingInterval is the minimum interval between the pings of a client that a server accepts.
	minPingInterval = 5 * time.Second
	// dialTimeout bounds one attempt to connect.
	dialTimeout = 2 * time.Second
	// handshakeTimeout bounds the TLS handshake at a server.
	handshakeTimeout = 3 * time.Second
	// closeTimeout bounds the time that a Pool takes to announce the end of its connections when it is closed.
	closeTimeout = 200 * time.Millisecond
	// minReconnectDelay and maxReconnectDelay are the first and the maximum wait between two attempts to connect to the
	// same address, without jitter.
	minReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay = 250 * time.Millisecond
	// idleTimeout is the time without a call after which gRPC closes a connection. The next call reconnects.
	idleTimeout = 5 * time.Minute
	// maxMessageBytes is the maximum size of each message between VMs, sent or received.
	maxMessageBytes = 16 << 20
	// maxStreams is the maximum number of concurrent calls on one connection.
	maxStreams = 1024
	// streamWindowBytes and connWindowBytes are the HTTP/2 flow control windows of a call and of a connection. They are
	// fixed, since estimating them at run time costs two probe frames for each small message.
	streamWindowBytes = 1 << 20
	connWindowBytes   = 4 << 20
	// maxHeaderBytes is the maximum size of the metadata of one call.
	maxHeaderBytes = 16 << 10
)

// MaxMessageBytes is the maximum size of a message that VMs accept from each other.
const MaxMessageBytes = maxMessageBytes

// Identity identifies a VM to other VMs. A client sends it as metadata of each call.
type Identity struct {
	// Cluster is the name of the cluster. A server refuses calls with another cluster name. On a server, the empty name
	// disables this check.
	Cluster string
	// VM is the name of the VM.
	VM string
}
