package gateway

import (
	"sync"
	"time"
)

// minConfirmations is the number of streams in a row that other servers must have confirmed before the servers of a service
// are trusted to close the connection of a stream only at its end.
const minConfirmations = 3

// maxUnconfirmed is the number of streams of a trusted service after which one must be confirmed again.
const maxUnconfirmed = 20

// cutRetention is how long a stream that was cut counts against those that can't be confirmed.
const cutRetention = 10 * time.Minute

// closings holds, for each service, whether streams that ended with their connection were complete, as shown by the servers
// at which they were resumed. It is safe for concurrent use.
type closings struct {
	mu        sync.Mutex
	byService map[string]closingRecord
}

// closingRecord counts the confirmed ends of one service since the last one that was not an end.
type closingRecord struct {
	confirmed int
	// cutAt is when a stream was not complete, zero for never.
	cutAt time.Time
	// unconfirmed counts the streams that were trusted since the last confirmation.
	unconfirmed int
}

func newClosings() closings { return closings{byService: map[string]closingRecord{}} }

// record records whether a stream of the service was complete when its connection ended.
func (c *closings) record(now time.Time, service string, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !complete {
		c.byService[service] = closingRecord{cutAt: now}
		return
	}
	record := c.byService[service]
	record.confirmed++
	record.unconfirmed = 0
	c.byService[service] = record
}

// isTrusted tells whether a stream of the service that ended with its connection counts as complete although nothing else
// shows it, and counts it. One that can be confirmed does only after minConfirmations, any other unless a stream was cut
// lately.
func (c *closings) isTrusted(now time.Time, service string, canConfirm bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	record := c.byService[service]
	if !canConfirm {
		return record.confirmed >= minConfirmations || record.cutAt.IsZero() || now.Sub(record.cutAt) > cutRetention
	}
	if record.confirmed < minConfirmations {
		return false
	}
	isDue := record.unconfirmed >= maxUnconfirmed
	if record.unconfirmed++; isDue {
		record.unconfirmed = 0
	}
	c.byService[service] = record
	return !isDue
}
