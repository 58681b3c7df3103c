package relay

import (
	"context"
	"maps"
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
	// checkValidity is how long the result of a check holds for further ones of the same server: a server that ends breaks
	// off all its requests at the same time.
	checkValidity = 100 * time.Millisecond
)

// check is a check of the direct path to one server.
type check struct {
	// done is closed at the end, after answered and endedAt are set.
	done      chan struct{}
	startedAt time.Time
	answered  bool
	endedAt   time.Time
}

// Check finds out whether the direct path to a server is broken, and tells whether the server has answered on a new direct
// connection. It is for servers that have been silent on an open connection, or have closed one without an answer. Calls
// for the same server share one probe.
func (d *Dialer) Check(ctx context.Context, address string) (answered bool) {
	return d.CheckSince(ctx, address, time.Time{})
}

// CheckSince is Check by a probe that began at since or later: an earlier one may have been answered by a server that has
// ended since.
func (d *Dialer) CheckSince(ctx context.Context, address string, since time.Time) (answered bool) {
	if d.paths.IsBroken(time.Now(), address) {
		return false
	}
	d.mu.Lock()
	current := d.checks[address]
	if current == nil || current.startedAt.Before(since) || current.isOutdated(time.Now()) {
		current = &check{done: make(chan struct{}), startedAt: time.Now()}
		d.checks[address] = current
		d.mu.Unlock()
		d.run(context.WithoutCancel(ctx), current, address)
		return current.answered
	}
	d.mu.Unlock()
	select {
	case <-current.done:
		return current.answered
	case <-ctx.Done():
		return false
	}
}

// isOutdated tells whether the check has ended too long ago.
func (c *check) isOutdated(now time.Time) bool {
	select {
	case <-c.done:
		return now.Sub(c.endedAt) >= checkValidity
	default:
		return false
	}
}

// run probes a server for a check. If the server does not answer, it goes on to find out whether a peer reaches it.
func (d *Dialer) run(ctx context.Context, c *check, address string) {
	err := d.probeDirect(ctx, address)
	if err != nil {
		d.searchPeer(ctx, address, err)
	}
	c.answered, c.endedAt = err == nil, time.Now()
	close(c.done)
}

// searchPeer finds out whether a peer reaches the server that did not answer this VM because of directErr.
func (d *Dialer) searchPeer(ctx context.Context, address string, directErr error) {
	if !d.paths.BeginResolve(time.Now(), address) {
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
		d.recordOnlyPeerReaches(address, conn.peer, directErr)
	}
}

// forgetChecks drops the results that don't hold any more.
func (d *Dialer) forgetChecks(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.checks, func(_ string, c *check) bool { return c.isOutdated(now) })
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
		d.forgetChecks(time.Now())
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
