package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker of a plain service.
type worker struct {
	id, service, zone string
	fleet             *fleet
	address           string
	born              int64
	runs              atomic.Int64
	mu                sync.Mutex
	seq               int
	lastAck           time.Time
	// arrivals holds the requests that the worker has begun to run.
	arrivals []arrival
	// leavingAt is when the worker deregistered, zero before. It then states in its answers that it leaves, and sends no
	// heartbeats.
	leavingAt time.Time
}

// arrival is a request that has reached a worker.
type arrival struct {
	request, sender string
	at              time.Time
}

func (w *worker) isLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.leavingAt.IsZero()
}

// startWorker starts a worker that answers after the given time.
func startWorker(f *fleet, id, service string, number int, work time.Duration) (*worker, error) {
	w, err := newWorker(f, id, service, number, work)
	if err == nil {
		go w.beat()
	}
	return w, err
}

// newWorker is startWorker without heartbeats.
func newWorker(f *fleet, id, service string, number int, work time.Duration) (*worker, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(f.ip(3, number), "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: id, service: service, zone: zoneNames[(number-1)%len(zoneNames)], fleet: f, address: listener.Addr().String(),
		born: time.Now().UnixMilli(),
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			request := r.Header.Get("Request-Id")
			rw.Header().Set("Request-Id", request)
			if w.isLeaving() {
				rw.Header().Set("Server-Leaving", "1")
			}
			switch expected := r.Header.Get("Expect-Instance"); {
			case r.URL.Path == "/v1/report":
				_, _ = io.WriteString(rw, "{}")
				return
			case r.URL.Path == "/health":
				rw.Header().Set("Instance-Id", w.id)
				return
			case expected != "" && expected != w.id:
				rw.Header().Set("Not-Executed", "1")
				rw.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			n := w.runs.Add(1)
			sender, _, _ := net.SplitHostPort(r.RemoteAddr)
			w.mu.Lock()
			w.arrivals = append(w.arrivals, arrival{request: request, sender: sender, at: time.Now()})
			w.mu.Unlock()
			time.Sleep(work)
			rw.Header().Set("Response-Seal", fmt.Sprintf("%s.%d", w.id, n))
			_, _ = fmt.Fprintf(rw, "%s served by %s", request, w.id)
		}))
	}()
	return w, nil
}

// beat sends heartbeats, each to the next control VM after a failure.
func (w *worker) beat() {
	path := "/v1/instances/" + w.id + "/heartbeat"
	for at := 0; !w.isLeaving(); {
		body := w.nextHeartbeat()
		controls := w.fleet.machinesOf("control")
		if w.fleet.post(controls[at%len(controls)], path, body) == http.StatusOK {
			w.mu.Lock()
			w.lastAck = time.Now()
			w.mu.Unlock()
			time.Sleep(heartbeat)
			continue
		}
		at++
		time.Sleep(50 * time.Millisecond)
	}
}

// nextHeartbeat returns the body of the next heartbeat.
func (w *worker) nextHeartbeat() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.seq++
	return map[string]any{
		"service": w.service, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "seq": w.seq, "born": w.born,
	}
}
