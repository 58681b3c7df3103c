package schedule

import "time"

// maxStartRecords bounds the records that are kept until TakeStarts; further ones are dropped.
const maxStartRecords = 1024

// StartRecord compares when the scheduler expected the first event of a request with when it came.
type StartRecord struct {
	ID      JobID
	Server  string
	Helpers int
	// Adopted is set if another scheduler placed the request.
	Adopted bool
	// Expected and Took are the times from the placement to the first event.
	Expected, Took time.Duration
	// Late is set if the first event came after the latency target, ExpectedLate if that was expected.
	Late, ExpectedLate bool
	// AddedPrefill is the prefill time that was placed on the first server after the request and
	// before its first event.
	AddedPrefill time.Duration
	// Streams is the number of requests for which the server is the first one.
	Streams int
	// Slowdown is the estimated slowdown of the server.
	Slowdown float64
}

// recordStartError adds the record of a request whose first event has arrived.
func (s *Scheduler) recordStartError(now time.Time, j *job) {
	if j.expectedAt.IsZero() || len(s.starts) >= maxStartRecords {
		return
	}
	s.starts = append(s.starts, StartRecord{
		ID: j.request.ID, Server: j.first.ID, Helpers: len(j.helpers), Adopted: j.adopted,
		Expected: j.expectedAt.Sub(j.sentAt), Took: now.Sub(j.sentAt),
		Late: now.After(j.request.TargetAt), ExpectedLate: j.expectedAt.After(j.request.TargetAt),
		AddedPrefill: j.first.prefillPlaced - j.prefillPlacedBefore, Streams: len(j.first.jobs), Slowdown: j.first.slowdown,
	})
}

// TakeStarts returns the records since the last call.
func (s *Scheduler) TakeStarts() []StartRecord {
	starts := s.starts
	s.starts = nil
	return starts
}
