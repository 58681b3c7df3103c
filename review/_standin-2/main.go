package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a scenario.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// scenario plays a case. With trouble false it does the same without the disruption.
type scenario func(c *cluster, trouble bool) (code int, verdict string)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		os.Exit(notRun)
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	r := &record{file: file, began: time.Now()}
	c, err := newCluster(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, verdict := make(chan int, 1), ""
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("scenario %s, trouble %v", os.Args[1], trouble)
	go func() {
		result := notRun
		if err := c.start(); err != nil {
			verdict = err.Error()
		} else if err := c.awaitReady0(); err != nil {
			verdict = err.Error()
		} else {
			result, verdict = scenarios[os.Args[1]](c, trouble)
		}
		code <- result
	}()
	result := notRun
	select {
	case result = <-code:
	case <-time.After(115 * time.Second):
		verdict = "not finished within 115 s"
	case s := <-signals:
		verdict = "ended by " + s.String()
	}
	c.end()
	r.line("%s: %s", [...]string{"HELD", "BROKEN", "NOT RUN"}[result], verdict)
	_ = file.Close()
	fmt.Println([...]string{"held", "broken", "not run"}[result]+":", verdict)
	os.Exit(result)
}

// awaitReady0 gives the control VMs time to form their group.
func (c *cluster) awaitReady0() error {
	time.Sleep(1500 * time.Millisecond)
	return nil
}

const (
	host = "ficu95.example"
	key  = "n2ctnfzs989anu6wsjnb"
)

// configuration returns a configuration as in the example of PROTOCOL.md: streams go to yoke-writers, bookings to berth-desk.
func configuration(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, gap int) map[string]any {
		r := map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": timeout, "target_latency_ms": target,
			"priority": 1, "service": service, "max_attempts": attempts, "public": false}
		if kind == "streaming" {
			r["sticky"], r["resumable"], r["target_gap_ms"] = true, true, gap
		}
		return r
	}
	engine := map[string]any{"slots": 16, "kv_capacity": 232000, "token_kv_bytes": 327680, "link_mbps": 400000.0, "stride": 43, "models": []any{map[string]any{"name": "m"}},
		"step_ms": 1.02, "per_seq_ms": 0.00226, "context_per_k": 0.00431, "read_per_s": 206000.0, "pairs_per_m": 0.138, "chunk": 2048, "report_lag_ms": 200.0,
		"loads_per_s": 0.0, "loads_at_once": 8, "delays": []any{}, "usual": map[string]any{"prompt": 12328, "answer": 1303}, "hop_ms": 0.075}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-eulogy", "/lohu930/", "streaming", "huvo11a", 10000, 300, 2, 250),
			route("r-history", "/pufi791/", "streaming", "huvo11a", 15000, 3000, 2, 1000),
			route("r-book", "/puxa403/", "unsafe", "wuno96b", 2000, 300, 1, 0),
			route("r-check", "/dahu134/", "safe", "wuno96b", 2000, 300, 2, 0),
		},
		"services": []any{
			map[string]any{"name": "huvo11a", "health_path": "/health", "max_conns": 264, "protocol": "h1", "tls": false, "engine": engine},
			map[string]any{"name": "wuno96b", "health_path": "/health", "max_conns": 96, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "api_keys": []string{key}, "priority": 1}},
	}
}

// answer is what a client got.
type answer struct {
	status   int
	sealed   bool
	complete bool
	events   int
	err      error
}

// request is one client attempt.
type request struct {
	method, path string
	body         []byte
	deadline     time.Duration
	headers      map[string]string
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// send sends one client attempt on a new connection and reads the whole answer.
func (c *cluster) send(front *machine, q request) (id string, a answer) {
	id = newID()
	r, err := http.NewRequest(q.method, fmt.Sprintf("http://%s:%d%s", front.ip, c.front, q.path), bytes.NewReader(q.body))
	if err != nil {
		return id, answer{err: err}
	}
	r.Host = host
	r.Header.Set("Request-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(q.deadline.Milliseconds()))
	r.Header.Set("Credential", key)
	for name, value := range q.headers {
		r.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: q.deadline}
	response, err := client.Do(r)
	if err != nil {
		return id, answer{err: err}
	}
	defer response.Body.Close()
	a = answer{status: response.StatusCode, sealed: response.Header.Get("Response-Seal") != ""}
	if response.Header.Get("Content-Type") == "text/event-stream" {
		lines := bufio.NewScanner(response.Body)
		for lines.Scan() {
			if bytes.HasPrefix(lines.Bytes(), []byte("data:")) {
				a.events++
			}
		}
		a.err = lines.Err()
	} else {
		_, a.err = io.Copy(io.Discard, response.Body)
	}
	a.complete = a.err == nil
	return id, a
}

func booking() request {
	return request{method: http.MethodPost, path: "/puxa403/2f", body: bytes.Repeat([]byte("b"), 600), deadline: 4 * time.Second}
}

// load sends requests at random times, each from a client of its own, until the returned function is called, which waits for all
// answers. done is called with each answer.
func (c *cluster) load(perSecond float64, next func() request, done func(id string, sent time.Time, front *machine, a answer)) (end func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for {
			select {
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / perSecond)):
			case <-stop:
				return
			}
			front := c.fronts()[rand.IntN(3)]
			clients.Go(func() {
				sent := time.Now()
				id, a := c.send(front, next())
				done(id, sent, front, a)
			})
		}
	})
	return func() { close(stop); clients.Wait() }
}

// prepare starts the workers, sends the configuration and waits until the fronts are ready and calm for contact_ms.
func (c *cluster) prepare(desks, writers int) (plain, engines []*worker, err error) {
	for i := range desks {
		w, err := c.startWorker(fmt.Sprintf("i-%08x", rand.Uint32()), "wuno96b", zones[i%3], 6, false)
		if err != nil {
			return nil, nil, err
		}
		plain = append(plain, w)
	}
	for i := range writers {
		w, err := c.startWorker(fmt.Sprintf("i-%08x", rand.Uint32()), "huvo11a", zones[i%3], 16, true)
		if err != nil {
			return nil, nil, err
		}
		engines = append(engines, w)
	}
	if err := c.put(configuration(7), 10*time.Second); err != nil {
		return nil, nil, err
	}
	if err := c.awaitReady(10 * time.Second); err != nil {
		return nil, nil, err
	}
	time.Sleep(contactTime + 2*time.Second)
	return plain, engines, nil
}
