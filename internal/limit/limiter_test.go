package limit

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/bundle"
)

var start = time.Unix(1_000_000, 0)

const step = 10 * time.Millisecond

// TestLimitsOfATeam counts the admitted requests out of 100 per second over
// 10 s for each kind of limit.
func TestLimitsOfATeam(t *testing.T) {
	cases := map[string]struct {
		limits  bundle.TeamLimits
		tokens  int64
		release bool
		passing int
	}{
		"requests":            {bundle.TeamLimits{RequestsPerSecond: 10}, 1, true, 20 + 100},
		"tokens":              {bundle.TeamLimits{TokensPerSecond: 1000}, 100, true, 20 + 100},
		"larger than a burst": {bundle.TeamLimits{TokensPerSecond: 1000}, 5000, true, 3},
		"concurrent":          {bundle.TeamLimits{ConcurrentRequests: 7}, 1, false, 7},
		"engine memory":       {bundle.TeamLimits{EngineMemoryTokens: 1000}, 300, false, 3},
		"one larger request":  {bundle.TeamLimits{EngineMemoryTokens: 1000}, 3000, false, 1},
		"none":                {bundle.TeamLimits{}, 1e6, false, 1000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := New(1)
			team := &bundle.Team{Name: "t", Limits: c.limits}
			passed := 0
			for i := range 1000 {
				release, retryAfter, ok := l.Admit(team, c.tokens, start.Add(time.Duration(i)*step))
				if !ok {
					assert.Positive(t, retryAfter)
					continue
				}
				passed++
				if c.release {
					release()
				}
			}
			assert.InDelta(t, c.passing, passed, 1)
		})
	}
}

// TestLimitOverAllVMsOfAZone puts nearly all the demand of a team on one of
// three VMs. That VM must get nearly all of the limit, and all VMs together
// must not exceed it.
func TestLimitOverAllVMsOfAZone(t *testing.T) {
	team := &bundle.Team{Name: "t", Limits: bundle.TeamLimits{RequestsPerSecond: 30}}
	vms := []*Limiter{New(3), New(3), New(3)}
	aggregator := NewAggregator()
	passed := make([]int, len(vms))
	const seconds = 30
	for i := range seconds * 100 {
		now := start.Add(time.Duration(i) * step)
		for index, vm := range vms {
			if index != 0 && i%50 != 0 {
				continue
			}
			if release, _, ok := vm.Admit(team, 1, now); ok {
				release()
				passed[index]++
			}
		}
		if i%50 == 0 {
			for index, vm := range vms {
				vm.SetTotals(aggregator.Report(fmt.Sprint(index), vm.Demands(now), now), now)
			}
		}
	}
	assert.Greater(t, passed[0], 25*seconds, "without the exchange the VM would get a third of the limit")
	assert.LessOrEqual(t, passed[0]+passed[1]+passed[2], 32*seconds+60)
	aggregator.Sweep(start.Add(time.Hour))
	assert.Empty(t, aggregator.teams)
}

// engines is a fake that takes perSecond tokens per second and refuses the rest.
type engines struct {
	perSecond float64
	bucket    bucket
}

func (e *engines) tryTake(tokens int64, now time.Time) bool {
	e.bucket.refill(e.perSecond, e.perSecond/4, now)
	if e.bucket.level < float64(tokens) {
		return false
	}
	e.bucket.level -= float64(tokens)
	return true
}

// load is the demand of a team.
type load struct {
	team *bundle.Team
	// tokens is the size of each request.
	tokens int64
	// every is the number of steps from one request to the next.
	every int
	// admitted counts the requests that the limiter admitted, served those of
	// them that the engines took.
	admitted, served int
}

// offer sends the requests of all loads to l from one time until another and
// returns how many admitted ones the engines refused. The order of the loads
// rotates with each step, so that none is always the first.
func offer(l *Limiter, e *engines, loads []*load, from, until time.Time) (refusedByEngines int) {
	for i, now := 0, from; now.Before(until); i, now = i+1, now.Add(step) {
		for index := range loads {
			demand := loads[(index+i)%len(loads)]
			if i%demand.every != 0 {
				continue
			}
			release, _, ok := l.Admit(demand.team, demand.tokens, now)
			if !ok {
				continue
			}
			demand.admitted++
			if e.tryTake(demand.tokens, now) {
				l.RecordPlacement(demand.tokens, now)
				demand.served++
			} else {
				l.RecordOverload(now)
				refusedByEngines++
			}
			release()
		}
	}
	return refusedByEngines
}

// TestOverloadIsSharedByWeight overloads engines of 20,000 tokens per second
// with two teams that demand 100,000 each. A team within its share must be
// served, the others must get the rest by weight, and one team alone must be
// able to use the capacity that the others leave.
func TestOverloadIsSharedByWeight(t *testing.T) {
	big := &load{team: &bundle.Team{Name: "big", SharePercent: 50}, tokens: 1000, every: 1}
	small := &load{team: &bundle.Team{Name: "small", SharePercent: 25}, tokens: 200, every: 10}
	other := &load{team: &bundle.Team{Name: "other", SharePercent: 25}, tokens: 1000, every: 1}
	l, e := New(1), &engines{perSecond: 20_000}
	offer(l, e, []*load{big, small, other}, start, start.Add(10*time.Second))
	for _, demand := range []*load{big, small, other} {
		demand.admitted, demand.served = 0, 0
	}
	const seconds = 20
	offer(l, e, []*load{big, small, other}, start.Add(10*time.Second), start.Add(30*time.Second))
	assert.Greater(t, small.served, 9*10*seconds/10, "a team within its share is served nearly all of its 10 requests per second")
	assert.InDelta(t, 2, float64(big.admitted)/float64(other.admitted), 0.2, "the other teams share the rest by weight")
	assert.Greater(t, big.served+other.served, 12*seconds, "the other teams get most of the remaining 18 requests per second")

	alone := &load{team: other.team, tokens: 1000, every: 6}
	offer(l, e, []*load{alone}, start.Add(30*time.Second), start.Add(36*time.Second))
	alone.served = 0
	offer(l, e, []*load{alone}, start.Add(36*time.Second), start.Add(46*time.Second))
	assert.Greater(t, alone.served, 155, "a team alone is served nearly all of its 16.7 requests per second")
}

// TestRecoveryAfterPeak raises the demand to 110,000 tokens per second for two
// seconds, with engines of 20,000. The shares must not be enforced for longer
// than two seconds after the peak.
func TestRecoveryAfterPeak(t *testing.T) {
	l, e := New(1), &engines{perSecond: 20_000}
	usual := &load{team: &bundle.Team{Name: "usual", SharePercent: 50}, tokens: 1000, every: 10}
	peak := &load{team: &bundle.Team{Name: "crest", SharePercent: 50}, tokens: 1000, every: 1}
	offer(l, e, []*load{usual}, start, start.Add(5*time.Second))
	offer(l, e, []*load{usual, peak}, start.Add(5*time.Second), start.Add(7*time.Second))
	offer(l, e, []*load{usual}, start.Add(7*time.Second), start.Add(9*time.Second))
	usual.served = 0
	refused := offer(l, e, []*load{usual}, start.Add(9*time.Second), start.Add(14*time.Second))
	assert.Equal(t, 50, usual.served, "all requests are served from two seconds after the peak")
	assert.Zero(t, refused)
}

// TestIdleTeamsAreEvicted fails when the state of teams without requests grows
// without bound.
func TestIdleTeamsAreEvicted(t *testing.T) {
	l := New(1)
	for i := range 1700 {
		release, _, ok := l.Admit(&bundle.Team{Name: fmt.Sprint(i)}, 1, start)
		require.True(t, ok)
		release()
	}
	_, _, _ = l.Admit(&bundle.Team{Name: "one"}, 1, start.Add(2*time.Minute))
	assert.Len(t, l.teams, 1)
}

func BenchmarkAdmit(b *testing.B) {
	for _, teams := range []int{10, 400, 1700} {
		for _, overload := range []bool{false, true} {
			b.Run(fmt.Sprintf("teams=%d/overload=%v", teams, overload), func(b *testing.B) {
				l := New(3)
				all := make([]bundle.Team, teams)
				for i := range all {
					all[i] = bundle.Team{Name: fmt.Sprint(i), SharePercent: 1, Limits: bundle.TeamLimits{TokensPerSecond: 1e9}}
				}
				now := start
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					now = now.Add(time.Second / 2300)
					if release, _, ok := l.Admit(&all[i%teams], 1000, now); ok {
						release()
					}
					if overload {
						l.RecordOverload(now)
					}
					i++
				}
			})
		}
	}
}

// TestUnusedShareGoesToOtherTeams checks the division of a capacity of 100
// among three teams of which one demands less than its share.
func TestUnusedShareGoesToOtherTeams(t *testing.T) {
	l := New(1)
	offered := map[string]float64{"modest": 10, "large": 1000, "huge": 2000}
	for name, perSecond := range offered {
		l.teams[name] = &team{name: name, sharePercent: 25}
		l.teams[name].offeredTokenRate.add(perSecond*rateTimeConstant.Seconds(), start)
	}
	l.teams["huge"].sharePercent = 50
	l.capacity.tokensPerSecond = 100
	l.divide(start)
	assert.InDelta(t, 25, l.teams["modest"].fairTokensPerSecond, 0.01)
	assert.InDelta(t, 30, l.teams["large"].fairTokensPerSecond, 0.01, "a third of the remaining 90")
	assert.InDelta(t, 60, l.teams["huge"].fairTokensPerSecond, 0.01)
}
