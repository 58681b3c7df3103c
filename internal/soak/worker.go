package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// plainWork is how long a request of a plain service takes.
	plainWork = 40 * time.Millisecond
	// eventPause is the time between two events of a stream.
	eventPause = 50 * time.Millisecond
	// readPerToken is how fast a prompt is read.
	readPerToken = 5 * time.Microsecond
	// streamEvents is the length of a stream.
	streamEvents = 24
	// workerQueue is how many requests a worker holds beyond its slots.
	workerQueue = 4
	// workerKeepAlive is how long a worker keeps an idle connection.
	workerKeepAlive = 5 * time.Second
	// strayTime is how long a connection with an answer too many stays open.
	strayTime = 500 * time.Millisecond
	// maxTickets bounds the reservations of a worker, workerMemory its memory in
	// tokens.
	maxTickets   = 64
	workerMemory = 100_000
	// leavingTime is how long a worker serves on after it said that it leaves.
	leavingTime = 3500 * time.Millisecond
	// beatTimeout bounds a call to a control VM.
	beatTimeout = time.Second
	// beatRetry is the part of the interval after which a worker that nobody
	// heard announces itself again.
	beatRetry = 8
)

// Fault is how a worker misbehaves.
type Fault int

// Faults of a worker. Each but FaultNone may be drawn.
const (
	FaultNone Fault = iota
	// FaultTruncate workers end every other answer midway.
	FaultTruncate
	// FaultServerError workers answer with an error.
	FaultServerError
	// FaultMalformed workers send bytes that are no answer.
	FaultMalformed
	// FaultUnsolicited workers send an answer to no request after a true one.
	FaultUnsolicited
	// FaultRejectAll workers reject everything.
	FaultRejectAll
)

// streamBody begins the body of a request that is answered by a stream.
const streamBody = "stream "

// sealOf is the signature of a worker's answer to a request.
func sealOf(requestID, server string) string { return "seal." + requestID + "." + server }

// plainAnswer is the whole answer to a request of a plain service.
func plainAnswer(requestID, body string) string {
	return fmt.Sprintf(`{"request":%q,"echo":%q,"filler":%q}`, requestID, body, strings.Repeat("x", 700))
}

// streamEvent is the event with an id in the answer to a request.
func streamEvent(requestID string, id int) string {
	return fmt.Sprintf("id: %d\ndata: {\"request\":%q,\"piece\":%d,\"last\":%t}\n\n", id, requestID, id, id == streamEvents)
}

// streamAnswer is the whole stream.
func streamAnswer(requestID string) string {
	var text strings.Builder
	for id := 1; id <= streamEvents; id++ {
		text.WriteString(streamEvent(requestID, id))
	}
	return text.String()
}

// workerOptions describe a worker.
type workerOptions struct {
	// server is what it announces, but for its id, birth and state.
	server roster.Server
	// listen is the "ip:port" of the listener behind the announced address.
	listen string
	// heartbeats are the control addresses to which it announces itself.
	heartbeats []string
	interval   time.Duration
	records    *recorder
}

// worker is one incarnation of a backend server.
type worker struct {
	options workerOptions
	id      string
	born    time.Time
	server  *http.Server
	client  *http.Client
	stop    context.CancelFunc
	running sync.WaitGroup

	mu       sync.Mutex
	fault    Fault
	inside   int
	requests int
	state    roster.State
	sequence uint64
	tickets  map[string]ticket
}

// ticket is memory that is set aside.
type ticket struct {
	tokens  int
	expires time.Time
}

func startWorker(id string, options workerOptions) (*worker, error) {
	listener, err := net.Listen("tcp", options.listen)
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", id, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}, Timeout: beatTimeout}
	w := &worker{
		options: options, id: id, born: time.Now(), stop: stop, state: roster.StateReady, tickets: map[string]ticket{},
		client: &http.Client{Timeout: beatTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
	w.server = &http.Server{Handler: standin.WorkerHandler(w), IdleTimeout: workerKeepAlive, ReadHeaderTimeout: workerKeepAlive}
	w.running.Go(func() { _ = w.server.Serve(listener) }) // ends with the worker
	w.running.Go(func() { w.announce(ctx) })
	return w, nil
}

// ID implements standin.Worker.
func (w *worker) ID() string { return w.id }

// crash ends the worker without a word.
func (w *worker) crash() {
	w.stop()
	_ = w.server.Close() // what it leaves is cut
	w.running.Wait()
	w.client.CloseIdleConnections()
}

// leave announces that the worker leaves, serves on for a while and ends.
func (w *worker) leave(ctx context.Context) {
	w.mu.Lock()
	w.state = roster.StateDraining
	w.mu.Unlock()
	for ctx.Err() == nil && !w.beat(ctx) {
		pause.For(ctx, w.options.interval/beatRetry)
	}
	w.options.records.left(w.id)
	pause.For(ctx, leavingTime)
	for _, address := range w.options.heartbeats {
		if standin.Deregister(ctx, w.client, address, w.id) == nil {
			break
		}
	}
	w.crash()
}

func (w *worker) setFault(fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// announce sends heartbeats until ctx ends.
func (w *worker) announce(ctx context.Context) {
	for ctx.Err() == nil {
		wait := w.options.interval
		if !w.beat(ctx) {
			wait /= beatRetry
		}
		pause.For(ctx, wait)
	}
}

// beat sends one heartbeat and tells whether any control VM acknowledged it.
func (w *worker) beat(ctx context.Context) bool {
	server := w.options.server
	w.mu.Lock()
	w.sequence++
	server.ID, server.StartedAt, server.Sequence, server.State = w.id, w.born, w.sequence, w.state
	w.mu.Unlock()
	for i := range w.options.heartbeats {
		address := w.options.heartbeats[(int(server.Sequence)+i)%len(w.options.heartbeats)]
		if standin.Announce(ctx, w.client, address, server) == nil {
			return true
		}
	}
	return false
}

// reserved returns how much memory is set aside.
func (w *worker) reserved() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reservedLocked()
}

func (w *worker) reservedLocked() int {
	total := 0
	for id, held := range w.tickets {
		if time.Now().After(held.expires) {
			delete(w.tickets, id)
			continue
		}
		total += held.tokens
	}
	return total
}

// Reserve implements standin.Worker. The same ticket again is renewed.
func (w *worker) Reserve(id string, tokens int, hold time.Duration) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reserved := w.reservedLocked()
	known, found := w.tickets[id]
	if found {
		tokens = known.tokens
	} else if reserved += tokens; len(w.tickets) >= maxTickets || reserved > workerMemory {
		return 0, standin.ErrMemoryRefused
	}
	w.tickets[id] = ticket{tokens: tokens, expires: time.Now().Add(hold)}
	return workerMemory - reserved, nil
}

// Release implements standin.Worker.
func (w *worker) Release(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tickets, id)
	return workerMemory - w.reservedLocked()
}

// Serve implements standin.Worker.
func (w *worker) Serve(ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer) {
	arrival := &Attempt{ReceivedRequest: a, Server: w.id, Service: w.options.server.Service}
	if a.ExpectedWorker != "" && a.ExpectedWorker != w.id {
		w.options.records.arrived(arrival, true)
		answer.RejectMisdirected()
		return
	}
	fault, admitted := w.enter()
	w.options.records.arrived(arrival, !admitted)
	if !admitted {
		answer.RejectFull()
		return
	}
	whole := false
	defer func() {
		w.exit()
		w.options.records.ended(arrival, whole)
	}()
	answer.SetSeal(sealOf(a.RequestID, w.id))
	switch {
	case fault == FaultServerError:
		answer.Fail()
		whole = true
	case fault == FaultMalformed:
		_ = answer.WriteMalformed() // the sender may be gone
	case strings.HasPrefix(a.Body, streamBody):
		whole = w.stream(ctx, a, answer, fault)
	default:
		whole = w.plain(ctx, a, answer, fault)
	}
}

// enter takes a place if there is one, and draws how the request is treated.
func (w *worker) enter() (fault Fault, admitted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.inside >= w.options.server.Slots+workerQueue || w.fault == FaultRejectAll {
		return FaultNone, false
	}
	w.inside++
	w.requests++
	if w.fault == FaultTruncate && w.requests%2 == 0 {
		return FaultNone, true
	}
	return w.fault, true
}

func (w *worker) exit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inside--
}

func (w *worker) plain(ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer, fault Fault) bool {
	if pause.For(ctx, plainWork); ctx.Err() != nil {
		return false
	}
	text := plainAnswer(a.RequestID, a.Body)
	if fault == FaultTruncate {
		_ = answer.WriteBody(text[:len(text)/2], len(text), workerKeepAlive) // cut in any case
		return true
	}
	err := answer.WriteBody(text, len(text), workerKeepAlive)
	if fault == FaultUnsolicited && err == nil {
		_ = answer.WriteUnsolicited(strayTime) // the answer is whole without it
	}
	return err == nil
}

func (w *worker) stream(ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer, fault Fault) bool {
	pause.For(ctx, readPerToken*time.Duration(a.PromptTokens/(1+a.HelperCount)))
	for id := a.ResumeAfter + 1; id <= streamEvents; id++ {
		if ctx.Err() != nil {
			return false
		}
		if fault == FaultTruncate && id > streamEvents/2 {
			answer.Abort()
		}
		if err := answer.WriteEvent(streamEvent(a.RequestID, id)); err != nil {
			return false
		}
		if id < streamEvents {
			pause.For(ctx, eventPause)
		}
	}
	return true
}
