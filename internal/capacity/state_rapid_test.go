package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	modelServer  = "e1"
	modelMemory  = 900
	modelStep    = term / 4
	attemptLimit = 6 * term
)

// attemptModel is the truth about one attempt.
type attemptModel struct {
	request   Request
	scheduler string
	grantedAt time.Time
	startedAt time.Time
	// granted and running tell that the holder has the lease and that the
	// engine holds the memory.
	granted, running bool
	// gone is true when the holder has died or is done with the attempt.
	gone bool
}

// leaseModel drives the real State of three VMs against one engine that
// never frees memory by itself.
type leaseModel struct {
	t      rapid.TB
	draw   *rapid.T
	names  []string
	states map[string]*State
	down   map[[2]string]bool
	// mute names the VMs that the engine does not answer.
	mute     map[string]bool
	now      time.Time
	stepTime time.Duration
	attempts []*attemptModel
	byName   map[string]*attemptModel
}

func newLeaseModel(t rapid.TB) *leaseModel {
	m := &leaseModel{t: t, stepTime: modelStep, mute: map[string]bool{}, names: []string{"a", "b", "c"}, states: map[string]*State{}, down: map[[2]string]bool{}, now: start, byName: map[string]*attemptModel{}}
	for _, name := range m.names {
		m.restart(name)
	}
	for range 16 {
		m.tick()
	}
	return m
}

func (m *leaseModel) restart(name string) {
	config := DefaultConfig(term, 20, attemptLimit)
	m.states[name] = NewState(name, m.names, config)
	for _, attempt := range m.attempts {
		attempt.gone = attempt.gone || attempt.request.Holder == name
	}
}

func (m *leaseModel) linked(a, b string) bool {
	return a == b || !m.down[[2]string{a, b}] && !m.down[[2]string{b, a}]
}

func (m *leaseModel) tick() {
	m.now = m.now.Add(m.stepTime)
	for _, name := range m.names {
		work := m.states[name].Tick([]Engine{{Server: modelServer, Incarnation: 1, Memory: modelMemory, Group: modelServer}}, m.now)
		m.perform(name, work)
	}
	for _, from := range m.names {
		for _, to := range m.names {
			if from != to && m.linked(from, to) {
				m.states[to].Members().RecordContact(from, m.now)
				m.states[from].Members().RecordView(to, m.states[to].Members().View(), m.now, m.now)
			}
		}
	}
	m.renew()
	m.collect()
}

// perform plays the engine for one scheduler.
func (m *leaseModel) perform(name string, work Work) {
	if m.mute[name] {
		return
	}
	for _, order := range work.Cancels {
		for _, attempt := range order.Attempts {
			m.byName[attempt].running = false
			m.byName[attempt].gone = true
		}
		m.states[name].ConfirmFreed(order.Engine.Server, 1, order.Attempts, m.now)
	}
	if len(work.Lists) == 0 {
		return
	}
	var held []HeldAttempt
	for _, attempt := range m.attempts {
		if attempt.running {
			held = append(held, HeldAttempt{Attempt: attempt.request.Attempt, Tokens: attempt.request.Tokens, Age: m.now.Sub(attempt.startedAt)})
		}
	}
	m.states[name].ApplyList(modelServer, 1, held, m.now, m.now)
}

// renew lets each live holder renew what it holds, and end what is overdue.
func (m *leaseModel) renew() {
	for _, attempt := range m.attempts {
		if attempt.gone || !attempt.granted {
			continue
		}
		if m.now.After(attempt.request.Deadline) {
			m.finish(attempt, false, true)
			continue
		}
		holder := attempt.request.Holder
		scheduler := m.states[holder].Members().SchedulerOf(modelServer)
		if m.linked(holder, scheduler) {
			m.states[scheduler].Renew(modelServer, attempt.request, false, m.now)
		}
	}
}

func (m *leaseModel) acquire() {
	holder := rapid.SampledFrom(m.names).Draw(m.draw, "holder")
	tokens := int64(rapid.IntRange(50, 900).Draw(m.draw, "tokens"))
	m.request(holder, tokens, rapid.Bool().Draw(m.draw, "short"))
}

// request asks the scheduler that holder knows for a lease.
func (m *leaseModel) request(holder string, tokens int64, short bool) {
	scheduler := m.states[holder].Members().SchedulerOf(modelServer)
	if !m.linked(holder, scheduler) {
		return
	}
	request := Request{
		Attempt: fmt.Sprintf("t%d", len(m.attempts)), Holder: holder, Tokens: tokens, Short: short,
		LatestStart: m.now.Add(attemptLimit / 2), Deadline: m.now.Add(attemptLimit),
	}
	added := &attemptModel{request: request, scheduler: scheduler}
	m.attempts = append(m.attempts, added)
	m.byName[request.Attempt] = added
	m.states[scheduler].Acquire(request, []Choice{{Server: modelServer}}, m.now)
	m.collect()
}

// collect hands the grants to their holders; those of unreachable holders get
// lost on the way.
func (m *leaseModel) collect() {
	for _, name := range m.names {
		for _, decided := range m.states[name].TakeDecisions() {
			attempt := m.byName[decided.Attempt]
			lost := attempt.gone || !m.linked(attempt.request.Holder, name)
			if decided.Kind == Granted && !lost {
				attempt.granted, attempt.grantedAt = true, m.now
			}
		}
	}
}

// dispatch starts a granted attempt, late but within its term.
func (m *leaseModel) dispatch(attempt *attemptModel) {
	if attempt.granted && !attempt.gone && !attempt.running && m.now.Sub(attempt.grantedAt) < term {
		attempt.running, attempt.startedAt = true, m.now
	}
}

func (m *leaseModel) finish(attempt *attemptModel, held, told bool) {
	if attempt.gone || !attempt.granted {
		return
	}
	attempt.gone = true
	if !held {
		attempt.running = false
	}
	holder := attempt.request.Holder
	scheduler := m.states[holder].Members().SchedulerOf(modelServer)
	if told && m.linked(holder, scheduler) {
		m.states[scheduler].Release(modelServer, attempt.request.Attempt, held, m.now)
		m.collect()
	}
}

// check sums what the engine holds and what it may be asked to hold.
func (m *leaseModel) check() {
	sum := int64(0)
	for _, attempt := range m.attempts {
		pending := attempt.granted && !attempt.gone && m.now.Sub(attempt.grantedAt) < term
		if attempt.running || pending {
			sum += attempt.request.Tokens
		}
	}
	require.LessOrEqual(m.t, sum, int64(modelMemory), "granted twice")
}

func (m *leaseModel) step() {
	switch action := rapid.IntRange(0, 11).Draw(m.draw, "action"); {
	case action <= 3:
		m.acquire()
	case action <= 5 && len(m.attempts) > 0:
		m.dispatch(rapid.SampledFrom(m.attempts).Draw(m.draw, "started"))
	case action <= 7 && len(m.attempts) > 0:
		attempt := rapid.SampledFrom(m.attempts).Draw(m.draw, "finished")
		m.finish(attempt, rapid.Bool().Draw(m.draw, "held"), rapid.Bool().Draw(m.draw, "told"))
	case action == 8:
		m.restart(rapid.SampledFrom(m.names).Draw(m.draw, "restarted"))
	case action == 9:
		link := [2]string{rapid.SampledFrom(m.names).Draw(m.draw, "from"), rapid.SampledFrom(m.names).Draw(m.draw, "to")}
		m.down[link] = !m.down[link]
	case action == 10:
		muted := rapid.SampledFrom(m.names).Draw(m.draw, "muted")
		m.mute[muted] = !m.mute[muted]
	}
	m.tick()
	m.check()
}

// TestMemoryIsNeverGrantedTwiceAndComesBack drives three schedulers through
// deaths, restarts, splits, late and missing releases.
func TestMemoryIsNeverGrantedTwiceAndComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		m.draw = t
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
		}
		clear(m.down)
		clear(m.mute)
		for range 80 {
			m.tick()
			m.check()
		}
		for _, attempt := range m.attempts {
			require.False(t, attempt.running, "the engine lost the memory of %s", attempt.request.Attempt)
		}
		scheduler := m.states["a"].Members().SchedulerOf(modelServer)
		usage := m.states[scheduler].Usage()[modelServer]
		require.Equal(t, Usage{Memory: modelMemory, Limit: modelMemory}, usage)
	})
}

// TestNewSchedulerWaitsForTheOldOne lets a VM join just as the link between
// the scheduler and the third VM is cut: the old scheduler still counts the
// share that the third VM gives to the new one.
func TestNewSchedulerWaitsForTheOldOne(t *testing.T) {
	// lastGrant is the last tick at which the old scheduler counts the share.
	const lastGrant = 15
	m := newLeaseModel(t)
	joining := Scheduler(modelServer, m.names)
	others := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return name == joining })
	old := Scheduler(modelServer, others)
	m.down = map[[2]string]bool{{joining, others[0]}: true, {joining, others[1]}: true}
	for range 24 {
		m.tick()
	}
	m.stepTime = modelStep / 4
	m.restart(joining)
	m.down = map[[2]string]bool{{joining, old}: true, {others[0], others[1]}: true}
	for tick := range 60 {
		if tick == lastGrant {
			m.request(old, modelMemory/3, true)
			m.request(old, modelMemory/3, true)
		}
		m.request(joining, modelMemory/3, true)
		m.tick()
		m.check()
	}
	assert.Equal(t, int64(modelMemory*2/3), m.states[joining].Usage()[modelServer].Limit)
}

// TestHigherLimitNeedsAList withholds the engine's list: the scheduler cannot
// know what runs there, and grants nothing.
func TestHigherLimitNeedsAList(t *testing.T) {
	m := newLeaseModel(t)
	scheduler := m.states["a"].Members().SchedulerOf(modelServer)
	m.request(scheduler, modelMemory, true)
	m.dispatch(m.attempts[0])
	m.restart(scheduler)
	m.mute[scheduler] = true
	for range 24 {
		m.request(scheduler, modelMemory, true)
		m.tick()
		m.check()
	}
	m.mute[scheduler] = false
	for range 4 {
		m.tick()
	}
	assert.Equal(t, int64(modelMemory), m.states[scheduler].Usage()[modelServer].Limit)
}
