package pipeline_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// fault names a failure that a fakeBackend can show. The values are parts of
// the names of subtests.
type fault string

const (
	faultNone fault = "none"
	// faultDies breaks the connection. At stepWait and stepStream the process
	// crashes: its heartbeats stop and its memory is lost.
	faultDies fault = "dies"
	// faultHangs leaves the connection open without data. At stepWait and
	// stepStream the heartbeats stop for freezeTime.
	faultHangs fault = "hangs"
	// faultSilent leaves the connection open without data. Heartbeats continue.
	faultSilent fault = "goes_silent"
	// faultLate delays a dial by 200 ms and the other steps by lateAnswerDelay.
	faultLate fault = "answers_late"
	// faultCrossed answers with the id of another attempt.
	faultCrossed fault = "answers_crossed"
	// faultCut closes the connection or ends the body early.
	faultCut fault = "cuts"
	// faultTwice duplicates a token or a body, or ends with a wrong token count.
	faultTwice fault = "answers_twice"
	// faultRefuses refuses the connection or answers that the request did not
	// run.
	faultRefuses fault = "refuses"
	// faultLoses omits a token but includes it in the token count.
	faultLoses fault = "loses_a_token"
)

// faultStep is the step of an attempt at which a fault shows.
type faultStep string

const (
	stepDial   faultStep = "dial"
	stepSend   faultStep = "send"
	stepWait   faultStep = "wait"
	stepStream faultStep = "stream"
	stepVerify faultStep = "verify"
)

const (
	lateAnswerDelay = 7 * time.Second
	// freezeTime is how long a hanging backend server sends no heartbeats.
	freezeTime = 10 * time.Second
	// tokensBeforeFault is the number of correct tokens before a fault at
	// stepStream.
	tokensBeforeFault = 3
)

// answerTokens are the tokens of the answer that each engine gives.
var answerTokens = []string{"the ", "sea ", "was ", "calm ", "all ", "day"}

// fakeBackend is a backend server that serves as model engine and as plain
// service and injects faults. The tests compare the outcomes that callers see
// with the runs and held attempts that fakeBackend counts.
type fakeBackend struct {
	id       string
	listener *pipeListener
	server   *http.Server
	injected atomic.Pointer[faultCase]
	// cutEvery, when positive, makes every cutEvery-th attempt break off
	// without a token.
	cutEvery int
	// ignoredCancels is the number of cancel requests still to be ignored.
	ignoredCancels int

	mu sync.Mutex
	// runs counts the runs of each service call by its body and of each engine
	// attempt by its id.
	runs map[string]int
	// held are the ids of the attempts that hold engine memory.
	held              map[string]bool
	heartbeatsStopped bool
	draining          bool
	// lastBody is the body of the last engine request.
	lastBody string
	// budgets are the values of backendapi.HeaderBudget in milliseconds, in the order of
	// the attempts.
	budgets []string
}

func newFakeBackend(network *pipeNetwork, id, address string) *fakeBackend {
	b := &fakeBackend{id: id, runs: map[string]int{}, held: map[string]bool{}}
	b.injectFault(faultNone, "")
	b.listener = network.listen(address)
	b.listener.onDial = b.onDial
	b.listener.onAccept = b.onAccept
	routes := http.NewServeMux()
	routes.HandleFunc(backendapi.PathCompletions, b.complete)
	routes.HandleFunc(backendapi.PathChat, b.complete)
	routes.HandleFunc(backendapi.PathCancel, b.cancel)
	routes.HandleFunc(backendapi.PathAttempts, b.attempts)
	routes.HandleFunc("/", b.service)
	b.server = &http.Server{Handler: routes}
	go func() { _ = b.server.Serve(b.listener) }()
	return b
}

// injectFault makes the backend server show f at step from now on.
func (b *fakeBackend) injectFault(f fault, step faultStep) { b.injected.Store(&faultCase{f, step}) }

// faultAt returns the fault that is injected at step, or faultNone.
func (b *fakeBackend) faultAt(step faultStep) fault {
	if injected := b.injected.Load(); injected.step == step {
		return injected.fault
	}
	return faultNone
}

func (b *fakeBackend) sendsHeartbeats() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.heartbeatsStopped
}

func (b *fakeBackend) state() backendapi.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.draining {
		return backendapi.StateDraining
	}
	return backendapi.StateServing
}

// drain sets the announced state to draining, from the next heartbeat on.
func (b *fakeBackend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

// crash drops all held attempts, closes all connections and stops the
// heartbeats.
func (b *fakeBackend) crash() {
	b.mu.Lock()
	b.heartbeatsStopped = true
	b.held = map[string]bool{}
	b.mu.Unlock()
	go b.server.Close()
}

// freeze stops the heartbeats for freezeTime, as a hanging process does. The
// held attempts survive.
func (b *fakeBackend) freeze() {
	b.setHeartbeatsStopped(true)
	time.AfterFunc(freezeTime, func() { b.setHeartbeatsStopped(false) })
}

func (b *fakeBackend) setHeartbeatsStopped(stopped bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.heartbeatsStopped = stopped
}

// onDial shows the fault injected at stepDial.
func (b *fakeBackend) onDial(ctx context.Context) error {
	switch b.faultAt(stepDial) {
	case faultDies, faultRefuses:
		return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case faultHangs, faultSilent:
		<-ctx.Done()
		return &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("i/o timeout")}
	case faultLate:
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// onAccept shows the fault injected at stepSend. It returns true if it handles conn.
func (b *fakeBackend) onAccept(conn net.Conn) bool {
	switch b.faultAt(stepSend) {
	case faultDies:
		_ = conn.Close()
		return true
	case faultHangs, faultSilent:
		go func() { // reads nothing until the listener closes
			<-b.listener.closed
			_ = conn.Close()
		}()
		return true
	case faultCut:
		go func() { // reads only the beginning of the request
			_, _ = io.ReadFull(conn, make([]byte, 64))
			_ = conn.Close()
		}()
		return true
	}
	return false
}

// showFault shows the fault injected at step. It reports whether the handler
// must return without a further answer.
func (b *fakeBackend) showFault(step faultStep, w http.ResponseWriter, r *http.Request) bool {
	switch b.faultAt(step) {
	case faultDies:
		b.crash()
		panic(http.ErrAbortHandler)
	case faultCut:
		panic(http.ErrAbortHandler)
	case faultHangs:
		b.freeze()
		<-r.Context().Done()
		return true
	case faultSilent:
		b.release(r.Header.Get(backendapi.HeaderAttempt)) // the engine has answered, but the answer is lost
		<-r.Context().Done()
		return true
	case faultLate:
		time.Sleep(lateAnswerDelay)
	case faultRefuses:
		w.Header().Set(backendapi.HeaderAttempt, r.Header.Get(backendapi.HeaderAttempt))
		w.Header().Set(backendapi.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// startAttempt counts a run under the name run and records that attempt holds memory.
func (b *fakeBackend) startAttempt(attempt, run string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run]++
	b.held[attempt] = true
}

func (b *fakeBackend) release(attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, attempt)
}

func (b *fakeBackend) heldAttempts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.held))
}

// totalRuns returns the number of all engine attempts and service calls that
// ran.
func (b *fakeBackend) totalRuns() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, count := range b.runs {
		sum += count
	}
	return sum
}

// complete streams answerTokens, starting at the index in HeaderResumeFrom. An
// attempt whose connection closes early keeps its memory.
func (b *fakeBackend) complete(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(backendapi.HeaderAttempt)
	if b.faultAt(stepWait) == faultRefuses && b.showFault(stepWait, w, r) {
		return
	}
	b.startAttempt(id, id)
	if b.cutEvery > 0 && b.totalRuns()%b.cutEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.lastBody = string(body)
	b.budgets = append(b.budgets, r.Header.Get(backendapi.HeaderBudget))
	b.mu.Unlock()
	if b.showFault(stepWait, w, r) {
		return
	}
	first, _ := strconv.Atoi(r.Header.Get(backendapi.HeaderResumeFrom))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i < len(answerTokens); i++ {
		time.Sleep(20 * time.Millisecond)
		echoed := id
		if i == first+tokensBeforeFault {
			if b.showFault(stepStream, w, r) {
				return
			}
			if b.faultAt(stepStream) == faultCrossed {
				echoed = "another-attempt"
			}
			if b.faultAt(stepStream) == faultLoses {
				continue
			}
			if b.faultAt(stepStream) == faultTwice {
				sendChunk(w, backendapi.Chunk{Attempt: id, Index: int64(i - 1), Text: answerTokens[i-1]})
			}
		}
		if b.faultAt(stepWait) == faultCrossed {
			echoed = "another-attempt"
		}
		if b.faultAt(stepVerify) == faultLoses && i == len(answerTokens)-1 {
			break
		}
		if !sendChunk(w, backendapi.Chunk{Attempt: echoed, Index: int64(i), Text: answerTokens[i]}) {
			return
		}
	}
	end := backendapi.Chunk{Attempt: id, End: true, Count: int64(len(answerTokens)), FinishReason: "stop", PromptTokens: 5}
	b.sendEnd(w, end)
}

func (b *fakeBackend) sendEnd(w http.ResponseWriter, end backendapi.Chunk) {
	id := end.Attempt
	switch b.faultAt(stepVerify) {
	case faultCut:
		b.release(id)
		return // ends the body cleanly but without the end chunk
	case faultTwice:
		end.Count--
	case faultCrossed:
		end.Attempt = "another-attempt"
	}
	b.release(id)
	sendChunk(w, end)
}

func sendChunk(w http.ResponseWriter, chunk backendapi.Chunk) bool {
	body, _ := json.Marshal(chunk)
	if _, err := fmt.Fprintf(w, "data: %s\n\n", body); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

// service runs a service call and answers with the body of the request.
func (b *fakeBackend) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.faultAt(stepWait) == faultRefuses && b.showFault(stepWait, w, r) {
		return
	}
	b.mu.Lock()
	b.runs[string(body)]++
	b.mu.Unlock()
	if b.showFault(stepWait, w, r) {
		return
	}
	echoed := r.Header.Get(backendapi.HeaderAttempt)
	if b.injected.Load().fault == faultCrossed {
		echoed = "another-attempt"
	}
	w.Header().Set(backendapi.HeaderAttempt, echoed)
	digest := sha256.Sum256(body)
	w.Header().Set(backendapi.HeaderBodyDigest, hex.EncodeToString(digest[:]))
	if b.faultAt(stepVerify) == faultTwice {
		body = append(body, body...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	_, _ = w.Write(body[:half])
	_ = http.NewResponseController(w).Flush()
	if b.showFault(stepStream, w, r) {
		return
	}
	if b.faultAt(stepVerify) == faultCut {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[half:])
}

func (b *fakeBackend) cancel(w http.ResponseWriter, r *http.Request) {
	var cancelRequest backendapi.CancelRequest
	_ = json.NewDecoder(r.Body).Decode(&cancelRequest)
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := backendapi.CancelReply{Released: []string{}}
	if b.ignoredCancels > 0 {
		b.ignoredCancels--
	} else {
		for _, attempt := range cancelRequest.Attempts {
			delete(b.held, attempt)
			reply.Released = append(reply.Released, attempt)
		}
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func (b *fakeBackend) attempts(w http.ResponseWriter, _ *http.Request) {
	list := backendapi.AttemptList{Attempts: []backendapi.HeldAttempt{}}
	for _, attempt := range b.heldAttempts() {
		list.Attempts = append(list.Attempts, backendapi.HeldAttempt{Attempt: attempt, Tokens: 10})
	}
	_ = json.NewEncoder(w).Encode(list)
}
