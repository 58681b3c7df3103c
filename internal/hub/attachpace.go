package hub

import "time"

const (
	// earlyAttachTime is the time from the start of a link, or the end of its last stream, in
	// which a refused connection leads to an attempt soon: the control VMs may be starting.
	earlyAttachTime = 2 * time.Second
	// earlyRetryDelay is the mean delay before the next attempt in that time. 83 entry VMs then
	// open about 2,000 connections a second to each of 6 control VMs that refuse them. These
	// cost a control VM nothing, since its process does not run, and an entry VM about a
	// fiftieth of a core.
	earlyRetryDelay = 40 * time.Millisecond
	// leaderlessRetryDelay is the mean delay before control VMs that know no leader are asked
	// again: 83 entry VMs then ask about 1,000 times a second while one control VM has started,
	// and each of 6 control VMs about 350 times.
	leaderlessRetryDelay = 80 * time.Millisecond
	// leaderWait is the longest time for which a link without a route table waits until a control
	// VM knows the leader. Before that it would get no table, and be sent to another control VM
	// once that is known. Ordinary elections take about as long.
	leaderWait = 600 * time.Millisecond
	// maxRefusedDelay is the maximum mean delay after a refused connection, which takes no time
	// itself.
	maxRefusedDelay = 200 * time.Millisecond
)

// attachPace decides how soon a link makes its next attempt to attach.
type attachPace struct {
	// since is the start of the link or the end of its last stream.
	since time.Time
	// leaderlessSince is when a control VM first answered since then that it knows no leader,
	// zero before.
	leaderlessSince time.Time
	// delay is the mean delay after the next failed attempt that is not early.
	delay time.Duration
}

func newAttachPace(now time.Time) *attachPace {
	return &attachPace{since: now, delay: attachRetryDelay}
}

// isEarly reports whether control VMs that refuse connections may just be starting.
func (p *attachPace) isEarly(now time.Time) bool { return now.Sub(p.since) < earlyAttachTime }

// awaitsLeader reports whether the link waits for a control VM that knows the leader.
func (p *attachPace) awaitsLeader(now time.Time, hasTable bool) bool {
	return !hasTable && p.isEarly(now) && (p.leaderlessSince.IsZero() || now.Sub(p.leaderlessSince) < leaderWait)
}

// afterLeaderless returns the mean delay after a search in which no control VM knew the leader.
func (p *attachPace) afterLeaderless(now time.Time) time.Duration {
	if p.leaderlessSince.IsZero() {
		p.leaderlessSince = now
	}
	return leaderlessRetryDelay
}

// afterFailure returns the mean delay after a failed attempt. It doubles with each attempt that
// is not early, up to maxAttachRetryDelay, or maxRefusedDelay if a connection was refused.
func (p *attachPace) afterFailure(now time.Time, refused bool) time.Duration {
	if refused && p.isEarly(now) {
		return earlyRetryDelay
	}
	delay := p.delay
	p.delay = min(2*delay, maxAttachRetryDelay)
	if refused {
		return min(delay, maxRefusedDelay)
	}
	return delay
}

// resetDelay starts the doubling anew, after an attempt that has itself taken long.
func (p *attachPace) resetDelay() { p.delay = attachRetryDelay }
