package gateway

import (
	"context"
	"errors"
	"io"
	"time"

	"godwityoke.example/godwityoke/internal/eventstream"
	"godwityoke.example/godwityoke/internal/membudget"
)

// leadBody is a body whose beginning is read before it is known whether the response is used, and then once more.
type leadBody struct {
	Body
	// account counts the bytes of lead.
	account *membudget.Account
	lead    []byte
	// err is the error that ended the first reading, nil if there is more to read.
	err error
	// replaying is set once the first reading is over.
	replaying bool
}

// Read implements Body.
func (b *leadBody) Read(p []byte) (int, error) {
	if !b.replaying {
		n, err := b.Body.Read(p)
		if growErr := b.account.Grow(int64(n)); growErr != nil {
			n, err = 0, growErr
		}
		b.lead, b.err = append(b.lead, p[:n]...), err
		return n, err
	}
	if len(b.lead) > 0 {
		n := copy(p, b.lead)
		if b.lead = b.lead[n:]; len(b.lead) == 0 {
			b.account.Release()
		}
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	return b.Body.Read(p)
}

// Close implements Body.
func (b *leadBody) Close() error {
	b.account.Release()
	return b.Body.Close()
}

// racer is one of the attempts of a race. Its goroutine owns open until done is closed.
type racer struct {
	granted   *grant
	open      *openAttempt
	startedAt time.Time
	cancel    context.CancelCauseFunc
	// head is closed when the response has begun or the attempt has failed.
	head chan struct{}
	// done is closed when the first event of a stream, or the whole response otherwise, has arrived or the attempt has
	// failed.
	done chan struct{}
	// err is set if the response has not begun, leadErr if it broke off before it was complete up to where done is closed.
	err     *AttemptError
	leadErr error
}

// race sends the attempt in a goroutine of its own, which uses nothing of the exchange that changes.
func (x *exchange) race(ctx context.Context, granted *grant, open *openAttempt) *racer {
	ctx, cancel := context.WithCancelCause(ctx)
	r := &racer{granted: granted, open: open, startedAt: time.Now(), cancel: cancel, head: make(chan struct{}), done: make(chan struct{})}
	backend, account := x.gateway.options.Backend, x.gateway.options.Buffers.Account(open.Server.Address)
	isStreamRoute, deadline := x.isStream(), x.deadline
	go func() {
		defer close(r.done)
		r.err = open.send(ctx, cancel, backend)
		close(r.head)
		if r.err == nil {
			r.leadErr = readLead(ctx, open.response, account, isStreamRoute, deadline)
		}
	}()
	return r
}

// readLead reads the first event of a stream, or the whole body otherwise, which the body of the response then returns
// again. An event is the first one also if it is a comment: it shows that the server serves the request.
func readLead(ctx context.Context, response *Response, account *membudget.Account, isStreamRoute bool, deadline time.Time) error {
	body := &leadBody{Body: response.Body, account: account}
	response.Body = body
	defer func() { body.replaying = true }()
	if err := body.SetReadDeadline(deadline); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil { // the deadline may have replaced the one by which ctx ends reads
		return err
	}
	if isStreamRoute && response.IsStream && isSuccess(response.Status) {
		_, err := eventstream.NewReader(body, nil).Next() // the account counts what body keeps
		return err
	}
	buffer := make([]byte, 4<<10)
	for len(body.lead) <= maxResponseBytes {
		switch _, err := body.Read(buffer); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return membudget.ErrTooLarge
}

// isDone tells whether the goroutine of the attempt has ended.
func (r *racer) isDone() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// abandon cancels the attempt and releases what it holds, without a wait for a server or a network that is slow to end it.
func (r *racer) abandon(cause error) {
	r.cancel(cause)
	go func() {
		<-r.done
		r.open.close()
	}()
}
