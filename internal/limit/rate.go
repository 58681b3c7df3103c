package limit

import (
	"math"
	"time"
)

// rateSpan is the time over which a rate is averaged.
const rateSpan = 2 * time.Second

// rate is an exponentially decaying average of amounts for each second.
type rate struct {
	amount  float64
	updated time.Time
}

func (r *rate) add(amount float64, now time.Time) {
	r.amount = r.decayed(now) + amount
	r.updated = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.amount == 0 {
		return 0
	}
	return r.amount * math.Exp(-now.Sub(r.updated).Seconds()/rateSpan.Seconds())
}

// perSecond returns the average amount for each second.
func (r *rate) perSecond(now time.Time) float64 { return r.decayed(now) / rateSpan.Seconds() }

// bucket is a token bucket. Its level may fall below zero by one request, so
// that a request larger than the bucket passes once it is full.
type bucket struct {
	level   float64
	updated time.Time
}

// refill brings the level to now.
func (b *bucket) refill(perSecond, burst float64, now time.Time) {
	if b.updated.IsZero() {
		b.level = burst
	} else {
		b.level = min(burst, b.level+perSecond*now.Sub(b.updated).Seconds())
	}
	b.updated = now
}

// wait returns how long it takes until a request of this size passes: it needs
// its size, or a full bucket when it is larger.
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
