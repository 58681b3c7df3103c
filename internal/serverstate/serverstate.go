// Package serverstate keeps what an entry VM knows itself of each incarnation of a backend server, from what the server
// stated in its answers to this VM: that it is draining, and how long it wants no request from this VM (its backoff). The
// statements bind this VM whatever the scheduler, an announcement or a route table says. The time is passed in as an
// argument.
package serverstate

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/roster"
)

const (
	// maxRampStep and rampSteps describe the ramp after a backoff: in its first step the server gets at most one request
	// from this VM, and until the end of each further step at most twice as many as until the end of the step before. A
	// step takes a fraction 1/rampSteps of the backoff, so that the ramp is not longer than the backoff.
	maxRampStep = 250 * time.Millisecond
	rampSteps   = 5
	// MaxBackoff bounds the backoff that a server may state.
	MaxBackoff = time.Hour
	// retention is how long an entry is kept after its server has left the roster. It is longer than an announcement
	// may be delayed, so that a delayed one does not readmit the server.
	retention = 60 * time.Second
)

// Reason is why a server gets no request.
type Reason uint8

// Values of Reason.
const (
	// ReasonDraining means that the server stated that it finishes its requests and takes no new ones.
	ReasonDraining Reason = iota + 1
	// ReasonBackoff means that the server stated that it wants no requests from this VM for some time.
	ReasonBackoff
	// ReasonRamp means that the backoff has ended and the server has the requests that it may get for now.
	ReasonRamp
)

// String returns the name of the reason for logs.
func (r Reason) String() string {
	switch r {
	case ReasonDraining:
		return "draining"
	case ReasonBackoff:
		return "backoff"
	case ReasonRamp:
		return "ramp after backoff"
	}
	return "unknown"
}

// Statement is what a server stated about itself in one answer.
type Statement struct {
	Draining bool
	// Backoff is how long the server wants no requests from this VM, 0 for no such statement.
	Backoff time.Duration
	// Limit is what the answer says about a limit. PerSecond is the limit in requests a second from all VMs together, if it
	// states one.
	Limit     LimitStatement
	PerSecond float64
}

// ConcernsSender reports whether the server stated something about the VM that sent the request.
func (s Statement) ConcernsSender() bool { return s.Draining || s.Backoff > 0 }

// Block tells that a server must get no request for now.
type Block struct {
	Server string
	Reason Reason
	// StatedAt is when the server made the statement, by the clock of this VM.
	StatedAt time.Time
	// Until is when the server may get a request again, zero while it is draining.
	Until time.Time
}

// Table holds the statements of all servers, one entry for each. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	entries map[string]*entry
}

// entry holds the statements of one incarnation.
type entry struct {
	service   string
	startedAt time.Time
	// drainingAt is when the server first stated that it is draining, zero for never.
	drainingAt time.Time
	// backoffAt is the time of the statement that set backoffUntil, zero for none.
	backoffAt    time.Time
	backoffUntil time.Time
	// rampSent is the number of requests sent since backoffUntil.
	rampSent int
	// inRoster is set while the roster holds the incarnation and it is not gone. lastInRoster is when it last was.
	inRoster     bool
	lastInRoster time.Time
}

// NewTable returns a Table without statements.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Change tells what a statement has changed.
type Change struct {
	// Draining is set if the server was not known to be draining.
	Draining bool
	// Backoff is set if the backoff ends later than before.
	Backoff bool
}

// Record records a statement of the given incarnation of a server. Statements of a replaced incarnation are ignored.
func (t *Table) Record(now time.Time, server roster.Server, statement Statement) Change {
	if !statement.Draining && statement.Backoff <= 0 {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server.ID]
	if e != nil && e.startedAt.After(server.StartedAt) {
		return Change{}
	}
	if e == nil || !e.startedAt.Equal(server.StartedAt) {
		e = &entry{service: server.Service, startedAt: server.StartedAt, inRoster: true, lastInRoster: now}
		t.entries[server.ID] = e
	}
	change := Change{}
	if statement.Draining && e.drainingAt.IsZero() {
		e.drainingAt, change.Draining = now, true
	}
	if until := now.Add(statement.Backoff); statement.Backoff > 0 && until.After(e.backoffUntil) {
		e.backoffAt, e.backoffUntil, e.rampSent, change.Backoff = now, until, 0, true
	}
	return change
}

// Check returns why the server must get no request now, if that is the case. It does not count a request.
func (t *Table) Check(now time.Time, server roster.Server) (Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server.ID]
	if e == nil || !e.startedAt.Equal(server.StartedAt) {
		return Block{}, false
	}
	return e.block(now, server.ID)
}

// Admit returns why the server must get no request now, if that is the case. Otherwise it counts the request that the
// caller is about to send.
func (t *Table) Admit(now time.Time, server roster.Server) (Block, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[server.ID]
	if e == nil || !e.startedAt.Equal(server.StartedAt) {
		return Block{}, false
	}
	block, blocked := e.block(now, server.ID)
	if !blocked && !e.backoffUntil.IsZero() {
		e.rampSent++
	}
	return block, blocked
}

// Blocks returns the servers of a service in the roster that must get no request now, sorted by id.
func (t *Table) Blocks(now time.Time, service string) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	var blocks []Block
	for id, e := range t.entries {
		if e.service != service || !e.inRoster {
			continue
		}
		if block, blocked := e.block(now, id); blocked {
			blocks = append(blocks, block)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return cmp.Compare(a.Server, b.Server) })
	return blocks
}

// Sweep removes entries without effect: those of replaced incarnations, those whose ramp has ended, and those whose
// server left the roster longer than retention ago. find looks a server up in the roster.
func (t *Table) Sweep(now time.Time, find func(id string) (roster.Server, bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		server, found := find(id)
		e.inRoster = found && server.StartedAt.Equal(e.startedAt) && server.State != roster.StateGone
		if e.inRoster {
			e.lastInRoster = now
		}
		replaced := found && server.StartedAt.After(e.startedAt)
		expired := e.drainingAt.IsZero() && !now.Before(e.backoffUntil.Add(rampSteps*e.rampStep()))
		if replaced || expired || now.Sub(e.lastInRoster) > retention {
			delete(t.entries, id)
		}
	}
}

// Len returns the number of servers with statements.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.entries)
}

// block returns why the server must get no request now, if that is the case.
func (e *entry) block(now time.Time, id string) (Block, bool) {
	if !e.drainingAt.IsZero() {
		return Block{Server: id, Reason: ReasonDraining, StatedAt: e.drainingAt}, true
	}
	if now.Before(e.backoffUntil) {
		return Block{Server: id, Reason: ReasonBackoff, StatedAt: e.backoffAt, Until: e.backoffUntil}, true
	}
	if e.backoffUntil.IsZero() {
		return Block{}, false
	}
	step := int(now.Sub(e.backoffUntil) / e.rampStep())
	if step >= rampSteps || e.rampSent < 1<<step {
		return Block{}, false
	}
	nextStep := e.backoffUntil.Add(time.Duration(step+1) * e.rampStep())
	return Block{Server: id, Reason: ReasonRamp, StatedAt: e.backoffAt, Until: nextStep}, true
}

// rampStep returns the duration of a step of the ramp. It is positive.
func (e *entry) rampStep() time.Duration {
	return min(max(e.backoffUntil.Sub(e.backoffAt)/rampSteps, 1), maxRampStep)
}
