package limit

import (
	"cmp"
	"slices"
	"time"
)

const (
	// shareInterval is how often fair shares are recomputed.
	shareInterval = 100 * time.Millisecond
	// cutFactor is taken off the estimated capacity for each interval in
	// which all requests find the engines overloaded; fewer take off less.
	cutFactor = 0.3
	// growFactor is added to it for each interval without overload.
	growFactor = 0.03
	// endFactor ends the division into shares once the estimated capacity is
	// this multiple of what is admitted: there is no overload any more.
	endFactor = 2
)

// capacity estimates how many tokens a second the engines can take from this
// VM. It follows the refusals for want of time: it falls with them and grows
// again without. It does not fall below what has found its place.
type capacity struct {
	admitted, served rate
	// perSecond is the estimate, 0 while there is no overload.
	perSecond float64
	// overloads and placed count since the last adjustment.
	overloads, placed int
}

func (c *capacity) adjust(now time.Time) {
	total := c.overloads + c.placed
	admitted := c.admitted.perSecond(now)
	switch {
	case c.overloads > 0:
		if c.perSecond == 0 {
			c.perSecond = admitted
		}
		cut := c.perSecond * (1 - cutFactor*float64(c.overloads)/float64(total))
		c.perSecond = max(cut, c.served.perSecond(now))
	case c.perSecond > 0:
		c.perSecond *= 1 + growFactor
		if c.perSecond > endFactor*admitted {
			c.perSecond = 0
		}
	}
	c.overloads, c.placed = 0, 0
}

// divide sets each team's share of the estimated capacity: in proportion to
// its weight, but no more than it asks for; what one leaves, the others get.
func (l *Limiter) divide(now time.Time) {
	if l.capacity.perSecond == 0 {
		for _, t := range l.teams {
			t.allowed = -1
		}
		return
	}
	active := make([]*team, 0, len(l.teams))
	weights := 0.0
	for _, t := range l.teams {
		active = append(active, t)
		weights += t.weight()
	}
	slices.SortFunc(active, func(a, b *team) int { return cmp.Compare(a.thirst(now), b.thirst(now)) })
	left := l.capacity.perSecond
	for _, t := range active {
		fair := left * t.weight() / weights
		used := min(fair, t.offered.perSecond(now))
		left -= used
		weights -= t.weight()
		t.allowed = fair
	}
}

// minWeight is the weight of a team without a share, in percent.
const minWeight = 0.01

func (t *team) weight() float64 { return max(t.share, minWeight) }

// thirst is what a team asks for in relation to its weight.
func (t *team) thirst(now time.Time) float64 { return t.offered.perSecond(now) / t.weight() }
