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

// endReason is the reason for the end of a session. The values are part of log output.
type endReason string

const (
	endFailed       endReason = "failed"
	endUnresponsive endReason = "silent"
	// endBusy means that the peer already serves its maximum number of watchers.
	endBusy endReason = "busy"
	// endDetached means that the upstream has no usable path to a control VM.
	endDetached endReason = "no_path_to_a_control_vm"
	// endBundleRefused means that this VM refused a bundle of the upstream.
	endBundleRefused endReason = "bundle_refused"
	// endTryBetter means that this VM leaves a working upstream to try peers that it prefers.
	endTryBetter endReason = "trying_better_vms"
	// endNotListed means that the upstream is no longer among the peers.
	endNotListed endReason = "no_candidate_any_more"
)

// sessionEnd is the result of a session.
type sessionEnd struct {
	reason endReason
	// wasAttached is true if the upstream had a usable path at some time.
	wasAttached bool
}

// session is the stream to the upstream that this VM watches.
type session struct {
	client    *Client
	peer      Peer
	stream    distributepb.Distribution_WatchClient
	startedAt time.Time
	// reselectAfter is the minimum duration of the session before it is ended in favour of a preferred peer.
	reselectAfter time.Duration
	// attached is true once the upstream has sent a usable path.
	attached bool
	// pathSeenAt is the time of the last message with a usable path.
	pathSeenAt time.Time
	// wantedVMs passes, from handle to send, the VMs whose report bodies the upstream has requested. A list is dropped
	// while the channel is full; the upstream requests these bodies again after the next confirmation of the reports.
	wantedVMs chan []string
}

// watchPeer watches peer until the stream ends, peer is unresponsive, or another peer should be tried. It closes the
// connection to an unresponsive peer.
func (c *Client) watchPeer(ctx context.Context, peer Peer) sessionEnd {
	conn, err := c.Pool.Conn(peer.Address)
	if err != nil {
		return sessionEnd{reason: endFailed}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var unresponsive atomic.Bool
	watchdog := time.AfterFunc(unresponsiveAfter, func() {
		unresponsive.Store(true)
		cancel()
	})
	defer watchdog.Stop()
	s := &session{client: c, peer: peer, startedAt: time.Now(), wantedVMs: make(chan []string, 1)}
	s.reselectAfter = minReselectInterval + rand.N(minReselectInterval)
	reason := s.run(ctx, cancel, conn, watchdog)
	if unresponsive.Load() {
		reason = endUnresponsive
		c.Pool.Discard(peer.Address, conn)
		observe.Log(c.Node.options.Log, observe.UpstreamSilent).Str("peer_vm", peer.Name).Send()
	}
	return sessionEnd{reason: reason, wasAttached: s.attached}
}

// run opens the stream and handles its messages until the session ends. Each message resets the watchdog.
func (s *session) run(ctx context.Context, cancel context.CancelFunc, conn *grpc.ClientConn, watchdog *time.Timer) endReason {
	stream, err := distributepb.NewDistributionClient(conn).Watch(ctx)
	if err != nil {
		return endFailed
	}
	s.stream = stream
	hello := s.hello()
	sendDone := make(chan struct{})
	go func() {
		defer close(sendDone)
		s.send(ctx, hello)
	}()
	defer func() {
		cancel()
		<-sendDone
	}()
	for {
		message, err := stream.Recv()
		if err != nil {
			return endFailed
		}
		watchdog.Reset(unresponsiveAfter)
		if reason, isOver := s.handle(message, time.Now()); isOver {
			return reason
		}
	}
}

// handle handles one message. It returns true, with the reason, if the session is to end.
func (s *session) handle(message *distributepb.WatchDown, now time.Time) (endReason, bool) {
	c := s.client
	if message.GetBusy() {
		return endBusy, true
	}
	if message.GetBundle() != nil {
		err := c.Node.applyBundle(message.GetBundle(), s.peer.Name)
		c.wantsFullContent = err != nil
		if err != nil {
			return endBundleRefused, true
		}
	}
	c.Node.applyControlVMs(message.GetControlVms())
	if len(message.GetWant()) > 0 {
		select {
		case s.wantedVMs <- message.GetWant():
		default:
		}
	}
	return s.updatePath(message.GetPath(), now)
}

// updatePath records the path of the upstream. It returns true, with the reason, if this VM is to leave the upstream.
func (s *session) updatePath(path []string, now time.Time) (endReason, bool) {
	node := s.client.Node
	self := node.options.Self
	if !isUsablePath(path, self.VM) {
		node.setUpstreamPath(nil)
		if !s.attached || now.Sub(s.pathSeenAt) >= detachGrace {
			return endDetached, true
		}
		return "", false
	}
	if !s.attached {
		observe.Log(node.options.Log, observe.UpstreamAttached).Str("peer_vm", s.peer.Name).Int("depth", len(path)).Send()
	}
	s.attached, s.pathSeenAt = true, now
	node.setUpstreamPath(path)
	if !slices.Contains(s.client.Peers(), s.peer) {
		return endNotListed, true
	}
	if now.Sub(s.startedAt) >= s.reselectAfter && hasBetterUpstream(self, s.peer, s.client.Peers()) {
		return endTryBetter, true
	}
	return "", false
}

// send sends the version in force and the due reports: reportDelay after a change of the bundle or of a report, at
// once when the upstream has requested report bodies, and at each heartbeat.
func (s *session) send(ctx context.Context, hello *distributepb.Hello) {
	node := s.client.Node
	reports := newReporter()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		bundleChanged, reportsChanged := node.store.Changed(), node.reports.Changed()
		now := time.Now()
		all := append(node.reports.messages(now), node.ownReport())
		up := &distributepb.WatchUp{Hello: hello, Version: node.store.Newest().Version(), Reports: reports.dueReports(all, now)}
		if err := s.stream.Send(up); err != nil {
			return
		}
		hello = nil
		select {
		case <-bundleChanged:
			pause.For(ctx, reportDelay)
		case <-reportsChanged:
			pause.For(ctx, reportDelay)
		case vms := <-s.wantedVMs:
			reports.markUnsent(vms)
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hello returns the Hello for the first message. It has no digest if wantsFullContent is set, so that the upstream
// sends the next bundle without a base.
func (s *session) hello() *distributepb.Hello {
	self := s.client.Node.options.Self
	hello := &distributepb.Hello{Vm: self.VM, Zone: self.Zone, Control: self.Control}
	newest := s.client.Node.store.Newest()
	hello.Version = newest.Version()
	if !s.client.wantsFullContent {
		hello.Digest = newest.Digest()
	}
	return hello
}
