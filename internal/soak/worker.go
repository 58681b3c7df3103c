package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// plainWorkTime is the time that a worker takes for a request of a plain service.
	plainWorkTime = 40 * time.Millisecond
	// eventGap is the time between two events of a stream.
	eventGap = 50 * time.Millisecond
	// prefillTimePerToken is the prefill time of a prompt token.
	prefillTimePerToken = 5 * time.Microsecond
	// eventsPerStream is the number of events of a stream.
	eventsPerStream = 24
	// workerQueueSlots is the number of requests that a worker accepts beyond its slots.
	workerQueueSlots = 4
	// workerKeepAlive is the time after which a worker closes an idle connection.
	workerKeepAlive = 5 * time.Second
	// unsolicitedLinger is the time for which a connection stays open after an unsolicited answer.
	unsolicitedLinger = 500 * time.Millisecond
	// maxTickets is the maximum number of memory reservations of a worker, workerMemory its memory in tokens.
	maxTickets   = 64
	workerMemory = 100_000
	// drainTime is the time for which a draining worker continues to serve after the acknowledgement.
	drainTime = 3500 * time.Millisecond
	// silentDrainTime is the time for which a worker serves that states only in its answers that it is draining. It is
	// longer than maxDrainDelay, after which such a worker must get no request.
	silentDrainTime = 6 * time.Second
	// rejectBackoff is the time for which a worker with FaultRejectAll wants no requests from an entry VM.
	rejectBackoff = 3 * time.Second
	// listenTimeout bounds the time for which a worker that starts waits for its address, listenRetryInterval is the time
	// between two attempts.
	listenTimeout       = 2 * time.Second
	listenRetryInterval = 50 * time.Millisecond
	// controlTimeout bounds a call to a control VM.
	controlTimeout = time.Second
	// heartbeatRetryDivisor divides the heartbeat interval after a heartbeat that no control VM acknowledged.
	heartbeatRetryDivisor = 8
)

// Fault is a misbehaviour of a worker.
type Fault int

// Faults of a worker. A plan draws any but FaultNone and FaultEndless.
const (
	FaultNone Fault = iota
	// FaultTruncate cuts off every second answer in the middle.
	FaultTruncate
	// FaultServerError answers with an internal error.
	FaultServerError
	// FaultMalformed sends bytes that are not an HTTP answer.
	FaultMalformed
	// FaultUnsolicited sends an answer that belongs to no request after each answer to a plain request.
	FaultUnsolicited
	// FaultRejectAll rejects every request as if the worker were full, and states rejectBackoff.
	FaultRejectAll
	// FaultEndless sends heads and bodies without an end. No plan draws it.
	FaultEndless
)

// streamBodyPrefix begins the body of a request that is answered with a stream.
const streamBodyPrefix = "stream "

// sealOf returns the seal of a worker's answer to a request. It shows that the answer is the worker's own.
func sealOf(requestID, server string) string { return "seal." + requestID + "." + server }

// plainAnswer returns the complete answer to a request of a plain service.
func plainAnswer(requestID, body string) string {
	return fmt.Sprintf(`{"request":%q,"echo":%q,"filler":%q}`, requestID, body, strings.Repeat("x", 700))
}

// streamEvent returns the event with this id, from 1 to eventsPerStream, in the answer to a request.
func streamEvent(requestID string, id int) string {
	return fmt.Sprintf("id: %d\ndata: {\"request\":%q,\"piece\":%d,\"last\":%t}\n\n", id, requestID, id, id == eventsPerStream)
}

// streamAnswer returns the complete stream that answers a request.
func streamAnswer(requestID string) string {
	var text strings.Builder
	for id := 1; id <= eventsPerStream; id++ {
		text.WriteString(streamEvent(requestID, id))
	}
	return text.String()
}

// workerOptions describe a worker.
type workerOptions struct {
	// server is what the worker announces, except for its id, start time, sequence number and state.
	server roster.Server
	// listen is the "ip:port" address of the listener. The announced address forwards to it.
	listen string
	// controlAddresses are the addresses of the control VMs. Each interval, one of them receives a heartbeat.
	controlAddresses *addressList
	interval         time.Duration
	records          *recorder
	// holds reports whether the worker at an address holds a reservation, nil for always.
	holds func(address, ticket string) bool
	// warmUp is the time for which the worker is cold after its start, 0 for none.
	warmUp time.Duration
}

// listenAgain listens on the address of a worker that has ended. The kernel may hold the address for a moment longer.
func listenAgain(address string) (net.Listener, error) {
	return listenWhenFree(func() (net.Listener, error) { return net.Listen("tcp", address) })
}

// listenWhenFree calls listen until its address is free, for at most listenTimeout. A process that is being started holds the
// closed listeners of its parent until it executes its program.
func listenWhenFree(listen func() (net.Listener, error)) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenRetryInterval) {
		listener, err := listen()
		if err == nil || !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// worker is one incarnation of a backend server.
type worker struct {
	options   workerOptions
	id        string
	startedAt time.Time
	server    *http.Server
	client    *http.Client
	stop      context.CancelFunc
	// heartbeat is held while runHeartbeats sends one.
	heartbeat sync.Mutex
	running   sync.WaitGroup

	// stopping ends when the handlers return because the worker stops, died when its connections are closed.
	stopping    context.Context
	stopStreams context.CancelFunc
	died        chan struct{}
	die         func()

	mu    sync.Mutex
	fault Fault
	// limit is the limit that answers name, 0 for none.
	limit    float64
	ending   Ending
	inFlight int
	requests int
	state    roster.State
	// leaving is set while the answers state that the worker is draining.
	leaving  bool
	sequence uint64
	tickets  map[string]ticket
	// coldUntil is the end of the latest warm-up, zero for none. Announcements are lost until lostUntil.
	coldUntil, lostUntil time.Time
}

// ticket is a reservation of memory that ends at expires.
type ticket struct {
	tokens  int
	expires time.Time
}

func startWorker(id string, options workerOptions) (*worker, error) {
	listener, err := listenAgain(options.listen)
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", id, err)
	}
	ctx, stop := context.WithCancel(context.Background())
	dialer := &net.Dialer{LocalAddr: &net.TCPAddr{IP: listener.Addr().(*net.TCPAddr).IP}, Timeout: controlTimeout}
	w := &worker{
		options: options, id: id, startedAt: time.Now(), stop: stop, state: roster.StateReady, tickets: map[string]ticket{},
		client: &http.Client{Timeout: controlTimeout, Transport: &http.Transport{DialContext: dialer.DialContext}},
	}
	w.stopping, w.stopStreams = context.WithCancel(context.Background())
	w.died = make(chan struct{})
	w.die = sync.OnceFunc(func() { close(w.died) })
	if options.warmUp > 0 {
		w.coldUntil = w.startedAt.Add(options.warmUp)
		options.records.recordWarmUp(&WarmUp{Server: id, From: w.startedAt, Until: w.coldUntil, Restarted: true})
	}
	w.server = &http.Server{Handler: standin.WorkerHandler(w), IdleTimeout: workerKeepAlive, ReadHeaderTimeout: workerKeepAlive}
	w.running.Go(func() { _ = w.server.Serve(listener) }) // ends with the worker
	w.running.Go(func() { w.runHeartbeats(ctx) })
	return w, nil
}

// ID implements standin.Worker.
func (w *worker) ID() string { return w.id }

// crash ends the worker without announcing it to a control VM.
func (w *worker) crash() {
	w.stop()
	w.die()
	_ = w.server.Close() // closes the open connections
	w.running.Wait()
	w.client.CloseIdleConnections()
}

// setLimit makes the worker name the requests a second that it takes from all VMs together in its answers, 0 for no limit.
func (w *worker) setLimit(perSecond float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = perSecond
}

func (w *worker) namedLimit() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limit
}

// IsLeaving implements standin.Worker.
func (w *worker) IsLeaving() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.leaving
}

// drain states in all answers that the worker is draining, serves for a while, deregisters and ends. Unless silent is
// set, it also announces that the worker is draining, and serves for drainTime after the acknowledgement.
func (w *worker) drain(ctx context.Context, silent bool) {
	w.mu.Lock()
	w.leaving = true
	if !silent {
		w.state = roster.StateDraining
	}
	w.mu.Unlock()
	if silent {
		pause.For(ctx, silentDrainTime)
	} else {
		w.announceDraining(ctx, drainTime)
	}
	w.deregister(ctx)
	w.crash()
}

// deregister tries the control VMs in turn until one acknowledges that the worker leaves.
func (w *worker) deregister(ctx context.Context) {
	for _, address := range w.options.controlAddresses.all() {
		if standin.Deregister(ctx, w.client, address, w.id) == nil {
			return
		}
	}
}

// announceDraining sends heartbeats until one is acknowledged, and serves on for a while.
func (w *worker) announceDraining(ctx context.Context, serves time.Duration) {
	for ctx.Err() == nil && !w.sendHeartbeat(ctx) {
		pause.For(ctx, w.options.interval/heartbeatRetryDivisor)
	}
	w.options.records.recordDraining(w.id)
	pause.For(ctx, serves)
}

func (w *worker) setFault(fault Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = fault
}

// runHeartbeats sends heartbeats until ctx ends.
func (w *worker) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		wait := w.options.interval
		w.heartbeat.Lock()
		isAcknowledged := w.sendHeartbeat(ctx)
		w.heartbeat.Unlock()
		if !isAcknowledged {
			wait /= heartbeatRetryDivisor
		}
		pause.For(ctx, wait)
	}
}

// stopHeartbeats ends runHeartbeats between two heartbeats: one that is cancelled could reach a control VM later.
func (w *worker) stopHeartbeats() {
	w.heartbeat.Lock()
	defer w.heartbeat.Unlock()
	w.stop()
}

// sendHeartbeat tries the control VMs in turn until one acknowledges a heartbeat, and reports whether one did.
func (w *worker) sendHeartbeat(ctx context.Context) bool {
	server := w.options.server
	w.mu.Lock()
	w.sequence++
	server.ID, server.StartedAt, server.Sequence, server.State, server.ColdUntil = w.id, w.startedAt, w.sequence, w.state, w.coldUntil
	isLost := time.Now().Before(w.lostUntil)
	w.mu.Unlock()
	if isLost {
		return false
	}
	addresses := w.options.controlAddresses.all()
	for i := range addresses {
		address := addresses[(int(server.Sequence)+i)%len(addresses)]
		if standin.Announce(ctx, w.client, address, server) == nil {
			w.options.records.recordAnnounced(w.id, server.ColdUntil)
			return true
		}
	}
	return false
}

// reservedTokens returns the reserved memory in tokens.
func (w *worker) reservedTokens() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reservedTokensLocked()
}

func (w *worker) reservedTokensLocked() int {
	total := 0
	for id, reservation := range w.tickets {
		if time.Now().After(reservation.expires) {
			delete(w.tickets, id)
			continue
		}
		total += reservation.tokens
	}
	return total
}

// Reserve implements standin.Worker. A known ticket keeps its number of tokens and gets the new expiry.
func (w *worker) Reserve(id string, tokens int, hold time.Duration) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	reservedTokens := w.reservedTokensLocked()
	known, found := w.tickets[id]
	if found {
		tokens = known.tokens
	} else if reservedTokens += tokens; len(w.tickets) >= maxTickets || reservedTokens > workerMemory {
		return 0, standin.ErrMemoryRefused
	}
	w.tickets[id] = ticket{tokens: tokens, expires: time.Now().Add(hold)}
	return workerMemory - reservedTokens, nil
}

// Release implements standin.Worker.
func (w *worker) Release(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tickets, id)
	return workerMemory - w.reservedTokensLocked()
}

// Serve implements standin.Worker.
func (w *worker) Serve(ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer) {
	attempt := &Attempt{ReceivedRequest: a, Server: w.id, Service: w.options.server.Service, Leaving: w.IsLeaving(), Limit: w.namedLimit()}
	if attempt.Limit > 0 {
		answer.SetLimit(attempt.Limit)
	}
	if a.ExpectedWorker != "" && a.ExpectedWorker != w.id {
		w.options.records.recordAttempt(attempt, true)
		answer.RejectMisdirected()
		return
	}
	fault, admitted := w.admit()
	ending, isCut := w.nextEnding()
	attempt.Ending = ending
	if fault == FaultRejectAll {
		attempt.Backoff = rejectBackoff
	}
	w.options.records.recordAttempt(attempt, !admitted)
	if !admitted {
		answer.RejectFull(attempt.Backoff)
		return
	}
	cut, completed := EndComplete, false
	defer func() {
		w.finish()
		w.options.records.recordEnd(attempt, completed, cut)
	}()
	answer.SetSeal(sealOf(a.RequestID, w.id))
	if ending.omitsLength() {
		answer.OmitLength()
	}
	switch {
	case fault == FaultServerError:
		answer.Fail()
		completed = true
	case fault == FaultEndless:
		_ = answer.WriteEndless(len(a.RequestID)%2 == 0 || a.RequestID[len(a.RequestID)-1]%2 == 0) // ends when the receiver closes
	case fault == FaultMalformed:
		_ = answer.WriteMalformed() // the sender may have disconnected
	case strings.HasPrefix(a.Body, streamBodyPrefix):
		cut, completed = w.serveStream(ctx, a, answer, fault, ending, isCut)
	default:
		if completed = w.servePlain(ctx, a, answer, fault, isCut); completed && isCut {
			cut = ending
		}
	}
}

// admit takes a slot or a queue slot if one is free. It returns the fault that applies to the request.
func (w *worker) admit() (fault Fault, admitted bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fault == FaultRejectAll {
		return FaultRejectAll, false
	}
	if w.inFlight >= w.options.server.Slots+workerQueueSlots {
		return FaultNone, false
	}
	w.inFlight++
	w.requests++
	if w.fault == FaultTruncate && w.requests%2 == 0 {
		return FaultNone, true
	}
	return w.fault, true
}

func (w *worker) finish() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

func (w *worker) servePlain(ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer, fault Fault, isCut bool) bool {
	if pause.For(ctx, plainWorkTime); ctx.Err() != nil {
		return false
	}
	text := plainAnswer(a.RequestID, a.Body)
	if fault == FaultTruncate || isCut {
		_ = answer.WriteBody(text[:len(text)/2], len(text), workerKeepAlive) // the answer is truncated in any case
		return true
	}
	err := answer.WriteBody(text, len(text), workerKeepAlive)
	if fault == FaultUnsolicited && err == nil {
		_ = answer.WriteUnsolicited(unsolicitedLinger) // the requested answer is complete already
	}
	return err == nil
}

// serveStream answers with a stream. cut is how the stream was cut off if its end looks like a proper one.
func (w *worker) serveStream(
	ctx context.Context, a standin.ReceivedRequest, answer *standin.Answer, fault Fault, ending Ending, isCut bool,
) (cut Ending, completed bool) {
	sender := ctx
	ctx, cancel := context.WithCancel(sender)
	defer cancel()
	defer context.AfterFunc(w.stopping, cancel)()
	stopAt := a.ReceivedAt.Add(a.Remaining)
	if a.Remaining > 0 { // at the deadline it stops, and its response ends as a complete one does
		var cancelAtDeadline context.CancelFunc
		ctx, cancelAtDeadline = context.WithDeadline(ctx, stopAt)
		defer cancelAtDeadline()
	}
	if ending == EndEmptyResume && a.ResumeAfter > 0 && a.ResumeAfter < eventsPerStream {
		_ = answer.BeginStream() // the receiver may have disconnected
		return EndEmptyResume, false
	}
	pause.For(ctx, prefillTimePerToken*time.Duration(a.PromptTokens/(1+a.HelperCount)))
	if a.ResumeAfter >= eventsPerStream {
		return EndComplete, answer.BeginStream() == nil
	}
	for id := a.ResumeAfter + 1; id <= eventsPerStream; id++ {
		if ctx.Err() != nil {
			return w.cause(sender, ending), false
		}
		if w.lacksHelper(a) {
			pause.For(ctx, helperStallTime)
			return EndWithoutHelper, false
		}
		if fault == FaultTruncate && id > eventsPerStream/2 {
			answer.Abort()
		}
		if isCut && id > eventsPerStream/2 {
			return ending, false
		}
		if err := answer.WriteEvent(streamEvent(a.RequestID, id)); err != nil {
			return EndComplete, false
		}
		if id < eventsPerStream {
			gap := ending.gapAfter(id)
			if ending == EndBeforeDeadline && a.Remaining > 0 && time.Until(stopAt) < gap {
				return ending, false
			}
			pause.For(ctx, gap)
		}
	}
	return EndComplete, true
}
