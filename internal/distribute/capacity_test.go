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

// benchmarkLinkDelay is the one-way delay of each link in benchmarks.
const benchmarkLinkDelay = 5 * time.Millisecond

// newLargeTree starts three control VMs and the given number of entry VMs in six zones, and waits until version 1 is in
// force on all of them.
func newLargeTree(b *testing.B, watchers int) *tree {
	tr := newTree(b, benchmarkLinkDelay)
	zones := []string{"a", "b", "c", "d", "e", "f"}
	for _, zone := range zones[:3] {
		tr.start(tr.addPeer("control-"+zone, zone, true))
	}
	for i := range watchers {
		zone := zones[i%len(zones)]
		tr.addPeer(fmt.Sprint("entry-", zone, i), zone, false)
	}
	for _, peer := range tr.allPeers()[3:] {
		tr.start(peer)
	}
	tr.accept(1)
	require.Eventually(b, func() bool { return tr.countBehind(1) == 0 && tr.countDetached() == 0 }, time.Minute, 10*time.Millisecond)
	return tr
}

// countBehind returns the number of VMs with a version in force lower than version.
func (tr *tree) countBehind(version uint64) int {
	count := 0
	for _, v := range tr.vms {
		if v.version() < version {
			count++
		}
	}
	return count
}

// countDetached returns the number of VMs without a path to a control VM.
func (tr *tree) countDetached() int {
	count := 0
	for _, v := range tr.vms {
		if !v.node.IsAttached() {
			count++
		}
	}
	return count
}

// smallBundleTeams and largeBundleTeams are the numbers of teams in a bundle today and expected in two years.
const (
	smallBundleTeams = 10
	largeBundleTeams = 1700
)

// BenchmarkCapacityAcceptanceToInForce measures the time from the acceptance of a bundle at the control VMs until it is
// in force on the last VM.
func BenchmarkCapacityAcceptanceToInForce(b *testing.B) {
	for _, watchers := range []int{9, 60, 390} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) { measureInForce(b, watchers, smallBundleTeams) })
	}
}

// BenchmarkCapacityLargeBundleToInForce measures the time from acceptance to in force on the last of 390 watchers, for
// bundles with up to the number of teams expected in two years.
func BenchmarkCapacityLargeBundleToInForce(b *testing.B) {
	for _, teams := range []int{smallBundleTeams, 400, largeBundleTeams} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) { measureInForce(b, 390, teams) })
	}
}

func measureInForce(b *testing.B, watchers, teams int) {
	tr := newLargeTree(b, watchers)
	defer tr.stop()
	var times []time.Duration
	version := uint64(1)
	for b.Loop() {
		version++
		next := newBundle(b, version, teams)
		start := time.Now()
		for _, name := range []string{"control-a", "control-b", "control-c"} {
			tr.vms[name].node.Store().Put(next)
		}
		for tr.countBehind(version) > 0 {
			time.Sleep(time.Millisecond)
		}
		times = append(times, time.Since(start))
	}
	slices.Sort(times)
	b.ReportMetric(toMilliseconds(times[len(times)/2]), "p50-ms")
	b.ReportMetric(toMilliseconds(times[len(times)*99/100]), "p99-ms")
	b.ReportMetric(float64(len(times)), "changes")
	b.ReportMetric(0, "ns/op")
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// BenchmarkCapacityTransfer measures the compressed size of a bundle of 1,700 teams, without a base and with the
// previous version as the base.
func BenchmarkCapacityTransfer(b *testing.B) {
	before, after := newBundle(b, 1, largeBundleTeams), newBundle(b, 2, largeBundleTeams)
	after.Accepted.Bundle.Teams[800].Limits.ConcurrentRequests = 7
	after = signBundle(b, 2, after.Accepted.Bundle)
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

// BenchmarkCapacityWatcherAtRest measures the cost per watcher while nothing changes: bytes on all links in both
// directions, and processor time.
func BenchmarkCapacityWatcherAtRest(b *testing.B) {
	const rest = 10 * time.Second
	for _, watchers := range []int{9, 60, 390} {
		b.Run(fmt.Sprint("watchers=", watchers), func(b *testing.B) {
			tr := newLargeTree(b, watchers)
			defer tr.stop()
			for b.Loop() {
				time.Sleep(rest)
				carried, processor := tr.network.carriedBytes(), cpuTime()
				time.Sleep(rest)
				bytes := float64(tr.network.carriedBytes()-carried) / rest.Seconds() / float64(watchers)
				b.ReportMetric(bytes, "bytes/s/watcher")
				share := float64(cpuTime()-processor) / float64(rest) / float64(watchers) * 100
				b.ReportMetric(share, "core-percent/watcher")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
