package consensus

import "time"

// progressState is the way in which a leader replicates to a member.
type progressState uint8

const (
	// stateProbe sends one append at a time until the logs are known to match.
	stateProbe progressState = iota
	// stateReplicate sends up to Config.MaxInFlightAppends appends without waiting
	// for their responses.
	stateReplicate
	// stateSnapshot sends a snapshot, one chunk at a time, since the log lacks the
	// entries that the member needs.
	stateSnapshot
)

// progress is the replication progress of one other member as the leader knows
// it.
type progress struct {
	state progressState
	// match is the highest index up to which the member is known to have synced
	// the leader's log; next is the index of the next entry to send.
	match uint64
	next  uint64
	// probeInFlight is set while an append of stateProbe is unanswered.
	probeInFlight bool
	// inFlight holds the last index of each unacknowledged append.
	inFlight []uint64
	// lastProgressAt is when the member last made progress, or when a message was
	// sent with none in flight, whichever is later. See handleHeartbeatResponse.
	lastProgressAt time.Time
	lastResponseAt time.Time
	// round is the newest heartbeat round that the member responded to.
	round uint64
	// snapshot is the snapshot that is being sent. It stays the same until it has
	// arrived, although the leader may have taken a newer one.
	snapshot Snapshot
	// snapshotOffset is the offset of the chunk that was sent last, in bytes.
	snapshotOffset uint64
}

// probe returns to stateProbe at the entry next, but not below match+1.
func (p *progress) probe(next uint64) {
	p.state = stateProbe
	p.next = max(next, p.match+1)
	p.probeInFlight = false
	p.inFlight = nil
}

// acknowledge records that the member has synced the log up to index, and reports
// whether match rose. It leaves stateProbe, and stateSnapshot once the snapshot
// has arrived.
func (p *progress) acknowledge(index uint64, now time.Time) bool {
	for len(p.inFlight) > 0 && p.inFlight[0] <= index {
		p.inFlight = p.inFlight[1:]
	}
	if index < p.match || index == p.match && p.state != stateProbe {
		return false
	}
	p.lastProgressAt = now
	p.probeInFlight = false
	if p.state == stateSnapshot && index < p.snapshot.Index {
		return false
	}
	p.state = stateReplicate
	advanced := index > p.match
	p.match = index
	p.next = max(p.next, index+1)
	p.snapshot = Snapshot{}
	return advanced
}
