package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// ticketHoldTime is the time after which a reservation expires without a renewal. It is shorter than the time
	// after which the platform reports the memory of a finished request as leaked, so that reservations of a crashed
	// VM expire before they are reported.
	ticketHoldTime = 3500 * time.Millisecond
	// ticketRenewInterval is the time between two renewals. One that fails is repeated until the reservation has
	// expired.
	ticketRenewInterval = 1200 * time.Millisecond
	// holderUnreachableAfter is the time after which an attempt with reservations fails if the VM of its server is
	// unreachable. The server's part ends with its VM, so the reservations are released within this time and that of
	// the orders, which is less than ticketHoldTime.
	holderUnreachableAfter = 3 * time.Second
	// maxUnusedTime is the time for which memory stays reserved for an attempt whose server has not begun its response. Servers
	// send the head of a response before they work on the prompt, so one that has sent none by then does not use the memory.
	// Deployments count memory as stuck that no request has used for 9 s, and the orders to release it take up to 0.9 s.
	maxUnusedTime = 7500 * time.Millisecond
	// orderTimeout limits the wait for the answer to one order, since an order or its answer may be lost. An order
	// reserves or releases memory on one server, or renews a reservation.
	orderTimeout = 300 * time.Millisecond
	// maxOrderAttempts is the maximum number of times that an order is sent while it fails for another reason than
	// ErrMemoryRefused.
	maxOrderAttempts = 3
)

// ticket is a reservation of memory on one server.
type ticket struct {
	server roster.Server
	// name identifies the reservation on the server.
	name   string
	tokens int
	// unanswered counts the orders that the server did not answer in time.
	unanswered *atomic.Int64
	// lastRenewal is the result of the last order to reserve or renew.
	lastRenewal *atomic.Uint32
}

// Results of an order to reserve or renew.
const (
	renewalAnswered = iota
	// renewalUnanswered also stands for an order that is not known to have reached the server.
	renewalUnanswered
	// renewalRefused means that the server refused the order, or that no process listens at its address.
	renewalRefused
)

// renewal returns the result of the last order to reserve or renew.
func (t ticket) renewal() uint32 { return t.lastRenewal.Load() }

// tickets are the memory reservations of one attempt. They are renewed in the background until release.
type tickets struct {
	memory       Memory
	list         []ticket
	reservedAt   time.Time
	stopRenewals context.CancelFunc
	renewals     sync.WaitGroup
	// logLine starts a log line on an order.
	logLine func(event observe.Event, item ticket) *zerolog.Event
}

// reserve adds the prefill helpers of a placement to the attempt and reserves memory on those that need it. Helpers
// that this VM does not know are left out. If a reservation fails, all are released and the error says that the
// request was not sent.
func (x *exchange) reserve(ctx context.Context, attempt *Attempt, placement schedule.Placement) (*tickets, *AttemptError) {
	t := &tickets{memory: x.gateway.options.Memory, reservedAt: time.Now(), logLine: x.logTicket}
	for i, helper := range placement.Helpers {
		server, known := x.gateway.options.Servers.Find(helper.Server)
		if !known {
			continue
		}
		entry := Helper{Address: server.Address}
		if helper.ReserveTokens > 0 {
			entry.Ticket = x.request.ID + "-" + strconv.FormatUint(placement.ID.Seq, 10) + "-" + strconv.Itoa(i)
			t.list = append(t.list, ticket{server: server, name: entry.Ticket, tokens: helper.ReserveTokens, unanswered: &atomic.Int64{}, lastRenewal: &atomic.Uint32{}})
		}
		attempt.Helpers = append(attempt.Helpers, entry)
	}
	if len(t.list) == 0 {
		return t, nil
	}
	if err := t.orderAll(ctx, "reserve", t.reserveOne); err != nil {
		t.release()
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: fmt.Errorf("reserve memory: %w", err)}
	}
	attempt.UnreachableAfter = holderUnreachableAfter
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.stopRenewals = stop
	t.renewals.Go(func() { t.renew(renewCtx) })
	return t, nil
}

func (x *exchange) logTicket(event observe.Event, item ticket) *zerolog.Event {
	return observe.Log(x.gateway.options.Logger, event).Str("request", x.request.ID).
		Str("server", item.server.ID).Str("ticket", item.name).Int("tokens", item.tokens)
}

func (t *tickets) reserveOne(ctx context.Context, item ticket) error {
	err := t.memory.Reserve(ctx, item.server, item.name, item.tokens, ticketHoldTime)
	switch {
	case err == nil:
		item.lastRenewal.Store(renewalAnswered)
	case errors.Is(err, ErrMemoryRefused), errors.Is(err, syscall.ECONNREFUSED):
		item.lastRenewal.Store(renewalRefused)
	default:
		item.lastRenewal.Store(renewalUnanswered)
	}
	return err
}

func (t *tickets) releaseOne(ctx context.Context, item ticket) error {
	return t.memory.Release(ctx, item.server, item.name)
}

// ErrMemoryRefused means that a server has too little free memory for a reservation.
var ErrMemoryRefused = errors.New("the server refused to reserve memory")

// orderAll sends one order for each ticket concurrently. It retries an order that failed, unless the server refused
// it, and logs it with the name of the step if all its attempts failed. It returns the first error.
func (t *tickets) orderAll(ctx context.Context, step string, send func(context.Context, ticket) error) error {
	var group errgroup.Group
	for _, item := range t.list {
		group.Go(func() error {
			var err error
			for attempt := range maxOrderAttempts {
				orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
				err = send(orderCtx, item)
				cancel()
				if err == nil || errors.Is(err, ErrMemoryRefused) {
					break
				}
				item.unanswered.Add(1)
				t.logLine(observe.MemoryOrderUnanswered, item).Str("step", step).Int("attempt", attempt+1).Err(err).Send()
				if ctx.Err() != nil {
					break
				}
			}
			if err != nil {
				t.logLine(observe.MemoryOrderFailed, item).Str("step", step).Err(err).Send()
			}
			return err
		})
	}
	return group.Wait()
}

// renew renews the reservations until ctx is cancelled.
func (t *tickets) renew(ctx context.Context) {
	timer := time.NewTimer(ticketRenewInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case startedAt := <-timer.C:
			// orderAll logs a failure; the server breaks off the request when its reservation expires.
			err := t.orderAll(ctx, "renew", t.reserveOne)
			interval := ticketRenewInterval
			if err != nil && !errors.Is(err, ErrMemoryRefused) {
				interval = maxOrderAttempts * orderTimeout
			}
			timer.Reset(time.Until(startedAt.Add(interval)))
		}
	}
}

// limitUnused calls giveUp once the memory has been reserved for maxUnusedTime, unless stop is called before. stop reports
// whether giveUp is not called.
func (t *tickets) limitUnused(giveUp func()) (stop func() bool) {
	if len(t.list) == 0 {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(t.reservedAt.Add(maxUnusedTime)), giveUp).Stop
}

// release stops the renewals and releases the reservations in the background, so that the request does not wait.
func (t *tickets) release() {
	if len(t.list) == 0 {
		return
	}
	go func() {
		if t.stopRenewals != nil {
			t.stopRenewals()
			t.renewals.Wait()
		}
		// orderAll logs a failure; the reservation then expires after ticketHoldTime.
		_ = t.orderAll(context.Background(), "release", t.releaseOne)
		for _, item := range t.list {
			t.logLine(observe.MemoryReleased, item).Dur("held", time.Since(t.reservedAt)).Int64("unanswered", item.unanswered.Load()).Send()
		}
	}()
}
