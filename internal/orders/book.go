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
	// orderLife is the time after which an order that was not begun has no
	// effect.
	orderLife = 5 * time.Second
	// resendAfter is the time without a sign of progress after which an order
	// is sent again.
	resendAfter = 2 * time.Second
	// refusedWait is how long an engine that refused an order gets no other.
	refusedWait = 30 * time.Second
	// trustReadBack is how long an engine's own state counts more than the
	// report of an entry VM, which lags behind.
	trustReadBack = 15 * time.Second
	// unsureAfter is the age of the last read-back after which an engine's
	// state is not known.
	unsureAfter = 10 * time.Second
	// reportStaleAfter is the age of the newest report of an engine after which
	// it counts as out of service. It covers three lost confirmations.
	reportStaleAfter = 20 * time.Second
	// forgetAfter is how long an engine that nobody reports any more counts as
	// out of service.
	forgetAfter = 5 * time.Minute
)

// book is what the runner knows of the engines in one term. It is used by one
// goroutine; its methods are pure.
type book struct {
	term uint64
	// heldUntil is when no order of an earlier leader can take effect any more.
	heldUntil time.Time
	entries   map[string]*entry
	orders    uint64
}

// entry is what is known of one engine.
type entry struct {
	report     distribute.BackendServer
	reportedAt time.Time
	// state is the last one read back, nil before the first.
	state   *backendapi.EngineState
	stateAt time.Time
	// order in progress, nil for none.
	order        *backendapi.Order
	step         Step
	sentAt       time.Time
	refusedUntil time.Time
	refusal      string
}

func newBook(term uint64, heldUntil time.Time) *book {
	return &book{term: term, heldUntil: heldUntil, entries: map[string]*entry{}}
}

// report takes what the entry VMs report. An engine that nobody reports any
// more counts as out of service until it is forgotten; one with a new
// incarnation starts afresh.
func (b *book) report(reports []distribute.Report, now time.Time) {
	for id, known := range b.entries {
		if now.Sub(known.reportedAt) > forgetAfter {
			delete(b.entries, id)
		}
	}
	for id, server := range newestServers(reports, now) {
		known, found := b.entries[id]
		if !found || known.report.Incarnation < server.Incarnation {
			b.entries[id] = &entry{report: server.BackendServer, reportedAt: server.at}
			continue
		}
		if known.report.Incarnation == server.Incarnation {
			known.report, known.reportedAt = server.BackendServer, server.at
		}
	}
}

// reportedServer is an engine with the time of the report.
type reportedServer struct {
	distribute.BackendServer
	at time.Time
}

// newestServers returns the engines of reports that count at now: of several
// reports of an engine the one with the highest incarnation, then the newest.
func newestServers(reports []distribute.Report, now time.Time) map[string]reportedServer {
	newest := map[string]reportedServer{}
	for _, report := range reports {
		if now.Sub(report.ConfirmedAt) > forgetAfter {
			continue
		}
		for _, server := range report.Servers {
			known, found := newest[server.ID]
			later := server.Incarnation > known.Incarnation ||
				server.Incarnation == known.Incarnation && report.ConfirmedAt.After(known.at)
			if server.Kind == backendapi.KindEngine && (!found || later) {
				newest[server.ID] = reportedServer{server, report.ConfirmedAt}
			}
		}
	}
	return newest
}

// readBack takes an engine's own state, and ends its order when it agrees.
// It reports whether an order ended.
func (b *book) readBack(id string, state *backendapi.EngineState, now time.Time) bool {
	known, found := b.entries[id]
	if !found || state.Incarnation != known.report.Incarnation {
		return false
	}
	known.state, known.stateAt = state, now
	if known.order == nil || !agrees(known.step, state) {
		return false
	}
	known.order = nil
	return true
}

// engines returns the engines as the planner sees them.
func (b *book) engines(now time.Time) []Engine {
	engines := make([]Engine, 0, len(b.entries))
	for id, known := range b.entries {
		engine := Engine{
			ID: id, Incarnation: known.report.Incarnation, Zone: known.report.Zone, Address: known.report.Address,
			Role: known.report.Role, Models: known.report.Models, ChecksFencing: known.report.ChecksFencing,
			StateUnknown: known.state == nil || now.Sub(known.stateAt) > unsureAfter || now.Sub(known.reportedAt) > reportStaleAfter,
			Blocked:      b.held(known, now),
		}
		if known.state != nil && now.Sub(known.stateAt) < trustReadBack {
			engine.Role, engine.Models = known.state.Role, known.state.Models
			engine.Loading = len(known.state.Loading) > 0 && known.order == nil
		}
		if known.order != nil {
			step := known.step
			engine.CurrentStep = &step
		}
		engines = append(engines, engine)
	}
	slices.SortFunc(engines, func(a, b Engine) int { return strings.Compare(a.ID, b.ID) })
	return engines
}

// held reports whether an engine must not be given an order yet. An engine
// that checks fencing numbers refuses late orders of an earlier leader itself.
func (b *book) held(known *entry, now time.Time) bool {
	if now.Before(known.refusedUntil) {
		return true
	}
	return !known.report.ChecksFencing && now.Before(b.heldUntil)
}

// begin makes the order of a step.
func (b *book) begin(step Step) {
	known := b.entries[step.Engine]
	b.orders++
	known.step = step
	known.order = &backendapi.Order{
		ID:      fmt.Sprintf("%d-%d", b.term, b.orders),
		Kind:    step.Kind,
		Fencing: b.term,
		Model:   step.Model,
		Version: step.Version,
		Adapter: step.Adapter,
		Role:    step.Role,
	}
	known.sentAt = time.Time{}
}

// due returns the orders to be sent at now: new ones, and those whose effect
// does not show. A resend has the id of the first send, so that the engine
// carries it out once.
func (b *book) due(now time.Time) []sending {
	var due []sending
	for id, known := range b.entries {
		if known.order == nil || now.Sub(known.sentAt) < resendAfter {
			continue
		}
		if known.state != nil && len(known.state.Loading) > 0 && !known.sentAt.IsZero() && known.stateAt.After(known.sentAt) {
			continue
		}
		known.sentAt = now
		order := *known.order
		order.ExpiresUnixMillis = now.Add(orderLife).UnixMilli()
		due = append(due, sending{engine: id, address: known.report.Address, order: &order})
	}
	return due
}

// sending is an order on its way to an engine.
type sending struct {
	engine  string
	address string
	order   *backendapi.Order
}

// answered takes an engine's answer. It reports whether a newer leader exists.
func (b *book) answered(s sending, reply *backendapi.OrderReply, now time.Time) (stale bool) {
	known, found := b.entries[s.engine]
	if !found || known.order == nil || known.order.ID != s.order.ID {
		return false
	}
	switch reply.Status {
	case backendapi.OrderStale:
		return true
	case backendapi.OrderExpired:
		b.begin(known.step)
	case backendapi.OrderRefused:
		known.order = nil
		known.refusedUntil, known.refusal = now.Add(refusedWait), reply.Reason
	}
	return false
}
