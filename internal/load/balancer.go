package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// readyInterval is the time between two readiness probes of an entry VM.
	readyInterval = 50 * time.Millisecond
	// readyTimeout is the timeout of one readiness probe.
	readyTimeout = 500 * time.Millisecond
)

// balancer emulates the platform's load balancer in front of the entry VMs: it
// distributes requests round-robin over the entry VMs that are ready.
type balancer struct {
	// entries holds the "ip:port" of the entry VMs for callers, ready the result of
	// the latest readiness probe of each.
	entries []string
	ready   []atomic.Bool
	http    *http.Client
}

func newBalancer(entries []string) *balancer {
	b := &balancer{entries: entries, ready: make([]atomic.Bool, len(entries)), http: &http.Client{Timeout: readyTimeout}}
	for i := range b.ready {
		b.ready[i].Store(true)
	}
	return b
}

// run starts the readiness probes of all entry VMs, which go on until ctx ends.
// It does not block.
func (b *balancer) run(ctx context.Context) {
	for i := range b.entries {
		go b.watch(ctx, i)
	}
}

// watch probes the entry VM with index i until ctx ends.
func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.ready[i].Store(b.isReady(ctx, b.entries[i]))
		}
	}
}

func (b *balancer) isReady(ctx context.Context, entry string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns the address of a ready entry VM. It tries the entry VMs in turn,
// beginning at index first modulo their number. If none is ready, it returns the
// one at which it began.
func (b *balancer) pick(first int) string {
	for i := range b.entries {
		index := (first + i) % len(b.entries)
		if b.ready[index].Load() {
			return b.entries[index]
		}
	}
	return b.entries[first%len(b.entries)]
}
