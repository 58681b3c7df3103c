package distribute

import (
	"context"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// retryInterval is the mean wait between two passes over the candidates, and the wait between two polls before the
	// VM is ready.
	retryInterval = 500 * time.Millisecond
	// minReselectInterval is the minimum time before a VM leaves a working upstream to try VMs that it prefers. The
	// maximum is twice as long; each session draws its time at random, so that watchers don't move all at once.
	minReselectInterval = 30 * time.Second
	// detachGrace is how long an upstream may lack a path to a control VM before its watchers leave it.
	detachGrace = 2 * time.Second
	// pollInterval is how often a VM without a path to a control VM polls other VMs for a newer bundle.
	pollInterval = 2 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Node *Node
	Pool *transport.Pool
	// Peers returns the VMs that may currently be watched or polled.
	Peers func() []Peer
	// ReadyWait bounds the initial polling; 0 means none. When it is over, the node is marked as ready even if no peer
	// has replied.
	ReadyWait time.Duration
}

// Client watches one peer at a time, its upstream, to keep the bundle of this VM up to date, and sends the upstream the
// reports of this VM and of the VMs below it.
type Client struct {
	ClientOptions
	// wantsFullContent makes the next session request a bundle that is not compressed against a base. It is set after
	// a received bundle was refused.
	wantsFullContent bool
}

// NewClient returns a client, which is started by Run.
func NewClient(options ClientOptions) *Client {
	return &Client{ClientOptions: options}
}

// Run polls peers for the newest bundle and concurrently watches one of them, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	pollDone := make(chan struct{})
	go func() {
		defer close(pollDone)
		c.pollLoop(ctx)
	}()
	for ctx.Err() == nil {
		c.tryCandidates(ctx)
		pause.For(ctx, retryInterval/2+rand.N(retryInterval))
	}
	<-pollDone
}

// tryCandidates watches the candidates in order of preference, each until its session ends. It returns when no
// candidate remains or after a session that was attached, so that the caller starts again from the first candidate.
func (c *Client) tryCandidates(ctx context.Context) {
	self := c.Node.options.Self
	remaining := candidates(self, c.Peers())
	for len(remaining) > 0 && ctx.Err() == nil {
		peer := remaining[0]
		remaining = remaining[1:]
		outcome := c.watchPeer(ctx, peer)
		c.Node.setUpstreamPath(nil)
		if outcome.wasAttached {
			observe.Log(c.Node.options.Log, observe.UpstreamLost).Str("peer_vm", peer.Name).Str("reason", string(outcome.reason)).Send()
			return
		}
		if outcome.reason == endBusy && peer.Control {
			remaining = reorderAfterBusy(self, remaining)
		}
	}
}
