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

// emptyEngines hold nothing but what was leased.
type emptyEngines struct{}

func (emptyEngines) List(context.Context, capacity.Engine) ([]capacity.HeldAttempt, error) {
	return nil, nil
}

func (emptyEngines) Cancel(_ context.Context, _ capacity.Engine, attempts []string) ([]string, error) {
	return attempts, nil
}

// leaseVM is a zone of one VM that places by leases.
type leaseVM struct {
	t       *testing.T
	placer  Placer
	service *capacity.Service
	count   int
}

// withLeases runs test on a VM whose scheduler has settled.
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
		holder := capacity.NewHolder(capacity.HolderOptions{VM: "vm", Service: service, Timeout: 20 * time.Millisecond, Term: leaseTerm, Clock: time.Now})
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

// TestLeasesDoNotHerd places queries while every load report says the same:
// the baseline that trusts reports piles up requests, the scheduler does not.
func TestLeasesDoNotHerd(t *testing.T) {
	spread := func(placer func() Placement) int64 {
		counts := map[string]int64{}
		most := int64(0)
		for range 150 {
			id := placer().Server().ID
			counts[id]++
			most = max(most, counts[id])
		}
		return most
	}
	withLeases(t, modelServers(15), nil, func(vm *leaseVM) {
		assert.Equal(t, int64(10), spread(func() Placement { return vm.mustPlace(shortQuery()) }))
	})
	servers := modelServers(15)
	servers[3].Load.RunningRequests = -1 // a stale report of an idle engine
	stale := testPlacer(t, settings.PolicyTwoChoices, servers)
	assert.Greater(t, spread(func() Placement {
		placed, err := stale.Place(context.Background(), shortQuery())
		require.NoError(t, err)
		return placed
	}), int64(15))
}

func TestLongPromptsKeepToFewEngines(t *testing.T) {
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

func TestLeasedMemoryComesBack(t *testing.T) {
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

func TestPlacesWithoutAScheduler(t *testing.T) {
	withLeases(t, modelServers(2), nil, func(vm *leaseVM) {
		unknown := modelServers(1)
		unknown[0].ID = "unknown"
		vm.placer.(*leasePlacer).baseline.options.View = staticView(unknown)
		placed := vm.mustPlace(shortQuery())
		assert.Equal(t, "unknown", placed.Server().ID)
		finish(placed, AttemptResult{})
	})
}

func TestAffinityIsWeighedAgainstLoad(t *testing.T) {
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
		assert.Len(t, slices.Compact(slices.Clone(used)), 1, "four times 232 tokens are less than 1000 elsewhere")
		for range 3 {
			used = append(used, vm.mustPlace(query).Server().ID)
		}
		slices.Sort(used)
		assert.Len(t, slices.Compact(used), 4, "then the queue there makes the others faster")
	})
}

// TestAdmissionByEstimate refuses at once what cannot end in time, as long as
// requests show that, and recovers soon after the engines have.
func TestAdmissionByEstimate(t *testing.T) {
	for _, policy := range []settings.Policy{settings.PolicyTwoChoices, settings.PolicyLeases} {
		t.Run(string(policy), func(t *testing.T) {
			withLeases(t, modelServers(2), func(options *Options) { options.Policy = policy }, func(vm *leaseVM) {
				slow := vm.mustPlace(shortQuery())
				time.Sleep(50 * time.Second)
				slow.FirstToken(time.Now())
				time.Sleep(20 * time.Second)
				finish(slow, AttemptResult{AnswerTokens: 100})

				_, err := vm.place(shortQuery())
				require.ErrorIs(t, err, ErrDeadlineUnreachable, "70 seconds do not fit into a minute")
				var refused *RefusedError
				require.ErrorAs(t, err, &refused)
				assert.InDelta(t, 10, refused.RetryAfter.Seconds(), 5)

				time.Sleep(evidenceAge)
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

func TestFailingEngineIsLeftOut(t *testing.T) {
	ejected := 0
	change := func(options *Options) {
		options.MaxEjectedPercent = func() float64 { return 50 }
		options.OnEject = func(Server) { ejected++ }
	}
	withLeases(t, modelServers(3), change, func(vm *leaseVM) {
		first := vm.mustPlace(shortQuery())
		sick := first.Server().ID
		finish(first, AttemptResult{Failed: true})
		for range 30 {
			placed := vm.mustPlace(shortQuery())
			finish(placed, AttemptResult{Failed: placed.Server().ID == sick})
		}
		assert.Equal(t, 1, ejected)
		for range 10 {
			assert.NotEqual(t, sick, vm.mustPlace(shortQuery()).Server().ID)
		}
	})
}

// BenchmarkPlan reports the decision of the policy leases on the entry VM,
// before it asks the scheduler.
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
