package distribute

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/distribute/distributepb"
	"godwityoke.example/godwityoke/internal/pause"
)

const (
	// askTimeout bounds one question to a peer.
	askTimeout = time.Second
	// maxAsked bounds the peers that are asked in one round.
	maxAsked = 8
	// onlyVersion asks for the version of a peer without its bundle.
	onlyVersion = math.MaxUint64
)

// askLoop asks peers before the VM turns ready, and from then on whenever it
// has no path to a control VM.
func (c *Client) askLoop(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, c.ReadyWait)
	c.askUntilHeld(bounded)
	cancel()
	c.Node.setReady()
	for ctx.Err() == nil {
		pause.For(ctx, askInterval)
		if !c.Node.IsAttached() {
			c.ask(ctx)
		}
	}
}

// askUntilHeld asks until a round was answered and this VM holds a bundle.
func (c *Client) askUntilHeld(ctx context.Context) {
	for ctx.Err() == nil {
		answered := c.ask(ctx)
		if answered > 0 && c.Node.store.Newest() != nil {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

// peerVersion is a peer's answer.
type peerVersion struct {
	peer    Peer
	version uint64
}

// ask asks several peers for their version and takes the bundle of the highest
// one. It returns how many peers answered.
func (c *Client) ask(ctx context.Context) int {
	answers := c.versions(ctx, askedPeers(c.Node.options.Self, c.Peers()))
	slices.SortFunc(answers, func(a, b peerVersion) int { return compareNumbers(b.version, a.version) })
	for _, answer := range answers {
		if answer.version <= c.Node.store.Newest().Version() {
			break
		}
		if c.fetch(ctx, answer.peer) == nil {
			break
		}
	}
	return len(answers)
}

// askedPeers returns some control VMs and some entry VMs of the zone.
func askedPeers(self Self, peers []Peer) []Peer {
	var control, entry []Peer
	for _, peer := range candidates(self, peers) {
		if peer.Control {
			control = append(control, peer)
		} else {
			entry = append(entry, peer)
		}
	}
	control = control[:min(len(control), maxAsked/2)]
	return append(control, entry[:min(len(entry), maxAsked-len(control))]...)
}

func (c *Client) versions(ctx context.Context, peers []Peer) []peerVersion {
	var mu sync.Mutex
	var answers []peerVersion
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() {
			reply, err := c.newest(ctx, peer, onlyVersion)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, peerVersion{peer, reply.GetVersion()})
		})
	}
	group.Wait()
	return answers
}

func (c *Client) fetch(ctx context.Context, peer Peer) error {
	reply, err := c.newest(ctx, peer, c.Node.store.Newest().Version())
	if err != nil || reply.GetBundle() == nil {
		return err
	}
	return c.Node.receive(reply.GetBundle(), peer.Name)
}

func (c *Client) newest(ctx context.Context, peer Peer, version uint64) (*distributepb.NewestReply, error) {
	conn, err := c.Pool.Conn(peer.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return distributepb.NewDistributionClient(conn).Newest(ctx, &distributepb.NewestRequest{Version: version})
}
