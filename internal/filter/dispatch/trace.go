package dispatch

import (
	"crypto/tls"
	"net/http/httptrace"
	"sync"

	"godwityoke.example/godwityoke/internal/request"
)

// tracker records the step that an attempt has reached. It is safe for concurrent
// use, since net/http calls trace hooks from several goroutines.
type tracker struct {
	mu   sync.Mutex
	step request.Step
	// connected is true once the request has a connection: from then on, a byte
	// of it may have been sent.
	connected bool
}

func newTracker() *tracker { return &tracker{step: request.StepResolve} }

func (t *tracker) setStep(step request.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.step = step
}

func (t *tracker) setConnected() {
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

// clientTrace returns hooks that update t. net/http may go on dialing a connection
// after the request got another one, so the steps before the connection are
// ignored once there is one.
func (t *tracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		ConnectStart:      func(string, string) { t.setStepBeforeConnection(request.StepDial) },
		TLSHandshakeStart: func() { t.setStepBeforeConnection(request.StepTLS) },
		TLSHandshakeDone:  func(tls.ConnectionState, error) {},
		GotConn:           func(httptrace.GotConnInfo) { t.setConnected() },
		WroteHeaders:      func() { t.setStep(request.StepBody) },
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				t.setStep(request.StepWait)
			}
		},
	}
}

func (t *tracker) setStepBeforeConnection(step request.Step) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.connected {
		t.step = step
	}
}
