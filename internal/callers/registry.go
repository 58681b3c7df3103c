package callers

import (
	"slices"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// InProgress describes a call that is being served.
type InProgress struct {
	ID   string       `json:"id"`
	Kind request.Kind `json:"kind"`
	// Received is the time at which this VM received the request.
	Received time.Time `json:"received"`
}

// Registry holds the calls in progress. It is safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	calls map[string]InProgress
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{calls: map[string]InProgress{}}
}

func (r *Registry) add(call *filter.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[call.ID] = InProgress{ID: call.ID, Kind: call.Kind, Received: call.Received}
}

func (r *Registry) remove(call *filter.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, call.ID)
}

// Len returns the number of calls in progress.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls)
}

// List returns the calls in progress, oldest first.
func (r *Registry) List() []InProgress {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]InProgress, 0, len(r.calls))
	for _, call := range r.calls {
		list = append(list, call)
	}
	slices.SortFunc(list, func(a, b InProgress) int {
		if order := a.Received.Compare(b.Received); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	return list
}
