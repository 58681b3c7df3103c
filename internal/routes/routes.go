// Package routes holds the route table: which requests go to which services, the API keys of the teams, and the limits
// on requests. A Table is not modified after New, so readers need no lock. Decoding and distributing tables is not done
// here.
package routes

import (
	"strings"
	"time"
)

// Kind tells whether the requests of a route may be retried, and whether they are answered by a stream.
type Kind uint8

// Values of Kind.
const (
	// KindSafe requests are idempotent: they may run any number of times.
	KindSafe Kind = iota + 1
	// KindUnsafe requests may run at most once.
	KindUnsafe
	// KindStream requests are answered by a stream of events. They may run at most once unless the route is
	// resumable.
	KindStream
)

// String returns the name of the kind for logs and metrics.
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
	// Weight is relative to the sum of the weights of the route.
	Weight uint32
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is matched without regard to case; the port of a request is ignored.
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// TargetLatency is the latency target: the time from arrival to the answer, or to the first event of a stream.
	TargetLatency time.Duration
	// TargetGap is the target for the maximum gap between two events of a stream.
	TargetGap time.Duration
	// Priority ranks routes; 0 is the highest.
	Priority int
	// Split assigns the requests to services by weight.
	Split []Share
	// MaxAttempts limits the servers on which one request may have run. Attempts that were not sent or were rejected
	// don't count.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be resumed at another server.
	Resumable bool
	// Homes are the regions in which the requests may be handled, empty for all.
	Homes []string
}

// IsRetryable tells whether a request that may have run may be sent to another server.
func (r *Route) IsRetryable() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Engine holds the performance figures of a service that runs a model. Its servers work in passes, the iterations of
// their batching loop: a pass runs StepsPerPass decode steps for all sequences, and the prefill of new prompts adds to
// its duration.
type Engine struct {
	// Slots is the maximum number of requests that a server decodes at the same time.
	Slots int
	// MemoryTokens is the maximum number of tokens that a server holds in memory.
	MemoryTokens int
	// StepsPerPass is the number of decode steps in a pass.
	StepsPerPass int
	// ChunkTokens is the maximum number of prompt tokens prefilled per step.
	ChunkTokens int
	// StepTime is the base time of a decode step. Each sequence adds StepTimePerSequence, and each token of their
	// contexts adds StepTimePerContextToken.
	StepTime                time.Duration
	StepTimePerSequence     time.Duration
	StepTimePerContextToken time.Duration
	// PrefillTimePerToken is the prefill time of a prompt token, without its attention to earlier tokens.
	PrefillTimePerToken time.Duration
	// PrefillNsPerTokenPair is the additional prefill time for each pair of a prompt token and an earlier one, in
	// nanoseconds.
	PrefillNsPerTokenPair float64
	// RemoteContextStepTime is added to a step while other servers hold part of the context. The scheduler does not
	// use it.
	RemoteContextStepTime time.Duration
	// MeanAnswerTokens is the mean length of an answer in tokens. The scheduler does not use it.
	MeanAnswerTokens int
}

// Service is a group of backend servers that answer the same requests.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections to one server, over all VMs. The gateway does not enforce it.
	MaxConnections int
	// HealthPath is the path of the health check of a server. The gateway does not call it.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
	// ColdPerSecond is how many requests a second a server takes from all VMs together during its
	// warm-up, 0 for no limit. ColdTime is the duration of a warm-up after a start.
	ColdPerSecond float64
	ColdTime      time.Duration
}

// Limits are the limits on the requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Team is a group of callers that share API keys and a priority.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the priority of the route; negative when not given.
	Priority int
	// Homes are the regions in which the team's requests may be handled, empty for all.
	Homes []string
}

// Table is a complete set of routes, services, limits and teams.
type Table struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
	// HasTeams is set if requests must carry the key of a team, also if Teams is empty: then no key is valid. New sets it if
	// Teams is not empty.
	HasTeams bool
	// Ignored names what was left out of the table because its values cannot be used, for the log.
	Ignored []string

	byHost   map[string][]*Route // by host in lower case
	services map[string]*Service // by name
	keys     map[string]*Team    // by API key
}

// New returns a Table with its indexes. MaxAttempts of a route and StepsPerPass of an engine become 1 where they are
// not positive. The table must have passed Check.
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
	t.HasTeams = t.HasTeams || len(t.Teams) > 0
	t.keys = make(map[string]*Team)
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.keys[key] = &t.Teams[i]
		}
	}
	return t
}

// Match returns the route of host whose prefix is the longest one that path begins with, or nil. A port in host is
// ignored.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, route := range t.byHost[strings.ToLower(hostName(host))] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// hostName returns the value of a Host header without the port.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		return host[:colon]
	}
	return host
}

// Service returns the service with the given name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// NeedsKey tells whether requests of route must carry an API key: they must if the table has teams and the route is not
// public.
func (t *Table) NeedsKey(route *Route) bool { return t.HasTeams && !route.Public }

// TeamOf returns the team with the given API key, or nil.
func (t *Table) TeamOf(key string) *Team { return t.keys[key] }

// ChooseService returns the service for a request, or "" if the weights of the split add up to 0. The result depends on
// draw alone; draws that are evenly distributed over all values give each service its weight.
func (r *Route) ChooseService(draw uint64) string {
	total := uint64(0)
	for _, share := range r.Split {
		total += uint64(share.Weight)
	}
	if total == 0 {
		return ""
	}
	remaining := draw % total
	for _, share := range r.Split {
		if remaining < uint64(share.Weight) {
			return share.Service
		}
		remaining -= uint64(share.Weight)
	}
	return ""
}
