package dispatch

import (
	"crypto/tls"
	"net/http/httptrace"
	"sync"

	"godwityoke.example/godwityoke/internal/request"
)

// tracker follows an attempt through its steps.
type tracker struct {
	mu   sync.Mutex
	step request.Step
	// connected is true once a connection was handed to the request: from
	// then on a byte of it may have left.
	connected bool
}

func newTracker() *tracker { return &tracker{step: request.StepResolve} }

func (t *tracker) reach(step request.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = step
}

func (t *tracker) connect() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = request.StepHeaders
	t.connected = true
}

func (t *tracker) state() (request.Step, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.step, t.connected
}

// clientTrace reports to t. A late dial for an idle connection must not move
// an attempt back, so steps before the connection count only until then.
func (t *tracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart:      func(string, string) { t.before(request.StepDial) },
		TLSHandshakeStart: func() { t.before(request.StepTLS) },
		TLSHandshakeDone:  func(tls.ConnectionState, error) {},
		GotConn:           func(httptrace.GotConnInfo) { t.connect() },
		WroteHeaders:      func() { t.reach(request.StepBody) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.reach(request.StepWait)
			}
		},
	}
}

func (t *tracker) before(step request.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.connected {
		t.step = step
	}
}
