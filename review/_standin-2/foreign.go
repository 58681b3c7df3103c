package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

func init() {
	scenarios["foreign-route"] = foreignRoute
	scenarios["foreign-drain"] = foreignDrain
	scenarios["foreign-crash"] = foreignCrash
}

// foreignBeat sends a heartbeat from another writer that bears the id of a worker. version, cold_left_ms and born are missing;
// PROTOCOL.md: "It names no worker to use; the others hold."
func (c *cluster) foreignBeat(w *worker, address, service string, slots, seq int) {
	body, _ := json.Marshal(map[string]any{"service": service, "address": w.address(), "zone": w.zone, "slots": slots, "state": "ready", "seq": seq})
	status, _ := post(address, "/v1/instances/"+w.id+"/heartbeat", body)
	c.record.line("another writer sends %s for %s to %s: %d", body, w.id, address, status)
}

// outcomes counts what clients got.
type outcomes struct {
	mu           sync.Mutex
	good, failed int
}

func (o *outcomes) record(c *cluster) func(id string, sent time.Time, front *machine, a answer) {
	return func(id string, sent time.Time, front *machine, a answer) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if a.status == 200 && a.sealed && a.complete {
			o.good++
		} else {
			o.failed++
		}
		c.record.line("client: request %s at %s, sent %.3f s ago: status %d, seal %v, %d events, complete %v, error %v",
			id, front.name, time.Since(sent).Seconds(), a.status, a.sealed, a.events, a.complete, a.err)
	}
}

func (o *outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("%d requests answered with success, %d not", o.good, o.failed)
}

// foreignRoute: three model workers of huvo11a serve; heartbeats from another writer, one at each interval, bear the id of one of
// them and the name of the service of bookings. No booking may run at a worker of huvo11a.
func foreignRoute(c *cluster, trouble bool) (int, string) {
	desks, writers, err := c.prepare(3, 3)
	if err != nil {
		return notRun, err.Error()
	}
	o := &outcomes{}
	end := c.load(20, booking, o.record(c))
	time.Sleep(3 * time.Second)
	for n := range 6 {
		if trouble {
			c.foreignBeat(writers[n%len(writers)], c.controls()[n%3], desks[0].service, writers[0].slots, 1000+n)
		}
		time.Sleep(heartbeat)
	}
	end()
	wrong := 0
	for _, w := range writers {
		for _, a := range w.arrivalsAfter(time.Time{}) {
			wrong++
			c.record.line("ROUTE: booking %s ran at worker %s of %s, to which no configuration sends it", a.request, w.id, w.service)
		}
	}
	verdict := fmt.Sprintf("%d bookings ran at workers of another service; %v", wrong, o)
	switch {
	case o.good < 100:
		return notRun, "too few requests were served: " + verdict
	case wrong > 0:
		return broken, verdict
	}
	return held, verdict
}

// foreignDrain: a worker deregisters, which is acknowledged, and serves a little longer. One heartbeat from another writer bears
// its id. No request may reach the worker later than drain_ms after the acknowledgement.
func foreignDrain(c *cluster, trouble bool) (int, string) {
	desks, _, err := c.prepare(3, 0)
	if err != nil {
		return notRun, err.Error()
	}
	o := &outcomes{}
	end := c.load(20, booking, o.record(c))
	time.Sleep(3 * time.Second)
	leaver := desks[0]
	leaver.silent.Store(true)
	time.Sleep(50 * time.Millisecond)
	if !leaver.deregister() {
		end()
		return notRun, "the deregistration was not acknowledged"
	}
	acknowledged := time.Now()
	time.Sleep(time.Second)
	if trouble {
		c.foreignBeat(leaver, c.controls()[1], leaver.service, leaver.slots, 1000)
	}
	time.Sleep(time.Until(acknowledged.Add(drainTime + 1500*time.Millisecond)))
	for range 400 { // it exits while a request is in progress, if there is one
		if leaver.busy() {
			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	lost := leaver.exit()
	time.Sleep(2 * time.Second)
	end()
	late := leaver.arrivalsAfter(acknowledged.Add(drainTime))
	for _, a := range late {
		c.record.line("DRAIN: request %s reached worker %s %.3f s after the acknowledgement", a.request, leaver.id, a.at.Sub(acknowledged).Seconds())
	}
	verdict := fmt.Sprintf("%d requests reached the worker later than drain_ms after the acknowledgement, %d were in progress when it left; %v", len(late), lost, o)
	switch {
	case o.good < 100:
		return notRun, "too few requests were served: " + verdict
	case len(late) > 0:
		return broken, verdict
	}
	return held, verdict
}

// foreignCrash: the control VMs are stopped and started in turn, as roll_term does, while long prompts are read by several
// workers each. Before each stop, three heartbeats from another writer bear the ids of workers that help. No process may end by
// itself; the rule is broken once two of the three control VMs have done so three times each.
func foreignCrash(c *cluster, trouble bool) (int, string) {
	desks, writers, err := c.prepare(3, 6)
	if err != nil {
		return notRun, err.Error()
	}
	o := &outcomes{}
	history := func() request {
		return request{method: "POST", path: "/pufi791/2f", body: make([]byte, 3000), deadline: 15 * time.Second,
			headers: map[string]string{"Model": "m", "Token-Usage": "133000,700", "Prefix-Hash": "5c1e07a2:40," + newID()[:8] + ":132960"}}
	}
	end := c.load(2.5, history, o.record(c))
	time.Sleep(4 * time.Second)
	began := time.Now()
	seq := 1000
	enough := func() bool { // half of the core has ended by itself three times each
		often := 0
		for _, m := range c.cores() {
			if m.ends() >= 3 {
				often++
			}
		}
		return often >= 2
	}
	for n := 0; time.Since(began) < 72*time.Second && !enough(); n++ {
		if trouble {
			for i := range 3 {
				c.foreignBeat(writers[(n+2*i)%len(writers)], c.controls()[(n+1)%3], desks[0].service, 6, seq)
				seq++
			}
			time.Sleep(50 * time.Millisecond)
		}
		c.terminateLeader()
		time.Sleep(3200 * time.Millisecond)
	}
	end()
	ends, often := 0, 0
	for _, m := range c.machines {
		c.record.line("%s ended by itself %d times", m.name, m.ends())
		ends += m.ends()
		if m.core && m.ends() >= 3 {
			often++
		}
	}
	verdict := fmt.Sprintf("processes ended by themselves %d times, %d of 3 control VMs three times or more; %v", ends, often, o)
	switch {
	case o.good < 20:
		return notRun, "too few requests were served: " + verdict
	case often >= 2:
		return broken, verdict
	}
	return held, verdict
}
