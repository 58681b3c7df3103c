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
	// ticketHold is how long memory stays reserved without a renewal: shorter
	// than the time after which the platform calls memory lost whose request
	// has ended, so that a VM that dies loses none.
	ticketHold = 3500 * time.Millisecond
	// ticketRenew is the time between two renewals; two may fail in a row.
	ticketRenew = 1200 * time.Millisecond
	// orderTimeout bounds one order; orders may stay without an answer.
	orderTimeout = 300 * time.Millisecond
	// orderTries is how often an order without an answer is sent.
	orderTries = 3
)

// ticket is memory that is reserved on one server.
type ticket struct {
	server roster.Server
	name   string
	tokens int
}

// tickets are the reservations of one attempt. The zero value holds none.
type tickets struct {
	memory  Memory
	held    []ticket
	stop    context.CancelFunc
	renewed sync.WaitGroup
	log     func(step string, one ticket, err error)
}

// reserve sets memory aside on the helpers of a placement and lists them in the
// attempt. Where one refuses, the request was not sent.
func (x *exchange) reserve(ctx context.Context, attempt *Attempt, placement schedule.Placement) (*tickets, *AttemptError) {
	t := &tickets{memory: x.gateway.options.Memory, log: x.logTicket}
	for i, helper := range placement.Helpers {
		server, known := x.gateway.options.Servers.Find(helper.Server)
		if !known {
			continue
		}
		entry := Helper{Address: server.Address}
		if helper.ReserveTokens > 0 {
			entry.Ticket = x.request.ID + "-" + strconv.Itoa(x.sends) + "-" + strconv.Itoa(i)
			t.held = append(t.held, ticket{server: server, name: entry.Ticket, tokens: helper.ReserveTokens})
		}
		attempt.Helpers = append(attempt.Helpers, entry)
	}
	if len(t.held) == 0 {
		return t, nil
	}
	if err := t.order(ctx, "reserve", t.reserveOne); err != nil {
		t.release()
		return nil, &AttemptError{Delivery: DeliveryNotSent, Err: fmt.Errorf("reserve memory: %w", err)}
	}
	renewing, stop := context.WithCancel(context.WithoutCancel(ctx))
	t.stop = stop
	t.renewed.Go(func() { t.renew(renewing) })
	return t, nil
}

func (x *exchange) logTicket(step string, one ticket, err error) {
	observe.Log(x.gateway.options.Logger, observe.MemoryOrderFailed).Str("request", x.request.ID).Str("step", step).
		Str("server", one.server.ID).Str("ticket", one.name).Int("tokens", one.tokens).Err(err).Send()
}

func (t *tickets) reserveOne(ctx context.Context, one ticket) error {
	return t.memory.Reserve(ctx, one.server, one.name, one.tokens, ticketHold)
}

func (t *tickets) releaseOne(ctx context.Context, one ticket) error {
	return t.memory.Release(ctx, one.server, one.name)
}

// ErrMemoryRefused tells that a server has not the memory that was asked for.
var ErrMemoryRefused = errors.New("the server refused to reserve memory")

// order gives one order to all holders at once, and again where no answer came.
func (t *tickets) order(ctx context.Context, step string, give func(context.Context, ticket) error) error {
	var group errgroup.Group
	for _, one := range t.held {
		group.Go(func() error {
			var err error
			for range orderTries {
				limited, cancel := context.WithTimeout(ctx, orderTimeout)
				err = give(limited, one)
				cancel()
				if err == nil || errors.Is(err, ErrMemoryRefused) || ctx.Err() != nil {
					break
				}
			}
			if err != nil {
				t.log(step, one, err)
			}
			return err
		})
	}
	return group.Wait()
}

// renew keeps the memory until release.
func (t *tickets) renew(ctx context.Context) {
	ticker := time.NewTicker(ticketRenew)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			_ = t.order(ctx, "renew", t.reserveOne) // logged; the request is cut when its memory expires
		}
	}
}

// release gives the memory back without making the caller wait.
func (t *tickets) release() {
	if len(t.held) == 0 {
		return
	}
	go func() {
		if t.stop != nil {
			t.stop()
			t.renewed.Wait()
		}
		_ = t.order(context.Background(), "release", t.releaseOne) // logged; the hold ends by itself
	}()
}
