package relay

import (
	"context"
	"errors"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/serverstate"
)

const (
	// probeTimeout limits the time for the answer to a probe.
	probeTimeout = 250 * time.Millisecond
	// probeInterval is the time between two rounds of probes.
	probeInterval = 500 * time.Millisecond
	// resetProbeDelay is the time after which a probe whose connection was reset is sent again.
	resetProbeDelay = 20 * time.Millisecond
	// checkValidity is how long it holds for further checks of the same server that it has not answered: a server that ends
	// breaks off all its requests at the same time.
	checkValidity = 100 * time.Millisecond
)

// check is a check of the direct path to one server.
type check struct {
	// done is closed at the end, after the other fields are set.
	done     chan struct{}
	answered bool
	// sentAt is when the probe was sent, zero if there was no connection.
	sentAt  time.Time
	endedAt time.Time
}

// Check finds out whether the direct path to a server is broken, and tells whether the server has answered on a new direct
// connection. It is for servers that have been silent on an open connection, or have closed one without an answer. Calls
// for the same server share one probe, except that the answer to a probe that was sent before a call does not show that the
// server is there at the time of the call.
func (d *Dialer) Check(ctx context.Context, address string) (answered bool) {
	calledAt := time.Now()
	for !d.paths.IsBroken(time.Now(), address) {
		d.mu.Lock()
		current := d.checks[address]
		if current == nil || current.isOutdated(time.Now()) || current.isAnsweredBefore(calledAt) {
			current = &check{done: make(chan struct{})}
			d.checks[address] = current
			d.mu.Unlock()
			d.run(context.WithoutCancel(ctx), current, address)
			return current.answered
		}
		d.mu.Unlock()
		select {
		case <-current.done:
		case <-ctx.Done():
			return false
		}
		if !current.isAnsweredBefore(calledAt) {
			return current.answered
		}
	}
	return false
}

// isAnsweredBefore tells whether the check has ended with the answer to a probe that was sent before the given time.
func (c *check) isAnsweredBefore(at time.Time) bool {
	select {
	case <-c.done:
		return c.answered && c.sentAt.Before(at)
	default:
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
	sentAt, err := d.probeDirect(ctx, address)
	if err != nil {
		d.searchPeer(ctx, address, err)
	}
	c.answered, c.sentAt, c.endedAt = err == nil, sentAt, time.Now()
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
	if _, err := d.probe(ctx, conn, address); err == nil {
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

// probeDirect sends a probe to a server without a peer and records whether it answers. It returns when it was sent.
func (d *Dialer) probeDirect(ctx context.Context, address string) (sentAt time.Time, err error) {
	conn, err := d.dialDirect(ctx, address, 0)
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = conn.Close() }()
	sentAt = time.Now()
	if _, err := d.probe(ctx, conn, address); err != nil {
		return sentAt, err
	}
	conn.Answered()
	return sentAt, nil
}

// probe sends a probe on a connection and waits at most probeTimeout for the answer.
func (d *Dialer) probe(ctx context.Context, conn net.Conn, address string) (startedAt time.Time, err error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })()
	return d.options.Probe(ctx, conn, address)
}

// Probe tells whether the process of a server that has ended a response is still there. It makes a new direct connection,
// and says nothing of the path to the server.
func (d *Dialer) Probe(ctx context.Context, address string) serverstate.Presence {
	presence, wasReset := d.probeOnce(ctx, address)
	if wasReset { // by a server that has too many connections, by one that is ending, or by something on the way
		pause.For(ctx, resetProbeDelay)
		presence, _ = d.probeOnce(ctx, address)
	}
	return presence
}

// probeOnce sends one probe. wasReset is set if the connection was opened and then ended without an answer.
func (d *Dialer) probeOnce(ctx context.Context, address string) (presence serverstate.Presence, wasReset bool) {
	conn, err := d.direct(ctx, address, 0)
	if errors.Is(err, syscall.ECONNREFUSED) {
		presence.Result = serverstate.ProbeRefused
	}
	if err != nil {
		return presence, false
	}
	defer func() { _ = conn.Close() }()
	presence.StartedAt, err = d.probe(ctx, conn, address)
	switch {
	case err == nil:
		presence.Result = serverstate.ProbeAnswered
	case !errors.Is(err, os.ErrDeadlineExceeded):
		wasReset = true
	}
	return presence, wasReset
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
		probes.Go(func() { _, _ = d.probeDirect(ctx, address) }) // a failure changes nothing
	}
	probes.Wait()
}
