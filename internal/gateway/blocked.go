package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

const (
	// maxExcludedServers limits the servers that a placement request excludes because of their statements, those that it
	// excludes in evacuated zones, and those outside of the homes, each. A placement on a further one is turned down.
	maxExcludedServers = 256
	// maxTurnedDown limits the placements of one request that are turned down.
	maxTurnedDown = 16
	// maxLoggedBlocks limits the servers that a log line lists.
	maxLoggedBlocks = 8
)

// errPlacementTurnedDown is the cause of an attempt that was not sent because a server of its placement wants no requests
// from this VM or is in an evacuated zone.
var errPlacementTurnedDown = errors.New("the placement was turned down")

// allBlocked tells whether all ready servers of the service outside of evacuated zones want no requests from this VM and one of
// them takes requests again at a known time. It returns the block of the first one that does.
func (x *exchange) allBlocked(now time.Time) (first serverstate.Block, blocked bool) {
	statements := x.gateway.options.Statements
	if x.gateway.options.ReadyServers == nil || len(statements.Blocks(now, x.service)) == 0 {
		return serverstate.Block{}, false
	}
	for _, server := range x.readyServers() {
		if x.gateway.options.Evacuations.IsEvacuated(server.Zone) {
			continue
		}
		block, blocked := statements.Check(now, server)
		if !blocked {
			return serverstate.Block{}, false
		}
		if !block.Until.IsZero() && (first.Until.IsZero() || block.Until.Before(first.Until)) {
			first = block
		}
	}
	return first, !first.Until.IsZero()
}

// waitForServer waits for the end of first, the result of allBlocked. It returns false if the request must end now: it may
// be refused and the wait is no short one before its latency target, as in a ramp, or the caller has no use for an answer
// that begins so late.
func (x *exchange) waitForServer(ctx context.Context, first serverstate.Block) bool {
	if x.isDoubtSlight() {
		return false
	}
	latest := x.startDeadline()
	if !x.headSent && x.possibleRuns == 0 {
		if first.Reason != serverstate.ReasonRamp {
			return false
		}
		latest = x.request.ArrivedAt.Add(x.route.TargetLatency)
	}
	if first.Until.After(latest) {
		return false
	}
	pause.For(ctx, time.Until(first.Until))
	return ctx.Err() == nil
}

// failBlocked ends a request while all servers are blocked. The caller is asked to retry when the first of them takes
// requests again, or soon if that is after the deadline: the statements concern this VM only, and the retry may reach
// another one.
func (x *exchange) failBlocked(ctx context.Context, now time.Time, first serverstate.Block) {
	x.failUnplaced(ctx, fmt.Sprintf("all servers of %s want no requests from this VM", x.service), x.blockedRetryAfter(now, first))
}

func (x *exchange) blockedRetryAfter(now time.Time, first serverstate.Block) time.Duration {
	if first.Until.After(x.deadline) {
		return overloadRetryAfter
	}
	return first.Until.Sub(now)
}

// excludedServers returns the ids of the servers that must not get the request, and logs those that are blocked.
func (x *exchange) excludedServers(now time.Time) []string {
	blocks, foreign := x.gateway.options.Statements.Blocks(now, x.service), x.foreignServers()
	excluded := x.excluded
	if x.excludesEvacuated {
		evacuated, _ := x.evacuatedServers()
		excluded = append(append([]string(nil), excluded...), evacuated...)
	}
	if len(blocks)+len(foreign) == 0 {
		return excluded
	}
	if len(blocks) > 0 {
		x.logBlocks(now, blocks)
	}
	excluded = append(append([]string(nil), excluded...), foreign...)
	for _, block := range blocks[:min(len(blocks), maxExcludedServers)] {
		excluded = append(excluded, block.Server)
	}
	return excluded
}

// turnDown tells whether the placement has a server that must get no request now. It counts the request for the server
// that decodes the answer otherwise.
func (x *exchange) turnDown(now time.Time, placement schedule.Placement) bool {
	for _, helper := range placement.Helpers {
		if server, known := x.gateway.options.Servers.Find(helper.Server); known && x.isBlocked(now, server, x.gateway.options.Statements.Check) {
			return true
		}
	}
	server, known := x.gateway.options.Servers.Find(placement.Server)
	return known && x.isBlocked(now, server, x.gateway.options.Statements.Admit)
}

// turnDownReserved is turnDown for an attempt that turnDown has admitted and that has reserved memory since. A turned down
// attempt counts neither as an attempt nor as a retry.
func (x *exchange) turnDownReserved(now time.Time, attempt *Attempt, t *tickets) bool {
	blocked := false
	for _, item := range t.list {
		blocked = blocked || x.isBlocked(now, item.server, x.checkAdmitted)
	}
	blocked = blocked || len(t.list) > 0 && x.isBlocked(now, attempt.Server, x.checkAdmitted)
	if blocked {
		x.attempts--
	}
	return blocked
}

// checkAdmitted is Check for a request that is already counted in the ramp.
func (x *exchange) checkAdmitted(now time.Time, server roster.Server) (serverstate.Block, bool) {
	block, blocked := x.gateway.options.Statements.Check(now, server)
	return block, blocked && block.Reason != serverstate.ReasonRamp
}

// isBlocked tells whether check finds that the server must get no request, or it is in an evacuated zone, and logs and counts
// it.
func (x *exchange) isBlocked(now time.Time, server roster.Server, check func(time.Time, roster.Server) (serverstate.Block, bool)) bool {
	if x.isEvacuated(server) {
		return true
	}
	block, blocked := check(now, server)
	if !blocked {
		return false
	}
	x.turnedDown++
	observe.Log(x.gateway.options.Logger, observe.PlacementTurnedDown).Str("request", x.request.ID).Str("server", block.Server).
		Str("reason", block.Reason.String()).Dur("age", now.Sub(block.StatedAt)).Send()
	return true
}

// logBlocks logs which servers the request is not placed on and why.
func (x *exchange) logBlocks(now time.Time, blocks []serverstate.Block) {
	listed := make([]string, 0, maxLoggedBlocks)
	for _, block := range blocks[:min(len(blocks), maxLoggedBlocks)] {
		listed = append(listed, fmt.Sprintf("%s: %s, stated %v ago", block.Server, block.Reason, now.Sub(block.StatedAt).Round(time.Millisecond)))
	}
	observe.Log(x.gateway.options.Logger, observe.ServersPassedOver).Str("request", x.request.ID).Strs("servers", listed).
		Int("count", len(blocks)).Send()
}
