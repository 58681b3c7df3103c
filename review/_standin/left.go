package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Bounds of the deployment.
const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
)

// leftWorkerReturns: a worker deregisters and goes on serving for some seconds. One of its earlier heartbeats is held up
// on the way. All processes are killed and started again; then the heartbeat arrives. No request may reach the worker
// later than drainTime after its deregistration was acknowledged. Requests count only if they were sent later than twice
// contactTime after the restart.
func leftWorkerReturns(r *record, trouble bool) (int, error) {
	f, err := newFleet(r)
	if err != nil {
		return exitCannot, err
	}
	defer f.close()
	for i := 1; i <= 3; i++ {
		f.add("control", i)
	}
	for i := 1; i <= 3; i++ {
		f.add("front", i)
	}
	if err := f.startAll(true); err != nil {
		return exitCannot, err
	}
	var leaver *worker
	for i := 1; i <= 3; i++ {
		w, err := startWorker(f, fmt.Sprintf("i-%08x", 0xa0+i), "berth", i, 60*time.Millisecond)
		if err != nil {
			return exitCannot, err
		}
		leaver = w
	}
	if !f.postAny("/v1/config/put", plainConfig(), 10*time.Second) || !f.waitReady(10*time.Second) {
		return exitCannot, errors.New("the system did not start")
	}
	r.add("configuration 3 acknowledged, all front VMs ready")
	time.Sleep(contactTime)
	before := load(f, r, "b", "h.example", "/check/x", 3*time.Second)
	r.add("before the worker leaves: %d of %d requests served; the worker %s ran %d", before.served, before.sent, leaver.id, leaver.runs.Load())
	if before.served*4 < before.sent*3 || leaver.runs.Load() == 0 {
		return exitCannot, errors.New("the system did not serve at first")
	}

	path := "/v1/instances/" + leaver.id
	held, _ := json.Marshal(leaver.nextHeartbeat()) // a map of plain values
	r.add("worker %s: heartbeat %s is held up on its way to %s", leaver.id, held, f.machinesOf("control")[0].name)
	leaver.mu.Lock()
	leaver.leavingAt = time.Now()
	leaver.mu.Unlock()
	time.Sleep(time.Second)
	acknowledgedBy := f.machinesOf("control")[1]
	if status := f.post(acknowledgedBy, path+"/deregister", map[string]any{"born": leaver.born}); status != http.StatusOK {
		return exitCannot, fmt.Errorf("the deregistration was answered %d", status)
	}
	acknowledgedAt := time.Now()
	r.add("worker %s: deregistration acknowledged by %s; it goes on serving", leaver.id, acknowledgedBy.name)
	time.Sleep(500 * time.Millisecond)

	if trouble {
		r.add("SIGKILL of all processes")
		f.killAll()
		time.Sleep(500 * time.Millisecond)
		if err := f.startAll(false); err != nil {
			return exitCannot, err
		}
		r.add("all processes started again")
	}
	countFrom := time.Now().Add(2 * contactTime)
	released := make(chan struct{})
	go func() {
		defer close(released)
		time.Sleep(time.Until(countFrom.Add(200 * time.Millisecond)))
		status := f.post(f.machinesOf("control")[0], path+"/heartbeat", held)
		r.add("the heartbeat of %s that was held up arrives at %s: status %d", leaver.id, f.machinesOf("control")[0].name, status)
	}()
	after := load(f, r, "a", "h.example", "/check/x", time.Until(countFrom.Add(4*time.Second)))
	<-released
	r.add("after it: %d of %d requests served, statuses %v", after.served, after.sent, after.statuses)
	broken := 0
	leaver.mu.Lock()
	defer leaver.mu.Unlock()
	for _, got := range leaver.arrivals {
		if got.at.Sub(acknowledgedAt) > drainTime && got.at.After(countFrom) {
			broken++
			r.add("request %s reached worker %s from %s, %.3f s after its deregistration was acknowledged", got.request, leaver.id,
				got.sender, got.at.Sub(acknowledgedAt).Seconds())
		}
	}
	if broken > 0 {
		r.add("DRAIN is broken by %d requests", broken)
		return exitBroken, nil
	}
	r.add("DRAIN held")
	return exitHeld, nil
}
