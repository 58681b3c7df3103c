package replica

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
)

// racing is the command during which a fault strikes.
const racing = "racing"

// cell is one run of the fault matrix.
type cell struct {
	t        *testing.T
	net      *memoryNet
	leader   *memoryVM
	follower *memoryVM

	once  sync.Once
	fired chan struct{}
	// fault strikes the group.
	fault func()

	mu       sync.Mutex
	accepted []string
}

// fire lets the fault strike, once, without holding up the caller.
func (c *cell) fire() {
	c.once.Do(func() {
		go func() {
			c.fault()
			close(c.fired)
		}()
	})
}

func (c *cell) proposeAt(vm *memoryVM, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := vm.replica.Propose(ctx, []byte(command))
	assert.NotErrorIs(c.t, err, context.DeadlineExceeded, "the caller was left without an answer")
	if err == nil {
		c.mu.Lock()
		c.accepted = append(c.accepted, command)
		c.mu.Unlock()
	}
}

func (c *cell) proposeAnywhere(command string) {
	name := c.net.propose(c.t, command)
	c.mu.Lock()
	c.accepted = append(c.accepted, name)
	c.mu.Unlock()
}

// onSend fires at the first message from the leader, or to it, that matches.
func (c *cell) onSend(match func(from string, m *consensus.Message) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.onSend = func(from string, m *consensus.Message) {
		if match(from, m) {
			c.fire()
		}
	}
}

func carries(m *consensus.Message, kind consensus.EntryKind) bool {
	for _, entry := range m.Entries {
		if entry.Kind == kind {
			return true
		}
	}
	return false
}

// matrixStep is a step of the protocol: act runs it and lets the fault strike.
type matrixStep struct {
	name string
	act  func(c *cell)
}

var matrixSteps = []matrixStep{
	{"propose", func(c *cell) {
		c.fire()
		c.proposeAt(c.leader, racing)
	}},
	{"append", func(c *cell) {
		c.onSend(func(from string, m *consensus.Message) bool {
			return from == c.leader.name && carries(m, consensus.EntryCommand)
		})
		c.proposeAt(c.leader, racing)
	}},
	{"sync", func(c *cell) {
		// All disks are slow, so that nothing of the command is on any of them.
		for _, vm := range c.net.all() {
			vm.disk.BlockSyncs()
			time.AfterFunc(400*time.Millisecond, vm.disk.UnblockSyncs)
		}
		time.AfterFunc(20*time.Millisecond, c.fire)
		c.proposeAt(c.leader, racing)
	}},
	{"commit", func(c *cell) {
		c.onSend(func(from string, m *consensus.Message) bool {
			return from != c.leader.name && m.Kind == consensus.MessageAppendResponse
		})
		c.proposeAt(c.leader, racing)
	}},
	{"apply", func(c *cell) {
		c.leader.journal.hook(func(command string) {
			if command == racing {
				c.fire()
			}
		}, nil)
		c.proposeAt(c.leader, racing)
	}},
	{"answer", func(c *cell) {
		c.proposeAt(c.leader, racing)
		c.fire()
	}},
	{"snapshot", func(c *cell) {
		c.leader.journal.hook(nil, c.fire)
		for i := range 30 {
			c.proposeAt(c.leader, fmt.Sprintf("%s-%d", racing, i))
		}
	}},
	{"member change", func(c *cell) {
		added := c.net.add("control-4")
		c.net.start(c.t, added)
		c.onSend(func(from string, m *consensus.Message) bool {
			return from == c.leader.name && carries(m, consensus.EntryMembership)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = c.leader.replica.AddLearner(ctx, added.name, added.name)
	}},
}

// matrixFault is a fault that strikes the leader.
type matrixFault struct {
	name    string
	prepare func(c *cell)
	strike  func(c *cell)
	// quorum tells whether the group must go on before heal.
	quorum bool
	heal   func(c *cell)
}

var matrixFaults = []matrixFault{
	{
		name:   "kill",
		strike: func(c *cell) { c.leader.kill() },
		quorum: true,
		heal:   func(c *cell) { c.net.start(c.t, c.leader) },
	},
	{
		name:   "freeze",
		strike: func(c *cell) { c.leader.freeze() },
		quorum: true,
		heal:   func(c *cell) { c.leader.unfreeze() },
	},
	{
		name:   "disk lost",
		strike: func(c *cell) { c.leader.kill(); c.leader.disk.Wipe() },
		quorum: true,
		heal:   func(c *cell) { c.net.repair(c.t, c.leader) },
	},
	{
		name:   "cut both ways",
		strike: func(c *cell) { c.net.isolate(c.leader, true, true) },
		quorum: true,
		heal:   func(c *cell) { c.net.isolate(c.leader, true, false) },
	},
	{
		name:   "cut one way",
		strike: func(c *cell) { c.net.isolate(c.leader, false, true) },
		quorum: true,
		heal:   func(c *cell) { c.net.isolate(c.leader, false, false) },
	},
	{
		// The stream to one follower loses all until it is abandoned.
		name: "silent connection",
		strike: func(c *cell) {
			c.net.setCut(c.leader.name, c.follower.name, true)
			limit := silenceLimit(c.leader.replica.settings)
			time.AfterFunc(limit, func() { c.net.setCut(c.leader.name, c.follower.name, false) })
		},
		quorum: true,
		heal:   func(*cell) {},
	},
	{
		name: "second loss right after repair",
		prepare: func(c *cell) {
			c.net.repair(c.t, c.follower)
			c.leader = c.net.leader(c.t)
		},
		strike: func(c *cell) { c.leader.kill(); c.leader.disk.Wipe() },
		quorum: true,
		heal:   func(c *cell) { c.net.repair(c.t, c.leader) },
	},
	{
		name:   "two at once",
		strike: func(c *cell) { c.follower.kill(); c.leader.kill() },
		heal:   func(c *cell) { c.net.start(c.t, c.follower); c.net.start(c.t, c.leader) },
	},
	{
		name:   "kill and freeze at once",
		strike: func(c *cell) { c.follower.freeze(); c.leader.kill() },
		heal:   func(c *cell) { c.follower.unfreeze(); c.net.start(c.t, c.leader) },
	},
	{
		name:   "disk hangs",
		strike: func(c *cell) { c.leader.disk.BlockSyncs() },
		quorum: true,
		heal:   func(c *cell) { c.leader.disk.UnblockSyncs() },
	},
}

func TestFaultMatrix(t *testing.T) {
	for _, fault := range matrixFaults {
		for _, step := range matrixSteps {
			t.Run(fault.name+"/"+step.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runCell(t, fault, step) })
			})
		}
	}
}

func runCell(t *testing.T, fault matrixFault, step matrixStep) {
	c := &cell{t: t, net: newMemoryNet(t, 3), fired: make(chan struct{})}
	defer c.net.stopAll()
	stopWatch := watchLeases(t, c.net)
	defer stopWatch()
	for i := range 3 {
		c.proposeAnywhere(fmt.Sprintf("before-%d", i))
	}
	c.chooseVictims()
	if fault.prepare != nil {
		fault.prepare(c)
		c.proposeAnywhere("prepared")
	}
	c.fault = func() { fault.strike(c) }
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		step.act(c)
	}()
	<-c.fired
	if fault.quorum {
		time.Sleep(3 * time.Second)
		c.proposeAnywhere("during")
	}
	time.Sleep(2 * time.Second)
	fault.heal(c)
	<-acted
	c.proposeAnywhere("after")
	time.Sleep(10 * time.Second)
	c.check(step)
}

func (c *cell) chooseVictims() {
	c.leader = c.net.leader(c.t)
	for _, vm := range c.net.all() {
		if vm != c.leader {
			c.follower = vm
			return
		}
	}
}

// check compares all journals: whatever was accepted is in each of them once,
// in the same order.
func (c *cell) check(step matrixStep) {
	if step.name == "member change" {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(c.t, c.net.retry(c.t, func(leader *Replica) error {
			return leader.AddMember(ctx, "control-4", "control-4")
		}))
		time.Sleep(5 * time.Second)
	}
	want := c.net.leader(c.t).journal.list()
	counts := map[string]int{}
	for _, command := range want {
		counts[command]++
		assert.LessOrEqual(c.t, counts[command], 1, "command %s", command)
	}
	for _, command := range c.accepted {
		assert.Equal(c.t, 1, counts[command], "accepted command %s", command)
	}
	for _, vm := range c.net.all() {
		assert.Equal(c.t, want, vm.journal.list(), vm.name)
	}
}

// watchLeases checks all the time that at most one member holds the lease.
func watchLeases(t *testing.T, n *memoryNet) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			holders := n.leaseHolders()
			assert.LessOrEqual(t, len(holders), 1, "leases of %v", holders)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (n *memoryNet) leaseHolders() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	var holders []string
	for _, vm := range n.vms {
		if vm.up && vm.replica.Leadership().IsLeader {
			holders = append(holders, vm.name)
		}
	}
	return holders
}
