package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
)

const (
	// leaderPollInterval is the interval at which a control VM that has started looks for the
	// first leader, and from which its attempts to read the newest route table through the
	// leader get rarer, up to confirmInterval. A look reads a value in memory.
	leaderPollInterval = 10 * time.Millisecond
	// confirmInterval is the longest time between two of these attempts.
	confirmInterval = 100 * time.Millisecond
)

// firstLeaderKnown reports that the control group has a leader for the first time since the
// start of this VM.
type firstLeaderKnown struct{}

func (firstLeaderKnown) handle(c *core, now time.Time) {
	c.updateLeadership(now)
	c.peers.sentAt = time.Time{} // the others send entry VMs here once they know that this VM knows the leader
	c.peers.tick(now, c.sessions, c.leader != "", tableRevision(c.table), c.doubt.isActive())
}

// awaitFirstLeader waits for the first leader since the start of this VM, or the end of ctx, and
// has the hub follow it without waiting for its next tick.
func (h *Hub) awaitFirstLeader(ctx context.Context) {
	for h.LeaderAddress() == "" {
		if pause.For(ctx, leaderPollInterval); ctx.Err() != nil {
			return
		}
	}
	_ = h.send(ctx, firstLeaderKnown{})
}

// confirmTable reads the newest route table through the leader, until that has succeeded once or
// ctx ends, and passes it to the hub's goroutine.
func (h *Hub) confirmTable(ctx context.Context) {
	for delay := leaderPollInterval; ctx.Err() == nil; delay = min(2*delay, confirmInterval) {
		table, err := h.readTable(ctx)
		if err == nil {
			_ = h.send(ctx, tableConfirmed{table: table})
			return
		}
		pause.For(ctx, delay)
	}
}
