package load

import (
	"context"
	"sync"
	"time"
)

// startDelay is the time from the call of Offer to the start of the schedule.
const startDelay = 100 * time.Millisecond

// Target is the system that load is sent to.
type Target struct {
	// EntryAddresses are the "ip:port" of the listeners for callers of the entry
	// VMs.
	EntryAddresses []string
}

// ProgressFunc receives the progress of a run, at most once a second: how many
// arrivals were sent, how many of them have ended, and how many there are in all.
type ProgressFunc func(sent, ended, total int)

// Offer sends the arrivals at their scheduled times, independently of the answers
// (open loop), and returns a sample of each. The run name makes prompts and
// idempotency keys differ from those of other runs. When ctx ends, Offer stops
// sending, waits for the requests in flight and returns the samples of the arrivals
// that it has sent.
func Offer(ctx context.Context, scenario *Scenario, arrivals []Arrival, target Target, run string, progress ProgressFunc) []Sample {
	c := newClient(scenario, run, target.EntryAddresses)
	defer c.http.CloseIdleConnections()
	runContext, stop := context.WithCancel(ctx)
	defer stop()
	c.balancer.run(runContext)
	go c.stalls.run(runContext)
	start := time.Now().Add(startDelay)
	collector := &collector{samples: make([]Sample, len(arrivals)), progress: progress}
	var inFlight sync.WaitGroup
	sent := 0
	for i := range arrivals {
		due := start.Add(arrivals[i].At)
		if !sleepUntil(ctx, due) {
			break
		}
		sent++
		collector.recordSent(sent)
		inFlight.Go(func() { collector.recordSample(i, c.send(&arrivals[i], due)) })
	}
	inFlight.Wait()
	return collector.samples[:sent]
}

// sleepUntil sleeps until due. It returns false if ctx ends before due.
func sleepUntil(ctx context.Context, due time.Time) bool {
	remaining := time.Until(due)
	if remaining <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(remaining):
		return true
	}
}

// collector stores samples and reports progress at most once a second.
type collector struct {
	mu                    sync.Mutex
	samples               []Sample
	sentCount, endedCount int
	reportedAt            time.Time
	progress              ProgressFunc
}

func (c *collector) recordSent(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentCount = count
	c.reportProgress()
}

func (c *collector) recordSample(index int, sample Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[index] = sample
	c.endedCount++
	c.reportProgress()
}

func (c *collector) reportProgress() {
	if c.progress == nil || time.Since(c.reportedAt) < time.Second {
		return
	}
	c.reportedAt = time.Now()
	c.progress(c.sentCount, c.endedCount, len(c.samples))
}
