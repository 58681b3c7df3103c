package distribute

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/distribute/distributepb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
)

// endReason tells why a session ended.
type endReason string

const (
	endFailed   endReason = "failed"
	endSilent   endReason = "silent"
	endBusy     endReason = "busy"
	endDetached endReason = "no_path_to_a_control_vm"
	endRefused  endReason = "bundle_refused"
	endBetter   endReason = "trying_better_vms"
	endGone     endReason = "no_candidate_any_more"
)

// sessionEnd is the result of a session.
type sessionEnd struct {
	reason      endReason
	wasAttached bool
}

// session is the watch of one peer.
type session struct {
	client  *Client
	peer    Peer
	stream  distributepb.Distribution_WatchClient
	started time.Time
	// patience is how long the session lasts although a better peer is known.
	patience time.Duration
	attached bool
	pathSeen time.Time
	want     chan []string
}

// session watches peer until the stream ends, goes silent, or another peer
// should be tried.
func (c *Client) session(ctx context.Context, peer Peer) sessionEnd {
	conn, err := c.Pool.Conn(peer.Address)
	if err != nil {
		return sessionEnd{reason: endFailed}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var silent atomic.Bool
	watchdog := time.AfterFunc(silentAfter, func() {
		silent.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	s := &session{client: c, peer: peer, started: time.Now(), want: make(chan []string, 1)}
	s.patience = betterInterval + rand.N(betterInterval)
	reason := s.run(ctx, cancel, conn, watchdog)
	if silent.Load() {
		reason = endSilent
		c.Pool.Discard(peer.Address, conn)
		observe.Log(c.Node.options.Log, observe.UpstreamSilent).Str("peer_vm", peer.Name).Send()
	}
	return sessionEnd{reason: reason, wasAttached: s.attached}
}

func (s *session) run(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn, watchdog *time.Timer) endReason {
	stream, err := distributepb.NewDistributionClient(conn).Watch(ctx)
	if err != nil {
		return endFailed
	}
	s.stream = stream
	hello := s.hello()
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		s.send(ctx, hello)
	}()
	defer func() {
		cancel()
		<-sent
	}()
	for {
		message, err := stream.Recv()
		if err != nil {
			return endFailed
		}
		watchdog.Reset(silentAfter)
		if reason, ended := s.handle(message, time.Now()); ended {
			return reason
		}
	}
}

// handle takes one message and tells whether the session ends.
func (s *session) handle(message *distributepb.WatchDown, now time.Time) (endReason, bool) {
	c := s.client
	if message.GetBusy() {
		return endBusy, true
	}
	if message.GetBundle() != nil {
		err := c.Node.receive(message.GetBundle(), s.peer.Name)
		c.whole = err != nil
		if err != nil {
			return endRefused, true
		}
	}
	c.Node.receiveControlVMs(message.GetControlVms())
	if len(message.GetWant()) > 0 {
		select {
		case s.want <- message.GetWant():
		default:
		}
	}
	return s.follow(message.GetPath(), now)
}

// follow takes the upstream's path and tells whether to leave the upstream.
func (s *session) follow(path []string, now time.Time) (endReason, bool) {
	node := s.client.Node
	self := node.options.Self
	if !usablePath(path, self.VM) {
		node.setUpstream(nil)
		if !s.attached || now.Sub(s.pathSeen) >= detachGrace {
			return endDetached, true
		}
		return "", false
	}
	if !s.attached {
		observe.Log(node.options.Log, observe.UpstreamAttached).Str("peer_vm", s.peer.Name).Int("depth", len(path)).Send()
	}
	s.attached, s.pathSeen = true, now
	node.setUpstream(path)
	if !slices.Contains(s.client.Peers(), s.peer) {
		return endGone, true
	}
	if now.Sub(s.started) >= s.patience && betterThan(self, s.peer, s.client.Peers()) {
		return endBetter, true
	}
	return "", false
}

// send tells the upstream of this VM: at once after each change of the bundle,
// and at each heartbeat.
func (s *session) send(ctx context.Context, hello *distributepb.Hello) {
	node := s.client.Node
	reports := newReporter()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		changed, below := node.store.Changed(), node.reports.Changed()
		now := time.Now()
		all := append(node.reports.messages(now), node.ownReport())
		up := &distributepb.WatchUp{Hello: hello, Version: node.store.Newest().Version(), Reports: reports.next(all, now)}
		if err := s.stream.Send(up); err != nil {
			return
		}
		hello = nil
		select {
		case <-changed:
			pause.For(ctx, reportDelay)
		case <-below:
			pause.For(ctx, reportDelay)
		case vms := <-s.want:
			reports.forget(vms)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *session) hello() *distributepb.Hello {
	self := s.client.Node.options.Self
	hello := &distributepb.Hello{Vm: self.VM, Zone: self.Zone, Control: self.Control}
	newest := s.client.Node.store.Newest()
	hello.Version = newest.Version()
	if !s.client.whole {
		hello.Digest = newest.Digest()
	}
	return hello
}
