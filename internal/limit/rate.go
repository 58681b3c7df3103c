package limit

import (
	"math"
	"time"
)

// rateTimeConstant is the time constant of the averages: the weight of an amount
// falls to 1/e after this time.
const rateTimeConstant = 2 * time.Second

// rate is an exponentially decaying average of amounts per second.
type rate struct {
	amount    float64
	updatedAt time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.amount = r.decayed(now) + amount
	r.updatedAt = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.amount == 0 {
		return 0
	}
	return r.amount * math.Exp(-now.Sub(r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// perSecond returns the average amount per second at now.
func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateTimeConstant.Seconds() }

// bucket is a token bucket. A request larger than the bucket passes when the
// bucket is full and takes its level below zero.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// refill adds the amount for the time since the last call, up to burst. The
// first call fills the bucket.
func (b *bucket) refill(perSecond, burst float64, now time.Time) {
	if b.updatedAt.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+perSecond*now.Sub(b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

// wait returns the time until a request of the given amount passes, at most
// maxRetryAfter. The request needs a level of its amount, or a full bucket when
// it is larger than that.
func (b *bucket) wait(amount, perSecond, burst float64) time.Duration {
	missing := min(amount, burst) - b.level
	switch {
	case missing <= 0:
		return 0
	case perSecond <= 0:
		return maxRetryAfter
	}
	return min(time.Duration(missing/perSecond*float64(time.Second)), maxRetryAfter)
}
