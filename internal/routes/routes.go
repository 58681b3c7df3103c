// Package routes holds the route table: which requests go to which services,
// with which keys and limits. A table is a value that never changes once it is
// built, so that readers need no lock.
package routes

import (
	"strings"
	"time"
)

// Kind tells what of a route's requests may be repeated.
type Kind uint8

// Kinds of routes.
const (
	// KindSafe requests may run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe requests may run at most once.
	KindUnsafe
	// KindStream requests are answered by a stream of events and may run at
	// most once unless the route is resumable.
	KindStream
)

// String returns the name of the kind for logs.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindUnsafe:
		return "unsafe"
	case KindStream:
		return "stream"
	}
	return "unknown"
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	Weight  uint32
}

// Route tells where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a request may wait for its answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer, or the first event of a stream,
	// counts as on time.
	TargetLatency time.Duration
	// TargetGap is the longest pause between events of a stream that is on time.
	TargetGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	Split    []Share
	// MaxAttempts bounds the servers on which one request may run.
	MaxAttempts int
	// Public routes take requests without a key.
	Public bool
	// Resumable streams may go on at another server.
	Resumable bool
}

// IsRetryable tells whether a request that may have run may be sent again.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Engine holds the figures of a service that runs a model. Servers work in
// passes: reading prompts is added to the steps of those that write.
type Engine struct {
	// Slots is how many requests write at once.
	Slots int
	// MemoryTokens bounds the tokens that a server holds.
	MemoryTokens int
	// StepsPerPass is the steps of a pass.
	StepsPerPass int
	// ChunkTokens bounds the prompt tokens that are read in one step.
	ChunkTokens int
	// StepTime is the time of one step, StepTimePerSequence what each sequence adds.
	StepTime            time.Duration
	StepTimePerSequence time.Duration
	// StepTimePerContextToken is what each token of context adds to a step.
	StepTimePerContextToken time.Duration
	// PrefillTimePerToken is the time to read one prompt token.
	PrefillTimePerToken time.Duration
	// PrefillNsPerTokenPair is the time for one pair of a prompt token and an earlier
	// one, in nanoseconds.
	PrefillNsPerTokenPair float64
	// RemoteContextStepTime is what a step costs more while others hold part of the context.
	RemoteContextStepTime time.Duration
	// MeanAnswerTokens is the mean length of an answer in tokens.
	MeanAnswerTokens int
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// MaxConnections bounds the connections to one server from all VMs.
	MaxConnections int
	// HealthPath answers whether a server considers itself healthy.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that share keys and a priority.
type Team struct {
	Name string
	Keys []string
	// Priority goes before that of the route; negative when not given.
	Priority int
}

// Table is a complete set of routes, services, limits and teams.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team

	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// New completes a table with its indexes, and with one attempt or step where it
// gives none. The table must have passed Check.
func New(table Table) *Table {
	t := &table
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		route := &t.Routes[i]
		route.MaxAttempts = max(1, route.MaxAttempts)
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	t.services = make(map[string]*Service, len(t.Services))
	for i := range t.Services {
		t.services[t.Services[i].Name] = &t.Services[i]
		if engine := t.Services[i].Engine; engine != nil {
			engine.StepsPerPass = max(1, engine.StepsPerPass)
		}
	}
	t.keys = make(map[string]*Team)
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.keys[key] = &t.Teams[i]
		}
	}
	return t
}

// Match returns the route of host with the longest prefix that begins path, or
// nil.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[strings.ToLower(hostName(host))] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// hostName cuts the port off a host header.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}

// Service returns the service called name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey tells whether requests of route must carry a key.
func (t *Table) NeedsKey(route *Route) bool { return len(t.Teams) > 0 && !route.Public }

// TeamOf returns the team that holds key, or nil.
func (t *Table) TeamOf(key string) *Team { return t.keys[key] }

// ChooseService returns the service for a request of route. Equal draws choose
// equally; draw should be spread evenly over all values.
func (r *Route) ChooseService(draw uint64) string {
	total := uint64(0)
	for _, share := range r.Split {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return ""
	}
	at := draw % total
	for _, share := range r.Split {
		if at < uint64(share.Weight) {
			return share.Service
		}
		at -= uint64(share.Weight)
	}
	return ""
}
