package site

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/relay"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// forwardTimeout bounds the time in which a relaying VM is told of a statement.
const forwardTimeout = 300 * time.Millisecond

// relayPeers returns the entry VMs that relay connections for this one.
func (e *Entry) relayPeers() []relay.Peer {
	known := e.link.Relays()
	peers := make([]relay.Peer, 0, len(known))
	for _, peer := range known {
		peers = append(peers, relay.Peer{VM: peer.VM, Zone: peer.Zone, Address: peer.Address, CutOff: peer.CutOff})
	}
	return peers
}

// closeDeadConnections closes the idle connections that are most likely dead after the direct path to the server at
// address has timed out: those to that server, or all while this VM is cut off.
func (e *Entry) closeDeadConnections(address string) {
	if e.dialer.IsCutOff() {
		e.client.CloseIdle()
		e.orders.CloseIdle()
		return
	}
	e.client.CloseIdleTo(address)
	e.orders.CloseIdleTo(address)
}

// admitRelayed decides whether another VM's connection to the server at address may be relayed. What the server stated to
// this VM holds, because the server sees a request of this VM. A stopping VM relays requests that end before it does, since
// the VMs that reach the server may all be stopping.
func (e *Entry) admitRelayed(address string, remaining time.Duration) relay.Decision {
	left, stopping := e.stopsIn()
	if e.dialer.IsCutOff() || stopping && (remaining <= 0 || remaining > left) {
		return relay.Unavailable
	}
	server, found := e.link.FindAddress(address)
	if !found {
		return relay.UnknownServer
	}
	if e.dialer.IsBroken(address) {
		return relay.PathBroken
	}
	if _, blocked := e.link.Statements().Admit(time.Now(), server); blocked {
		return relay.Blocked
	}
	return relay.Allowed
}

// isEvacuated tells whether the server at address is in an evacuated zone.
func (e *Entry) isEvacuated(address string) bool {
	server, found := e.link.FindAddress(address)
	return found && e.link.IsEvacuated(server.Zone)
}

// recordRelayedStatement records what a server stated in an answer that this VM relayed.
func (e *Entry) recordRelayedStatement(address string, statement serverstate.Statement) {
	if server, found := e.link.FindAddress(address); found {
		e.link.RecordStatement(server, statement)
	}
}

// recordStatement records what a server stated in an answer. If another VM relayed it, that VM is told too, because the
// server saw a request of that VM.
func (e *Entry) recordStatement(server roster.Server, statement serverstate.Statement, relayedBy string) {
	e.link.RecordStatement(server, statement)
	if relayedBy == "" || !statement.ConcernsSender() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
		defer cancel()
		if err := e.dialer.ForwardStatement(ctx, relayedBy, server.Address, statement); err != nil {
			observe.Log(e.logger, observe.StatementNotForwarded).Str("server", server.ID).Bool("draining", statement.Draining).
				Dur("backoff", statement.Backoff).Err(err).Send()
		}
	}()
}
