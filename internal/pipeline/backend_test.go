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

// fault is what a back end does wrong.
type fault string

const (
	faultNone    fault = "none"
	faultDies    fault = "dies"
	faultHangs   fault = "hangs"
	faultSilent  fault = "goes_silent"
	faultLate    fault = "answers_late"
	faultCrossed fault = "answers_crossed"
	faultCut     fault = "cuts"
	faultTwice   fault = "answers_twice"
	faultRefuses fault = "refuses"
	// faultLoses leaves a token out and counts it.
	faultLoses fault = "loses_a_token"
)

// at is the step at which the fault shows.
type at string

const (
	atDial   at = "dial"
	atSend   at = "send"
	atWait   at = "wait"
	atStream at = "stream"
	atVerify at = "verify"
)

const (
	// late is how long a late answer takes.
	late = 7 * time.Second
	// frozen is how long a back end hangs.
	frozen = 10 * time.Second
	// healthyTokens are sent before a fault in a stream.
	healthyTokens = 3
)

// words is the whole answer that each engine gives.
var words = []string{"the ", "sea ", "was ", "calm ", "all ", "day"}

// backend is a fault-injecting engine and service. Its counters judge.
type backend struct {
	id       string
	listener *pipeListener
	server   *http.Server
	broken   atomic.Pointer[cell]
	// failEvery, when positive, cuts every attempt of that number.
	failEvery int
	// cancelMisses is the number of cancel requests that it ignores.
	cancelMisses int

	mu sync.Mutex
	// runs counts the runs of each service body, or of each attempt.
	runs map[string]int
	// held are the attempts that hold memory.
	held    map[string]bool
	dead    bool
	leaving bool
	// lastBody is the last prompt body.
	lastBody string
	budgets  []string
}

func newBackend(network *pipeNetwork, id, address string) *backend {
	b := &backend{id: id, runs: map[string]int{}, held: map[string]bool{}}
	b.breakWith(faultNone, "")
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

// breakWith sets the fault and its step.
func (b *backend) breakWith(f fault, step at) { b.broken.Store(&cell{f, step}) }

// at returns the fault that shows at step.
func (b *backend) at(step at) fault {
	if broken := b.broken.Load(); broken.at == step {
		return broken.fault
	}
	return faultNone
}

// heartbeats reports whether the back end announces itself.
func (b *backend) heartbeats() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.dead
}

func (b *backend) state() backendapi.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		return backendapi.StateDraining
	}
	return backendapi.StateServing
}

// leave announces leaving from the next heartbeat on.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
}

// die loses all memory and closes all connections.
func (b *backend) die() {
	b.mu.Lock()
	b.dead = true
	b.held = map[string]bool{}
	b.mu.Unlock()
	go b.server.Close()
}

// freeze stops the heartbeats for a time, as a process that hangs does. It
// comes back with all that it held.
func (b *backend) freeze() {
	b.setDead(true)
	time.AfterFunc(frozen, func() { b.setDead(false) })
}

func (b *backend) setDead(dead bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dead = dead
}

func (b *backend) onDial(ctx context.Context) error {
	switch b.at(atDial) {
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

func (b *backend) onAccept(conn net.Conn) bool {
	switch b.at(atSend) {
	case faultDies:
		_ = conn.Close()
		return true
	case faultHangs, faultSilent:
		go func() { // reads nothing, until the client closes
			<-b.listener.closed
			_ = conn.Close()
		}()
		return true
	case faultCut:
		go func() { // takes part of the request
			_, _ = io.ReadFull(conn, make([]byte, 64))
			_ = conn.Close()
		}()
		return true
	}
	return false
}

// misbehave shows the fault of a step. It reports whether the answer ends.
func (b *backend) misbehave(step at, w http.ResponseWriter, r *http.Request) bool {
	switch b.at(step) {
	case faultDies:
		b.die()
		panic(http.ErrAbortHandler)
	case faultCut:
		panic(http.ErrAbortHandler)
	case faultHangs:
		b.freeze()
		<-r.Context().Done()
		return true
	case faultSilent:
		b.release(r.Header.Get(backendapi.HeaderAttempt)) // it was answered, into the void
		<-r.Context().Done()
		return true
	case faultLate:
		time.Sleep(late)
	case faultRefuses:
		w.Header().Set(backendapi.HeaderAttempt, r.Header.Get(backendapi.HeaderAttempt))
		w.Header().Set(backendapi.HeaderNotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (b *backend) begin(attempt, run string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[run]++
	b.held[attempt] = true
}

func (b *backend) release(attempt string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.held, attempt)
}

func (b *backend) heldAttempts() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Collect(maps.Keys(b.held))
}

// runsOf sums the runs.
func (b *backend) total() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	sum := 0
	for _, count := range b.runs {
		sum += count
	}
	return sum
}

// complete streams words from the token asked for. The memory of an attempt
// stays taken when its connection closes early.
func (b *backend) complete(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(backendapi.HeaderAttempt)
	if b.at(atWait) == faultRefuses && b.misbehave(atWait, w, r) {
		return
	}
	b.begin(id, id)
	if b.failEvery > 0 && b.total()%b.failEvery == 0 {
		panic(http.ErrAbortHandler)
	}
	b.mu.Lock()
	b.lastBody = string(body)
	b.budgets = append(b.budgets, r.Header.Get(backendapi.HeaderBudget))
	b.mu.Unlock()
	if b.misbehave(atWait, w, r) {
		return
	}
	first, _ := strconv.Atoi(r.Header.Get(backendapi.HeaderResumeFrom))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := first; i < len(words); i++ {
		time.Sleep(20 * time.Millisecond)
		echoed := id
		if i == first+healthyTokens {
			if b.misbehave(atStream, w, r) {
				return
			}
			if b.at(atStream) == faultCrossed {
				echoed = "another-attempt"
			}
			if b.at(atStream) == faultLoses {
				continue
			}
			if b.at(atStream) == faultTwice {
				sendChunk(w, backendapi.Chunk{Attempt: id, Index: int64(i - 1), Text: words[i-1]})
			}
		}
		if b.at(atWait) == faultCrossed {
			echoed = "another-attempt"
		}
		if b.at(atVerify) == faultLoses && i == len(words)-1 {
			break
		}
		if !sendChunk(w, backendapi.Chunk{Attempt: echoed, Index: int64(i), Text: words[i]}) {
			return
		}
	}
	end := backendapi.Chunk{Attempt: id, End: true, Count: int64(len(words)), FinishReason: "stop", PromptTokens: 5}
	b.end(w, end)
}

func (b *backend) end(w http.ResponseWriter, end backendapi.Chunk) {
	id := end.Attempt
	switch b.at(atVerify) {
	case faultCut:
		b.release(id)
		return // a clean end of the body without the end mark
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

// service runs a call and answers its body.
func (b *backend) service(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if b.at(atWait) == faultRefuses && b.misbehave(atWait, w, r) {
		return
	}
	b.mu.Lock()
	b.runs[string(body)]++
	b.mu.Unlock()
	if b.misbehave(atWait, w, r) {
		return
	}
	echoed := r.Header.Get(backendapi.HeaderAttempt)
	if b.broken.Load().fault == faultCrossed {
		echoed = "another-attempt"
	}
	w.Header().Set(backendapi.HeaderAttempt, echoed)
	digest := sha256.Sum256(body)
	w.Header().Set(backendapi.HeaderBodyDigest, hex.EncodeToString(digest[:]))
	if b.at(atVerify) == faultTwice {
		body = append(body, body...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	half := len(body) / 2
	_, _ = w.Write(body[:half])
	_ = http.NewResponseController(w).Flush()
	if b.misbehave(atStream, w, r) {
		return
	}
	if b.at(atVerify) == faultCut {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(body[half:])
}

func (b *backend) cancel(w http.ResponseWriter, r *http.Request) {
	var asked backendapi.CancelRequest
	_ = json.NewDecoder(r.Body).Decode(&asked)
	b.mu.Lock()
	defer b.mu.Unlock()
	reply := backendapi.CancelReply{Released: []string{}}
	if b.cancelMisses > 0 {
		b.cancelMisses--
	} else {
		for _, attempt := range asked.Attempts {
			delete(b.held, attempt)
			reply.Released = append(reply.Released, attempt)
		}
	}
	_ = json.NewEncoder(w).Encode(reply)
}

func (b *backend) attempts(w http.ResponseWriter, _ *http.Request) {
	list := backendapi.AttemptList{Attempts: []backendapi.HeldAttempt{}}
	for _, attempt := range b.heldAttempts() {
		list.Attempts = append(list.Attempts, backendapi.HeldAttempt{Attempt: attempt, Tokens: 10})
	}
	_ = json.NewEncoder(w).Encode(list)
}
