package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// worker is a stand-in for a worker. It speaks PROTOCOL.md.
type worker struct {
	cluster     *cluster
	id, service string
	zone        string
	slots       int
	engine      bool
	born        int64
	listener    net.Listener
	server      *http.Server
	sequence    atomic.Uint64
	state       atomic.Value // string
	silent      atomic.Bool  // no more heartbeats
	beatAddress atomic.Value // string
	workTime    time.Duration
	events      int
	eventGap    time.Duration
	stopped     chan struct{}
	stopOnce    sync.Once
	mu          sync.Mutex
	arrivals    []arrival
	inFlight    int
	tickets     map[string]int
}

// arrival is a request that the worker has run.
type arrival struct {
	at      time.Time
	request string
	from    string
}

func (c *cluster) startWorker(id, service, zone string, slots int, engine bool) (*worker, error) {
	w := &worker{cluster: c, id: id, service: service, zone: zone, slots: slots, engine: engine, born: time.Now().UnixMilli(),
		stopped: make(chan struct{}), workTime: 60 * time.Millisecond, tickets: map[string]int{}, events: 20, eventGap: 45 * time.Millisecond}
	w.state.Store("ready")
	w.beatAddress.Store("")
	var err error
	if w.listener, err = net.Listen("tcp", fmt.Sprintf("%s.%d.0:0", c.net, 100)); err != nil {
		if w.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(w.listener) }()
	go w.beat()
	c.record.line("worker %s (%s) starts at %s", id, service, w.address())
	return w, nil
}

func (w *worker) address() string { return w.listener.Addr().String() }

// entry returns what the worker says of itself.
func (w *worker) entry() map[string]any {
	e := map[string]any{"service": w.service, "address": w.address(), "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state.Load(),
		"cold_left_ms": 0, "seq": w.sequence.Add(1), "born": w.born}
	if w.engine {
		e["stage"] = "mixed"
		e["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return e
}

// beat sends a heartbeat at each interval until the worker ends.
func (w *worker) beat() {
	for {
		if !w.silent.Load() {
			w.sendBeat()
		}
		select {
		case <-time.After(heartbeat):
		case <-w.stopped:
			return
		}
	}
}

// sendBeat sends a heartbeat to one control address after the other until one acknowledges it.
func (w *worker) sendBeat() bool {
	body, _ := json.Marshal(w.entry())
	addresses := w.cluster.controls()
	if own := w.beatAddress.Load().(string); own != "" {
		addresses = append([]string{own}, addresses...)
	}
	for _, address := range addresses {
		status, answer := post(address, "/v1/instances/"+w.id+"/heartbeat", body)
		if status/100 == 2 {
			var reply struct {
				Address string `json:"heartbeat_addr"`
			}
			if json.Unmarshal(answer, &reply) == nil && reply.Address != "" {
				w.beatAddress.Store(reply.Address)
			}
			return true
		}
		w.beatAddress.Store("")
	}
	return false
}

// deregister sends the deregistration until it is acknowledged.
func (w *worker) deregister() bool {
	body, _ := json.Marshal(map[string]any{"born": w.born})
	for i := range 30 {
		address := w.cluster.controls()[i%3]
		if status, _ := post(address, "/v1/instances/"+w.id+"/deregister", body); status/100 == 2 {
			w.cluster.record.line("worker %s deregisters at %s, which acknowledges it", w.id, address)
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// busy tells whether a request is in progress.
func (w *worker) busy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight > 0
}

// exit ends the worker: its connections end at once. It returns the number of requests in progress.
func (w *worker) exit() (inFlight int) {
	w.stopOnce.Do(func() {
		close(w.stopped)
		w.mu.Lock()
		inFlight = w.inFlight
		w.mu.Unlock()
		_ = w.server.Close()
		w.cluster.record.line("worker %s exits with %d requests in progress", w.id, inFlight)
	})
	return inFlight
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if id := r.Header.Get("Request-Id"); id != "" {
		h.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != w.id {
		h.Set("Not-Executed", "1")
		h.Set("At-Server", w.address())
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case r.URL.Path == "/v1/report":
		w.report(rw)
	case r.URL.Path == "/v1/order":
		w.order(rw, r)
	case r.URL.Path == "/health":
		h.Set("Instance-Id", w.id)
	case r.Header.Get("Request-Id") == "":
		h.Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
	default:
		w.run(rw, r)
	}
}

func (w *worker) report(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(map[string]any{"stage": "mixed", "models": []any{}, "busy": false, "seq": 0, "queue_depth": 0,
		"in_flight": w.inFlight, "kv_used": 0, "kv_total": 232000, "handles": 0, "pace": 1.0, "born": w.born})
}

// order reserves and releases memory.
func (w *worker) order(rw http.ResponseWriter, r *http.Request) {
	var o struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	used := 0
	for id, tokens := range w.tickets {
		if id != o.ID {
			used += tokens
		}
	}
	status := http.StatusOK
	switch {
	case o.Op == "release":
		delete(w.tickets, o.ID)
	case o.Op != "reserve":
		status = http.StatusBadRequest
	case used+o.Tokens > 232000:
		status = http.StatusConflict
	default:
		w.tickets[o.ID] = o.Tokens
	}
	w.mu.Unlock()
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	fmt.Fprintf(rw, `{"free":%d}`, 232000-used)
}

// run runs a request.
func (w *worker) run(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	from, _, _ := net.SplitHostPort(r.RemoteAddr)
	w.mu.Lock()
	if w.inFlight >= w.slots {
		w.mu.Unlock()
		rw.Header().Set("Not-Executed", "1")
		rw.Header().Set("At-Server", w.address())
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.inFlight++
	w.arrivals = append(w.arrivals, arrival{at: time.Now(), request: id, from: from})
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		w.inFlight--
		w.mu.Unlock()
	}()
	w.cluster.record.line("worker %s runs request %s (%s %s, %d bytes) from %s helpers %q", w.id, id, r.Method, r.URL.Path, len(body), from, r.Header.Get("Helpers"))
	rw.Header().Set("Response-Seal", "seal."+id)
	if !w.engine {
		select {
		case <-time.After(w.workTime):
		case <-r.Context().Done():
			if r.Method == http.MethodGet {
				return
			}
		}
		answer := "done " + id + strings.Repeat(" ", 700)
		rw.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(rw, answer)
		return
	}
	prompt, _, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(prompt)
	parts := 1
	if helpers := r.Header.Get("Helpers"); helpers != "" {
		parts += strings.Count(helpers, ",") + 1
	}
	read := time.Duration(float64(tokens)/206) * time.Millisecond / time.Duration(parts)
	rw.Header().Set("Content-Type", "text/event-stream")
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	select {
	case <-time.After(read):
	case <-r.Context().Done():
		return
	}
	for n := after + 1; n <= w.events; n++ {
		fmt.Fprintf(rw, "id: %d\ndata: %s-%d\n\n", n, id, n)
		_ = http.NewResponseController(rw).Flush()
		if n == w.events {
			return
		}
		select {
		case <-time.After(w.eventGap):
		case <-r.Context().Done():
			return
		}
	}
}

func (w *worker) arrivalsAfter(at time.Time) (late []arrival) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.arrivals {
		if a.at.After(at) {
			late = append(late, a)
		}
	}
	return late
}
