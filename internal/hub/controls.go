package hub

import (
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
)

const (
	// controlExpiry is the time without a message after which another control VM counts as
	// gone. Five messages are due in this time (see broadcastInterval).
	controlExpiry = time.Second
	// settleTime is the time from the first known leader of a new group until entry VMs are
	// admitted: in it the control VMs get to know each other, so that entry VMs are sent to
	// the right one.
	settleTime = time.Second
	// maxSettleTime is the maximum time from the start of a control VM of a new group until it
	// admits entry VMs, whether it knows a leader or not.
	maxSettleTime = 2 * time.Second
	// electionNewsTime is how long after its first leader a control VM assumes that the others
	// know the leader, too: the time until they have told so.
	electionNewsTime = 2 * broadcastInterval
	// imbalanceAllowance allows for random differences between few entry VMs, see isImbalance.
	imbalanceAllowance = 4
)

// controlVM is what a control VM knows of another one.
type controlVM struct {
	zone string
	// forwards is set if it serves Forward streams.
	forwards bool
	// knowsLeader is set if it knows the leader.
	knowsLeader bool
	seenAt      time.Time
	// entries is the number of entry VMs that it last listed as attached to it, at entriesAt.
	entries   int
	entriesAt time.Time
}

// entryCount returns the number of entry VMs attached to the control VM. It lists them every
// broadcastInterval if there are any.
func (v controlVM) entryCount(now time.Time) int {
	if now.Sub(v.entriesAt) >= controlExpiry {
		return 0
	}
	return v.entries
}

// expireControls forgets control VMs from which no message came for controlExpiry.
func (c *core) expireControls(now time.Time) {
	for address, control := range c.controls {
		if now.Sub(control.seenAt) >= controlExpiry {
			delete(c.controls, address)
		}
	}
}

// admit decides whether an entry VM may attach. Others are sent to the control VM that is
// preferred for them, or refused while the group is being formed.
func (c *core) admit(s *session, hello *hubpb.Hello, now time.Time) bool {
	if !hello.GetAcceptsForwarding() || hello.GetRedirected() {
		return true
	}
	if c.isSettling(now) {
		s.drop(errStarting)
		return false
	}
	if preferred := c.preferredFor(s, now); preferred != "" {
		s.outbox <- &hubpb.HubFrame{Redirect: preferred}
		return false
	}
	return true
}

// isSettling reports whether the group is just being formed: there is no route table yet, and
// this VM may not know the other control VMs.
func (c *core) isSettling(now time.Time) bool {
	if !c.options.Bootstrap || now.Sub(c.startedAt) >= maxSettleTime {
		return false
	}
	return c.leaderSeenAt.IsZero() || now.Sub(c.leaderSeenAt) < settleTime
}

// preferredFor returns the control VM that an entry VM should rather be attached to, empty
// for none: one in its zone that knows the leader, selected by rendezvous hashing, which spreads the entry VMs of
// a zone over its control VMs evenly. Right after this VM has got to know its first leader, it assumes that the others
// know it, too: they have not told yet.
func (c *core) preferredFor(s *session, now time.Time) string {
	seed := mix(hashName(s.vm))
	best, weight := "", uint64(0)
	consider := func(address, zone string) {
		if w := mix(seed ^ hashName(address)); zone == s.zone && (best == "" || w > weight) {
			best, weight = address, w
		}
	}
	if c.leader != "" {
		consider(c.options.Address, c.options.Zone)
	}
	justElected := c.leader != "" && now.Sub(c.leaderSeenAt) < electionNewsTime
	for address, control := range c.controls {
		if control.forwards && (control.knowsLeader || justElected) {
			consider(address, control.zone)
		}
	}
	if best == c.options.Address {
		return ""
	}
	return best
}

// betterFor returns the control VM to which an attached entry VM should move, empty for none. A
// move within the zone is worth it only if this VM has clearly more entry VMs than the other.
func (c *core) betterFor(s *session, now time.Time) string {
	preferred := c.preferredFor(s, now)
	if preferred == "" || c.leader == "" || c.options.Zone != s.zone {
		return preferred
	}
	if !isImbalance(len(c.sessions), c.controls[preferred].entryCount(now)) {
		return ""
	}
	return preferred
}

// isImbalance reports whether a control VM with own entry VMs should pass some on to one with
// others. Entry VMs that have attached at random differ by less.
func isImbalance(own, others int) bool {
	return 2*own > 3*others+imbalanceAllowance
}

// shareWithoutLeader returns the fraction of each server's slots that this VM's scheduler may use
// while no leader places requests. It follows the number of entry VMs: a control VM with twice
// as many has about twice the share. Each control VM counts as having one more, so that one
// without entry VMs can serve the first. The shares of all add up to 1.
func (c *core) shareWithoutLeader(now time.Time) float64 {
	own, all := len(c.sessions)+1, len(c.sessions)+1
	for _, control := range c.controls {
		all += control.entryCount(now) + 1
	}
	return float64(own) / float64(all)
}
