package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// budgetCheckInterval is how often a search asks again whether the retry budget allows a retry.
	budgetCheckInterval = 250 * time.Millisecond
	// minSearchInterval and maxSearchInterval bound the time between two placement requests of one search.
	minSearchInterval = 500 * time.Millisecond
	maxSearchInterval = 2 * time.Second
)

var (
	// errUnresponsive is the cause with which an attempt is cancelled whose server has not begun its response in time.
	errUnresponsive = errors.New("the server did not begin its response in time")
	// errSilent means that an attempt was given up within a response, because its server was silent for too long.
	errSilent = errors.New("the server was silent and another one was found")
	// errNotNeeded is the cause with which an attempt beside a silent one is cancelled when that one goes on.
	errNotNeeded = errors.New("the silent server went on")
)

// grant is a placement that was granted and is not ended yet.
type grant struct {
	id        schedule.JobID
	placement schedule.Placement
	// waited is the time between the request for the placement and the grant.
	waited time.Duration
	// charged is set when the retry was counted in the retry budget.
	charged bool
	// open is the attempt whose response has begun, nil if none was sent.
	open *openAttempt
}

// stallWatch watches one attempt for the silence of its server. When the server is silent for too long, the watch
// searches another server and sends it the request while the attempt goes on. The attempt is given up only once the
// other server has begun its response, and nothing has arrived until then. A nil *stallWatch never gives up.
//
// The goroutine that reads the response calls begin and end; the search runs in the goroutine of the timer. mu orders
// them: after end has returned, no search changes the exchange, gives up the attempt or charges a retry any more.
type stallWatch struct {
	exchange *exchange
	// ctx is the context of the request.
	ctx    context.Context
	server roster.Server

	mu    sync.Mutex
	timer *time.Timer
	// deadline is the time by which something must arrive, zero while nothing is awaited.
	deadline time.Time
	// startedAt is when the current wait began.
	startedAt time.Time
	// giveUp ends the current wait of the reading goroutine. It is called with mu held.
	giveUp func()
	// givenUp is set once giveUp was called.
	givenUp bool
	// cancelSearch ends the search in progress, nil if there is none.
	cancelSearch context.CancelFunc
	// opening is closed when the search has finished the attempt at another server, which owns the exchange until then. It
	// is nil if there is none.
	opening chan struct{}
	// moved is the placement with the attempt that replaces this one, nil before.
	moved *grant
}

// watchStalls returns the watch of an attempt at server, nil if the request must not be retried after it.
func (x *exchange) watchStalls(ctx context.Context, server roster.Server) *stallWatch {
	if !x.mayTryBeside() {
		return nil
	}
	return &stallWatch{exchange: x, ctx: ctx, server: server}
}

// begin starts a wait for the server that lasts until end. From deadline on, another server is searched, unless the
// request is not resumable or too little time would be left for a retry. giveUp must make the calling goroutine's wait
// return.
func (w *stallWatch) begin(deadline time.Time, giveUp func()) {
	if w == nil || !w.exchange.isResumable() || w.exchange.deadline.Sub(deadline) < minStallTimeout/2 || !w.exchange.mayTryBeside() {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline, w.startedAt, w.giveUp = deadline, time.Now(), giveUp
	if w.timer == nil {
		w.timer = time.AfterFunc(time.Until(deadline), w.onTimer)
		return
	}
	w.timer.Reset(time.Until(deadline))
}

// end ends the current wait, if any, and its search. If the server has not answered because the attempt failed, an
// attempt that was sent to another server meanwhile goes on until its response begins. end tells whether the attempt has
// been given up.
func (w *stallWatch) end(answered bool) (givenUp bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Time{}
	if w.timer != nil {
		w.timer.Stop()
	}
	if opening := w.opening; opening != nil {
		if answered {
			w.cancelSearch()
		}
		w.mu.Unlock()
		<-opening
		w.mu.Lock()
	}
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
		if w.moved == nil {
			w.log(observe.SilenceEnded).Send()
		}
	}
	return w.givenUp
}

// grant returns the placement with the attempt that replaces this one, nil if there is none. The caller must end it.
func (w *stallWatch) grant() *grant {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.moved
}

// onTimer searches another server if the current wait has lasted until its deadline.
func (w *stallWatch) onTimer() {
	w.mu.Lock()
	if w.deadline.IsZero() || w.cancelSearch != nil || w.moved != nil {
		w.mu.Unlock()
		return
	}
	if left := time.Until(w.deadline); left > 0 { // the timer fired while the next wait began
		w.timer.Reset(left)
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.cancelSearch = cancel
	w.log(observe.BackendServerSilent).Send()
	w.mu.Unlock()
	go w.exchange.checkPath(context.WithoutCancel(ctx), w.server)
	w.search(ctx)
}

// search requests placements until another server has begun its response, or until ctx is done because the wait has
// ended.
func (w *stallWatch) search(ctx context.Context) {
	for w.isAwaited(ctx) {
		wait := budgetCheckInterval
		if w.mayRetry() {
			wait = w.tryPlacement(ctx)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// isAwaited tells whether the wait goes on and the request may be sent to another server.
func (w *stallWatch) isAwaited(ctx context.Context) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return ctx.Err() == nil && !w.deadline.IsZero() && w.moved == nil && w.exchange.mayTryBeside()
}

// mayRetry tells whether the wait goes on and a retry is charged already or allowed by the retry budget.
func (w *stallWatch) mayRetry() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	x := w.exchange
	return !w.deadline.IsZero() && (x.retryCharged || x.gateway.options.Budget.CanRetry(x.service))
}

// tryPlacement requests one placement and sends the request to its server. It returns the time until the next request.
func (w *stallWatch) tryPlacement(ctx context.Context) (wait time.Duration) {
	request, awaited := w.placementRequest(ctx)
	if !awaited {
		return 0
	}
	placer, requestedAt := w.exchange.gateway.options.Placer, time.Now()
	placement, err := placer.Place(ctx, request)
	if err != nil {
		return minSearchInterval // mostly, ctx is done
	}
	if placement.Server == "" {
		wait = min(max(placement.RetryAfter, minSearchInterval), maxSearchInterval)
		w.logRefused(placement.Reason, wait)
		return wait
	}
	granted := &grant{id: request.ID, placement: placement, waited: time.Since(requestedAt), charged: true}
	if reason := w.beginAttempt(ctx, granted); reason != "" {
		placer.Ended(request.ID, schedule.OutcomeUnused)
		w.logRefused(reason, minSearchInterval)
		return minSearchInterval
	}
	return w.attempt(ctx, granted)
}

// placementRequest returns the request for another server, and whether something is still awaited from this one.
func (w *stallWatch) placementRequest(ctx context.Context) (request schedule.PlacementRequest, awaited bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil || w.deadline.IsZero() {
		return request, false
	}
	request = w.exchange.placementRequest(w.exchange.gateway.nextID())
	request.Excluded = append(append([]string(nil), request.Excluded...), w.server.ID)
	request.Identity = 0 // the silent attempt still counts for the identity, and its replacement is no copy by the caller
	return request, true
}

// beginAttempt charges and counts an attempt at the granted server. It returns the reason if there must be none: the wait
// has ended, or admitBeside gives one.
func (w *stallWatch) beginAttempt(ctx context.Context, granted *grant) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err.Error()
	}
	if w.deadline.IsZero() {
		return "the attempt has ended"
	}
	if reason = w.exchange.admitBeside(time.Now(), granted.placement); reason != "" {
		return reason
	}
	w.exchange.countAttempt(granted)
	w.opening = make(chan struct{})
	return ""
}

// attempt sends the request to the granted server, and gives up the watched attempt once the response has begun. It
// returns the time until the next placement request.
func (w *stallWatch) attempt(ctx context.Context, granted *grant) (wait time.Duration) {
	x := w.exchange
	defer func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		close(w.opening)
		w.opening = nil
	}()
	open, err := x.open(ctx, granted)
	if err != nil {
		x.gateway.options.Placer.Ended(granted.id, schedule.OutcomeUnused)
		if !errors.Is(err, errPlacementTurnedDown) {
			x.excluded = append(x.excluded, granted.placement.Server)
		}
		x.retryCharged = errors.Is(err, errPlacementTurnedDown)
		x.countUnsent(err)
		w.logRefused(err.Error(), minSearchInterval)
		return minSearchInterval
	}
	sendCtx, cancel := context.WithCancelCause(w.ctx)
	keep := context.AfterFunc(ctx, func() { cancel(errNotNeeded) })
	hasBegun := w.limitWait(cancel)
	err = open.send(sendCtx, cancel, x.gateway.options.Backend)
	switch isGivenUp := !hasBegun(); {
	case isGivenUp && err == nil: // the response began while it was cancelled
		err = &AttemptError{Delivery: DeliveryUnknown, Unresponsive: true, Err: errUnresponsive}
	case isGivenUp:
		err.Unresponsive = true
	case err == nil:
		err = x.replacementError(open.response)
	}
	if err == nil {
		granted.open = open
		if w.moveTo(granted, keep) {
			return 0
		}
		err = &AttemptError{Delivery: DeliveryUnknown, Err: errNotNeeded}
	}
	open.close()
	x.countUnsent(err)
	x.endAttempt(ctx, granted.id, open, attemptResult{err: err})
	x.excluded = append(x.excluded, granted.placement.Server)
	if x.attempts >= maxAttempts { // only a begun stream goes on, at servers that refuse it at once
		return minSearchInterval
	}
	return 0
}

// limitWait gives an attempt beside the watched one up by cancel if it does not begin its response in time, a further
// server may be tried, and the watched attempt still goes on. The returned function ends the limit; it returns false if the
// attempt has been given up.
func (w *stallWatch) limitWait(cancel context.CancelCauseFunc) (hasBegun func() bool) {
	x := w.exchange
	if !x.hasAttemptsLeft() || x.possibleRuns+2 >= x.route.MaxAttempts {
		return func() bool { return true }
	}
	var isDecided atomic.Bool
	timer := time.AfterFunc(time.Until(x.eventDeadline(x.headSent)), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.deadline.IsZero() && isDecided.CompareAndSwap(false, true) {
			cancel(errUnresponsive)
		}
	})
	return func() bool {
		timer.Stop()
		return isDecided.CompareAndSwap(false, true)
	}
}

// replacementError returns the error of a response for which no attempt is given up: one that must not be sent to the
// caller, or that is a failure of its server.
func (x *exchange) replacementError(response *Response) *AttemptError {
	if err := x.responseError(response); err != nil {
		return err
	}
	if response.Status < http.StatusInternalServerError {
		return nil
	}
	return &AttemptError{
		Delivery: DeliveryUnknown, ServerError: true, Err: fmt.Errorf("the server responded with status %d", response.Status),
	}
}

// moveTo gives up the watched attempt, unless it has failed by itself, for one whose response has begun. It returns false
// if the wait has ended otherwise; keep tells whether it has not.
func (w *stallWatch) moveTo(granted *grant, keep func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !keep() {
		return false
	}
	w.moved = granted
	w.log(observe.RequestMoved).Str("to", granted.placement.Server).Dur("waited", granted.waited).Send()
	if !w.deadline.IsZero() {
		w.givenUp = true
		w.giveUp()
	}
	return true
}

// log starts a log line on the current wait. The caller holds mu.
func (w *stallWatch) log(event observe.Event) *zerolog.Event {
	return observe.Log(w.exchange.gateway.options.Logger, event).Str("request", w.exchange.request.ID).Str("server", w.server.ID).
		Int("events", w.exchange.eventsSent).Dur("silent", time.Since(w.startedAt))
}

// logRefused logs that a search found no server. It logs nothing if the wait has ended.
func (w *stallWatch) logRefused(reason string, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.deadline.IsZero() {
		return
	}
	w.log(observe.MoveRefused).Str("reason", reason).Dur("next_request", wait).Send()
}
