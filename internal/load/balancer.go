package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// readyInterval is the time between looks at an entry VM's readiness.
	readyInterval = 50 * time.Millisecond
	// readyTimeout bounds one look.
	readyTimeout = 500 * time.Millisecond
)

// balancer stands for the platform's balancer before the entry VMs: it sends
// requests in turn to those that are ready.
type balancer struct {
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

// run looks at the readiness of each entry VM until ctx ends.
func (b *balancer) run(ctx context.Context) {
	for i := range b.entries {
		go b.watch(ctx, i)
	}
}

func (b *balancer) watch(ctx context.Context, i int) {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			b.ready[i].Store(b.look(ctx, b.entries[i]))
		}
	}
}

func (b *balancer) look(ctx context.Context, entry string) bool {
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

// pick returns the entry VM for the request with the given number.
func (b *balancer) pick(number int) string {
	for i := range b.entries {
		at := (number + i) % len(b.entries)
		if b.ready[at].Load() {
			return b.entries[at]
		}
	}
	return b.entries[number%len(b.entries)]
}
