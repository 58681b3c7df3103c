package orders

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/distribute"
)

const (
	// orderValidity is the time after a send within which an engine may begin
	// the order. An engine that receives the order later does not carry it out.
	orderValidity = 5 * time.Second
	// resendInterval is the time without visible progress after which an order
	// is sent again.
	resendInterval = 2 * time.Second
	// refusalBackoff is the time for which an engine that refused an order gets
	// no new one.
	refusalBackoff = 30 * time.Second
	// preferStateFor is how long the state read from an engine takes precedence
	// over the report of an entry VM, which lags behind.
	preferStateFor = 15 * time.Second
	// stateUnknownAfter is the age of the state last read from an engine after
	// which its state counts as unknown.
	stateUnknownAfter = 10 * time.Second
	// reportStaleAfter is the age of the newest report of an engine after which
	// the engine counts as out of service. It allows for three lost confirmations.
	reportStaleAfter = 20 * time.Second
	// expireAfter is the age of the newest report of an engine after which the
	// engine is removed from the book.
	expireAfter = 5 * time.Minute
)

// book holds what the leader knows of the engines in one term, and the orders
// in progress. It is used by one goroutine. Its methods do no I/O and do not
// read the clock.
type book struct {
	term uint64
	// blockedUntil is the time until which an order of an earlier leader can still
	// take effect on an engine that does not check fencing tokens.
	blockedUntil time.Time
	// records holds the engines by id.
	records map[string]*engineRecord
	// orderCount numbers the orders of the term.
	orderCount uint64
}

// engineRecord is what the leader knows of one engine.
type engineRecord struct {
	// report is the newest report of the engine, confirmed at reportedAt.
	report     distribute.BackendServer
	reportedAt time.Time
	// state is the state last read from the engine, at stateAt; nil before the first
	// read.
	state   *backendapi.EngineState
	stateAt time.Time
	// order is the order in progress, nil for none, and step is its step.
	order *backendapi.Order
	step  Step
	// sentAt is the time of the order's last send, zero before the first.
	sentAt time.Time
	// refusedUntil is the time until which the engine gets no order because it
	// refused one, and refusal is the reason that it gave.
	refusedUntil time.Time
	refusal      string
}

func newBook(term uint64, blockedUntil time.Time) *book {
	return &book{term: term, blockedUntil: blockedUntil, records: map[string]*engineRecord{}}
}

// applyReports updates the book from the reports of the entry VMs. An engine
// that is no longer reported stays in the book until it expires. A new
// incarnation of an engine replaces its record, and with it any order in
// progress.
func (b *book) applyReports(reports []distribute.Report, now time.Time) {
	for id, record := range b.records {
		if now.Sub(record.reportedAt) > expireAfter {
			delete(b.records, id)
		}
	}
	for id, server := range newestServers(reports, now) {
		record, found := b.records[id]
		if !found || record.report.Incarnation < server.Incarnation {
			b.records[id] = &engineRecord{report: server.BackendServer, reportedAt: server.confirmedAt}
			continue
		}
		if record.report.Incarnation == server.Incarnation {
			record.report, record.reportedAt = server.BackendServer, server.confirmedAt
		}
	}
}

// reportedServer is an engine with the time at which its report was confirmed.
type reportedServer struct {
	distribute.BackendServer
	confirmedAt time.Time
}

// newestServers returns the engines, by id, of all reports that have not
// expired at now. If several reports name an engine, the highest incarnation
// takes precedence, then the newest report.
func newestServers(reports []distribute.Report, now time.Time) map[string]reportedServer {
	newest := map[string]reportedServer{}
	for _, report := range reports {
		if now.Sub(report.ConfirmedAt) > expireAfter {
			continue
		}
		for _, server := range report.Servers {
			current, found := newest[server.ID]
			supersedes := server.Incarnation > current.Incarnation ||
				server.Incarnation == current.Incarnation && report.ConfirmedAt.After(current.confirmedAt)
			if server.Kind == backendapi.KindEngine && (!found || supersedes) {
				newest[server.ID] = reportedServer{server, report.ConfirmedAt}
			}
		}
	}
	return newest
}

// applyState records the state read from an engine. If the state shows that
// the engine's order was carried out, the order ends. applyState reports
// whether an order ended.
func (b *book) applyState(id string, state *backendapi.EngineState, now time.Time) bool {
	record, found := b.records[id]
	if !found || state.Incarnation != record.report.Incarnation {
		return false
	}
	record.state, record.stateAt = state, now
	if record.order == nil || !isDone(record.step, state) {
		return false
	}
	record.order = nil
	return true
}

// engines returns the planner's input for all engines, sorted by id.
func (b *book) engines(now time.Time) []Engine {
	engines := make([]Engine, 0, len(b.records))
	for id, record := range b.records {
		engine := Engine{
			ID: id, Incarnation: record.report.Incarnation, Zone: record.report.Zone, Address: record.report.Address,
			Role: record.report.Role, Models: record.report.Models, ChecksFencing: record.report.ChecksFencing,
			StateUnknown: record.state == nil || now.Sub(record.stateAt) > stateUnknownAfter || now.Sub(record.reportedAt) > reportStaleAfter,
			Blocked:      b.isBlocked(record, now),
		}
		if record.state != nil && now.Sub(record.stateAt) < preferStateFor {
			engine.Role, engine.Models = record.state.Role, record.state.Models
			engine.Loading = len(record.state.Loading) > 0 && record.order == nil
		}
		if record.order != nil {
			step := record.step
			engine.CurrentStep = &step
		}
		engines = append(engines, engine)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// isBlocked reports whether an engine must not be given a new order yet. An
// engine that checks fencing tokens rejects late orders of an earlier leader
// itself; any other engine gets no order until such orders have expired.
func (b *book) isBlocked(record *engineRecord, now time.Time) bool {
	if now.Before(record.refusedUntil) {
		return true
	}
	return !record.report.ChecksFencing && now.Before(b.blockedUntil)
}

// createOrder creates the order of a step, in place of the engine's order in
// progress, if any. The order is due at once.
func (b *book) createOrder(step Step) {
	record := b.records[step.Engine]
	b.orderCount++
	record.step = step
	record.order = &backendapi.Order{
		ID:      fmt.Sprintf("%d-%d", b.term, b.orderCount),
		Kind:    step.Kind,
		Fencing: b.term,
		Model:   step.Model,
		Version: step.Version,
		Adapter: step.Adapter,
		Role:    step.Role,
	}
	record.sentAt = time.Time{}
}

// takeDueOrders returns the orders to be sent at now and records the send: new
// orders, and those without visible progress since their last send. Every send
// of an order has the same id, so that the engine carries it out only once.
func (b *book) takeDueOrders(now time.Time) []orderSend {
	var due []orderSend
	for id, record := range b.records {
		if record.order == nil || now.Sub(record.sentAt) < resendInterval {
			continue
		}
		if record.state != nil && len(record.state.Loading) > 0 && !record.sentAt.IsZero() && record.stateAt.After(record.sentAt) {
			continue
		}
		record.sentAt = now
		order := *record.order
		order.ExpiresUnixMillis = now.Add(orderValidity).UnixMilli()
		due = append(due, orderSend{engine: id, address: record.report.Address, order: &order})
	}
	return due
}

// orderSend is one send of an order to an engine.
type orderSend struct {
	engine  string
	address string
	order   *backendapi.Order
}

// handleReply applies an engine's reply to an order. An expired order is replaced
// by a new one for the same step; a refused order ends, and the engine gets no new
// one for refusalBackoff. Replies to orders that are no longer in progress are
// ignored. handleReply reports whether the order was stale, which means that a
// newer leader exists.
func (b *book) handleReply(sent orderSend, reply *backendapi.OrderReply, now time.Time) (stale bool) {
	record, found := b.records[sent.engine]
	if !found || record.order == nil || record.order.ID != sent.order.ID {
		return false
	}
	switch reply.Status {
	case backendapi.OrderStale:
		return true
	case backendapi.OrderExpired:
		b.createOrder(record.step)
	case backendapi.OrderRefused:
		record.order = nil
		record.refusedUntil, record.refusal = now.Add(refusalBackoff), reply.Reason
	}
	return false
}
