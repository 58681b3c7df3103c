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

// memoryDelay is the one-way delay between members.
const memoryDelay = 2 * time.Millisecond

var errNoVM = errors.New("no VM answers at this address")

// memoryNet connects replicas within one process.
type memoryNet struct {
	mu  sync.Mutex
	vms map[string]*memoryVM
	// cut holds the directions in which messages vanish, by VM names.
	cut map[[2]string]bool
	// onSend sees each message before it is sent.
	onSend func(from string, m *consensus.Message)
}

// memoryVM is one control VM with its disk.
type memoryVM struct {
	net     *memoryNet
	name    string
	disk    *faultfs.Disk
	replica *Replica
	journal *hookedJournal
	thaw    chan outcome
	up      bool
}

// hookedJournal calls back before it applies a command or makes a snapshot.
type hookedJournal struct {
	journal
	hooks      sync.Mutex
	onApply    func(command string)
	onSnapshot func()
}

func (j *hookedJournal) hook(onApply func(string), onSnapshot func()) {
	j.hooks.Lock()
	defer j.hooks.Unlock()
	j.onApply, j.onSnapshot = onApply, onSnapshot
}

func (j *hookedJournal) Apply(index uint64, command []byte) []byte {
	j.hooks.Lock()
	onApply := j.onApply
	j.hooks.Unlock()
	if onApply != nil {
		onApply(string(command))
	}
	return j.journal.Apply(index, command)
}

func (j *hookedJournal) Snapshot() ([]byte, error) {
	j.hooks.Lock()
	onSnapshot := j.onSnapshot
	j.hooks.Unlock()
	if onSnapshot != nil {
		onSnapshot()
	}
	return j.journal.Snapshot()
}

func (vm *memoryVM) send(m *consensus.Message) {
	vm.net.mu.Lock()
	defer vm.net.mu.Unlock()
	if vm.net.onSend != nil {
		vm.net.onSend(vm.name, m)
	}
	for _, to := range vm.net.vms {
		if to.up && to.replica != nil && to.replica.member == m.To && !vm.net.cut[[2]string{vm.name, to.name}] {
			target, message := to.replica, *m
			time.AfterFunc(memoryDelay, func() { target.receive(message) })
		}
	}
}

func (vm *memoryVM) update(consensus.Membership) {}

func (vm *memoryVM) close() {}

func (vm *memoryVM) describe(_ context.Context, address string) (description, error) {
	vm.net.mu.Lock()
	defer vm.net.mu.Unlock()
	to := vm.net.vms[address]
	if to == nil || !to.up || to.replica == nil || vm.net.cut[[2]string{vm.name, address}] || vm.net.cut[[2]string{address, vm.name}] {
		return description{}, errNoVM
	}
	return to.replica.describeSelf(), nil
}

func newMemoryNet(t *testing.T, size int) *memoryNet {
	n := &memoryNet{vms: map[string]*memoryVM{}, cut: map[[2]string]bool{}}
	for i := range size {
		n.add(fmt.Sprintf("control-%d", i+1))
	}
	for _, vm := range n.all() {
		n.start(t, vm)
	}
	return n
}

func (n *memoryNet) add(name string) *memoryVM {
	vm := &memoryVM{net: n, name: name, disk: faultfs.New()}
	n.mu.Lock()
	n.vms[name] = vm
	n.mu.Unlock()
	return vm
}

func (n *memoryNet) all() []*memoryVM {
	n.mu.Lock()
	defer n.mu.Unlock()
	var vms []*memoryVM
	for _, vm := range n.vms {
		vms = append(vms, vm)
	}
	slices.SortFunc(vms, func(a, b *memoryVM) int { return strings.Compare(a.name, b.name) })
	return vms
}

// start runs a VM on its disk. The first three form the group.
func (n *memoryNet) start(t *testing.T, vm *memoryVM) {
	t.Helper()
	chosen := settings.Defaults()
	chosen.Cluster = "test"
	chosen.VM.Name = vm.name
	chosen.Listen.Internal = vm.name
	chosen.Control.Bootstrap = true
	chosen.Control.SnapshotEntries = 5
	for i := range 3 {
		name := fmt.Sprintf("control-%d", i+1)
		chosen.ControlVMs = append(chosen.ControlVMs, settings.Peer{Name: name, Internal: name})
	}
	journal := &hookedJournal{}
	replica, err := Start(Options{Settings: &chosen, StateMachine: journal, Logger: zerolog.Nop(), folder: vm.disk, network: vm})
	require.NoError(t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	vm.replica, vm.journal, vm.up, vm.thaw = replica, journal, true, nil
}

// kill ends a VM as by SIGKILL and power loss: what is not synced is gone.
func (vm *memoryVM) kill() {
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

// freeze stops the control goroutine as by SIGSTOP. Messages wait meanwhile.
func (vm *memoryVM) freeze() {
	thaw := make(chan outcome)
	vm.thaw = thaw
	vm.replica.changes <- &change{change: consensus.Change{Kind: consensus.ChangeRemove}, reply: thaw}
}

func (vm *memoryVM) unfreeze() {
	if vm.thaw != nil {
		<-vm.thaw
		vm.thaw = nil
	}
}

func (n *memoryNet) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = cut
}

// isolate cuts messages from vm, and those to it when both is set.
func (n *memoryNet) isolate(vm *memoryVM, both, cut bool) {
	for _, other := range n.all() {
		if other != vm {
			n.setCut(vm.name, other.name, cut)
			if both {
				n.setCut(other.name, vm.name, cut)
			}
		}
	}
}

// leader waits for a member that holds the lease.
func (n *memoryNet) leader(t *testing.T) *memoryVM {
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

// propose retries at whoever leads until the command is accepted. Each attempt
// has a name of its own, since an earlier one may be accepted too; the accepted
// one is returned.
func (n *memoryNet) propose(t *testing.T, command string) string {
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

// repair replaces a VM whose disk was lost by one with a new member id.
func (n *memoryNet) repair(t *testing.T, vm *memoryVM) {
	t.Helper()
	vm.kill()
	vm.disk.Wipe()
	n.start(t, vm)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	require.NoError(t, n.retry(t, func(leader *Replica) error { return leader.Remove(ctx, vm.name) }))
	require.NoError(t, n.retry(t, func(leader *Replica) error { return leader.AddMember(ctx, vm.name, vm.name) }))
}

// retry repeats an operator's command that met a change of leader. A command
// that had succeeded before counts.
func (n *memoryNet) retry(t *testing.T, command func(*Replica) error) error {
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

// stopAll ends all VMs.
func (n *memoryNet) stopAll() {
	for _, vm := range n.all() {
		vm.kill()
	}
}
