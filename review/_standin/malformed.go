package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// window counts the requests sent in one span of time.
type window struct {
	mu           sync.Mutex
	sent, served int
	statuses     map[int]int
}

// load sends requests to the front VMs in turn for a time, ten a second, and counts those
// that are served.
func load(f *fleet, r *record, label string, host, path string, span time.Duration) *window {
	fronts := f.machinesOf("front")
	w := &window{statuses: map[int]int{}}
	var running sync.WaitGroup
	for i, end := 0, time.Now().Add(span); time.Now().Before(end); i++ {
		running.Add(1)
		go func() {
			defer running.Done()
			id := fmt.Sprintf("%s%06d", label, i)
			got := send(fronts[i%len(fronts)], id, host, path, "body", 4*time.Second)
			served := got.status == 200 && got.sealed
			r.add("request %s to %s: status %d, served %t", id, fronts[i%len(fronts)].name, got.status, served)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.sent++
			w.statuses[got.status]++
			if served {
				w.served++
			}
		}()
		time.Sleep(100 * time.Millisecond)
	}
	running.Wait()
	return w
}

// malformedHeartbeats: all processes are killed and started again (the final fault). While
// the workers announce themselves again, another writer sends one heartbeat for each
// worker's address with a service that no configuration names. From recover_s on, a quarter
// of the requests must be served.
func malformedHeartbeats(r *record, trouble bool) (int, error) {
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
	var workers []*worker
	for i := 1; i <= 3; i++ {
		w, err := startWorker(f, fmt.Sprintf("i-%08x", 0xa0+i), "berth", i, 60*time.Millisecond)
		if err != nil {
			return exitCannot, err
		}
		workers = append(workers, w)
	}
	if !f.postAny("/v1/config/put", plainConfig(), 10*time.Second) || !f.waitReady(10*time.Second) {
		return exitCannot, errors.New("the system did not start")
	}
	r.add("configuration 3 acknowledged, all front VMs ready")
	time.Sleep(2 * time.Second)
	before := load(f, r, "b", "h.example", "/check/x", 5*time.Second)
	r.add("before the final fault: %d of %d requests served, statuses %v", before.served, before.sent, before.statuses)
	if before.served*4 < before.sent {
		return exitCannot, errors.New("less than a quarter was served before the final fault")
	}
	r.add("final fault: SIGKILL of all processes")
	f.killAll()
	time.Sleep(500 * time.Millisecond)
	if err := f.startAll(false); err != nil {
		return exitCannot, err
	}
	back := time.Now()
	r.add("all processes started again")
	time.Sleep(5 * time.Second)
	if trouble {
		for i, w := range workers {
			body := map[string]any{
				"service": "svc-not-named", "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
				"cold_left_ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
			}
			status := f.post(f.machinesOf("control")[i], fmt.Sprintf("/v1/instances/x-%08x/heartbeat", i+1), body)
			r.add("another writer: heartbeat of x-%08x, service svc-not-named, address of %s: status %d", i+1, w.id, status)
		}
	}
	time.Sleep(time.Until(back.Add(12 * time.Second)))
	after := load(f, r, "a", "h.example", "/check/x", 20*time.Second)
	for _, w := range workers {
		w.mu.Lock()
		r.add("worker %s: last heartbeat acknowledged %.1f s ago, ran %d requests", w.id, time.Since(w.lastAck).Seconds(), w.runs.Load())
		w.mu.Unlock()
	}
	r.add("from 12 s after the machines were back: %d of %d requests served, statuses %v", after.served, after.sent, after.statuses)
	if after.served*4 < after.sent {
		r.add("RECOVER is broken")
		return exitBroken, nil
	}
	r.add("RECOVER held")
	return exitHeld, nil
}

// plainConfig returns a configuration with one public route to a plain service.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "r-check", "host": "h.example", "path_prefix": "/check/", "kind": "safe", "timeout_ms": 2000,
			"target_latency_ms": 300, "priority": 1, "service": "berth", "max_attempts": 2, "public": true,
		}},
		"services": []any{map[string]any{"name": "berth", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
