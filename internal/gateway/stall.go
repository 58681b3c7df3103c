package gateway

import (
	"context"
	"errors"
	"sync"
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
)

// grant is a placement that was granted and is not ended yet.
type grant struct {
	id        schedule.JobID
	placement schedule.Placement
	// waited is the time between the request for the placement and the grant.
	waited time.Duration
	// charged is set when the retry was counted in the retry budget.
	charged bool
}

// stallWatch watches one attempt for the silence of its server. When the server is silent for too long, the watch
// searches another server while the attempt goes on. The attempt is given up only once another placement was granted
// and the retry budget has allowed the retry, and nothing has arrived until then. A nil *stallWatch never gives up.
//
// The goroutine that reads the response calls begin and end; the search runs in the goroutine of the timer. mu orders
// them: after end has returned, no search can give up the attempt or charge a retry any more.
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
	// cancelSearch ends the search in progress, nil if there is none.
	cancelSearch context.CancelFunc
	// moved is the placement for which the attempt was given up, nil before.
	moved *grant
}

// watchStalls returns the watch of an attempt at server, nil if the request must not be retried after it.
func (x *exchange) watchStalls(ctx context.Context, server roster.Server) *stallWatch {
	mayRetry := x.attempts < maxAttempts && !x.mayCrashServers && x.route.IsRetryable() && x.possibleRuns+1 < x.route.MaxAttempts
	if !mayRetry {
		return nil
	}
	return &stallWatch{exchange: x, ctx: ctx, server: server}
}

// begin starts a wait for the server that lasts until end. From deadline on, another server is searched, unless the
// request is not resumable or too little time would be left for a retry. giveUp must make the calling goroutine's wait
// return.
func (w *stallWatch) begin(deadline time.Time, giveUp func()) {
	if w == nil || !w.exchange.isResumable() || w.exchange.deadline.Sub(deadline) < minStallTimeout/2 {
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

// end ends the current wait, if any, and its search. It tells whether the attempt has been given up.
func (w *stallWatch) end() (givenUp bool) {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadline = time.Time{}
	if w.timer != nil {
		w.timer.Stop()
	}
	if w.cancelSearch != nil {
		w.cancelSearch()
		w.cancelSearch = nil
		if w.moved == nil {
			w.log(observe.SilenceEnded).Send()
		}
	}
	return w.moved != nil
}

// grant returns the placement for which the attempt was given up, nil if it was not. The caller must end it.
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

// search requests placements until the attempt is given up for one, or until ctx is done because the wait has ended.
func (w *stallWatch) search(ctx context.Context) {
	for ctx.Err() == nil {
		wait := budgetCheckInterval
		if w.exchange.gateway.options.Budget.CanRetry(w.exchange.service) {
			wait = w.requestPlacement(ctx)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

// requestPlacement requests one placement and gives up the attempt if it is granted. Otherwise it returns the time
// until the next request.
func (w *stallWatch) requestPlacement(ctx context.Context) (wait time.Duration) {
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
	reason := w.moveTo(ctx, &grant{id: request.ID, placement: placement, waited: time.Since(requestedAt), charged: true})
	if reason == "" {
		return 0
	}
	placer.Ended(request.ID, schedule.OutcomeUnused)
	w.logRefused(reason, minSearchInterval)
	return minSearchInterval
}

// placementRequest returns the request for another server, and whether something is still awaited from this one.
func (w *stallWatch) placementRequest(ctx context.Context) (request schedule.PlacementRequest, awaited bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return request, false
	}
	request = w.exchange.placementRequest(w.exchange.gateway.nextID())
	request.Excluded = append(append([]string(nil), request.Excluded...), w.server.ID)
	return request, true
}

// moveTo gives up the attempt for another placement. It returns the reason if it does not: the wait has ended, this VM
// does not know the server, the request would be refused by quarantine, the placement is turned down, or the retry
// budget is spent.
func (w *stallWatch) moveTo(ctx context.Context, to *grant) (reason string) {
	options := w.exchange.gateway.options
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return err.Error()
	}
	if _, known := options.Servers.Find(to.placement.Server); !known {
		return "server " + to.placement.Server + " is not known to this VM"
	}
	if _, found := options.Evidence.Quarantined(time.Now(), w.exchange.identity, w.exchange.request.Parts); found {
		return "the request is quarantined"
	}
	if w.exchange.turnDown(time.Now(), to.placement) {
		return errPlacementTurnedDown.Error()
	}
	if !options.Budget.TryRetry(w.exchange.service) {
		return errRetryBudgetSpent.Error()
	}
	w.moved = to
	w.log(observe.RequestMoved).Str("to", to.placement.Server).Dur("waited", to.waited).Send()
	w.cancelSearch()
	w.giveUp()
	return ""
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
