package limit

import (
	"time"

	"godwityoke.example/godwityoke/internal/fairshare"
)

const (
	// shareInterval is the minimum time between two adjustments of the fair
	// shares.
	shareInterval = 100 * time.Millisecond
	// decreaseFactor is the fraction by which the estimated capacity decreases
	// in an interval in which no request can be placed in time. When some can,
	// the decrease is scaled by the fraction of those that cannot.
	decreaseFactor = 0.3
	// increaseFactor is the fraction by which the estimated capacity increases
	// in an interval without overload.
	increaseFactor = 0.03
	// overloadEndRatio is the ratio of the estimated capacity to the admitted
	// rate above which the overload has ended and no shares are enforced.
	overloadEndRatio = 2
)

// capacity estimates how many tokens per second the engines can take from this
// VM. The estimate decreases while requests cannot be placed in time and
// increases otherwise. It does not fall below the rate of the placed tokens.
type capacity struct {
	// admittedRate and placedRate are the rates of admitted and of placed
	// tokens.
	admittedRate, placedRate rate
	// tokensPerSecond is the estimate, 0 while there is no overload.
	tokensPerSecond float64
	// overloads and placements are the numbers of requests since the last
	// adjustment that could not and that could be placed in time.
	overloads, placements int
}

// adjust updates the estimate from the requests since the last adjustment. The
// first overload sets it to the admitted rate.
func (c *capacity) adjust(now time.Time) {
	total := c.overloads + c.placements
	admitted := c.admittedRate.perSecond(now)
	switch {
	case c.overloads > 0:
		if c.tokensPerSecond == 0 {
			c.tokensPerSecond = admitted
		}
		decreased := c.tokensPerSecond * (1 - decreaseFactor*float64(c.overloads)/float64(total))
		c.tokensPerSecond = max(decreased, c.placedRate.perSecond(now))
	case c.tokensPerSecond > 0:
		c.tokensPerSecond *= 1 + increaseFactor
		if c.tokensPerSecond > overloadEndRatio*admitted {
			c.tokensPerSecond = 0
		}
	}
	c.overloads, c.placements = 0, 0
}

// divide sets each team's share of the estimated capacity by weighted max-min
// fairness: in proportion to the weights, where the capacity that a team does
// not use is divided among the teams with a higher demand per weight.
func (l *Limiter) divide(now time.Time) {
	if l.capacity.tokensPerSecond == 0 {
		for _, t := range l.teams {
			t.fairTokensPerSecond = -1
		}
		return
	}
	active := make([]*team, 0, len(l.teams))
	claims := make([]fairshare.Claim, 0, len(l.teams))
	for _, t := range l.teams {
		claims = append(claims, fairshare.Claim{Index: len(active), Weight: t.weight(), Demand: t.offeredTokenRate.perSecond(now)})
		active = append(active, t)
	}
	fairshare.MaxMin(l.capacity.tokensPerSecond, claims)
	for _, c := range claims {
		active[c.Index].fairTokensPerSecond = c.Fair
	}
}

// minWeightPercent is the weight of a team without a configured share.
const minWeightPercent = 0.01

func (t *team) weight() float64 { return max(t.sharePercent, minWeightPercent) }
