package replica

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// benchCommandBytes is the size of a command, that of a claim or a small change.
	benchCommandBytes = 256
	// idleTime is the duration of one measurement of an idle group.
	idleTime = 5 * time.Second
)

// useDefaultTimeouts sets the heartbeat interval and the election timeout to those of
// the default settings.
func useDefaultTimeouts(config *settings.Settings) {
	defaults := settings.Defaults()
	config.Control.HeartbeatInterval = defaults.Control.HeartbeatInterval
	config.Control.ElectionTimeout = defaults.Control.ElectionTimeout
}

// BenchmarkCapacityProposals measures the committed commands per second of three
// members over loopback gRPC with files that are synced to disk.
func BenchmarkCapacityProposals(b *testing.B) {
	for _, callers := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			group := newLoopbackGroup(b, 3)
			group.modify = useDefaultTimeouts
			vms := group.startAll(b)
			leader := leaderOf(b, vms)
			command := make([]byte, benchCommandBytes)
			var left atomic.Int64
			left.Store(int64(b.N))
			var running sync.WaitGroup
			b.ResetTimer()
			for range callers {
				running.Go(func() {
					for left.Add(-1) >= 0 {
						if _, err := leader.replica.Propose(context.Background(), command); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			running.Wait()
			b.StopTimer()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
			for _, vm := range vms {
				vm.stop(b)
			}
		})
	}
}

// fillStore stores a log with the given number of entries in folder.
func fillStore(b *testing.B, folder string, entries int) {
	files, err := storage.OpenDir(folder)
	require.NoError(b, err)
	store, _, err := storage.Open(files)
	require.NoError(b, err)
	data := make([]byte, benchCommandBytes)
	for from := 1; from <= entries; from += 100 {
		write := &consensus.Write{HardState: consensus.HardState{Group: 1, Term: 1, Commit: uint64(from - 1)}}
		for index := from; index < min(from+100, entries+1); index++ {
			write.Entries = append(write.Entries, consensus.Entry{Index: uint64(index), Term: 1, Kind: consensus.EntryCommand, Data: data})
		}
		require.NoError(b, store.Save(write))
	}
	require.NoError(b, store.Close())
}

// BenchmarkCapacityRestart measures the time to open a store and read its log, and the
// bytes on disk per log entry.
func BenchmarkCapacityRestart(b *testing.B) {
	for _, entries := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			folder := b.TempDir()
			fillStore(b, folder, entries)
			logs, err := filepath.Glob(filepath.Join(folder, "log-*"))
			require.NoError(b, err)
			var bytes int64
			for _, name := range logs {
				info, err := os.Stat(name)
				require.NoError(b, err)
				bytes += info.Size()
			}
			b.ResetTimer()
			for range b.N {
				files, err := storage.OpenDir(folder)
				require.NoError(b, err)
				store, loaded, err := storage.Open(files)
				require.NoError(b, err)
				require.Len(b, loaded.Stored.Entries, entries)
				require.NoError(b, store.Close())
			}
			b.ReportMetric(float64(bytes)/float64(entries), "log-B/entry")
		})
	}
}

// BenchmarkCapacityTimeWithoutLeader measures the time from the failure of the leader,
// without a transfer of leadership, until another member commits a command, with the
// default heartbeat interval and election timeout.
func BenchmarkCapacityTimeWithoutLeader(b *testing.B) {
	var total, longest time.Duration
	for range b.N {
		b.StopTimer()
		group := newLoopbackGroup(b, 3)
		group.modify = useDefaultTimeouts
		vms := group.startAll(b)
		leader := leaderOf(b, vms)
		_, err := leader.replica.Propose(b.Context(), []byte("before"))
		require.NoError(b, err)
		b.StartTimer()
		elapsed := failLeader(b, vms, leader)
		total += elapsed
		longest = max(longest, elapsed)
		b.StopTimer()
		for _, vm := range vms {
			if vm != leader {
				vm.stop(b)
			}
		}
	}
	b.ReportMetric(total.Seconds()*1000/float64(b.N), "ms/failover")
	b.ReportMetric(longest.Seconds()*1000, "ms-longest")
}

// failLeader stops the leader without a transfer of leadership and returns the time
// until another member commits a command.
func failLeader(b *testing.B, vms []*loopbackVM, leader *loopbackVM) time.Duration {
	start := time.Now()
	leader.replica.stop()
	leader.server.Stop()
	leader.pool.Close()
	for {
		for _, vm := range vms {
			if vm == leader || !vm.replica.Leadership().IsLeader {
				continue
			}
			if _, err := vm.replica.Propose(b.Context(), []byte("after")); err == nil {
				return time.Since(start)
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// trafficCounter counts the TCP payload bytes that each VM sends and receives, by
// address.
type trafficCounter struct {
	mu    sync.Mutex
	bytes map[string]int64
}

// pool returns the options of a pool that counts the traffic of the VM at near.
func (c *trafficCounter) pool(near string) transport.PoolOptions {
	return transport.PoolOptions{Dial: func(ctx context.Context, far string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", far)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn, count: func(n int) { c.add(n, near, far) }}, nil
	}}
}

func (c *trafficCounter) add(n int, ends ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, end := range ends {
		c.bytes[end] += int64(n)
	}
}

func (c *trafficCounter) of(address string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.bytes[address])
}

type countedConn struct {
	net.Conn
	count func(n int)
}

func (c *countedConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.count(n)
	return n, err
}

func (c *countedConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.count(n)
	return n, err
}

func cpuTime(b *testing.B) time.Duration {
	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityAtRest measures what an idle group costs: the TCP payload bytes per
// second that the leader and a follower send and receive, and the CPU time per member.
func BenchmarkCapacityAtRest(b *testing.B) {
	for _, members := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("members=%d", members), func(b *testing.B) { benchIdleGroup(b, members) })
	}
}

func benchIdleGroup(b *testing.B, members int) {
	counted := &trafficCounter{bytes: map[string]int64{}}
	group := newLoopbackGroup(b, members)
	group.modify = useDefaultTimeouts
	group.pool = counted.pool
	vms := group.startAll(b)
	leader := group.peers[slices.Index(vms, leaderOf(b, vms))].Internal
	follower := group.peers[0].Internal
	if follower == leader {
		follower = group.peers[1].Internal
	}
	time.Sleep(time.Second)
	leaderBefore, followerBefore := counted.of(leader), counted.of(follower)
	start, processor := time.Now(), cpuTime(b)
	b.ResetTimer()
	for range b.N {
		time.Sleep(idleTime)
	}
	b.StopTimer()
	seconds := time.Since(start).Seconds()
	busy := (cpuTime(b) - processor).Seconds()
	b.ReportMetric((counted.of(leader)-leaderBefore)/seconds, "leader-B/s")
	b.ReportMetric((counted.of(follower)-followerBefore)/seconds, "follower-B/s")
	b.ReportMetric(100*busy/seconds/float64(members), "core-percent/VM")
	for _, vm := range vms {
		vm.stop(b)
	}
}
