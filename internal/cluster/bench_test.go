package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/process"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/routing"
	"godwityoke.example/godwityoke/internal/settings"
)

const answerTokens = 16

// startBenchCluster starts a cluster of one entry VM and one engine. The engine takes as
// little time as possible, so that the cost of the entry VM shows.
func startBenchCluster(b *testing.B) *Cluster {
	b.Helper()
	scenario, findings, err := load.ReadScenario("../demo/files/demo.json")
	require.NoError(b, err)
	require.Empty(b, findings)
	scenario.Fleet.Zones, scenario.Fleet.EntryVMsPerZone, scenario.Fleet.EnginesPerZone = []string{"a"}, 1, 1
	scenario.Fleet.Engine.StepTime = jsonc.Duration(20 * time.Microsecond)
	scenario.Fleet.Engine.PrefillTimePerToken, scenario.Fleet.Engine.DecodeTimePerToken = 0, 0
	scenario.Fleet.Engine.MemoryTokens, scenario.Fleet.Engine.ChunkTokens = 1<<24, 1<<24
	c, err := Start(context.Background(), Options{Scenario: scenario, Policy: settings.PolicyTwoChoices, Logger: zerolog.Nop()})
	require.NoError(b, err)
	b.Cleanup(c.Close)
	return c
}

// benchClient sends requests with the same body to one address.
type benchClient struct {
	url  string
	body string
	http *http.Client
}

func newBenchClient(address, body string) *benchClient {
	return &benchClient{
		url: "http://" + address + backendapi.PathCompletions, body: body,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}
}

func (c *benchClient) call(b *testing.B, number int) {
	r, err := http.NewRequest(http.MethodPost, c.url, strings.NewReader(c.body))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer key-families")
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(backendapi.HeaderAttempt, fmt.Sprint("bench-", number))
	response, err := c.http.Do(r)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(b, err)
	require.NoError(b, response.Body.Close())
	require.Equal(b, http.StatusOK, response.StatusCode)
}

func promptBody(tokens int) string {
	return fmt.Sprintf(`{"model":"scribe","prompt":"%s","max_tokens":%d,"stream":true}`, strings.Repeat("tide", tokens), answerTokens)
}

// resourceUsage is the number of allocations, the allocated bytes and the processor time of
// this process since its start, or the difference of two such values.
type resourceUsage struct {
	mallocs, bytes uint64
	processor      time.Duration
}

func readUsage(b *testing.B) resourceUsage {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var times unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &times))
	return resourceUsage{memory.Mallocs, memory.TotalAlloc, time.Duration(times.Utime.Nano() + times.Stime.Nano())}
}

// measurement holds the latencies in microseconds and the resource usage of a number of
// sequential calls.
type measurement struct {
	times *hdrhistogram.Histogram
	usage resourceUsage
}

// measureCalls sends calls with the numbers from firstNumber on.
func measureCalls(b *testing.B, c *benchClient, calls, firstNumber int) measurement {
	result := measurement{times: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	before := readUsage(b)
	for i := range calls {
		start := time.Now()
		c.call(b, firstNumber+i)
		require.NoError(b, result.times.RecordValue(time.Since(start).Microseconds()))
	}
	after := readUsage(b)
	result.usage = resourceUsage{after.mallocs - before.mallocs, after.bytes - before.bytes, after.processor - before.processor}
	return result
}

// BenchmarkPathAdded reports what the path through an entry VM adds to a direct call of the
// stand-in engine: latency, allocations, allocated bytes and processor time. The client, the
// entry VM and the engine run in this process in both cases, so the difference is the cost
// of the path.
func BenchmarkPathAdded(b *testing.B) {
	for _, size := range []struct {
		name   string
		tokens int
	}{{"1k", 1000}, {"1M", 999_000}} {
		b.Run(size.name, func(b *testing.B) {
			c := startBenchCluster(b)
			body := promptBody(size.tokens)
			direct, path := newBenchClient(c.Standins.Engines[0].Address(), body), newBenchClient(c.Target().EntryAddresses[0], body)
			direct.call(b, 0)
			path.call(b, 0)
			b.ResetTimer()
			without := measureCalls(b, direct, b.N, 1)
			with := measureCalls(b, path, b.N, 1)
			b.StopTimer()
			report(b, without, with)
		})
	}
}

func report(b *testing.B, without, with measurement) {
	calls := float64(b.N)
	quantile := func(s measurement, q float64) float64 { return float64(s.times.ValueAtQuantile(q)) }
	b.ReportMetric(quantile(without, 50), "direct-p50-us")
	b.ReportMetric(quantile(with, 50), "path-p50-us")
	b.ReportMetric(quantile(with, 50)-quantile(without, 50), "added-p50-us")
	b.ReportMetric(quantile(with, 99)-quantile(without, 99), "added-p99-us")
	b.ReportMetric((float64(with.usage.mallocs)-float64(without.usage.mallocs))/calls, "added-allocs/op")
	b.ReportMetric((float64(with.usage.bytes)-float64(without.usage.bytes))/calls, "added-B/op")
	added := (with.usage.processor - without.usage.processor).Seconds() / calls
	b.ReportMetric(added*1e6, "added-cpu-us/op")
	if added > 0 {
		b.ReportMetric(1/added, "requests/s/core")
	}
}

// BenchmarkClaimedCalls reports how many calls with an idempotency key a cluster of three
// zones, without delay between zones, completes per second, and their latency. The control
// VMs sync the claim records to disk.
func BenchmarkClaimedCalls(b *testing.B) {
	scenario, findings, err := load.ReadScenario("../demo/files/demo.json")
	require.NoError(b, err)
	require.Empty(b, findings)
	scenario.Fleet.EntryVMsPerZone, scenario.Fleet.EnginesPerZone = 1, 1
	scenario.Fleet.ServiceTime, scenario.Fleet.ZoneDelay = 0, 0
	c, err := Start(context.Background(), Options{
		Scenario: scenario, Policy: settings.PolicyTwoChoices, Logger: zerolog.Nop(), WithControlVMs: true,
		Builders: []process.Builder{process.BuildDistribution, process.BuildControl, process.BuildClaims, routing.Build},
	})
	require.NoError(b, err)
	b.Cleanup(c.Close)
	entryAddresses := c.Target().EntryAddresses
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var number, refused atomic.Int64
	histogram, mu := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), sync.Mutex{}
	b.SetParallelism(4)
	b.ResetTimer()
	b.RunParallel(func(parallel *testing.PB) {
		for parallel.Next() {
			started, key := time.Now(), number.Add(1)
			status := book(b, client, entryAddresses[key%int64(len(entryAddresses))], key)
			if status != http.StatusOK {
				refused.Add(1)
				continue
			}
			mu.Lock()
			_ = histogram.RecordValue(time.Since(started).Microseconds())
			mu.Unlock()
		}
	})
	b.ReportMetric(float64(histogram.TotalCount())/b.Elapsed().Seconds(), "claimed-calls/s")
	b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(refused.Load()), "not-completed")
}

// book sends a booking with an idempotency key to the entry VM at entryAddress and returns
// the HTTP status.
func book(b *testing.B, client *http.Client, entryAddress string, key int64) int {
	r, err := http.NewRequest(http.MethodPost, "http://"+entryAddress+"/services/voyages/bookings", strings.NewReader(`{"boat":1}`))
	require.NoError(b, err)
	r.Header.Set("Authorization", "Bearer key-families")
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(request.IdempotencyKeyHeader, fmt.Sprint("bench-", key))
	response, err := client.Do(r)
	require.NoError(b, err)
	_, _ = io.Copy(io.Discard, response.Body)
	require.NoError(b, response.Body.Close())
	return response.StatusCode
}
