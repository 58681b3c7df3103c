package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/serverstate"
	"godwityoke.example/godwityoke/internal/tcp"
)

const (
	// hedgeDelay is the time without a direct connection after which a peer is asked as well. It is ten times the
	// round-trip time to another availability zone.
	hedgeDelay = 110 * time.Millisecond
	// peerTimeout limits the time for a connection through one peer.
	peerTimeout = 200 * time.Millisecond
	// maxPeersAsked is the number of peers that are asked for one connection at the same time, maxPeersResolved that of
	// peers that are asked in the background.
	maxPeersAsked    = 3
	maxPeersResolved = 8
	// minMisses is the number of peers that must miss a server too before it is considered down.
	minMisses = 2
)

// errNoPeer means that no VM is known that could relay.
var errNoPeer = errors.New("no VM can relay the connection")

// DialerOptions configure a Dialer.
type DialerOptions struct {
	Zone string
	// SourceIP is the local IP address of connections, empty for any.
	SourceIP string
	// ConnectTimeout limits the time for opening a direct connection.
	ConnectTimeout time.Duration
	// Peers returns the other entry VMs that relay connections.
	Peers func() []Peer
	// Probe sends a request to the server at address on the connection and returns once it has answered, whatever the answer
	// is, with the start time of its process if the answer states it.
	Probe func(ctx context.Context, conn net.Conn, address string) (startedAt time.Time, err error)
	// OnPathBroken is called when new connections to a server time out on the direct path only, so that those that are
	// open are most likely dead.
	OnPathBroken func(address string)
	// OnCutOff is called when this VM begins or ceases to be cut off from all servers, from the goroutine of Run.
	OnCutOff func(cutOff bool)
	Logger   zerolog.Logger
}

// Dialer opens connections to backend servers, through a peer where this VM does not reach the server itself. It is safe
// for concurrent use.
type Dialer struct {
	options DialerOptions
	paths   *Paths
	// direct opens a direct connection.
	direct func(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error)

	// mu guards checks, which holds the last check of each server.
	mu     sync.Mutex
	checks map[string]*check
}

// NewDialer returns a Dialer that considers all servers reachable.
func NewDialer(options DialerOptions) *Dialer {
	d := &Dialer{options: options, paths: NewPaths(), checks: map[string]*check{}}
	d.direct = func(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error) {
		return tcp.Dial(ctx, options.SourceIP, address, options.ConnectTimeout, unreachableAfter)
	}
	return d
}

// Conn is a relayed connection to a server.
type Conn struct {
	*net.TCPConn
	peer   string
	failed func()
	closed func()
}

// RelayedBy returns the address of the relay.
func (c *Conn) RelayedBy() string { return c.peer }

// Answered records nothing: the peer is known to reach the server since the connection was opened.
func (c *Conn) Answered() {}

// Failed records that the connection has ended without an answer of the server.
func (c *Conn) Failed() { c.failed() }

// Close closes the connection, which ends the relaying VM's connection to the server too.
func (c *Conn) Close() error {
	err := c.TCPConn.Close()
	c.closed()
	return err
}

// directConn is a connection to a server without a peer.
type directConn struct {
	*net.TCPConn
	answered func()
}

// Answered records that the server has begun an answer on the connection, which is a new one.
func (c *directConn) Answered() { c.answered() }

// Failed records nothing: whether the path or the server is at fault is for Check to find out.
func (c *directConn) Failed() {}

// IsBroken tells whether the server at address is most likely up although this VM does not reach it directly.
func (d *Dialer) IsBroken(address string) bool { return d.paths.IsBroken(time.Now(), address) }

// IsCutOff tells whether this VM most likely reaches no server directly.
func (d *Dialer) IsCutOff() bool { return d.paths.IsCutOff(time.Now()) }

// Forget drops what is known of the path to a server that is gone.
func (d *Dialer) Forget(address string) { d.paths.Forget(address) }

// dialed is the result of one way to a server.
type dialed struct {
	conn net.Conn
	err  error
}

// Dial opens a connection to a server, an "ip:port". While the direct path is broken, a peer is asked first; otherwise a
// peer is asked when the direct connection fails or takes long. The kernel closes the connection once the server's VM has
// been unreachable for unreachableAfter, 0 for the default of package tcp. The error of a connection that was refused
// wraps syscall.ECONNREFUSED.
func (d *Dialer) Dial(ctx context.Context, address string, unreachableAfter time.Duration) (net.Conn, error) {
	var relayErr error
	if d.paths.Use(time.Now(), address) {
		conn, err := d.dialPeers(ctx, address, unreachableAfter)
		if err == nil {
			d.paths.ReachedByPeer(time.Now(), address, conn.peer)
			return conn, nil
		}
		if errors.Is(err, ErrServerUnreachable) {
			d.paths.ServerIsDown(address)
			go d.resolve(address, err)
			return nil, err
		}
		if ctx.Err() != nil {
			return nil, err
		}
		relayErr = err
	}
	directResult := make(chan dialed, 1)
	directCtx, cancelDirect := context.WithCancel(ctx)
	go func() {
		conn, err := d.dialDirect(directCtx, address, unreachableAfter)
		if err != nil {
			directResult <- dialed{err: err}
			return
		}
		directResult <- dialed{conn: conn}
	}()
	if relayErr != nil {
		defer cancelDirect()
		result := <-directResult
		if result.err != nil {
			return nil, errors.Join(result.err, relayErr)
		}
		return result.conn, nil
	}
	return d.race(ctx, address, unreachableAfter, directResult, cancelDirect)
}

// requestKey is the context key of connections for new requests.
type requestKey struct{}

// DialRequest is Dial for a connection on which a new request is sent. A peer opens none to a server in an evacuated zone.
func (d *Dialer) DialRequest(ctx context.Context, address string, unreachableAfter time.Duration) (net.Conn, error) {
	return d.Dial(context.WithValue(ctx, requestKey{}, true), address, unreachableAfter)
}

// race returns the direct connection, or one through a peer if that is open first. A peer is asked when the direct
// connection has failed or has not been opened within hedgeDelay. A direct connection that comes second is closed.
func (d *Dialer) race(ctx context.Context, address string, unreachableAfter time.Duration, directResult chan dialed, cancelDirect context.CancelFunc) (net.Conn, error) {
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	relayResult := make(chan dialed, 1)
	relayCtx, cancelRelay := context.WithCancel(ctx)
	defer cancelRelay()
	var direct, relayed *dialed
	isAsked := false
	ask := func() {
		if isAsked {
			return
		}
		isAsked = true
		go d.checkOthers(address)
		go func() {
			conn, err := d.dialPeers(relayCtx, address, unreachableAfter)
			if err != nil {
				relayResult <- dialed{err: err}
				return
			}
			relayResult <- dialed{conn: conn}
		}()
	}
	for {
		select {
		case <-hedge.C:
			ask()
		case result := <-directResult:
			if result.err == nil {
				if isAsked && relayed == nil {
					go closeLate(relayResult)
				}
				cancelDirect()
				return result.conn, nil
			}
			direct = &result
			if ctx.Err() != nil {
				cancelDirect()
				if isAsked && relayed == nil {
					go closeLate(relayResult)
				}
				return nil, result.err
			}
			ask()
		case result := <-relayResult:
			relayed = &result
			if result.err != nil {
				break
			}
			if direct != nil {
				cancelDirect()
				d.recordOnlyPeerReaches(address, peerOf(result.conn), direct.err)
				return result.conn, nil
			}
			go d.awaitDirect(address, peerOf(result.conn), directResult, cancelDirect)
			return result.conn, nil
		}
		if direct != nil && relayed != nil {
			cancelDirect()
			go d.resolve(address, direct.err)
			return nil, fmt.Errorf("%w; through another VM: %w", direct.err, relayed.err)
		}
	}
}

func closeLate(results <-chan dialed) {
	if late := <-results; late.conn != nil {
		_ = late.conn.Close()
	}
}

// peerOf returns the address of the relay of a connection.
func peerOf(conn net.Conn) string { return conn.(*Conn).peer }

// awaitDirect records the result of a direct connection that is no longer needed because a peer has reached the server.
func (d *Dialer) awaitDirect(address, peer string, directResult <-chan dialed, cancelDirect context.CancelFunc) {
	defer cancelDirect()
	result := <-directResult
	switch {
	case result.err == nil:
		_ = result.conn.Close()
	case !errors.Is(result.err, context.Canceled):
		d.recordOnlyPeerReaches(address, peer, result.err)
	}
}

// recordOnlyPeerReaches records that a peer has reached the server and the direct connection has failed with err.
func (d *Dialer) recordOnlyPeerReaches(address, peer string, err error) {
	d.paths.ReachedByPeer(time.Now(), address, peer)
	if isTimeout(err) && d.options.OnPathBroken != nil {
		d.options.OnPathBroken(address)
	}
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout() || errors.Is(err, os.ErrDeadlineExceeded)
}

// dialDirect opens a connection without a peer and records whether it can.
func (d *Dialer) dialDirect(ctx context.Context, address string, unreachableAfter time.Duration) (*directConn, error) {
	conn, err := d.direct(ctx, address, unreachableAfter)
	switch {
	case err == nil:
		d.paths.DirectOpened(address)
		return &directConn{TCPConn: conn, answered: func() { d.paths.DirectAnswered(time.Now(), address) }}, nil
	case !errors.Is(ctx.Err(), context.Canceled):
		d.paths.DirectFailed(time.Now(), address)
	}
	return nil, err
}

// dialPeers opens a connection through one of the peers: the one that reached the server before, then the first few of the
// others at the same time. The error wraps ErrServerUnreachable if several of them do not reach the server.
func (d *Dialer) dialPeers(ctx context.Context, address string, unreachableAfter time.Duration) (*Conn, error) {
	peers, reached := d.paths.Peers(time.Now(), d.options.Zone, address, d.peers(ctx))
	if reached {
		conn, err := d.askPeers(ctx, peers[:1], address, unreachableAfter)
		if err == nil || ctx.Err() != nil || len(peers) == 1 {
			return conn, err
		}
		peers = peers[1:]
	}
	return d.askPeers(ctx, peers[:min(len(peers), maxPeersAsked)], address, unreachableAfter)
}

// askPeers asks several peers for a connection at the same time and returns the first one. The error wraps
// ErrServerUnreachable if minMisses of the peers, or all of them if they are fewer, do not reach the server.
func (d *Dialer) askPeers(ctx context.Context, peers []Peer, address string, unreachableAfter time.Duration) (*Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if len(peers) == 0 {
		return nil, errNoPeer
	}
	results := make(chan dialed, len(peers))
	for _, peer := range peers {
		go func() {
			conn, err := d.askPeer(ctx, peer, address, unreachableAfter)
			if err != nil {
				results <- dialed{err: err}
				return
			}
			results <- dialed{conn: conn}
		}()
	}
	var lastErr error
	misses := 0
	for n := range peers {
		result := <-results
		if result.err == nil {
			go func() {
				for range len(peers) - n - 1 {
					closeLate(results)
				}
			}()
			return result.conn.(*Conn), nil
		}
		lastErr = result.err
		if errors.Is(result.err, ErrServerUnreachable) {
			misses++
		}
	}
	if misses < min(minMisses, len(peers)) {
		return nil, fmt.Errorf("%d VMs asked, %d do not reach the server: %v", len(peers), misses, lastErr)
	}
	return nil, fmt.Errorf("%d VMs asked: %w", len(peers), lastErr)
}

// askPeer asks one peer for a connection and records the result.
func (d *Dialer) askPeer(ctx context.Context, peer Peer, address string, unreachableAfter time.Duration) (*Conn, error) {
	request := openRequest{Server: address, UnreachableAfterMs: unreachableAfter.Milliseconds(), ForRequest: ctx.Value(requestKey{}) != nil}
	conn, err := d.dialPeer(ctx, peer.Address, request, unreachableAfter)
	switch {
	case err == nil:
		d.paths.RelayOpened(peer.Address)
		closed := sync.OnceFunc(func() { d.paths.RelayClosed(peer.Address) })
		failed := func() { d.paths.MissedByPeer(time.Now(), address, peer.Address) }
		return &Conn{TCPConn: conn, peer: peer.Address, failed: failed, closed: closed}, nil
	case ctx.Err() != nil:
	case errors.Is(err, ErrServerUnreachable), errors.Is(err, errPathBroken), errors.Is(err, errUnknownServer), errors.Is(err, errBlocked):
		d.paths.MissedByPeer(time.Now(), address, peer.Address)
	default:
		d.paths.PeerFailed(time.Now(), peer.Address)
	}
	return nil, fmt.Errorf("VM %s at %s: %w", peer.VM, peer.Address, err)
}

// resolve searches a VM that reaches the server after direct connections have failed with directErr and the VMs asked by
// dialPeers have not reached it.
func (d *Dialer) resolve(address string, directErr error) {
	if !d.paths.BeginResolve(time.Now(), address) {
		return
	}
	peers, _ := d.paths.Peers(time.Now(), d.options.Zone, address, d.options.Peers())
	ctx, cancel := context.WithTimeout(context.Background(), 2*peerTimeout)
	defer cancel()
	conn, err := d.askPeers(ctx, peers[:min(len(peers), maxPeersResolved)], address, 0)
	if err != nil {
		return
	}
	_ = conn.Close()
	d.recordOnlyPeerReaches(address, conn.peer, directErr)
}

// dialPeer sends one request to a peer and returns the connection once it is connected to the server.
func (d *Dialer) dialPeer(ctx context.Context, peer string, request openRequest, unreachableAfter time.Duration) (*net.TCPConn, error) {
	if deadline, ok := ctx.Deadline(); ok {
		request.RemainingMs = max(1, time.Until(deadline).Milliseconds())
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	conn, err := tcp.Dial(ctx, d.options.SourceIP, peer, peerTimeout, unreachableAfter)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	err = writeRequest(conn, request)
	if err == nil {
		var answer status
		if answer, err = readAnswer(conn); err == nil {
			err = answer.err()
		}
	}
	if !stopCancel() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// ForwardStatement tells a relay what a server stated in an answer on a relayed connection: the server saw a request of the
// relaying VM.
func (d *Dialer) ForwardStatement(ctx context.Context, peer, server string, statement serverstate.Statement) error {
	request := openRequest{Server: server, Draining: statement.Draining, BackoffMs: statement.Backoff.Milliseconds()}
	conn, err := d.dialPeer(ctx, peer, request, 0)
	if err != nil {
		return fmt.Errorf("tell the VM at %s what server %s stated: %w", peer, server, err)
	}
	return conn.Close()
}

// Direct opens a connection to a server for another VM, without a peer, and records whether it can.
func (d *Dialer) Direct(ctx context.Context, address string, unreachableAfter time.Duration) (*net.TCPConn, error) {
	conn, err := d.dialDirect(ctx, address, unreachableAfter)
	if err != nil {
		return nil, err
	}
	return conn.TCPConn, nil
}
