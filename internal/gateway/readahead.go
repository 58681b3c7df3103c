package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/membudget"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// slowWriteTime is the time that a caller takes to accept an event from which on this VM reads ahead. It is well below the
	// gaps that callers accept, so that the server is not blocked for longer.
	slowWriteTime = 20 * time.Millisecond
	// maxReadAheadBytes is what is kept of a stream whose caller reads slowly, the size of a buffer that may use the memory
	// for small ones. Whole streams mostly have less.
	maxReadAheadBytes = membudget.SmallBytes
	// readAheadFraction is the fraction of the memory for buffers up to which streams are read ahead; the rest stays for other
	// requests.
	readAheadFraction = 0.5
	// slowReaders names what is read ahead in the budget: it must not use the share of the server that sends it.
	slowReaders = "callers that read slowly"
	// readAheadChunk is the size of one read.
	readAheadChunk = 4 << 10
	// streamWriteGrace and wholeWriteGrace are the time after the deadline of a request in which the caller may still read the
	// response: a stream is broken off by then anyway, and a whole response of maxResponseBytes takes 3.4 s at 20 Mbit/s.
	streamWriteGrace = 250 * time.Millisecond
	wholeWriteGrace  = 5 * time.Second
	// minBlockedTime is the time for which a write must have been pending to be ended after the deadline: a VM that did not run
	// for a while still sends what it has.
	minBlockedTime = 250 * time.Millisecond
)

// errSlowReader means that a caller reads so slowly that no more of its stream can be kept.
var errSlowReader = errors.New("the caller reads too slowly")

// Interrupter is implemented by a Caller whose writes can be ended from another goroutine. After Interrupt all writes fail.
type Interrupter interface {
	// Interrupt ends a pending write.
	Interrupt()
}

// interruption ends the writes to a caller, unless the response has ended. It is safe for concurrent use.
type interruption struct {
	caller Caller
	mu     sync.Mutex
	// writingSince is the begin of the write in progress, zero if there is none.
	writingSince time.Time
	interrupted  bool
	ended        bool
}

func (i *interruption) beginWrite() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writingSince = time.Now()
}

func (i *interruption) endWrite() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.writingSince = time.Time{}
}

// isBlocked tells whether a write has been pending for minBlockedTime.
func (i *interruption) isBlocked() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return !i.writingSince.IsZero() && time.Since(i.writingSince) >= minBlockedTime
}

func (i *interruption) interrupt() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if interrupter, ok := i.caller.(Interrupter); ok && !i.ended {
		i.interrupted = true
		interrupter.Interrupt()
	}
}

// end reports that the response has ended, and tells whether its writes were ended before: nothing else may then be sent on the
// connection.
func (i *interruption) end() (interrupted bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ended = true
	return i.interrupted
}

// limitWrites ends the writes to a caller that takes much longer than the deadline to read the response, and what is kept for it.
// The caller of limitWrites must call the result when the response has ended. Unless SlowPeers is on with a bound on buffers, nothing is
// limited.
// A write that is pending is ended from the deadline of the request and a grace on.
func (x *exchange) limitWrites() (end func()) {
	x.writes = &interruption{caller: x.caller}
	if !x.gateway.options.readsAhead() {
		return func() {}
	}
	grace := wholeWriteGrace
	if x.route.Kind == routes.KindStream {
		grace = streamWriteGrace
	}
	ended, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(time.Until(x.deadline)+grace, func() {
		for ended.Err() == nil && !x.writes.isBlocked() {
			pause.For(ended, minBlockedTime/2)
		}
		x.writes.interrupt()
	})
	return func() {
		interrupted := x.writes.end() // before the timer is stopped, which may run
		timer.Stop()
		cancel()
		if interrupted {
			x.caller.Abort()
		}
	}
}

// readAhead is the body of a stream. While a write to the caller takes long, it goes on reading what the server sends, so that
// the server is not blocked and doesn't break the stream off. It begins only if the account has memory, keeps at most
// maxReadAheadBytes in memory of the account, and gives up otherwise.
type readAhead struct {
	Body
	account *membudget.Account
	// giveUp is called once if there is no more memory, with what is kept and the reason.
	giveUp func(kept int, reason error)
	timer  *time.Timer

	mu   sync.Mutex
	cond *sync.Cond
	// writing is set during a write to the caller.
	writing bool
	// done is closed when the goroutine that reads has ended. It is nil before that is started, by the first slow write; from
	// then on only it reads.
	done chan struct{}
	// kept is what was read and not yet consumed, err the error after it.
	kept []byte
	err  error
}

// readsAhead tells whether streams of slow readers are read ahead.
func (o *Options) readsAhead() bool { return o.SlowPeers && o.Buffers != nil }

// readAhead makes the body of a stream one that is read ahead.
func (x *exchange) readAhead(open *openAttempt) *readAhead {
	options := &x.gateway.options
	if !options.readsAhead() {
		return nil
	}
	a := &readAhead{Body: open.response.Body, account: options.Buffers.AccountWithin(slowReaders, readAheadFraction)}
	a.cond = sync.NewCond(&a.mu)
	a.giveUp = func(kept int, reason error) {
		observe.Log(x.gateway.options.Logger, observe.SlowReaderEnded).Str("request", x.request.ID).Str("server", open.Server.ID).
			Int("kept", kept).Dur("held", time.Since(x.request.ArrivedAt)).Err(reason).Send()
		x.writes.interrupt()
	}
	open.response.Body = a
	return a
}

// beginWrite reports that a write to the caller begins.
func (a *readAhead) beginWrite() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writing = true; a.done != nil {
		return
	}
	if a.timer == nil {
		a.timer = time.AfterFunc(slowWriteTime, a.start)
		return
	}
	a.timer.Reset(slowWriteTime)
}

// endWrite reports that the write has ended.
func (a *readAhead) endWrite() {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writing = false
	a.timer.Stop()
}

// start begins to read ahead if the write goes on and there is memory for it. Otherwise the server waits for the caller, and the
// next slow write tries again.
func (a *readAhead) start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.writing && a.done == nil && a.account.Grow(readAheadChunk) == nil {
		a.done = make(chan struct{})
		go a.run()
	}
}

// run reads until the end of the body, an error, or the end of the memory.
func (a *readAhead) run() {
	defer close(a.done)
	chunk := make([]byte, readAheadChunk)
	var err error
	for err == nil {
		var n int
		n, err = a.Body.Read(chunk)
		if keepErr := a.keep(chunk[:n]); keepErr != nil {
			err = keepErr
		}
	}
	a.mu.Lock()
	kept := len(a.kept)
	isLast := errors.Is(err, membudget.ErrExhausted)
	if isLast {
		err = fmt.Errorf("%w: %w", errSlowReader, err)
	}
	a.err = err
	a.mu.Unlock()
	if isLast {
		a.giveUp(kept, err)
	}
	a.cond.Broadcast()
}

func (a *readAhead) keep(data []byte) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if size := len(a.kept) + len(data); size > cap(a.kept) {
		if size > maxReadAheadBytes {
			return fmt.Errorf("%w: more than %d bytes of one stream", membudget.ErrExhausted, maxReadAheadBytes)
		}
		capacity := min(max(size, 2*cap(a.kept)), maxReadAheadBytes)
		if err := a.account.Grow(int64(capacity - cap(a.kept))); err != nil {
			return err
		}
		a.kept = append(make([]byte, 0, capacity), a.kept...)
	}
	a.kept = append(a.kept, data...)
	a.cond.Broadcast()
	return nil
}

// Read implements Body.
func (a *readAhead) Read(p []byte) (int, error) {
	a.mu.Lock()
	if a.done == nil { // and start does nothing outside of a write
		a.mu.Unlock()
		return a.Body.Read(p)
	}
	defer a.mu.Unlock()
	for len(a.kept) == 0 && a.err == nil {
		a.cond.Wait()
	}
	if len(a.kept) == 0 {
		return 0, a.err
	}
	n := copy(p, a.kept)
	a.kept = a.kept[:copy(a.kept, a.kept[n:])]
	return n, nil
}

// Close implements Body.
func (a *readAhead) Close() error {
	a.mu.Lock()
	a.writing = false
	done := a.done
	a.mu.Unlock()
	if done != nil {
		_ = a.SetReadDeadline(time.Unix(1, 0)) // ends the pending read; fails only on a closed connection
		<-done
	}
	a.account.Release()
	return a.Body.Close()
}
