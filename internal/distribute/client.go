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
	// retryInterval is the wait after all candidates were tried in vain.
	retryInterval = 500 * time.Millisecond
	// betterInterval is the shortest time after which a VM tries again the VMs
	// that it would rather watch; the longest is twice that.
	betterInterval = 30 * time.Second
	// detachGrace is how long an upstream may be without a path to a control
	// VM before its watchers leave it.
	detachGrace = 2 * time.Second
	// askInterval is how often a VM without a path to a control VM asks other
	// VMs for their newest bundle.
	askInterval = 2 * time.Second
)

// ClientOptions configures a Client.
type ClientOptions struct {
	Node *Node
	Pool *transport.Pool
	// Peers lists the VMs that may be watched or asked, as known now.
	Peers func() []Peer
	// ReadyWait bounds how long the VM asks before it may turn ready.
	ReadyWait time.Duration
}

// Client keeps this VM's bundle as new as that of its peers.
type Client struct {
	ClientOptions
	// whole asks for the whole content after one against a base failed.
	whole bool
}

// NewClient returns a client. Run starts it.
func NewClient(options ClientOptions) *Client {
	return &Client{ClientOptions: options}
}

// Run asks peers for the newest bundle, then watches one of them until ctx
// ends.
func (c *Client) Run(ctx context.Context) {
	asked := make(chan struct{})
	go func() {
		defer close(asked)
		c.askLoop(ctx)
	}()
	for ctx.Err() == nil {
		c.round(ctx)
		pause.For(ctx, retryInterval/2+rand.N(retryInterval))
	}
	<-asked
}

// round tries the candidates in order, each until its session ends. It starts
// again from the first one after a session that was attached.
func (c *Client) round(ctx context.Context) {
	self := c.Node.options.Self
	rest := candidates(self, c.Peers())
	for len(rest) > 0 && ctx.Err() == nil {
		peer := rest[0]
		rest = rest[1:]
		end := c.session(ctx, peer)
		c.Node.setUpstream(nil)
		if end.wasAttached {
			observe.Log(c.Node.options.Log, observe.UpstreamLost).Str("peer_vm", peer.Name).Str("reason", string(end.reason)).Send()
			return
		}
		if end.reason == endBusy && peer.Control {
			rest = afterBusy(self, rest)
		}
	}
}
