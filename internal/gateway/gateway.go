// Package gateway takes one request of a caller through the steps between the
// caller and the backend servers: route, key, place, send, relay. Codecs of a
// platform feed it through the interfaces Caller and Backend.
package gateway

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Request is a caller's request, decoded.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the decoded path, by which the route is found.
	Path string
	// Target is the path with the query as the caller sent it.
	Target string
	// Header holds what is passed on unchanged.
	Header http.Header
	Body   []byte
	// Key is the caller's key, empty for none.
	Key string
	// Timeout is how long the caller waits, 0 when not given.
	Timeout time.Duration
	// ResumeAfter is the last event that the caller has, 0 for none.
	ResumeAfter uint64
	// PromptTokens and AnswerTokens are what the caller said of the sizes, 0 for
	// a plain request.
	PromptTokens int
	AnswerTokens int
	ArrivedAt    time.Time
}

// RefusalCode tells why a request was refused before it ran.
type RefusalCode uint8

// Refusals. The request has not run and never will.
const (
	RefusedNoRoute RefusalCode = iota + 1
	RefusedUnknownKey
	// RefusedNotReady requests came before a route table was known.
	RefusedNotReady
	RefusedOverload
)

// FailureCode tells how an admitted request failed; it may have run.
type FailureCode uint8

// Failures.
const (
	FailedServer FailureCode = iota + 1
	FailedTimeout
)

// Caller is the way back to the caller of one request.
type Caller interface {
	// Refuse answers that the request has not run. RetryAfter is 0 when coming
	// back makes no sense.
	Refuse(code RefusalCode, retryAfter time.Duration)
	// Fail answers that the request failed and may have run.
	Fail(code FailureCode)
	// WriteResponse passes on a whole answer.
	WriteResponse(status int, header http.Header, body []byte) error
	// BeginStream passes on the head of a stream.
	BeginStream(status int, header http.Header) error
	// WriteEvent passes on a whole event.
	WriteEvent(raw []byte) error
	// Abort breaks the answer off so that it can't be taken for whole.
	Abort()
}

// Helper is a server that reads a part of a prompt.
type Helper struct {
	Address string
	// Ticket names memory that is reserved there, empty for none.
	Ticket string
}

// Attempt is one sending of a request to a server.
type Attempt struct {
	Request *Request
	Server  roster.Server
	// Team is the name of the team that holds the caller's key.
	Team string
	// Remaining is the time that the server may take.
	Remaining time.Duration
	// ResumeAfter is the last event that the caller has, 0 for none.
	ResumeAfter uint64
	Helpers     []Helper
	// NewConnection asks for a new connection.
	NewConnection bool
}

// Body is the body of an answer; see h1.Body.
type Body interface {
	// Read reaches io.EOF only when the answer is whole.
	Read(p []byte) (int, error)
	// SetReadDeadline bounds the following reads.
	SetReadDeadline(at time.Time) error
	// Close ends the answer; the server drops what it has not finished.
	Close() error
}

// Response is the head of a server's answer.
type Response struct {
	Status int
	Header http.Header
	Body   Body
	// Verified tells that the answer carries the server's signature.
	Verified bool
}

// Backend sends attempts. Its errors are of type *AttemptError.
type Backend interface {
	// Send returns the head of the answer. The caller must close its body.
	Send(ctx context.Context, attempt *Attempt) (*Response, error)
}

// Memory reserves memory on backend servers.
type Memory interface {
	// Reserve sets tokens of memory aside under a ticket for the time of hold,
	// counted from its arrival. The same ticket again renews the time.
	Reserve(ctx context.Context, server roster.Server, ticket string, tokens int, hold time.Duration) error
	// Release gives it back.
	Release(ctx context.Context, server roster.Server, ticket string) error
}

// Placer chooses servers.
type Placer interface {
	// Place returns a server for the request, or a placement without a server
	// when it is refused.
	Place(ctx context.Context, ask schedule.PlacementRequest) (schedule.Placement, error)
	// Started notes the first event of a placed request.
	Started(id schedule.JobID)
	// Ended frees its place.
	Ended(id schedule.JobID, end schedule.Outcome)
}

// Budget bounds repeated sends.
type Budget interface {
	// CountRequest counts a request of a caller.
	CountRequest(service string)
	// TryRetry counts a repeat and tells whether it is allowed.
	TryRetry(service string) bool
}

// Servers finds a backend server by its id.
type Servers interface {
	// Find returns the server with id.
	Find(id string) (roster.Server, bool)
}

// Options are the parts that a Gateway uses.
type Options struct {
	// Table returns the route table in force, nil before the first.
	Table   func() *routes.Table
	Placer  Placer
	Budget  Budget
	Servers Servers
	Backend Backend
	Memory  Memory
	// Zone of this VM; Incarnation numbers this start of the process.
	Zone        string
	Incarnation uint64
	// StopsIn returns how long this VM still runs when a planned stop is in
	// progress.
	StopsIn func() (left time.Duration, stopping bool)
	Logger  zerolog.Logger
	Metrics *observe.Metrics
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	options   Options
	startedAt time.Time
	lastSeq   atomic.Uint64
	inFlight  atomic.Int64
	meanSizes meanSizes
}

// New returns a gateway.
func New(options Options) *Gateway {
	return &Gateway{options: options, startedAt: time.Now(), meanSizes: meanSizes{byRoute: map[string]float64{}}}
}

// InFlight returns how many requests are in progress.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Serve takes a request to its answer. It returns when the caller has the
// answer or is gone; ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, request *Request, caller Caller) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	table := g.options.Table()
	if table == nil {
		wait := max(minNotReadyRetryAfter, typicalStartup-time.Since(g.startedAt))
		g.refuse(request, caller, RefusedNotReady, wait, "no route table is known")
		return
	}
	route := table.Match(request.Host, request.Path)
	if route == nil {
		g.refuse(request, caller, RefusedNoRoute, 0, "no route")
		return
	}
	if left, stopping := g.options.StopsIn(); stopping && left < typicalTime(route) {
		g.refuse(request, caller, RefusedNotReady, stoppingRetryAfter, "this VM stops too soon")
		return
	}
	x := &exchange{gateway: g, request: request, caller: caller, table: table, route: route, lastEventID: request.ResumeAfter}
	if table.NeedsKey(route) {
		if x.team = table.TeamOf(request.Key); x.team == nil {
			g.refuse(request, caller, RefusedUnknownKey, 0, "unknown key")
			return
		}
	}
	x.service = route.ChooseService(hashID(request.ID))
	x.deadline = request.ArrivedAt.Add(route.Timeout)
	if request.Timeout > 0 && request.Timeout < route.Timeout {
		x.deadline = request.ArrivedAt.Add(request.Timeout)
	}
	g.options.Budget.CountRequest(x.service)
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	x.run(ctx)
}

func (g *Gateway) refuse(request *Request, caller Caller, code RefusalCode, retryAfter time.Duration, reason string) {
	observe.Log(g.options.Logger, observe.RequestRefused).Str("request", request.ID).Str("reason", reason).
		Dur("retry_after", retryAfter).Dur("held", time.Since(request.ArrivedAt)).Send()
	caller.Refuse(code, retryAfter)
}

// typicalTime is the time that a request of route usually takes to its end: a
// stopping VM takes no request that it could not finish.
func typicalTime(route *routes.Route) time.Duration {
	if route.Kind == routes.KindStream {
		return typicalStreamTime
	}
	return min(typicalPlainTime, route.Timeout)
}

// hashID spreads request ids evenly.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never fails
	return h.Sum64()
}
