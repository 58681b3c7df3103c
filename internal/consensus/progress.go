package consensus

import "time"

// progressState is how a leader feeds one member.
type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate streams appends.
	stateReplicate
	// stateSnapshot sends a snapshot, one chunk at a time.
	stateSnapshot
)

// progress is what a leader knows of one other member.
type progress struct {
	state progressState
	// match is the last entry that the member has synced, next the one to send.
	match uint64
	next  uint64
	// waiting is set while a probe or a chunk is unanswered.
	waiting bool
	// inFlight holds the last index of each unacknowledged append.
	inFlight []uint64
	// movedAt is when the member last made progress, or the oldest
	// unacknowledged message was sent.
	movedAt time.Time
	heardAt time.Time
	// round is the newest heartbeat round that the member answered.
	round uint64
	// snapshot is the one in transfer, kept until it has arrived although the
	// leader may have made a newer one.
	snapshot       Snapshot
	snapshotOffset uint64
}

func (p *progress) probe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.waiting = false
	p.inFlight = nil
}

// acknowledge takes an accepted index and tells whether it is news.
func (p *progress) acknowledge(index uint64, now time.Time) bool {
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if index < p.match || index == p.match && p.state != stateProbe {
		return false
	}
	p.movedAt = now
	p.waiting = false
	if p.state == stateSnapshot && index < p.snapshot.Index {
		return false
	}
	p.state = stateReplicate
	moved := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	p.snapshot = Snapshot{}
	return moved
}
