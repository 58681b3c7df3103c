package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// routeTimeout is the timeout of every route. It is shorter than callTimeout, the clients' own timeout, so that
	// an entry VM answers before the client disconnects.
	routeTimeout = 2500 * time.Millisecond
	callTimeout  = 3500 * time.Millisecond
	// targetGap is the target for the gap between two events of a stream.
	targetGap = 6 * eventGap
	// chunkTokens is the maximum number of prompt tokens prefilled per step, maxConnections the maximum number of
	// connections to a worker. Both are far above what a run needs.
	chunkTokens    = 2048
	maxConnections = 1000
	// meanThinkTime is the mean time between a reply and the client's next request.
	meanThinkTime = 40 * time.Millisecond
	// connectTimeout is the timeout of a client's connection attempt.
	connectTimeout = time.Second
	// failureBackoff is the additional wait of a client after a request that was not served or a failed connection.
	failureBackoff = 100 * time.Millisecond
)

// Names and keys in the route table.
const (
	host         = "soak.example"
	modelService = "models"
	deskService  = "desk"
	steadyTeam   = "steady"
	steadyKey    = "key-steady"
	// movingTeam has a different key in each version of the route table.
	movingTeam = "moving"
)

func movingKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// routeTable returns the route table of a version. It has the routes and keys that all versions share, and one route and
// one key that no other version has. Clients probe that route and key to detect the version in force.
func routeTable(version uint64) *routes.Table {
	route := func(name, prefix, service string, kind routes.Kind) routes.Route {
		result := routes.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: routeTimeout, TargetLatency: routeTimeout / 5,
			Split: []routes.Share{{Service: service, Weight: 1}}, MaxAttempts: 2,
		}
		if kind == routes.KindStream {
			result.Resumable, result.TargetGap = true, targetGap
		}
		return result
	}
	return &routes.Table{
		Version: version,
		Routes: []routes.Route{
			route("chat", "/chat/", modelService, routes.KindStream), route("order", "/order/", deskService, routes.KindUnsafe),
			route("look", "/look/", deskService, routes.KindSafe), route("probe", probePath(version), deskService, routes.KindSafe),
		},
		Services: []routes.Service{
			{Name: modelService, MaxConnections: maxConnections, Engine: &routes.Engine{
				Slots: workerSlots, MemoryTokens: workerMemory, StepsPerPass: 1, ChunkTokens: chunkTokens, StepTime: eventGap,
				PrefillTimePerToken: prefillTimePerToken, MeanAnswerTokens: eventsPerStream,
			}},
			{Name: deskService, MaxConnections: maxConnections},
		},
		Teams: []routes.Team{
			{Name: steadyTeam, Keys: []string{steadyKey}, Priority: -1},
			{Name: movingTeam, Keys: []string{movingKey(version)}, Priority: -1},
		},
	}
}

// newCall returns a call that is answered with a stream of events or, if stream is false, with a plain body.
func newCall(id, path, key string, stream bool, promptTokens int) standin.Call {
	call := standin.Call{ID: id, Host: host, Path: path, Key: key, Body: "plain " + id, PromptTokens: promptTokens, Timeout: callTimeout}
	if stream {
		call.Body, call.AnswerTokens = streamBodyPrefix+id, eventsPerStream
	}
	return call
}

func probePath(version uint64) string { return fmt.Sprintf("/probe/%d/", version) }

// client sends requests sequentially over one connection, which it reuses for as long as it stays usable.
type client struct {
	soak   *soak
	number int
	random *rand.Rand
	sent   int
	vm     string
	conn   *standin.Connection
	// incarnation is the incarnation of the process of vm, as read after conn was established.
	incarnation int
}

func (c *client) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			pause.For(ctx, failureBackoff)
			continue
		}
		q := c.nextRequest()
		c.soak.records.locked(func(r *Records) { r.Requests[q.Call.ID] = q })
		reply := c.conn.Do(q.Call)
		c.soak.records.locked(func(*Records) { q.Reply, q.Done = reply, true })
		if reply.Err != nil || reply.ClosesConnection || reply.Disconnected || c.random.IntN(30) == 0 {
			c.disconnect()
		}
		wait := time.Duration(c.random.Int64N(int64(2 * meanThinkTime)))
		if reply.Status != servedStatus {
			wait += failureBackoff
		}
		pause.For(ctx, wait)
	}
}

func (c *client) disconnect() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect connects to a random ready VM and reports whether it succeeded. It records a failure.
func (c *client) connect() bool {
	vm, public, ready := c.soak.readyVM(c.random)
	if !ready {
		return false
	}
	conn, err := standin.Connect(public, connectTimeout)
	if err != nil {
		c.soak.records.locked(func(r *Records) { r.FailedConnects = append(r.FailedConnects, FailedConnect{At: time.Now(), VM: vm}) })
		return false
	}
	c.conn, c.vm = conn, vm
	c.incarnation = c.soak.fleet.incarnation(vm)
	return true
}

// nextRequest draws the next request from the client's random source.
func (c *client) nextRequest() *Request {
	c.sent++
	id := fmt.Sprintf("q%02d-%05d", c.number, c.sent)
	q := &Request{Team: steadyTeam, VM: c.vm, Incarnation: c.incarnation, StartedAt: time.Now()}
	switch draw := c.random.IntN(20); {
	case draw < 8:
		tokens := 2000 + c.random.IntN(3000)
		if c.random.IntN(6) == 0 {
			tokens = 40_000 + c.random.IntN(90_000)
		}
		q.Call = newCall(id, "/chat/a", steadyKey, true, tokens)
	case draw < 12:
		q.Unsafe = true
		q.Call = newCall(id, "/order/a", steadyKey, false, 0)
	case draw < 15:
		q.Call = newCall(id, "/look/a", steadyKey, false, 0)
	default:
		c.prepareProbe(q, id)
	}
	if q.ProbedVersion == 0 && c.random.IntN(12) == 0 {
		q.Call.DisconnectAfter = time.Duration(10+c.random.IntN(400)) * time.Millisecond
	}
	return q
}

// prepareProbe turns q into a probe: a request for the route, or with the key, that only one version of the route table
// has. That version is the newest one sent or its predecessor.
func (c *client) prepareProbe(q *Request, id string) {
	newest := c.soak.newestSentVersion()
	q.ProbedVersion = newest
	if newest > 1 && c.random.IntN(2) == 0 {
		q.ProbedVersion = newest - 1
	}
	if c.random.IntN(2) == 0 {
		q.Team = movingTeam
		q.Call = newCall(id, "/look/key", movingKey(q.ProbedVersion), false, 0)
		return
	}
	q.Call = newCall(id, probePath(q.ProbedVersion)+"a", steadyKey, false, 0)
}
