package replica

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage/faultfs"
)

// messageDelay is the one-way latency between members.
const messageDelay = 2 * time.Millisecond

var errNoVM = errors.New("no VM answers at this address")

// memNetwork connects replicas within one process. Addresses are VM names.
type memNetwork struct {
	mu  sync.Mutex
	vms map[string]*memVM
	// blockedLinks holds the links on which messages are lost, by the VM names of the
	// sender and the receiver.
	blockedLinks map[[2]string]bool
	// onSend is called with each message before it is sent.
	onSend func(from string, m *consensus.Message)
}

// memVM is one control VM with its disk. It is the network of its replica.
type memVM struct {
	net     *memNetwork
	name    string
	disk    *faultfs.Disk
	replica *Replica
	machine *hookedRecorder
	// unfreezeReply blocks the control goroutine until it is received from; nil if the
	// VM is not frozen.
	unfreezeReply chan outcome
	up            bool
}

// hookedRecorder calls its hooks before it applies a command or makes a snapshot.
type hookedRecorder struct {
	recorder
	hooks      sync.Mutex
	onApply    func(command string)
	onSnapshot func()
}

func (r *hookedRecorder) setHooks(onApply func(string), onSnapshot func()) {
	r.hooks.Lock()
	defer r.hooks.Unlock()
	r.onApply, r.onSnapshot = onApply, onSnapshot
}

func (r *hookedRecorder) Apply(index uint64, command []byte) []byte {
	r.hooks.Lock()
	onApply := r.onApply
	r.hooks.Unlock()
	if onApply != nil {
		onApply(string(command))
	}
	return r.recorder.Apply(index, command)
}

func (r *hookedRecorder) Snapshot() ([]byte, error) {
	r.hooks.Lock()
	onSnapshot := r.onSnapshot
	r.hooks.Unlock()
	if onSnapshot != nil {
		onSnapshot()
	}
	return r.recorder.Snapshot()
}

func (vm *memVM) send(m *consensus.Message) {
	vm.net.mu.Lock()
	defer vm.net.mu.Unlock()
	if vm.net.onSend != nil {
		vm.net.onSend(vm.name, m)
	}
	for _, to := range vm.net.vms {
		if to.up && to.replica != nil && to.replica.member == m.To && !vm.net.blockedLinks[[2]string{vm.name, to.name}] {
			target, message := to.replica, *m
			time.AfterFunc(messageDelay, func() { target.receive(message) })
		}
	}
}

func (vm *memVM) update(consensus.Membership) {}

func (vm *memVM) close() {}

func (vm *memVM) describe(_ context.Context, address string) (memberInfo, error) {
	vm.net.mu.Lock()
	defer vm.net.mu.Unlock()
	to := vm.net.vms[address]
	if to == nil || !to.up || to.replica == nil ||
		vm.net.blockedLinks[[2]string{vm.name, address}] || vm.net.blockedLinks[[2]string{address, vm.name}] {
		return memberInfo{}, errNoVM
	}
	return to.replica.describeSelf(), nil
}

func newMemNetwork(t *testing.T, size int) *memNetwork {
	n := &memNetwork{vms: map[string]*memVM{}, blockedLinks: map[[2]string]bool{}}
	for i := range size {
		n.add(fmt.Sprintf("control-%d", i+1))
	}
	for _, vm := range n.all() {
		n.start(t, vm)
	}
	return n
}

func (n *memNetwork) add(name string) *memVM {
	vm := &memVM{net: n, name: name, disk: faultfs.New()}
	n.mu.Lock()
	n.vms[name] = vm
	n.mu.Unlock()
	return vm
}

func (n *memNetwork) all() []*memVM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []*memVM
	for _, vm := range n.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b *memVM) int { return strings.Compare(a.name, b.name) })
	return vms
}

// start starts a VM on its disk. The first three VMs form the group.
func (n *memNetwork) start(t *testing.T, vm *memVM) {
	t.Helper()
	require.NoError(t, n.tryStart(vm))
}

func (n *memNetwork) tryStart(vm *memVM) error {
	config := settings.Defaults()
	config.Cluster = "test"
	config.VM.Name = vm.name
	config.Listen.Internal = vm.name
	config.Control.Bootstrap = true
	config.Control.SnapshotEntries = 5
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		config.ControlVMs = append(config.ControlVMs, settings.Peer{Name: name, Internal: name})
	}
	machine := &hookedRecorder{}
	replica, err := Start(Options{
		Settings: &config, StateMachine: machine, Logger: zerolog.Nop(), Folder: vm.disk, network: vm,
	})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	vm.replica, vm.machine, vm.up, vm.unfreezeReply = replica, machine, true, nil
	return nil
}

// kill stops a VM as by a power failure: writes that are not synced are lost.
func (vm *memVM) kill() {
	vm.net.mu.Lock()
	wasUp := vm.up
	vm.up = false
	vm.net.mu.Unlock()
	if !wasUp {
		return
	}
	vm.disk.Crash(nil)
	vm.unfreeze()
	vm.replica.stop()
	<-vm.replica.done
}

// freeze blocks the control goroutine as SIGSTOP would, by a change whose reply is not
// received. Messages are queued meanwhile.
func (vm *memVM) freeze() {
	blockingReply := make(chan outcome)
	vm.unfreezeReply = blockingReply
	vm.replica.changes <- &changeRequest{change: consensus.Change{Kind: consensus.ChangeRemove}, reply: blockingReply}
}

func (vm *memVM) unfreeze() {
	if vm.unfreezeReply != nil {
		<-vm.unfreezeReply
		vm.unfreezeReply = nil
	}
}

func (n *memNetwork) setBlocked(from, to string, blocked bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blockedLinks[[2]string{from, to}] = blocked
}

// isolate blocks or unblocks the links from vm, and those to it if both is true.
func (n *memNetwork) isolate(vm *memVM, both, blocked bool) {
	for _, other := range n.all() {
		if other != vm {
			n.setBlocked(vm.name, other.name, blocked)
			if both {
				n.setBlocked(other.name, vm.name, blocked)
			}
		}
	}
}

// leader waits until a member holds the leader lease and returns its VM.
func (n *memNetwork) leader(t *testing.T) *memVM {
	t.Helper()
	for range 3000 {
		for _, vm := range n.all() {
			if vm.up && vm.replica.Leadership().IsLeader {
				return vm
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.Fail(t, "no leader")
	return nil
}

// propose proposes the command at the current leader until it is accepted. Each attempt
// has a name of its own, since an earlier one may be committed too. propose returns the
// name of the accepted attempt.
func (n *memNetwork) propose(t *testing.T, command string) string {
	t.Helper()
	var err error
	for attempt := range 20 {
		name := fmt.Sprintf("%s attempt %d", command, attempt)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		_, err = n.leader(t).replica.Propose(ctx, []byte(name))
		cancel()
		if err == nil {
			return name
		}
		time.Sleep(100 * time.Millisecond)
	}
	require.NoError(t, err)
	return ""
}

// repair replaces a VM by one with an empty disk, and so with a new member ID.
func (n *memNetwork) repair(t *testing.T, vm *memVM) {
	t.Helper()
	vm.kill()
	vm.disk.Wipe()
	n.start(t, vm)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, n.retry(t, func(leader *Replica) error { return leader.Remove(ctx, vm.name) }))
	require.NoError(t, n.retry(t, func(leader *Replica) error { return leader.AddMember(ctx, vm.name, vm.name) }))
}

// retry runs an operator's command at the current leader until it succeeds. It takes
// ErrUnknownMember as success, since an earlier attempt may have removed the member.
func (n *memNetwork) retry(t *testing.T, command func(*Replica) error) error {
	var err error
	for range 50 {
		err = command(n.leader(t).replica)
		if err == nil || errors.Is(err, ErrUnknownMember) {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return err
}

func (n *memNetwork) stopAll() {
	for _, vm := range n.all() {
		vm.kill()
	}
}
