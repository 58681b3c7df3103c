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

// racingCommand is the command during which a fault is injected.
const racingCommand = "racing"

// matrixCell is one run of the fault matrix: one fault during one protocol step.
type matrixCell struct {
	t        *testing.T
	net      *memNetwork
	leader   *memVM
	follower *memVM

	once      sync.Once
	triggered chan struct{}
	// fault injects the fault.
	fault func()

	mu sync.Mutex
	// accepted holds the commands for which Propose returned no error.
	accepted []string
}

// triggerFault injects the fault in a goroutine of its own. Further calls do nothing.
func (c *matrixCell) triggerFault() {
	c.once.Do(func() {
		go func() {
			c.fault()
			close(c.triggered)
		}()
	})
}

func (c *matrixCell) proposeAt(vm *memVM, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	_, err := vm.replica.Propose(ctx, []byte(command))
	assert.NotErrorIs(c.t, err, context.DeadlineExceeded, "Propose returned no outcome within 10 s")
	if err == nil {
		c.mu.Lock()
		c.accepted = append(c.accepted, command)
		c.mu.Unlock()
	}
}

func (c *matrixCell) proposeAnywhere(command string) {
	name := c.net.propose(c.t, command)
	c.mu.Lock()
	c.accepted = append(c.accepted, name)
	c.mu.Unlock()
}

// onSend triggers the fault at the first sent message that matches.
func (c *matrixCell) onSend(match func(from string, m *consensus.Message) bool) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.net.onSend = func(from string, m *consensus.Message) {
		if match(from, m) {
			c.triggerFault()
		}
	}
}

func hasEntryKind(m *consensus.Message, kind consensus.EntryKind) bool {
	for _, entry := range m.Entries {
		if entry.Kind == kind {
			return true
		}
	}
	return false
}

// matrixStep is a step of the protocol. Its act runs the step and triggers the fault.
type matrixStep struct {
	name string
	act  func(c *matrixCell)
}

var matrixSteps = []matrixStep{
	{"propose", func(c *matrixCell) {
		c.triggerFault()
		c.proposeAt(c.leader, racingCommand)
	}},
	{"append", func(c *matrixCell) {
		c.onSend(func(from string, m *consensus.Message) bool {
			return from == c.leader.name && hasEntryKind(m, consensus.EntryCommand)
		})
		c.proposeAt(c.leader, racingCommand)
	}},
	{"sync", func(c *matrixCell) {
		// All disks hang until after the fault, so that none holds the command by then.
		for _, vm := range c.net.all() {
			vm.disk.BlockSyncs()
			time.AfterFunc(400*time.Millisecond, vm.disk.UnblockSyncs)
		}
		time.AfterFunc(20*time.Millisecond, c.triggerFault)
		c.proposeAt(c.leader, racingCommand)
	}},
	{"commit", func(c *matrixCell) {
		c.onSend(func(from string, m *consensus.Message) bool {
			return from != c.leader.name && m.Kind == consensus.MessageAppendResponse
		})
		c.proposeAt(c.leader, racingCommand)
	}},
	{"apply", func(c *matrixCell) {
		c.leader.machine.setHooks(func(command string) {
			if command == racingCommand {
				c.triggerFault()
			}
		}, nil)
		c.proposeAt(c.leader, racingCommand)
	}},
	{"answer", func(c *matrixCell) {
		c.proposeAt(c.leader, racingCommand)
		c.triggerFault()
	}},
	{"snapshot", func(c *matrixCell) {
		c.leader.machine.setHooks(nil, c.triggerFault)
		for i := range 30 {
			c.proposeAt(c.leader, fmt.Sprintf("%s-%d", racingCommand, i))
		}
	}},
	{"member change", func(c *matrixCell) {
		added := c.net.add("control-4")
		c.net.start(c.t, added)
		c.onSend(func(from string, m *consensus.Message) bool {
			return from == c.leader.name && hasEntryKind(m, consensus.EntryMembership)
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, _ = c.leader.replica.AddLearner(ctx, added.name, added.name)
	}},
}

// matrixFault is a fault of the leader, in some cases together with a follower.
type matrixFault struct {
	name    string
	prepare func(c *matrixCell)
	inject  func(c *matrixCell)
	// keepsQuorum is true if the group must commit commands before heal.
	keepsQuorum bool
	heal        func(c *matrixCell)
}

var matrixFaults = []matrixFault{
	{
		name:        "kill",
		inject:      func(c *matrixCell) { c.leader.kill() },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.net.start(c.t, c.leader) },
	},
	{
		name:        "freeze",
		inject:      func(c *matrixCell) { c.leader.freeze() },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.leader.unfreeze() },
	},
	{
		name:        "disk lost",
		inject:      func(c *matrixCell) { c.leader.kill(); c.leader.disk.Wipe() },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.net.repair(c.t, c.leader) },
	},
	{
		name:        "cut both ways",
		inject:      func(c *matrixCell) { c.net.isolate(c.leader, true, true) },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.net.isolate(c.leader, true, false) },
	},
	{
		name:        "cut one way",
		inject:      func(c *matrixCell) { c.net.isolate(c.leader, false, true) },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.net.isolate(c.leader, false, false) },
	},
	{
		// The messages to one follower are lost until the stream times out.
		name: "silent connection",
		inject: func(c *matrixCell) {
			c.net.setBlocked(c.leader.name, c.follower.name, true)
			limit := streamTimeout(c.leader.replica.settings)
			time.AfterFunc(limit, func() { c.net.setBlocked(c.leader.name, c.follower.name, false) })
		},
		keepsQuorum: true,
		heal:        func(*matrixCell) {},
	},
	{
		name: "second loss right after repair",
		prepare: func(c *matrixCell) {
			c.net.repair(c.t, c.follower)
			c.leader = c.net.leader(c.t)
		},
		inject:      func(c *matrixCell) { c.leader.kill(); c.leader.disk.Wipe() },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.net.repair(c.t, c.leader) },
	},
	{
		name:   "two at once",
		inject: func(c *matrixCell) { c.follower.kill(); c.leader.kill() },
		heal:   func(c *matrixCell) { c.net.start(c.t, c.follower); c.net.start(c.t, c.leader) },
	},
	{
		name:   "kill and freeze at once",
		inject: func(c *matrixCell) { c.follower.freeze(); c.leader.kill() },
		heal:   func(c *matrixCell) { c.follower.unfreeze(); c.net.start(c.t, c.leader) },
	},
	{
		name:        "disk hangs",
		inject:      func(c *matrixCell) { c.leader.disk.BlockSyncs() },
		keepsQuorum: true,
		heal:        func(c *matrixCell) { c.leader.disk.UnblockSyncs() },
	},
}

// TestFaultMatrix injects each fault during each step of the protocol. The group must
// go on as long as a quorum is left. Afterwards no accepted command may be lost or
// applied twice, and at no time may two members hold the leader lease.
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
	c := &matrixCell{t: t, net: newMemNetwork(t, 3), triggered: make(chan struct{})}
	defer c.net.stopAll()
	stopWatch := watchLeases(t, c.net)
	defer stopWatch()
	for i := range 3 {
		c.proposeAnywhere(fmt.Sprintf("before-%d", i))
	}
	c.findLeaderAndFollower()
	if fault.prepare != nil {
		fault.prepare(c)
		c.proposeAnywhere("prepared")
	}
	c.fault = func() { fault.inject(c) }
	acted := make(chan struct{})
	go func() {
		defer close(acted)
		step.act(c)
	}()
	<-c.triggered
	if fault.keepsQuorum {
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

func (c *matrixCell) findLeaderAndFollower() {
	c.leader = c.net.leader(c.t)
	for _, vm := range c.net.all() {
		if vm != c.leader {
			c.follower = vm
			return
		}
	}
}

// check requires that all members have applied the same commands in the same order,
// none of them twice, and each accepted command once.
func (c *matrixCell) check(step matrixStep) {
	if step.name == "member change" {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		require.NoError(c.t, c.net.retry(c.t, func(leader *Replica) error {
			return leader.AddMember(ctx, "control-4", "control-4")
		}))
		time.Sleep(5 * time.Second)
	}
	want := c.net.leader(c.t).machine.list()
	counts := map[string]int{}
	for _, command := range want {
		counts[command]++
		assert.LessOrEqual(c.t, counts[command], 1, "command %s", command)
	}
	for _, command := range c.accepted {
		assert.Equal(c.t, 1, counts[command], "accepted command %s", command)
	}
	for _, vm := range c.net.all() {
		assert.Equal(c.t, want, vm.machine.list(), vm.name)
	}
}

// watchLeases checks every 5 ms that at most one member holds the leader lease.
func watchLeases(t *testing.T, n *memNetwork) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			holders := n.leaseHolders()
			assert.LessOrEqual(t, len(holders), 1, "lease held by %v", holders)
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

func (n *memNetwork) leaseHolders() []string {
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
