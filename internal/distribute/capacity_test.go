package distribute_test

import (
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
)

// benchmarkDelay is the one-way delay of each link.
const benchmarkDelay = 5 * time.Millisecond

// largeTree starts three control VMs and entry VMs in six zones.
func largeTree(b *testing.B, watchers int) *tree {
	tr := newTree(b, benchmarkDelay)
	zones := []string{"a", "b", "c", "d", "e", "f"}
	for _, zone := range zones[:3] {
		tr.start(tr.know("control-"+zone, zone, true))
	}
	for i := range watchers {
		zone := zones[i%len(zones)]
		tr.know(fmt.Sprint("entry-", zone, i), zone, false)
	}
	for _, peer := range tr.allPeers()[3:] {
		tr.start(peer)
	}
	tr.accept(1)
	require.Eventually(b, func() bool { return tr.behind(1) == 0 && tr.detached() == 0 }, time.Minute, 10*time.Millisecond)
	return tr
}

// behind counts the VMs that have less than version in force.
func (tr *tree) behind(version uint64) int {
	count := 0
	for _, v := range tr.vms {
		if v.version() < version {
			count++
		}
	}
	return count
}

func (tr *tree) detached() int {
	count := 0
	for _, v := range tr.vms {
		if !v.node.IsAttached() {
			count++
		}
	}
	return count
}

// smallTeams and largeTeams are the teams of a bundle today and in two years.
const (
	smallTeams = 10
	largeTeams = 1700
)

// BenchmarkCapacityAcceptanceToInForce measures the time from acceptance at
// the control VMs until the last watcher has the bundle in force.
func BenchmarkCapacityAcceptanceToInForce(b *testing.B) {
	for _, watchers := range []int{9, 60, 390} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) { measureInForce(b, watchers, smallTeams) })
	}
}

// BenchmarkCapacityLargeBundleToInForce measures the same with all watchers and
// teams of two years from now.
func BenchmarkCapacityLargeBundleToInForce(b *testing.B) {
	for _, teams := range []int{smallTeams, 400, largeTeams} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) { measureInForce(b, 390, teams) })
	}
}

func measureInForce(b *testing.B, watchers, teams int) {
	tr := largeTree(b, watchers)
	defer tr.stop()
	var times []time.Duration
	version := uint64(1)
	for b.Loop() {
		version++
		next := sealed(b, version, teams)
		start := time.Now()
		for _, name := range []string{"control-a", "control-b", "control-c"} {
			tr.vms[name].node.Store().Put(next)
		}
		for tr.behind(version) > 0 {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(millis(times[len(times)/2]), "p50-ms")
	b.ReportMetric(millis(times[len(times)*99/100]), "p99-ms")
	b.ReportMetric(float64(len(times)), "changes")
	b.ReportMetric(0, "ns/op")
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkCapacityTransfer measures the size of a bundle of 1,700 teams on
// the wire, whole and against the version before.
func BenchmarkCapacityTransfer(b *testing.B) {
	before, after := sealed(b, 1, largeTeams), sealed(b, 2, largeTeams)
	after.Accepted.Bundle.Teams[800].Limits.ConcurrentRequests = 7
	after = seal(b, 2, after.Accepted.Bundle)
	for _, c := range []struct {
		name string
		base []byte
	}{{"whole", nil}, {"against the version before", before.Content}} {
		b.Run(c.name, func(b *testing.B) {
			var compressed []byte
			for b.Loop() {
				var err error
				compressed, err = bundle.Compress(after.Content, c.base)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(after.Content)), "content-bytes")
			b.ReportMetric(float64(len(compressed)), "wire-bytes")
		})
	}
}

// BenchmarkCapacityWatcherAtRest measures what a watcher costs while nothing
// changes: bytes on all its links in both directions, and processor time.
func BenchmarkCapacityWatcherAtRest(b *testing.B) {
	const rest = 10 * time.Second
	for _, watchers := range []int{9, 60, 390} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) {
			tr := largeTree(b, watchers)
			defer tr.stop()
			for b.Loop() {
				time.Sleep(rest)
				carried, processor := tr.network.bytes(), processorTime()
				time.Sleep(rest)
				bytes := float64(tr.network.bytes()-carried) / rest.Seconds() / float64(watchers)
				b.ReportMetric(bytes, "bytes/s/watcher")
				share := float64(processorTime()-processor) / float64(rest) / float64(watchers) * 100
				b.ReportMetric(share, "core-percent/watcher")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
