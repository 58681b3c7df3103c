package relay

import (
	"context"
	"net"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// probeTimeout limits the time for the answer to a probe.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between two rounds of probes.
	probeInterval = 500 * time.Millisecond
)

// Check finds out whether the direct path to a server is broken. It is for servers that have been silent on an open
// connection, or have closed one without an answer.
func (d *Dialer) Check(ctx context.Context, address string) {
	now := time.Now()
	if d.paths.IsBroken(now, address) || !d.paths.BeginResolve(now, address) {
		return
	}
	err := d.probeDirect(ctx, address)
	if err == nil || ctx.Err() != nil {
		return
	}
	d.paths.DirectFailed(time.Now(), address)
	peers, _ := d.paths.Peers(time.Now(), d.options.Zone, address, d.options.Peers())
	conn, relayErr := d.askPeers(ctx, peers[:min(len(peers), maxPeersResolved)], address, 0)
	if relayErr != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	if d.probe(ctx, conn, address) == nil {
		d.recordOnlyPeerReaches(address, conn.peer, err)
	}
}

// checkOthers checks the paths to other servers than the given one, so that a VM that is cut off from all servers finds
// out before each of them has failed.
func (d *Dialer) checkOthers(address string) {
	for _, other := range d.paths.Suspects(time.Now(), address) {
		go d.Check(context.Background(), other)
	}
}

// probeDirect sends a probe to a server without a peer and records whether it answers.
func (d *Dialer) probeDirect(ctx context.Context, address string) error {
	conn, err := d.dialDirect(ctx, address, 0)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := d.probe(ctx, conn, address); err != nil {
		return err
	}
	conn.Answered()
	return nil
}

// probe sends a probe on a connection and waits at most probeTimeout for the answer.
func (d *Dialer) probe(ctx context.Context, conn net.Conn, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	return d.options.Probe(ctx, conn, address)
}

// Run tries the direct paths that are broken again until ctx is done.
func (d *Dialer) Run(ctx context.Context) {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	wasCutOff := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		d.probeBroken(ctx)
		d.paths.KeepPeers(d.options.Peers())
		if cutOff := d.IsCutOff(); cutOff != wasCutOff {
			wasCutOff = cutOff
			observe.Log(d.options.Logger, observe.CutOffChanged).Bool("cut_off", cutOff).Send()
			d.options.OnCutOff(cutOff)
		}
	}
}

// probeBroken sends a probe to each of the probe targets.
func (d *Dialer) probeBroken(ctx context.Context) {
	var probes sync.WaitGroup
	for _, address := range d.paths.ProbeTargets(time.Now()) {
		probes.Go(func() { _ = d.probeDirect(ctx, address) }) // a failure changes nothing
	}
	probes.Wait()
}
