package place

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/prefix"
	"godwityoke.example/godwityoke/internal/settings"
)

const leaseTerm = 2 * time.Second

// emptyEngines implements capacity.EngineClient for engines without unleased attempts.
// A cancellation is confirmed at once.
type emptyEngines struct{}

func (emptyEngines) List(context.Context, capacity.Engine) ([]capacity.HeldAttempt, error) {
	return nil, nil
}

func (emptyEngines) Cancel(_ context.Context, _ capacity.Engine, attempts []string) ([]string, error) {
	return attempts, nil
}

// leaseVM is the only entry VM of a zone. It runs the scheduler and a placer that uses
// its leases.
type leaseVM struct {
	t       *testing.T
	placer  Placer
	service *capacity.Service
	count   int
}

// withLeases runs test on a VM whose scheduler already grants all memory.
func withLeases(t *testing.T, servers []Server, change func(*Options), test func(vm *leaseVM)) {
	synctest.Test(t, func(t *testing.T) {
		live := make([]capacity.Engine, len(servers))
		for i := range servers {
			live[i] = capacity.Engine{Server: servers[i].ID, Incarnation: 1, Memory: servers[i].MemoryTokens, Group: LeaseGroup(&servers[i])}
		}
		service := capacity.NewService(capacity.ServiceOptions{
			VM: "vm", Zone: []string{"vm"}, Engines: emptyEngines{}, Clock: time.Now,
			Config: func() capacity.Config { return capacity.DefaultConfig(leaseTerm, 20, time.Minute) },
			Live:   func(time.Time) []capacity.Engine { return live },
		})
		holder := capacity.NewHolder(capacity.HolderOptions{VM: "vm", Service: service, Timeout: 20 * time.Millisecond, LeaseTerm: leaseTerm, Clock: time.Now})
		ctx, cancel := context.WithCancel(context.Background())
		go service.Run(ctx)
		go holder.Run(ctx)
		options := Options{Policy: settings.PolicyLeases, View: staticView(servers), VM: "vm", Seed: 1, Clock: time.Now, Leases: holder}
		if change != nil {
			change(&options)
		}
		placer, err := New(options)
		require.NoError(t, err)
		time.Sleep(4 * leaseTerm)
		test(&leaseVM{t: t, placer: placer, service: service})
		cancel()
	})
}

func (vm *leaseVM) place(query Query) (Placement, error) {
	vm.count++
	query.Attempt = fmt.Sprint("attempt-", vm.count)
	query.Deadline = time.Now().Add(time.Minute)
	return vm.placer.Place(context.Background(), query)
}

func (vm *leaseVM) mustPlace(query Query) Placement {
	placed, err := vm.place(query)
	require.NoError(vm.t, err)
	return placed
}

func modelServers(count int) []Server {
	servers := testServers(count)
	for i := range servers {
		servers[i].Models = []backendapi.ServedModel{{Name: "m"}}
	}
	return servers
}

func shortQuery() Query {
	return Query{Model: "m", PromptTokens: 1000, AnswerTokens: 100, Short: true}
}

func longQuery() Query { return Query{Model: "m", PromptTokens: 50_000, AnswerTokens: 100} }

func finish(p Placement, result AttemptResult) {
	result.At = time.Now()
	p.Finish(result)
	synctest.Wait()
}

// With load reports that do not change, a policy that relies on them sends too many
// queries to the same engine. The scheduler counts its own grants and must distribute
// them evenly.
func TestLeasesDistributeEvenlyWithStaleReports(t *testing.T) {
	maxPlaced := func(place func() Placement) int64 {
		counts := map[string]int64{}
		maxCount := int64(0)
		for range 150 {
			id := place().Server().ID
			counts[id]++
			maxCount = max(maxCount, counts[id])
		}
		return maxCount
	}
	withLeases(t, modelServers(15), nil, func(vm *leaseVM) {
		assert.Equal(t, int64(10), maxPlaced(func() Placement { return vm.mustPlace(shortQuery()) }))
	})
	servers := modelServers(15)
	servers[3].Load.RunningRequests = -1 // a stale report of an idle engine
	stale := testPlacer(t, settings.PolicyTwoChoices, servers)
	assert.Greater(t, maxPlaced(func() Placement {
		placed, err := stale.Place(context.Background(), shortQuery())
		require.NoError(t, err)
		return placed
	}), int64(15))
}

func TestLongPromptsUseFewEngines(t *testing.T) {
	withLeases(t, modelServers(6), nil, func(vm *leaseVM) {
		used := map[string]bool{}
		for range 8 {
			placed := vm.mustPlace(longQuery())
			used[placed.Server().ID] = true
			placed.FirstToken(time.Now())
			synctest.Wait()
			finish(placed, AttemptResult{})
		}
		assert.LessOrEqual(t, len(used), 2)
		long := vm.mustPlace(longQuery())
		for range 10 {
			assert.NotEqual(t, long.Server().ID, vm.mustPlace(shortQuery()).Server().ID, "short prompts avoid an engine in a long prefill")
		}
	})
}

func TestLeasedMemoryIsReleased(t *testing.T) {
	withLeases(t, modelServers(2), nil, func(vm *leaseVM) {
		var placed []Placement
		for range 40 {
			placed = append(placed, vm.mustPlace(shortQuery()))
		}
		for i, p := range placed {
			if i%2 == 0 {
				p.FirstToken(time.Now())
			}
			finish(p, AttemptResult{MemoryHeld: i%3 == 0, Failed: i%3 == 0})
		}
		time.Sleep(4 * leaseTerm)
		for server, usage := range vm.service.Usage() {
			assert.Zero(t, usage.Leased(), server)
			assert.Zero(t, usage.Prefill, server)
		}
	})
}

func TestPlacementWithoutScheduler(t *testing.T) {
	withLeases(t, modelServers(2), nil, func(vm *leaseVM) {
		unknown := modelServers(1)
		unknown[0].ID = "unknown"
		vm.placer.(*leasePlacer).local.options.View = staticView(unknown)
		placed := vm.mustPlace(shortQuery())
		assert.Equal(t, "unknown", placed.Server().ID)
		finish(placed, AttemptResult{})
	})
}

func TestCachedPrefixIsWeighedAgainstLoad(t *testing.T) {
	index := prefix.New(100)
	blocks := []uint64{1, 2, 3}
	index.AddBlocks("engine-002", 0, blocks)
	withIndex := func(options *Options) { options.Index = index }
	withLeases(t, modelServers(4), withIndex, func(vm *leaseVM) {
		query := shortQuery()
		query.Blocks = blocks
		first := vm.mustPlace(query)
		assert.Equal(t, "engine-002", first.Server().ID, "768 of 1000 tokens are cached there")
		used := []string{first.Server().ID}
		for range 3 {
			used = append(used, vm.mustPlace(query).Server().ID)
		}
		assert.Len(t, slices.Compact(slices.Clone(used)), 1, "four prefills of 232 uncached tokens are faster than one of 1000 on another engine")
		for range 3 {
			used = append(used, vm.mustPlace(query).Server().ID)
		}
		slices.Sort(used)
		assert.Len(t, slices.Compact(used), 4, "with a longer queue there the other engines are faster")
	})
}

// Queries that are expected to miss their deadline must be refused at once, but only
// while recent requests support the estimate: otherwise refusals would go on after the
// engines have recovered.
func TestQueriesAreRefusedByRecentEstimatesOnly(t *testing.T) {
	for _, policy := range []settings.Policy{settings.PolicyTwoChoices, settings.PolicyLeases} {
		t.Run(string(policy), func(t *testing.T) {
			withLeases(t, modelServers(2), func(options *Options) { options.Policy = policy }, func(vm *leaseVM) {
				slow := vm.mustPlace(shortQuery())
				time.Sleep(50 * time.Second)
				slow.FirstToken(time.Now())
				time.Sleep(20 * time.Second)
				finish(slow, AttemptResult{AnswerTokens: 100})

				_, err := vm.place(shortQuery())
				require.ErrorIs(t, err, ErrDeadlineUnreachable, "an estimate of 70 seconds exceeds the deadline of one minute")
				var refused *RefusedError
				require.ErrorAs(t, err, &refused)
				assert.InDelta(t, 10, refused.RetryAfter.Seconds(), 5)

				time.Sleep(maxEvidenceAge)
				tried := []Placement{vm.mustPlace(shortQuery()), vm.mustPlace(shortQuery())}
				time.Sleep(20 * time.Millisecond)
				for _, p := range tried {
					p.FirstToken(time.Now())
				}
				time.Sleep(time.Second)
				for _, p := range tried {
					finish(p, AttemptResult{AnswerTokens: 100})
				}
				finish(vm.mustPlace(shortQuery()), AttemptResult{})
			})
		})
	}
}

func TestFailingEngineIsEjected(t *testing.T) {
	ejected := 0
	change := func(options *Options) {
		options.MaxEjectedPercent = func() float64 { return 50 }
		options.OnEject = func(Server) { ejected++ }
	}
	withLeases(t, modelServers(3), change, func(vm *leaseVM) {
		first := vm.mustPlace(shortQuery())
		failing := first.Server().ID
		finish(first, AttemptResult{Failed: true})
		for range 30 {
			placed := vm.mustPlace(shortQuery())
			finish(placed, AttemptResult{Failed: placed.Server().ID == failing})
		}
		assert.Equal(t, 1, ejected)
		for range 10 {
			assert.NotEqual(t, failing, vm.mustPlace(shortQuery()).Server().ID)
		}
	})
}

// BenchmarkPlan measures the work of the policy "leases" on the entry VM before the
// request to the scheduler.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{15, 150, 600} {
		for _, blocks := range []int{0, backendapi.MaxPrefixBlocks} {
			b.Run(fmt.Sprintf("servers=%d/blocks=%d", count, blocks), func(b *testing.B) {
				servers := modelServers(count)
				index := prefix.New(prefix.DefaultBlocks)
				query := Query{Attempt: "a", Model: "m", PromptTokens: 20_000, AnswerTokens: 100, Short: true}
				for i := range blocks {
					query.Blocks = append(query.Blocks, uint64(i))
				}
				for i := range servers {
					if blocks > 0 {
						index.AddBlocks(servers[i].ID, 0, query.Blocks[:1+i%blocks])
					}
				}
				now := time.Unix(0, 0)
				placer := newLeasePlacer(Options{View: staticView(servers), VM: "vm", Index: index}, &roundRobin{})
				b.ReportAllocs()
				for b.Loop() {
					if _, err := placer.plan(&query, now); err != nil {
						b.Fatal(err)
					}
				}
			})
		}
	}
}
