package load

import (
	"context"
	"sync"
	"time"
)

// startDelay is the time between the call of Offer and the first arrival.
const startDelay = 100 * time.Millisecond

// Target is where load is sent.
type Target struct {
	// EntryAddresses are "ip:port" of entry VMs' callers' listeners.
	EntryAddresses []string
}

// ProgressFunc is called with the progress of a run, at most once a second.
type ProgressFunc func(sent, ended, total int)

// Offer sends the arrivals at their times, whatever the answers are, and
// returns a sample of each. Run makes prompts and keys differ from those of
// other runs. It returns early when ctx ends.
func Offer(ctx context.Context, scenario *Scenario, arrivals []Arrival, target Target, run string, progress ProgressFunc) []Sample {
	c := newClient(scenario, run, target.EntryAddresses)
	defer c.http.CloseIdleConnections()
	balancing, stop := context.WithCancel(ctx)
	defer stop()
	c.balancer.run(balancing)
	go c.stalls.run(balancing)
	start := time.Now().Add(startDelay)
	collector := &collector{samples: make([]Sample, len(arrivals)), progress: progress}
	var wait sync.WaitGroup
	sent := 0
	for i := range arrivals {
		due := start.Add(arrivals[i].At)
		if !sleepUntil(ctx, due) {
			break
		}
		sent++
		collector.sent(sent)
		wait.Go(func() { collector.end(i, c.send(&arrivals[i], due)) })
	}
	wait.Wait()
	return collector.samples[:sent]
}

func sleepUntil(ctx context.Context, due time.Time) bool {
	left := time.Until(due)
	if left <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-time.After(left):
		return true
	}
}

// collector gathers samples and reports progress once a second.
type collector struct {
	mu               sync.Mutex
	samples          []Sample
	sentSoFar, ended int
	told             time.Time
	progress         ProgressFunc
}

func (c *collector) sent(count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentSoFar = count
	c.tell()
}

func (c *collector) end(number int, sample Sample) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.samples[number] = sample
	c.ended++
	c.tell()
}

func (c *collector) tell() {
	if c.progress == nil || time.Since(c.told) < time.Second {
		return
	}
	c.told = time.Now()
	c.progress(c.sentSoFar, c.ended, len(c.samples))
}
