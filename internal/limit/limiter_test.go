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
		"concurrent":          {bundle.TeamLimits{Concurrent: 7}, 1, false, 7},
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

// TestLimitOverAllVMsOfAZone lets one VM carry nearly all the demand of a
// team: it gets nearly all of the limit, and all VMs together no more than it.
func TestLimitOverAllVMsOfAZone(t *testing.T) {
	team := &bundle.Team{Name: "t", Limits: bundle.TeamLimits{RequestsPerSecond: 30}}
	vms := []*Limiter{New(3), New(3), New(3)}
	summer := NewAggregator()
	passed := make([]int, len(vms))
	const seconds = 30
	for i := range seconds * 100 {
		now := start.Add(time.Duration(i) * step)
		for at, vm := range vms {
			if at != 0 && i%50 != 0 {
				continue
			}
			if release, _, ok := vm.Admit(team, 1, now); ok {
				release()
				passed[at]++
			}
		}
		if i%50 == 0 {
			for at, vm := range vms {
				vm.SetTotals(summer.Report(fmt.Sprint(at), vm.Demands(now), now), now)
			}
		}
	}
	assert.Greater(t, passed[0], 25*seconds, "without the exchange it were a third of the limit")
	assert.LessOrEqual(t, passed[0]+passed[1]+passed[2], 32*seconds+60)
	summer.Sweep(start.Add(time.Hour))
	assert.Empty(t, summer.teams)
}

// engines take a number of tokens each second and refuse the rest.
type engines struct {
	perSecond float64
	bucket    bucket
}

func (e *engines) takes(tokens int64, now time.Time) bool {
	e.bucket.refill(e.perSecond, e.perSecond/4, now)
	if e.bucket.level < float64(tokens) {
		return false
	}
	e.bucket.level -= float64(tokens)
	return true
}

// load is a team's demand: a request each interval.
type load struct {
	team   *bundle.Team
	tokens int64
	every  int
	// admitted counts what the limiter let through, served what the engines
	// took of it.
	admitted, served int
}

func offer(l *Limiter, e *engines, loads []*load, from, until time.Time) (refusedByEngines int) {
	for i, now := 0, from; now.Before(until); i, now = i+1, now.Add(step) {
		for at := range loads {
			one := loads[(at+i)%len(loads)]
			if i%one.every != 0 {
				continue
			}
			release, _, ok := l.Admit(one.team, one.tokens, now)
			if !ok {
				continue
			}
			one.admitted++
			if e.takes(one.tokens, now) {
				l.RecordPlacement(one.tokens, now)
				one.served++
			} else {
				l.RecordOverload(now)
				refusedByEngines++
			}
			release()
		}
	}
	return refusedByEngines
}

// TestOverloadIsSharedByWeight lets one team ask for ten times what there is.
func TestOverloadIsSharedByWeight(t *testing.T) {
	big := &load{team: &bundle.Team{Name: "big", SharePercent: 50}, tokens: 1000, every: 1}
	small := &load{team: &bundle.Team{Name: "small", SharePercent: 25}, tokens: 200, every: 10}
	other := &load{team: &bundle.Team{Name: "other", SharePercent: 25}, tokens: 1000, every: 1}
	l, e := New(1), &engines{perSecond: 20_000}
	offer(l, e, []*load{big, small, other}, start, start.Add(10*time.Second))
	for _, one := range []*load{big, small, other} {
		one.admitted, one.served = 0, 0
	}
	const seconds = 20
	offer(l, e, []*load{big, small, other}, start.Add(10*time.Second), start.Add(30*time.Second))
	assert.Greater(t, small.served, 9*10*seconds/10, "a team within its share is hardly touched: 10 a second asked for")
	assert.InDelta(t, 2, float64(big.admitted)/float64(other.admitted), 0.2, "the rest is shared by weight")
	assert.Greater(t, big.served+other.served, 12*seconds, "most of the 18 a second that the engines can do besides")

	alone := &load{team: other.team, tokens: 1000, every: 6}
	offer(l, e, []*load{alone}, start.Add(30*time.Second), start.Add(36*time.Second))
	alone.served = 0
	offer(l, e, []*load{alone}, start.Add(36*time.Second), start.Add(46*time.Second))
	assert.Greater(t, alone.served, 155, "borrows what the others leave idle: 16.7 a second asked for")
}

// TestRecoveryAfterACrest raises the demand fivefold for two seconds.
func TestRecoveryAfterACrest(t *testing.T) {
	l, e := New(1), &engines{perSecond: 20_000}
	usual := &load{team: &bundle.Team{Name: "usual", SharePercent: 50}, tokens: 1000, every: 10}
	crest := &load{team: &bundle.Team{Name: "crest", SharePercent: 50}, tokens: 1000, every: 1}
	offer(l, e, []*load{usual}, start, start.Add(5*time.Second))
	offer(l, e, []*load{usual, crest}, start.Add(5*time.Second), start.Add(7*time.Second))
	offer(l, e, []*load{usual}, start.Add(7*time.Second), start.Add(9*time.Second))
	usual.served = 0
	refused := offer(l, e, []*load{usual}, start.Add(9*time.Second), start.Add(14*time.Second))
	assert.Equal(t, 50, usual.served, "all is served again two seconds after the crest")
	assert.Zero(t, refused)
}

func TestIdleTeamsAreForgotten(t *testing.T) {
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

func TestWhatOneTeamLeavesTheOthersGet(t *testing.T) {
	l := New(1)
	offered := map[string]float64{"modest": 10, "large": 1000, "huge": 2000}
	for name, perSecond := range offered {
		l.teams[name] = &team{name: name, share: 25}
		l.teams[name].offered.add(perSecond*rateSpan.Seconds(), start)
	}
	l.teams["huge"].share = 50
	l.capacity.perSecond = 100
	l.divide(start)
	assert.InDelta(t, 25, l.teams["modest"].allowed, 0.01)
	assert.InDelta(t, 30, l.teams["large"].allowed, 0.01, "a third of the 90 that are left")
	assert.InDelta(t, 60, l.teams["huge"].allowed, 0.01)
}
