package site

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/storage/faultfs"
)

// fullDisk refuses all that needs room while full is set. A refused write leaves half of its bytes.
type fullDisk struct {
	*faultfs.Disk
	full atomic.Bool
}

type fullFile struct {
	storage.File
	disk *fullDisk
}

func (d *fullDisk) check() error {
	if d.full.Load() {
		return syscall.ENOSPC
	}
	return nil
}

func (d *fullDisk) Append(name string) (storage.File, error) {
	file, err := d.Disk.Append(name)
	return &fullFile{file, d}, err
}

func (d *fullDisk) Create(name string) (storage.File, error) {
	if err := d.check(); err != nil {
		return nil, err
	}
	file, err := d.Disk.Create(name)
	return &fullFile{file, d}, err
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.check(); err != nil {
		return err
	}
	return d.Disk.Rename(from, to)
}

func (f *fullFile) Write(p []byte) (int, error) {
	if err := f.disk.check(); err != nil {
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *fullFile) Truncate(size int64) error {
	if err := f.disk.check(); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// fullDiskGroup is a control group whose disks can be full, under a change of the route table every 100 ms.
type fullDiskGroup struct {
	*controlGroup
	vms   []*controlVM
	disks []*fullDisk

	mu      sync.Mutex
	version uint64
}

func newFullDiskGroup(t *testing.T, size int) *fullDiskGroup {
	g := &fullDiskGroup{controlGroup: newControlGroup(t)}
	for n := range size {
		g.disks = append(g.disks, &fullDisk{Disk: faultfs.New()})
		g.vms = append(g.vms, g.startOn(n, "", g.disks[n], n < 3))
	}
	g.put(g.vms[0], 1, 10*time.Second)
	g.version = 1
	g.awaitVoters(g.vms[0], size, 20*time.Second)
	return g
}

// change submits the next version through the VM, once.
func (g *fullDiskGroup) change(vm *controlVM, timeout time.Duration) error {
	g.mu.Lock()
	g.version++
	version := g.version
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return vm.hub.PutTable(ctx, version, []byte(strconv.FormatUint(version, 10)))
}

// keepChanging submits changes through all VMs but VM except in turn until the result is called.
func (g *fullDiskGroup) keepChanging(except int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	vms := slices.Clone(g.vms)
	running.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			if n %= len(vms); n != except {
				_ = g.change(vms[n], time.Second)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// next returns a VM that is not in done: the leader first or last.
func (g *fullDiskGroup) next(done map[int]bool, leaderFirst bool) int {
	candidate := -1
	for n, vm := range g.vms {
		if done[n] {
			continue
		}
		member := vm.replica.Load()
		if leads := member != nil && member.Leadership().IsLeader; candidate < 0 || leads == leaderFirst {
			candidate = n
		}
	}
	return candidate
}

// requireChanges fails unless changes through each VM are accepted, each VM reads the last one, and all VMs are voters.
func (g *fullDiskGroup) requireChanges() {
	g.t.Helper()
	for range 3 {
		for _, vm := range g.vms {
			g.version++
			g.put(vm, g.version, acceptedWithin)
		}
	}
	for n, vm := range g.vms {
		require.Equal(g.t, strconv.FormatUint(g.version, 10), g.get(vm, acceptedWithin), "read through VM %d", n)
		g.awaitVoters(vm, len(g.vms), time.Second)
	}
}

// awaitMember waits until VM n runs a member of the control group.
func (g *fullDiskGroup) awaitMember(n int) {
	g.t.Helper()
	require.Eventually(g.t, func() bool { return g.vms[n].replica.Load() != nil }, 5*time.Second, time.Millisecond)
}

// crash ends the VM without its planned stop, whether its member runs or not.
func (vm *controlVM) crash() {
	if member := vm.replica.Load(); member != nil {
		member.Abort()
	}
	for vm.replica.Load() != nil {
		time.Sleep(time.Millisecond)
	}
	vm.end()
}

const (
	// fullFor is longer than an unresponsive voter stays in the group.
	fullFor = 3 * time.Second
	// roomFor is the time after which changes must be accepted once all disks have room.
	roomFor = 4 * time.Second
	// acceptedWithin is the platform's bound of the acknowledgement of a change, which may be sent again meanwhile.
	acceptedWithin = 4 * time.Second
)

func TestChangesAreAcceptedAfterEachDiskWasFullInTurn(t *testing.T) {
	for _, size := range []int{3, 5, 7} {
		for _, leaderFirst := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d voters/leader first %v", size, leaderFirst), func(t *testing.T) {
				t.Parallel()
				g := newFullDiskGroup(t, size)
				stop := g.keepChanging(-1)
				for done := map[int]bool{}; len(done) < size; {
					n := g.next(done, leaderFirst)
					done[n] = true
					g.disks[n].full.Store(true)
					time.Sleep(fullFor)
					g.disks[n].full.Store(false)
				}
				stop()
				time.Sleep(roomFor)
				g.requireChanges()
			})
		}
	}
}

func TestChangesAreAcceptedAfterDisksWereFullBesideOtherTrouble(t *testing.T) {
	for name, trouble := range map[string]func(g *fullDiskGroup, n int){
		"full again and again": func(g *fullDiskGroup, n int) {
			for range 4 {
				g.disks[n].full.Store(true)
				time.Sleep(400 * time.Millisecond)
				g.disks[n].full.Store(false)
				time.Sleep(300 * time.Millisecond)
			}
		},
		"restarted with a full disk": func(g *fullDiskGroup, n int) {
			g.vms[n].kill()
			g.disks[n].full.Store(true)
			g.vms[n] = g.startOn(n, "", g.disks[n], n < 3)
			time.Sleep(fullFor)
			g.disks[n].full.Store(false)
		},
		"power lost with a full disk": func(g *fullDiskGroup, n int) {
			g.disks[n].full.Store(true)
			time.Sleep(time.Second)
			g.vms[n].crash()
			g.disks[n].Crash(nil)
			g.vms[n] = g.startOn(n, "", g.disks[n], n < 3)
			time.Sleep(fullFor)
			g.disks[n].full.Store(false)
		},
		"failing syncs": func(g *fullDiskGroup, n int) {
			g.disks[n].FailSyncs(syscall.ENOSPC)
			time.Sleep(fullFor)
			g.disks[n].FailSyncs(nil)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := newFullDiskGroup(t, 3)
			for done := map[int]bool{}; len(done) < len(g.vms); {
				n := g.next(done, true)
				done[n] = true
				stop := g.keepChanging(n)
				trouble(g, n)
				stop()
				g.awaitMember(n)
			}
			time.Sleep(roomFor)
			g.requireChanges()
		})
	}
}

// A VM joins while the disk of each other VM is full in turn, and then its own.
func TestVMBecomesAVoterWhileDisksAreFullInTurn(t *testing.T) {
	t.Parallel()
	g := newFullDiskGroup(t, 3)
	g.disks = append(g.disks, &fullDisk{Disk: faultfs.New()})
	stop := g.keepChanging(-1)
	joiner := g.startOn(3, "", g.disks[3], false)
	for n := range 4 {
		g.disks[n].full.Store(true)
		time.Sleep(fullFor / 2)
		g.disks[n].full.Store(false)
	}
	stop()
	g.vms = append(g.vms, joiner)
	time.Sleep(roomFor)
	g.requireChanges()
}

func TestGroupFormsAfterADiskWasFullAtTheFirstStart(t *testing.T) {
	t.Parallel()
	g := &fullDiskGroup{controlGroup: newControlGroup(t)}
	for n := range 3 {
		g.disks = append(g.disks, &fullDisk{Disk: faultfs.New()})
		g.disks[n].full.Store(n == 1)
		g.vms = append(g.vms, g.startOn(n, "", g.disks[n], true))
	}
	time.Sleep(fullFor)
	g.disks[1].full.Store(false)
	time.Sleep(roomFor)
	g.requireChanges()
}
