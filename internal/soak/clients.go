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
	// routeTimeout, callDeadline: an entry VM answers before a client gives up.
	routeTimeout = 2500 * time.Millisecond
	callDeadline = 3500 * time.Millisecond
	// pauseAim is the longest pause of a stream that is on time.
	pauseAim = 6 * eventPause
	// readChunk is the prompt tokens of a step, maxConnections those to a worker;
	// both are far above what a run needs.
	readChunk      = 2048
	maxConnections = 1000
	// thinkTime is the mean pause of a client between two requests.
	thinkTime = 40 * time.Millisecond
	// connectPatience is how long a client waits for a connection.
	connectPatience = time.Second
	// refusalPause is how long a client stays away from a VM that failed it.
	refusalPause = 100 * time.Millisecond
)

// Names in the configuration.
const (
	host         = "soak.example"
	modelService = "models"
	deskService  = "desk"
	steadyTeam   = "steady"
	steadyKey    = "key-steady"
	// movingTeam holds another key in each version.
	movingTeam = "moving"
)

func movingKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// routeTable returns the complete table of a version: besides the lasting
// routes it has one route and one key that no other version has.
func routeTable(version uint64) *routes.Table {
	route := func(name, prefix, service string, kind routes.Kind) routes.Route {
		made := routes.Route{
			Name: name, Host: host, Prefix: prefix, Kind: kind, Timeout: routeTimeout, TargetLatency: routeTimeout / 5,
			Split: []routes.Share{{Service: service, Weight: 1}}, MaxAttempts: 2,
		}
		if kind == routes.KindStream {
			made.Resumable, made.TargetGap = true, pauseAim
		}
		return made
	}
	return &routes.Table{
		Version: version,
		Routes: []routes.Route{
			route("chat", "/chat/", modelService, routes.KindStream), route("order", "/order/", deskService, routes.KindUnsafe),
			route("look", "/look/", deskService, routes.KindSafe), route("probe", probePath(version), deskService, routes.KindSafe),
		},
		Services: []routes.Service{
			{Name: modelService, MaxConnections: maxConnections, Engine: &routes.Engine{
				Slots: workerSlots, MemoryTokens: workerMemory, StepsPerPass: 1, ChunkTokens: readChunk, StepTime: eventPause,
				PrefillTimePerToken: readPerToken, MeanAnswerTokens: streamEvents,
			}},
			{Name: deskService, MaxConnections: maxConnections},
		},
		Teams: []routes.Team{
			{Name: steadyTeam, Keys: []string{steadyKey}, Priority: -1}, {Name: movingTeam, Keys: []string{movingKey(version)}, Priority: -1},
		},
	}
}

// newCall builds a call that is answered by a plain body or a stream.
func newCall(id, path, key string, stream bool, promptTokens int) standin.Call {
	call := standin.Call{ID: id, Host: host, Path: path, Key: key, Body: "plain " + id, PromptTokens: promptTokens, Timeout: callDeadline}
	if stream {
		call.Body, call.AnswerTokens = streamBody+id, streamEvents
	}
	return call
}

func probePath(version uint64) string { return fmt.Sprintf("/probe/%d/", version) }

// client sends requests one after the other on connections that it keeps as
// long as they last.
type client struct {
	soak   *soak
	number int
	random *rand.Rand
	sent   int
	vm     string
	conn   *standin.Connection
	// started is the incarnation of the VM that it is connected to.
	started int
}

func (c *client) run(ctx context.Context) {
	defer c.drop()
	for ctx.Err() == nil {
		if c.conn == nil && !c.connect() {
			pause.For(ctx, refusalPause)
			continue
		}
		q := c.next()
		c.soak.records.locked(func(r *Records) { r.Requests[q.Call.ID] = q })
		reply := c.conn.Do(q.Call)
		c.soak.records.locked(func(*Records) { q.Reply, q.Done = reply, true })
		if reply.Err != nil || reply.ClosesConnection || reply.Disconnected || c.random.IntN(30) == 0 {
			c.drop()
		}
		wait := time.Duration(c.random.Int64N(int64(2 * thinkTime)))
		if reply.Status != servedStatus {
			wait += refusalPause
		}
		pause.For(ctx, wait)
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// connect picks a VM that takes clients.
func (c *client) connect() bool {
	vm, public, ready := c.soak.readyVM(c.random)
	if !ready {
		return false
	}
	conn, err := standin.Connect(public, connectPatience)
	if err != nil {
		return false
	}
	c.conn, c.vm = conn, vm
	c.started = c.soak.fleet.incarnation(vm)
	return true
}

// next draws the next request.
func (c *client) next() *Request {
	c.sent++
	id := fmt.Sprintf("q%02d-%05d", c.number, c.sent)
	q := &Request{Team: steadyTeam, VM: c.vm, Incarnation: c.started, StartedAt: time.Now()}
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
		c.probe(q, id)
	}
	if q.ProbedVersion == 0 && c.random.IntN(12) == 0 {
		q.Call.DisconnectAfter = time.Duration(10+c.random.IntN(400)) * time.Millisecond
	}
	return q
}

// probe asks for what one of the newest versions alone has.
func (c *client) probe(q *Request, id string) {
	newest := c.soak.newestSent()
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
