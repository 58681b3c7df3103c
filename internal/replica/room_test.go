package replica

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// restartDelay is the delay before a member that failed is started again.
const restartDelay = 500 * time.Millisecond

// supervise restarts the member of a VM whenever it has failed, until ctx ends.
func (n *memNetwork) supervise(ctx context.Context, t *testing.T, vm *memVM) {
	for ctx.Err() == nil {
		n.mu.Lock()
		member := vm.replica
		n.mu.Unlock()
		select {
		case <-member.Done():
		case <-ctx.Done():
			return
		}
		for ctx.Err() == nil {
			time.Sleep(restartDelay)
			if n.tryStart(vm) == nil {
				break
			}
		}
	}
}

// acceptAll proposes commands at the leader until ctx ends and returns those that were accepted.
func (n *memNetwork) acceptAll(ctx context.Context, t *testing.T) (accepted []string) {
	for i := 0; ctx.Err() == nil; i++ {
		command := fmt.Sprintf("command %d with some more bytes", i)
		for _, vm := range n.all() {
			n.mu.Lock()
			member := vm.replica
			n.mu.Unlock()
			if !member.Leadership().IsLeader {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, time.Second)
			if _, err := member.Propose(attempt, []byte(command)); err == nil {
				accepted = append(accepted, command)
			}
			cancel()
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return accepted
}

// With a snapshot every five commands, the free bytes decide at which byte of a record, snapshot or segment header a write ends.
func TestGroupAcceptsCommandsAfterEachDiskWasFullInTurn(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		for _, leaderFirst := range []bool{true, false} {
			for free := 0; free < 700; free += 1 + 12*(size-2) {
				t.Run(fmt.Sprintf("%d voters/leader first %v/%d bytes", size, leaderFirst, free), func(t *testing.T) {
					t.Parallel()
					synctest.Test(t, func(t *testing.T) { fillDisksInTurn(t, size, leaderFirst, free) })
				})
			}
		}
	}
}

func fillDisksInTurn(t *testing.T, size int, leaderFirst bool, free int) {
	n := newMemNetwork(t, 3)
	defer n.stopAll()
	for i := 3; i < size; i++ {
		vm := n.add(fmt.Sprintf("control-%d", i+1))
		n.start(t, vm)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		require.NoError(t, n.retry(t, func(leader *Replica) error { return leader.AddMember(ctx, vm.name, vm.name) }))
		cancel()
	}
	n.leader(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, vm := range n.all() {
		go n.supervise(ctx, t, vm)
	}
	proposing, stopProposing := context.WithCancel(ctx)
	accepted := make(chan []string, 1)
	go func() { accepted <- n.acceptAll(proposing, t) }()
	left := n.all()
	for len(left) > 0 {
		next := max(0, slices.IndexFunc(left, func(vm *memVM) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return vm.replica.Leadership().IsLeader == leaderFirst
		}))
		n.mu.Lock()
		member := left[next].replica
		n.mu.Unlock()
		left[next].disk.SetFreeBytes(free)
		time.Sleep(3 * time.Second)
		select {
		case <-member.Done():
		default:
			require.Fail(t, "the member did not notice its full disk")
		}
		left[next].disk.SetFreeBytes(-1)
		left = slices.Delete(left, next, next+1)
	}
	stopProposing()
	commands := <-accepted
	time.Sleep(4 * time.Second)
	for i := range 7 {
		commands = append(commands, fmt.Sprintf("late %d", i))
		attempt, cancel := context.WithTimeout(ctx, time.Second)
		_, err := n.leader(t).replica.Propose(attempt, []byte(commands[len(commands)-1]))
		cancel()
		require.NoError(t, err)
	}
	time.Sleep(time.Second)
	want := n.leader(t).machine.list()
	for _, vm := range n.all() {
		require.Equal(t, want, vm.machine.list(), vm.name)
	}
	position := 0
	for _, command := range commands {
		found := slices.Index(want[position:], command)
		require.GreaterOrEqual(t, found, 0, "accepted and lost: %s", command)
		position += found + 1
	}
}
