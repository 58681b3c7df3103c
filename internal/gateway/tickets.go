package gateway

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

const (
	// ticketHoldTime is how long memory stays reserved without a renewal: shorter
	// than the time after which the platform calls memory lost whose request
	// has ended, so that a VM that dies loses none.
	ticketHoldTime = 3500 * time.Millisecond
	// ticketRenewInterval is the time between two renewals; two may fail in a row.
	ticketRenewInterval = 1200 * time.Millisecond
	// orderTimeout bounds one order; orders may stay without an answer.
	orderTimeout = 300 * time.Millisecond
	// maxOrderAttempts is how often an order without an answer is sent.
	maxOrderAttempts = 3
)

// ticket is memory that is reserved on one server.
type ticket struct {
	server roster.Server
	name   string
	tokens int
}

// tickets are the reservations of one attempt. The zero value holds none.
type tickets struct {
	memory       Memory
	list         []ticket
	stopRenewals context.CancelFunc
	renewals     sync.WaitGroup
	logFailure   func(step string, one ticket, err error)
}

// reserve sets memory aside on the helpers of a placement and lists them in the
// attempt. Where one refuses, the request was not sent.
func (x *exchange) reserve(ctx context.Context, attempt *Attempt, placement schedule.Placement) (*tickets, *AttemptError) {
	t := &tickets{memory: x.gateway.options.Memory, logFailure: x.logTicketFailure}
	for i, helper := range placement.Helpers {
		server, known := x.gateway.options.Servers.Find(helper.Server)
		if !known {
			continue
		}
		entry := Helper{Address: server.Address}
		if helper.ReserveTokens > 0 {
			entry.Ticket = x.request.ID + "-" + strconv.Itoa(x.attempts) + "-" + strconv.Itoa(i)
			t.list = append(t.list, ticket{server: server, name: entry.Ticket, tokens: helper.ReserveTokens})
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
	renewCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.stopRenewals = stop
	t.renewals.Go(func() { t.renew(renewCtx) })
	return t, nil
}

func (x *exchange) logTicketFailure(step string, one ticket, err error) {
	observe.Log(x.gateway.options.Logger, observe.MemoryOrderFailed).Str("request", x.request.ID).Str("step", step).
		Str("server", one.server.ID).Str("ticket", one.name).Int("tokens", one.tokens).Err(err).Send()
}

func (t *tickets) reserveOne(ctx context.Context, one ticket) error {
	return t.memory.Reserve(ctx, one.server, one.name, one.tokens, ticketHoldTime)
}

func (t *tickets) releaseOne(ctx context.Context, one ticket) error {
	return t.memory.Release(ctx, one.server, one.name)
}

// ErrMemoryRefused tells that a server has not the memory that was asked for.
var ErrMemoryRefused = errors.New("the server refused to reserve memory")

// orderAll gives one orderAll to all holders at once, and again where no answer came.
func (t *tickets) orderAll(ctx context.Context, step string, send func(context.Context, ticket) error) error {
	var group errgroup.Group
	for _, one := range t.list {
		group.Go(func() error {
			var err error
			for range maxOrderAttempts {
				orderCtx, cancel := context.WithTimeout(ctx, orderTimeout)
				err = send(orderCtx, one)
				cancel()
				if err == nil || errors.Is(err, ErrMemoryRefused) || ctx.Err() != nil {
					break
				}
			}
			if err != nil {
				t.logFailure(step, one, err)
			}
			return err
		})
	}
	return group.Wait()
}

// renew keeps the memory until release.
func (t *tickets) renew(ctx context.Context) {
	ticker := time.NewTicker(ticketRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = t.orderAll(ctx, "renew", t.reserveOne) // logged; the request is cut when its memory expires
		}
	}
}

// release gives the memory back without making the caller wait.
func (t *tickets) release() {
	if len(t.list) == 0 {
		return
	}
	go func() {
		if t.stopRenewals != nil {
			t.stopRenewals()
			t.renewals.Wait()
		}
		_ = t.orderAll(context.Background(), "release", t.releaseOne) // logged; the hold ends by itself
	}()
}
