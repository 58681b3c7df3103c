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
	// pollTimeout bounds one Newest call to a peer.
	pollTimeout = time.Second
	// maxPolledPeers is the maximum number of peers that one poll calls.
	maxPolledPeers = 8
	// versionOnly is the version in a NewestRequest that asks a peer for its version without the bundle: a peer
	// sends a bundle only if its version is higher.
	versionOnly = math.MaxUint64
)

// pollLoop polls peers until one has replied and this VM holds a bundle, at most for ReadyWait, and then marks the node
// as ready. From then on it polls peers every pollInterval while this VM has no path to a control VM.
func (c *Client) pollLoop(ctx context.Context) {
	waitCtx, cancel := context.WithTimeout(ctx, c.ReadyWait)
	c.pollUntilBundleHeld(waitCtx)
	cancel()
	c.Node.setReady()
	for ctx.Err() == nil {
		pause.For(ctx, pollInterval)
		if !c.Node.IsAttached() {
			c.poll(ctx)
		}
	}
}

// pollUntilBundleHeld polls until at least one peer has replied and this VM holds a bundle.
func (c *Client) pollUntilBundleHeld(ctx context.Context) {
	for ctx.Err() == nil {
		replied := c.poll(ctx)
		if replied > 0 && c.Node.store.Newest() != nil {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

// peerVersion is the bundle version that a peer holds, 0 for none.
type peerVersion struct {
	peer    Peer
	version uint64
}

// poll asks several peers for their version and applies the bundle of the peer with the highest version, if that is
// higher than the version of this VM. If that fails, it tries the peer with the next lower version. It returns the
// number of peers that replied.
func (c *Client) poll(ctx context.Context) int {
	replies := c.pollVersions(ctx, pollTargets(c.Node.options.Self, c.Peers()))
	slices.SortFunc(replies, func(a, b peerVersion) int { return compareUint64(b.version, a.version) })
	for _, reply := range replies {
		if reply.version <= c.Node.store.Newest().Version() {
			break
		}
		if c.fetchBundle(ctx, reply.peer) == nil {
			break
		}
	}
	return len(replies)
}

// pollTargets returns up to maxPolledPeers candidates in order of preference, at most half of them control VMs.
func pollTargets(self Self, peers []Peer) []Peer {
	var control, entry []Peer
	for _, peer := range candidates(self, peers) {
		if peer.Control {
			control = append(control, peer)
		} else {
			entry = append(entry, peer)
		}
	}
	control = control[:min(len(control), maxPolledPeers/2)]
	return append(control, entry[:min(len(entry), maxPolledPeers-len(control))]...)
}

// pollVersions calls all peers in parallel and returns the versions of those that reply.
func (c *Client) pollVersions(ctx context.Context, peers []Peer) []peerVersion {
	var mu sync.Mutex
	var replies []peerVersion
	var wg sync.WaitGroup
	for _, peer := range peers {
		wg.Go(func() {
			reply, err := c.callNewest(ctx, peer, versionOnly)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			replies = append(replies, peerVersion{peer, reply.GetVersion()})
		})
	}
	wg.Wait()
	return replies
}

// fetchBundle requests the bundle of peer and applies it, if its version is higher than the version of this VM.
func (c *Client) fetchBundle(ctx context.Context, peer Peer) error {
	reply, err := c.callNewest(ctx, peer, c.Node.store.Newest().Version())
	if err != nil || reply.GetBundle() == nil {
		return err
	}
	return c.Node.applyBundle(reply.GetBundle(), peer.Name)
}

func (c *Client) callNewest(ctx context.Context, peer Peer, version uint64) (*distributepb.NewestReply, error) {
	conn, err := c.Pool.Conn(peer.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	return distributepb.NewDistributionClient(conn).Newest(ctx, &distributepb.NewestRequest{Version: version})
}
