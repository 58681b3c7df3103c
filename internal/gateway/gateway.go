// Package gateway serves the requests of callers on an entry VM: it finds the route, checks the API key, obtains a
// placement, sends the request to a backend server, relays the response and retries failed attempts where that is
// safe. It does not decide placements, which are the scheduler's, and knows no wire format: the codecs of a platform
// implement the interfaces Caller and Backend.
package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/hedge"
	"godwityoke.example/godwityoke/internal/membudget"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/quarantine"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// Request is a decoded request of a caller.
type Request struct {
	ID     string
	Method string
	Host   string
	// Path is the decoded path, which is matched against the routes.
	Path string
	// Target is the path with the query as the caller sent it.
	Target string
	// Header holds the header fields that are passed on to the server unchanged.
	Header http.Header
	Body   []byte
	// Key is the API key, empty for none.
	Key string
	// Timeout is the timeout that the caller gave, counted from ArrivedAt; 0 when it gave none.
	Timeout time.Duration
	// ResumeAfter is the id of the last event that the caller has, 0 for none.
	ResumeAfter uint64
	// PromptTokens and AnswerTokens are the sizes as stated by the caller, 0 for a request that is not streamed.
	PromptTokens int
	AnswerTokens int
	// Parts are the parts of the prompt that other prompts may share.
	Parts     []quarantine.Subject
	ArrivedAt time.Time
}

// RefusalCode is the reason why a request was refused. A refused request has not run and will not.
type RefusalCode uint8

// Values of RefusalCode.
const (
	RefusedNoRoute RefusalCode = iota + 1
	RefusedUnknownKey
	// RefusedNotReady means that this VM has no route table yet or is about to stop.
	RefusedNotReady
	// RefusedOverload means that no server could be found or that all attempts failed without the request having
	// run.
	RefusedOverload
	// RefusedQuarantine means that backend servers have crashed under the request or under a part of its prompt.
	RefusedQuarantine
)

// FailureCode is the reason why a request failed that may have run.
type FailureCode uint8

// Values of FailureCode.
const (
	FailedServer FailureCode = iota + 1
	// FailedTimeout means that the deadline of the request has passed.
	FailedTimeout
)

// Caller sends the outcome of one request to its caller. A request ends with one call of Refuse, Fail or
// WriteResponse, or with a stream that is complete unless Abort is called.
type Caller interface {
	// Refuse answers that the request has not run. RetryAfter is 0 when a retry is of no use.
	Refuse(code RefusalCode, retryAfter time.Duration)
	// Fail answers that the request failed and may have run.
	Fail(code FailureCode)
	// WriteResponse sends a whole response of a server.
	WriteResponse(status int, header http.Header, body []byte) error
	// BeginStream sends the head of a stream.
	BeginStream(status int, header http.Header) error
	// WriteEvent sends one whole event of a stream, in its encoded form.
	WriteEvent(raw []byte) error
	// Abort breaks off a response in such a way that the caller does not consider it complete.
	Abort()
}

// Helper is a prefill helper: a backend server that prefills a part of a prompt.
type Helper struct {
	// Address is "ip:port".
	Address string
	// Ticket identifies the memory reserved on the server, empty for none.
	Ticket string
}

// Attempt is one send of a request to one server.
type Attempt struct {
	Request *Request
	Server  roster.Server
	// Team is the name of the team that the API key belongs to, empty for none.
	Team string
	// Remaining is the time left until the deadline of the request.
	Remaining time.Duration
	// ResumeAfter is the id of the last event that the caller has, 0 for none.
	ResumeAfter uint64
	Helpers     []Helper
	// NewConnection requires a new connection instead of a pooled one.
	NewConnection bool
	// UnreachableAfter is the time after which the attempt fails if the server's VM is unreachable, 0 for the default.
	UnreachableAfter time.Duration
	// Reach tells which VMs may relay the request.
	Reach routes.Reach
}

// Body is the body of a response; see h1.Body.
type Body interface {
	// Read returns io.EOF only when the response is complete.
	Read(p []byte) (int, error)
	// SetReadDeadline sets the deadline of all following reads.
	SetReadDeadline(deadline time.Time) error
	// ClosedByServer tells, once the response is complete, whether the server closes the connection within wait without
	// having announced that.
	ClosedByServer(wait time.Duration) bool
	// Close ends the response. If it is not complete, the server cancels the request.
	Close() error
}

// Response is the response of a server, whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	Body   Body
	// Verified is set when the response carries the server's signature.
	Verified bool
	// Relayed is set when another VM relays the connection.
	Relayed bool
	// IsStream is set when the response states that its body is a stream of events.
	IsStream bool
	// Framing is how the response shows where its body ends.
	Framing Framing
}

// Backend sends requests to backend servers. Its errors are of type *AttemptError.
type Backend interface {
	// Send returns once the head of the response has arrived. The caller must close the body.
	Send(ctx context.Context, attempt *Attempt) (*Response, error)
}

// Memory reserves memory on backend servers.
type Memory interface {
	// Reserve reserves memory for the given number of tokens under a ticket. The reservation expires when hold has
	// passed since the server received it; a call with the same ticket renews it. The error wraps ErrMemoryRefused
	// when the server has too little memory.
	Reserve(ctx context.Context, server roster.Server, ticket string, tokens int, hold time.Duration) error
	// Release ends the reservation.
	Release(ctx context.Context, server roster.Server, ticket string) error
}

// Placer assigns requests to servers.
type Placer interface {
	// Place waits for the placement of a request. A placement without a server is a refusal.
	Place(ctx context.Context, request schedule.PlacementRequest) (schedule.Placement, error)
	// Started reports that the first event of a placed request has arrived.
	Started(id schedule.JobID)
	// Ended reports the outcome of a placed request and releases its slot.
	Ended(id schedule.JobID, outcome schedule.Outcome)
}

// Budget limits retries per service.
type Budget interface {
	// CountRequest counts a request of a caller, which adds to the retries allowed.
	CountRequest(service string)
	// CanRetry tells whether TryRetry would allow a retry now. It counts nothing.
	CanRetry(service string) bool
	// TryRetry counts a retry if it is allowed and tells whether it is.
	TryRetry(service string) bool
}

// Servers looks up backend servers.
type Servers interface {
	// Find returns the server with the given id and whether it is known.
	Find(id string) (roster.Server, bool)
}

// Paths tells which backend servers this VM reaches directly.
type Paths interface {
	// IsBroken tells whether the server at address is most likely up although this VM does not reach it directly.
	IsBroken(address string) bool
	// Check finds out whether the path to the server at address is broken, which takes up to a second. It is for servers
	// that are silent or have closed a connection without an answer. It tells whether the server has answered on a new
	// connection, so that its process is there.
	Check(ctx context.Context, address string) (answered bool)
	// Probe finds out by a new connection whether the process of a server that has ended a response is still there.
	Probe(ctx context.Context, address string) serverstate.Presence
}

// Options configure a Gateway.
type Options struct {
	// Table returns the route table in force, nil before the first one is received.
	Table func() *routes.Table
	// TableKnown is closed when the first route table is received; nil if requests don't wait for it.
	TableKnown <-chan struct{}
	// FreshTable returns the route table in force once it is known to be up to date, or after a short time; nil if it always is.
	FreshTable func(ctx context.Context) *routes.Table
	// TableSource returns where the route table in force comes from; nil if that is not known. Only logs use it.
	TableSource func() TableSource
	// WasSuspended reports whether this process did not run for a while since the given time; nil if it always runs.
	WasSuspended func(since time.Time) bool
	Placer       Placer
	// ReportLateEvent is called with the gap before an event of a placed stream that came later than
	// the maximum gap of its route allows, and with the time without a first event when a hedge was clearly
	// faster; nil for no reports.
	ReportLateEvent func(id schedule.JobID, gap time.Duration)
	Budget          Budget
	Servers         Servers
	// ReadyServers returns the servers of a service that accept requests by their announcements.
	ReadyServers func(service string) []roster.Server
	Backend      Backend
	Memory       Memory
	// Buffers bounds the bytes of answers that are kept; nil for no bound.
	Buffers *membudget.Budget
	// SlowPeers turns on, if Buffers is set, that streams of callers that read slowly are read ahead and that writes to callers
	// are limited.
	SlowPeers bool
	// Paths tells which servers this VM reaches; nil if it reaches all that are up.
	Paths Paths
	// Statements are what servers stated in their answers to this VM; nil for none.
	Statements *serverstate.Table
	// Evacuations tells which availability zones are evacuated; nil for none.
	Evacuations Evacuations
	// Evidence tells which requests and parts of prompts crash backend servers; nil for evidence of this VM only.
	Evidence *quarantine.Guard
	// Zone is the availability zone of this VM.
	Zone string
	// ZoneRegions maps the availability zones of the system to their regions.
	ZoneRegions map[string]string
	// Incarnation identifies this run of the process; it makes job ids unique over restarts.
	Incarnation uint64
	// StopsIn tells whether a planned stop of this VM is in progress, and returns the time left until it exits.
	StopsIn func() (left time.Duration, stopping bool)
	// LateInStop is the time from the beginning of a planned stop after which few requests arrive. Those are taken only
	// if their deadline is within the stop.
	LateInStop time.Duration
	// Hedges decides when a request is sent to a second server; nil for never.
	Hedges  *hedge.Controller
	Logger  zerolog.Logger
	Metrics *observe.Metrics
}

// TableSource tells where the route table in force comes from.
type TableSource struct {
	// ControlVM is the internal address of the control VM to which this VM is attached, empty while it is detached.
	ControlVM string
	// Age is the time for which the table has been in force, Silent the time since the last frame of a control VM.
	Age, Silent time.Duration
}

// Gateway serves requests. It is safe for concurrent use.
type Gateway struct {
	options   Options
	startedAt time.Time
	lastSeq   atomic.Uint64
	inFlight  atomic.Int64
	meanSizes meanSizes
	closings  closings
	// streamTimes is what complete streams have taken so far.
	streamTimes streamTimes
	// stopping is done once a planned stop has begun, exiting once this VM exits. stopBegan is when the stop began, nil
	// before.
	stopping  context.Context
	beginStop context.CancelFunc
	stopBegan atomic.Pointer[time.Time]
	exiting   context.Context
	beginExit context.CancelFunc
}

// soundPaths are the Paths of a VM that reaches all servers that are up.
type soundPaths struct{}

// IsBroken implements Paths.
func (soundPaths) IsBroken(string) bool { return false }

// Check implements Paths.
func (soundPaths) Check(context.Context, string) bool { return false }

// Probe implements Paths.
func (soundPaths) Probe(context.Context, string) serverstate.Presence { return serverstate.Presence{} }

// New returns a Gateway with the given options.
func New(options Options) *Gateway {
	if options.Evidence == nil {
		options.Evidence = quarantine.NewGuard()
	}
	if options.Statements == nil {
		options.Statements = serverstate.NewTable()
	}
	if options.Evacuations == nil {
		options.Evacuations = noEvacuations{}
	}
	if options.Paths == nil {
		options.Paths = soundPaths{}
	}
	if options.WasSuspended == nil {
		options.WasSuspended = func(time.Time) bool { return false }
	}
	g := &Gateway{options: options, startedAt: time.Now(), meanSizes: meanSizes{byRoute: map[string]float64{}}, closings: newClosings(), streamTimes: newStreamTimes()}
	g.stopping, g.beginStop = context.WithCancel(context.Background())
	g.exiting, g.beginExit = context.WithCancel(context.Background())
	return g
}

// InFlight returns the number of requests that Serve is serving, whether they are queued or sent to a server.
func (g *Gateway) InFlight() int { return int(g.inFlight.Load()) }

// Serve serves one request. It returns when the caller has its answer or has disconnected; ctx must be cancelled when
// the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, request *Request, caller Caller) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	defer g.logPanic(request)
	table := g.options.Table()
	if table == nil {
		table = g.awaitTable(ctx)
	}
	if table == nil {
		wait := max(minNotReadyRetryAfter, typicalStartup-time.Since(g.startedAt))
		g.refuse(request, caller, RefusedNotReady, wait, "no route table is known")
		return
	}
	route, team, err := lookUp(table, request)
	if err != nil && g.options.FreshTable != nil {
		table = g.options.FreshTable(ctx)
		route, team, err = lookUp(table, request)
	}
	if err != nil {
		g.refuseByTable(request, caller, table, err)
		return
	}
	deadline := request.ArrivedAt.Add(route.Timeout)
	if request.Timeout > 0 && request.Timeout < route.Timeout {
		deadline = request.ArrivedAt.Add(request.Timeout)
	}
	if left, stopping := g.options.StopsIn(); stopping && left <= stopTime(route, time.Until(deadline), g.isLateInStop(time.Now())) {
		g.refuse(request, caller, RefusedNotReady, StoppingRetryAfter, errStopping.Error())
		return
	}
	x := &exchange{
		gateway: g, request: request, caller: caller, table: table, route: route, team: team, deadline: deadline, lastEventID: request.ResumeAfter,
	}
	x.identity = quarantine.NewRequest(x.teamName(), request.Method, route.Host, request.Target, request.Body)
	if subject, found := g.options.Evidence.Quarantined(time.Now(), x.identity, request.Parts); found {
		x.refuseQuarantined(subject)
		return
	}
	x.service = route.ChooseService(hashID(request.ID))
	if x.reach = x.reachOf(); x.isHomeless() {
		x.refuseHomeless()
		return
	}
	g.options.Budget.CountRequest(x.service)
	defer x.limitWrites()()
	ctx, cancel := context.WithDeadline(ctx, x.deadline)
	defer cancel()
	ctx, cancelWithCause := context.WithCancelCause(ctx)
	defer cancelWithCause(nil)
	defer context.AfterFunc(g.exiting, func() { cancelWithCause(errExiting) })()
	x.run(ctx)
}

// awaitTable waits for the first route table and returns it. It returns nil if none has come within typicalStartup of the
// start of this VM: control VMs hand out tables as soon as they have a leader, and a request that came back later would be
// served later.
func (g *Gateway) awaitTable(ctx context.Context) *routes.Table {
	left := typicalStartup - time.Since(g.startedAt)
	if g.options.TableKnown == nil || left <= 0 {
		return nil
	}
	select {
	case <-g.options.TableKnown:
	case <-time.After(left):
	case <-ctx.Done():
	case <-g.exiting.Done():
	}
	return g.options.Table()
}

// logPanic logs a panic of the calling goroutine and continues it.
func (g *Gateway) logPanic(request *Request) {
	if cause := recover(); cause != nil {
		observe.Log(g.options.Logger, observe.RequestPanicked).Str("request", request.ID).Str("cause", fmt.Sprint(cause)).
			Bytes("stack", debug.Stack()).Dur("held", time.Since(request.ArrivedAt)).Send()
		panic(cause)
	}
}

// nextID returns an id for the next placement request.
func (g *Gateway) nextID() schedule.JobID {
	return schedule.JobID{VM: g.options.Incarnation, Seq: g.lastSeq.Add(1)}
}

func (g *Gateway) refuse(request *Request, caller Caller, code RefusalCode, retryAfter time.Duration, reason string) {
	observe.Log(g.options.Logger, observe.RequestRefused).Str("request", request.ID).Str("reason", reason).
		Dur("retry_after", retryAfter).Dur("held", time.Since(request.ArrivedAt)).Send()
	caller.Refuse(code, retryAfter)
}

var (
	errNoRoute    = errors.New("no route matches the host and path")
	errUnknownKey = errors.New("unknown key")
)

// lookUp returns the route of a request, and the team that its key belongs to, nil if the route needs none.
func lookUp(table *routes.Table, request *Request) (*routes.Route, *routes.Team, error) {
	route := table.Match(request.Host, request.Path)
	if route == nil {
		return nil, nil, errNoRoute
	}
	if !table.NeedsKey(route) {
		return route, nil, nil
	}
	team := table.TeamOf(request.Key)
	if team == nil {
		return nil, nil, errUnknownKey
	}
	return route, team, nil
}

// refuseByTable refuses a request that the route table does not allow, because of reason. Whether a newer one would is seen from
// the line.
func (g *Gateway) refuseByTable(request *Request, caller Caller, table *routes.Table, reason error) {
	code := RefusedNoRoute
	if errors.Is(reason, errUnknownKey) {
		code = RefusedUnknownKey
	}
	source := TableSource{}
	if g.options.TableSource != nil {
		source = g.options.TableSource()
	}
	observe.Log(g.options.Logger, observe.RequestRefused).Str("request", request.ID).Str("reason", reason.Error()).
		Uint64("table_version", table.Version).Dur("table_age", source.Age).
		Str("control_vm", source.ControlVM).Dur("silent", source.Silent).Dur("held", time.Since(request.ArrivedAt)).Send()
	caller.Refuse(code, 0)
}

// typicalTime returns the typical total time of a request on the given route. A stopping VM refuses requests whose
// typical time is longer than the time until it exits.
func typicalTime(route *routes.Route) time.Duration {
	if route.Kind == routes.KindStream {
		return typicalStreamTime
	}
	return min(typicalWholeTime, route.Timeout)
}

// hashID returns an evenly distributed hash of a request id.
func hashID(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // never returns an error
	return h.Sum64()
}
