package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// routeTimeout, callDeadline: an entry VM answers before a client gives up.
	routeTimeout = 2500 * time.Millisecond
	callDeadline = 3500 * time.Millisecond
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
	steadyTenant = "steady"
	steadyKey    = "key-steady"
	// movingTenant holds another key in each version.
	movingTenant = "moving"
)

func movingKey(version uint64) string { return fmt.Sprintf("key-%d", version) }

// configuration returns the complete configuration of a version: besides the
// lasting routes it has one route and one key that no other version has.
func configuration(version uint64, slots int) *standin.Configuration {
	route := func(name, prefix, service, kind string) standin.Route {
		return standin.Route{
			Name: name, Host: host, Prefix: prefix, Service: service, Kind: kind, Timeout: routeTimeout,
			Aim: routeTimeout / 5, MaxAttempts: 2, Resumable: kind == "streaming",
		}
	}
	return &standin.Configuration{
		Version: version,
		Routes: []standin.Route{
			route("chat", "/chat/", modelService, "streaming"), route("order", "/order/", deskService, "unsafe"),
			route("look", "/look/", deskService, "safe"), route("probe", probePath(version), deskService, "safe"),
		},
		Services: []standin.Service{{Name: modelService, Model: true, Slots: slots}, {Name: deskService}},
		Tenants:  []standin.Tenant{{Name: steadyTenant, Keys: []string{steadyKey}}, {Name: movingTenant, Keys: []string{movingKey(version)}}},
	}
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
			sleep(ctx, refusalPause)
			continue
		}
		q := c.next()
		c.soak.records.locked(func(r *Records) { r.Requests[q.Call.ID] = q })
		reply := c.conn.Do(q.Call)
		c.soak.records.locked(func(*Records) { q.Reply, q.Done = reply, true })
		if reply.Err != nil || reply.Closes || reply.Left || c.random.IntN(30) == 0 {
			c.drop()
		}
		wait := time.Duration(c.random.Int64N(int64(2 * thinkTime)))
		if reply.Status != servedStatus {
			wait += refusalPause
		}
		sleep(ctx, wait)
	}
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
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
	q := &Request{Tenant: steadyTenant, VM: c.vm, Incarnation: c.started, Begun: time.Now()}
	switch draw := c.random.IntN(20); {
	case draw < 8:
		tokens := 2000 + c.random.IntN(3000)
		if c.random.IntN(6) == 0 {
			tokens = 40_000 + c.random.IntN(90_000)
		}
		q.Call = standin.NewCall(id, host, "/chat/a", steadyKey, true, tokens)
	case draw < 12:
		q.Unsafe = true
		q.Call = standin.NewCall(id, host, "/order/a", steadyKey, false, 0)
	case draw < 15:
		q.Call = standin.NewCall(id, host, "/look/a", steadyKey, false, 0)
	default:
		c.probe(q, id)
	}
	q.Call.Deadline = callDeadline
	if q.Generation == 0 && c.random.IntN(12) == 0 {
		q.Call.LeaveAfter = time.Duration(10+c.random.IntN(400)) * time.Millisecond
	}
	return q
}

// probe asks for what one of the newest versions alone has.
func (c *client) probe(q *Request, id string) {
	newest := c.soak.newestSent()
	q.Generation = newest
	if newest > 1 && c.random.IntN(2) == 0 {
		q.Generation = newest - 1
	}
	if c.random.IntN(2) == 0 {
		q.Tenant = movingTenant
		q.Call = standin.NewCall(id, host, "/look/key", movingKey(q.Generation), false, 0)
		return
	}
	q.Call = standin.NewCall(id, host, probePath(q.Generation)+"a", steadyKey, false, 0)
}
