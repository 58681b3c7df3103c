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

// attemptModel is the actual state of one attempt.
type attemptModel struct {
	request   Request
	scheduler string
	grantedAt time.Time
	startedAt time.Time
	// granted tells that the holder has the lease, running that the engine holds
	// the memory.
	granted, running bool
	// ended tells that the holder has restarted or has finished the attempt, or
	// that the engine has cancelled it.
	ended bool
}

// leaseModel runs the State of three VMs with one engine that never frees memory by itself.
type leaseModel struct {
	t      rapid.TB
	draw   *rapid.T
	names  []string
	states map[string]*State
	down   map[[2]string]bool
	// unresponsiveTo holds the VMs to which the engine does not respond.
	unresponsiveTo map[string]bool
	now            time.Time
	stepTime       time.Duration
	attempts       []*attemptModel
	byName         map[string]*attemptModel
}

func newLeaseModel(t rapid.TB) *leaseModel {
	m := &leaseModel{t: t, stepTime: modelStep, unresponsiveTo: map[string]bool{}, names: []string{"a", "b", "c"}, states: map[string]*State{}, down: map[[2]string]bool{}, now: start, byName: map[string]*attemptModel{}}
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
		attempt.ended = attempt.ended || attempt.request.Holder == name
	}
}

func (m *leaseModel) linked(a, b string) bool {
	return a == b || !m.down[[2]string{a, b}] && !m.down[[2]string{b, a}]
}

func (m *leaseModel) tick() {
	m.now = m.now.Add(m.stepTime)
	for _, name := range m.names {
		work := m.states[name].Tick([]Engine{{Server: modelServer, Incarnation: 1, Memory: modelMemory, Group: modelServer}}, m.now)
		m.runEngineCalls(name, work)
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

// runEngineCalls simulates the engine's responses to one scheduler.
func (m *leaseModel) runEngineCalls(name string, work Work) {
	if m.unresponsiveTo[name] {
		return
	}
	for _, order := range work.Cancels {
		for _, attempt := range order.Attempts {
			m.byName[attempt].running = false
			m.byName[attempt].ended = true
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

// renew renews the leases of all holders and ends the attempts past their deadline.
func (m *leaseModel) renew() {
	for _, attempt := range m.attempts {
		if attempt.ended || !attempt.granted {
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

// request requests a lease from the scheduler in the view of holder.
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

// collect delivers the grants to their holders. Grants to unreachable holders are lost.
func (m *leaseModel) collect() {
	for _, name := range m.names {
		for _, decided := range m.states[name].TakeDecisions() {
			attempt := m.byName[decided.Attempt]
			lost := attempt.ended || !m.linked(attempt.request.Holder, name)
			if decided.Kind == Granted && !lost {
				attempt.granted, attempt.grantedAt = true, m.now
			}
		}
	}
}

// dispatch starts a granted attempt within the lease term after its grant.
func (m *leaseModel) dispatch(attempt *attemptModel) {
	if attempt.granted && !attempt.ended && !attempt.running && m.now.Sub(attempt.grantedAt) < term {
		attempt.running, attempt.startedAt = true, m.now
	}
}

func (m *leaseModel) finish(attempt *attemptModel, memoryHeld, sendRelease bool) {
	if attempt.ended || !attempt.granted {
		return
	}
	attempt.ended = true
	if !memoryHeld {
		attempt.running = false
	}
	holder := attempt.request.Holder
	scheduler := m.states[holder].Members().SchedulerOf(modelServer)
	if sendRelease && m.linked(holder, scheduler) {
		m.states[scheduler].Release(modelServer, attempt.request.Attempt, memoryHeld, m.now)
		m.collect()
	}
}

// check fails if the memory that the engine holds, plus that of attempts that may still
// start, exceeds the memory of the engine.
func (m *leaseModel) check() {
	sum := int64(0)
	for _, attempt := range m.attempts {
		pending := attempt.granted && !attempt.ended && m.now.Sub(attempt.grantedAt) < term
		if attempt.running || pending {
			sum += attempt.request.Tokens
		}
	}
	require.LessOrEqual(m.t, sum, int64(modelMemory), "memory was granted twice")
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
		m.unresponsiveTo[muted] = !m.unresponsiveTo[muted]
	}
	m.tick()
	m.check()
}

// TestMemoryIsNeverGrantedTwiceAndAlwaysFreed runs three schedulers through restarts,
// partitions, and late and missing releases.
func TestMemoryIsNeverGrantedTwiceAndAlwaysFreed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newLeaseModel(t)
		m.draw = t
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			m.step()
		}
		clear(m.down)
		clear(m.unresponsiveTo)
		for range 80 {
			m.tick()
			m.check()
		}
		for _, attempt := range m.attempts {
			require.False(t, attempt.running, "the memory of attempt %s was never freed", attempt.request.Attempt)
		}
		scheduler := m.states["a"].Members().SchedulerOf(modelServer)
		usage := m.states[scheduler].Usage()[modelServer]
		require.Equal(t, Usage{Memory: modelMemory, Limit: modelMemory}, usage)
	})
}

// TestNewSchedulerWaitsUntilTheFormerOneStopsGranting restarts a VM, which becomes the
// scheduler, and at the same time cuts the links between the former scheduler and both
// other VMs. The former scheduler still counts the share that the third VM gives to the
// new one.
func TestNewSchedulerWaitsUntilTheFormerOneStopsGranting(t *testing.T) {
	// lastGrant is the last tick at which the former scheduler counts the share.
	const lastGrant = 15
	m := newLeaseModel(t)
	joining := Scheduler(modelServer, m.names)
	others := slices.DeleteFunc(slices.Clone(m.names), func(name string) bool { return name == joining })
	former := Scheduler(modelServer, others)
	m.down = map[[2]string]bool{{joining, others[0]}: true, {joining, others[1]}: true}
	for range 24 {
		m.tick()
	}
	m.stepTime = modelStep / 4
	m.restart(joining)
	m.down = map[[2]string]bool{{joining, former}: true, {others[0], others[1]}: true}
	for tick := range 60 {
		if tick == lastGrant {
			m.request(former, modelMemory/3, true)
			m.request(former, modelMemory/3, true)
		}
		m.request(joining, modelMemory/3, true)
		m.tick()
		m.check()
	}
	assert.Equal(t, int64(modelMemory*2/3), m.states[joining].Usage()[modelServer].Limit)
}

// TestLimitIsNotRaisedWithoutAnAttemptList restarts the scheduler while the engine does not
// respond to it. Without an attempt list it does not know which memory is in use, and must
// grant nothing.
func TestLimitIsNotRaisedWithoutAnAttemptList(t *testing.T) {
	m := newLeaseModel(t)
	scheduler := m.states["a"].Members().SchedulerOf(modelServer)
	m.request(scheduler, modelMemory, true)
	m.dispatch(m.attempts[0])
	m.restart(scheduler)
	m.unresponsiveTo[scheduler] = true
	for range 24 {
		m.request(scheduler, modelMemory, true)
		m.tick()
		m.check()
	}
	m.unresponsiveTo[scheduler] = false
	for range 4 {
		m.tick()
	}
	assert.Equal(t, int64(modelMemory), m.states[scheduler].Usage()[modelServer].Limit)
}
