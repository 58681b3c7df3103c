// Package hedge decides when a request that may be repeated is sent to a second server beside the first, and keeps the
// extra server time of such requests within the limits that operators set. It is pure: the time is passed in, and sending
// the requests is the caller's responsibility.
//
// Each VM measures its own requests and spends only a share of their server time, so that the sum over all VMs stays
// within the limits without messages between them.
package hedge

import (
	"fmt"
	"math"
	"math/bits"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// lateQuantile is the part of the requests of a kind that a request must be later than to be hedged. A second request
	// for 1 in 20 stays within a limit of a few percent, and the latest of 20 are mostly on a slow server.
	lateQuantile = 0.95
	// minSamples is the number of measured requests of a kind from which its quantile is used: below 20, the latest one in
	// 20 is not known.
	minSamples = 20
	// minDelay is the least delay of a hedge. Below two round trips between zones a second request can't overtake the first.
	minDelay = 20 * time.Millisecond
	// sampleLife is the time constant with which measured requests lose their weight. It is long enough for minSamples on a
	// VM with one request of a kind in 10 s.
	sampleLife = 4 * time.Minute
	// maxKinds bounds the kinds whose latencies are kept, each of which takes about 300 bytes. Requests of further kinds are
	// not hedged.
	maxKinds = 512
	// maxSaved bounds the server time that may be saved up, and thereby a burst of hedges: about three short streams, which
	// count 0.1 to 0.35 s each with the longest answer that their callers allow. A request that costs more, such as a long
	// prompt, is not hedged.
	maxSaved = time.Second
	// usageLife is the time constant of the averages of which Used is the ratio.
	usageLife = time.Minute
	// clearWinFactor is the ratio of the times of two servers from which the slower one counts as slow.
	clearWinFactor = 2
)

// Limits are the limits on the extra server time of hedged requests, as shares of the server time of the requests.
type Limits struct {
	// Share limits the sum over all routes. 0 turns hedging off.
	Share float64
	// Routes limits single routes further, by the name of the route.
	Routes map[string]float64
}

// Check returns an error if a limit is not between 0 and 1, or if a route has a limit but the sum allows no hedging.
func (l Limits) Check() error {
	if err := checkShare(l.Share); err != nil {
		return fmt.Errorf("the limit of hedged requests for all routes is %w", err)
	}
	for route, share := range l.Routes {
		if err := checkShare(share); err != nil {
			return fmt.Errorf("the limit of hedged requests for route %q is %w", route, err)
		}
		if share > 0 && l.Share == 0 {
			return fmt.Errorf("route %q has a limit of hedged requests of %v, but the limit for all routes is 0, so that none is sent", route, share)
		}
	}
	return nil
}

func checkShare(share float64) error {
	if !(share >= 0 && share <= 1) { // also for NaN
		return fmt.Errorf("%v: it must be a share of the server time from 0 to 1, such as 0.02", share)
	}
	return nil
}

// Kind identifies requests that take about as long as each other.
type Kind struct {
	Route string
	// sizeClass grows by one each time the prompt is four times as long, up to maxSizeClass.
	sizeClass int
}

// maxSizeClass is the size class of prompts of two million tokens or more.
const maxSizeClass = 6

// KindOf returns the kind of a request.
func KindOf(route string, promptTokens int) Kind {
	return Kind{Route: route, sizeClass: min(bits.Len(uint(max(promptTokens, 0))>>10)/2, maxSizeClass)}
}

// Plan is when a request is hedged.
type Plan struct {
	// Delay is the time from the first send after which the second one is due.
	Delay time.Duration
	// Typical is the median time until a request of this kind is answered.
	Typical time.Duration
}

// IsUseful tells whether a hedge that is sent now is likely to be answered by latest.
func (p Plan) IsUseful(now, latest time.Time) bool { return !now.Add(p.Typical).After(latest) }

// IsClearWin tells whether a hedge that was answered within second shows that the first server is slow, which has not
// answered within first.
func IsClearWin(first, second time.Duration) bool { return first >= clearWinFactor*second }

// Controller holds the limits, the measured latencies and the server time that is left for hedges. It is safe for
// concurrent use. A nil Controller never hedges.
type Controller struct {
	limits atomic.Pointer[Limits]

	mu        sync.Mutex
	latencies map[Kind]*histogram
	// measuredAt is the time of the last sample of any kind, zero for none.
	measuredAt time.Time
	total      account
	// routes holds the accounts of the routes with a limit.
	routes map[string]*account
	// earned and spent are the averages for Used.
	earned, spent decaying
}

// New returns a Controller with the given limits, which must have passed Check.
func New(limits Limits) *Controller {
	c := &Controller{latencies: map[Kind]*histogram{}}
	c.SetLimits(limits)
	return c
}

// Limits returns the limits, which must not be changed.
func (c *Controller) Limits() Limits { return *c.limits.Load() }

// SetLimits replaces the limits, which must have passed Check. Nothing that was saved up under the earlier ones is left, and
// a share of 0 allows no further hedge at once. It returns the earlier limits.
func (c *Controller) SetLimits(limits Limits) (previous Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.Load() != nil {
		previous = c.Limits()
	}
	c.setLimits(limits)
	return previous
}

// SetShare replaces the limit for all routes and leaves those of single routes. It returns the earlier limits.
func (c *Controller) SetShare(share float64) (previous Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	previous = c.Limits()
	c.setLimits(Limits{Share: share, Routes: previous.Routes})
	return previous
}

func (c *Controller) setLimits(limits Limits) {
	c.limits.Store(&limits)
	c.total, c.routes = account{}, make(map[string]*account, len(limits.Routes))
	for route := range limits.Routes {
		c.routes[route] = &account{}
	}
	c.earned, c.spent = decaying{}, decaying{}
}

// IsOn tells whether requests of the route may be hedged by the limits.
func (c *Controller) IsOn(route string) bool {
	if c == nil {
		return false
	}
	limits := c.limits.Load()
	share, limited := limits.Routes[route]
	return limits.Share > 0 && (!limited || share > 0)
}

// IsActive tells whether requests of any route may be hedged by the limit for all routes.
func (c *Controller) IsActive() bool { return c != nil && c.limits.Load().Share > 0 }

// RecordLatency records that a server took the given time to the first event of a stream, or to the whole answer otherwise.
// For a request that was given up since another server was faster, it is the time until then.
func (c *Controller) RecordLatency(now time.Time, kind Kind, took time.Duration) {
	if !c.IsOn(kind.Route) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.latencies[kind]
	if h == nil {
		if len(c.latencies) >= maxKinds && !c.forgetOld(now) {
			return
		}
		h = &histogram{updatedAt: now}
		c.latencies[kind] = h
	}
	h.add(now, took)
	c.measuredAt = now
}

// MeasuredAt returns the time of the last sample of any kind, zero if there is none.
func (c *Controller) MeasuredAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.measuredAt
}

// Forget discards all samples. No request is hedged until enough new ones are measured.
func (c *Controller) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.latencies)
	c.measuredAt = time.Time{}
}

// forgetOld forgets kinds with less than one sample left. It tells whether there is room for another kind.
func (c *Controller) forgetOld(now time.Time) bool {
	for kind, h := range c.latencies {
		if h.decay(now); h.total < 1 {
			delete(c.latencies, kind)
		}
	}
	return len(c.latencies) < maxKinds
}

// Plan returns when a request of the given kind is to be hedged, and false if it is not, because too little was measured.
func (c *Controller) Plan(now time.Time, kind Kind) (Plan, bool) {
	if !c.IsOn(kind.Route) {
		return Plan{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.latencies[kind]
	if h == nil {
		return Plan{}, false
	}
	if h.decay(now); h.total < minSamples {
		return Plan{}, false
	}
	return Plan{Delay: max(h.quantile(lateQuantile), minDelay), Typical: h.quantile(0.5)}, true
}

// RecordServerTime counts the server time of a request that was answered, of which a share may be spent on hedges.
func (c *Controller) RecordServerTime(now time.Time, route string, used time.Duration) {
	if !c.IsActive() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.limits.Load()
	earned := time.Duration(limits.Share * float64(used))
	c.total.add(earned)
	c.earned.add(now, earned)
	if a := c.routes[route]; a != nil {
		a.add(time.Duration(limits.Routes[route] * float64(used)))
	}
}

// Expense is the server time reserved for a hedge.
type Expense struct {
	Cost  time.Duration
	route string
	// limits are those under which it was taken.
	limits *Limits
}

// Spend takes the server time of a hedge out of what is left. It returns false if that is too little.
func (c *Controller) Spend(now time.Time, route string, cost time.Duration) (Expense, bool) {
	if !c.IsOn(route) || cost <= 0 {
		return Expense{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.routes[route]
	if c.total.saved < cost || a != nil && a.saved < cost {
		return Expense{}, false
	}
	c.total.saved -= cost
	if a != nil {
		a.saved -= cost
	}
	c.spent.add(now, cost)
	return Expense{Cost: cost, route: route, limits: c.limits.Load()}, true
}

// Return undoes the reservation for a hedge that was not sent, unless the limits have changed since.
func (c *Controller) Return(now time.Time, expense Expense) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.Load() != expense.limits {
		return
	}
	c.total.add(expense.Cost)
	if a := c.routes[expense.route]; a != nil {
		a.add(expense.Cost)
	}
	c.spent.add(now, -expense.Cost)
}

// Used returns the part of the limit for all routes that hedges have used lately. It exceeds 1 only while they use what
// was saved up.
func (c *Controller) Used(now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	earned := c.earned.value(now)
	if earned <= 0 {
		return 0
	}
	return max(0, c.spent.value(now)/earned)
}

// account is server time that is left for hedges, at most maxSaved.
type account struct{ saved time.Duration }

func (a *account) add(d time.Duration) { a.saved = min(a.saved+d, maxSaved) }

// decaying is an exponentially decaying sum in seconds.
type decaying struct {
	sum       float64
	updatedAt time.Time
}

func (d *decaying) value(now time.Time) float64 {
	if passed := now.Sub(d.updatedAt); passed > 0 {
		d.sum *= math.Exp(-passed.Seconds() / usageLife.Seconds())
		d.updatedAt = now
	}
	return d.sum
}

func (d *decaying) add(now time.Time, amount time.Duration) {
	d.sum = d.value(now) + amount.Seconds()
}

const (
	// histogramBuckets buckets, each of which ends at bucketRatio times the end of the one before it, reach from firstBucket
	// to a minute.
	histogramBuckets = 61
	bucketRatio      = 1.2
	firstBucket      = time.Millisecond
)

// histogram is a decaying histogram of times.
type histogram struct {
	counts    [histogramBuckets]float32
	total     float64
	updatedAt time.Time
}

// decayInterval is how often a histogram decays, so that most samples cost no pass over the buckets.
const decayInterval = time.Second

func (h *histogram) decay(now time.Time) {
	passed := now.Sub(h.updatedAt)
	if passed < decayInterval {
		return
	}
	factor := math.Exp(-passed.Seconds() / sampleLife.Seconds())
	h.total = 0
	for i := range h.counts {
		h.counts[i] *= float32(factor)
		h.total += float64(h.counts[i])
	}
	h.updatedAt = now
}

func (h *histogram) add(now time.Time, took time.Duration) {
	h.decay(now)
	bucket := 0
	if took > firstBucket {
		bucket = int(math.Ceil(math.Log(float64(took)/float64(firstBucket)) / math.Log(bucketRatio)))
	}
	h.counts[min(bucket, histogramBuckets-1)]++
	h.total++
}

// quantile returns the end of the bucket with the given quantile.
func (h *histogram) quantile(q float64) time.Duration {
	below := 0.0
	for i := range h.counts {
		if below += float64(h.counts[i]); below >= q*h.total {
			return bucketEnd(i)
		}
	}
	return bucketEnd(histogramBuckets - 1)
}

func bucketEnd(i int) time.Duration {
	return time.Duration(float64(firstBucket) * math.Pow(bucketRatio, float64(i)))
}
