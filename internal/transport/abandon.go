package transport

import "google.golang.org/grpc"

// Abandon closes conn and forgets it, so that the next Conn opens a new one.
// It is for connections that went silent. When address already has another
// connection, only conn is closed.
func (p *Pool) Abandon(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	if p.connections[address] == conn {
		delete(p.connections, address)
	}
	p.mu.Unlock()
	_ = conn.Close()
}
