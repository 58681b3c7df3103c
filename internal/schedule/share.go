package schedule

import (
	"math"
	"time"
)

const (
	// evenShareFraction is the part of all slots that entry VMs divide equally whatever their
	// demand, so that one without recent requests can serve the next ones.
	evenShareFraction = 0.25
	// maxShareFactor bounds the share of an entry VM to this multiple of the equal one, in case
	// the counts that it is derived from disagree.
	maxShareFactor = 4
	// DemandWindow is the time constant of the average of the slots in use. It is longer than most
	// streams and shorter than a wave of callers.
	DemandWindow = 10 * time.Second
	// maxDemandStep bounds the weight of one measurement to that of this time since the last one.
	// After a pause, the slots in use are those of requests that were placed within a share.
	maxDemandStep = time.Second
)

// DemandShare returns the fraction of each server's slots that one of vms entry VMs may use while
// each places requests on its own. own is the mean number of slots that its requests used while
// the leader placed the requests of all, and all that of all entry VMs. Without a count of all (0)
// the shares are equal. The shares of all entry VMs add up to 1 if their counts do to all.
func DemandShare(own, all float64, vms int) float64 {
	equal := 1 / float64(max(1, vms))
	if all <= 0 {
		return equal
	}
	part := min(max(own/all, 0), 1)
	return min(evenShareFraction*equal+(1-evenShareFraction)*part, maxShareFactor*equal, 1)
}

// Demand is the mean number of slots in use, as an exponential average. The zero value has
// measured nothing.
type Demand struct {
	mean       float64
	measuredAt time.Time
}

// Measure adds the number of slots that are in use now. It must not be called while the slots
// are limited to a share: that would keep the share small.
func (d *Demand) Measure(now time.Time, slots int) {
	if d.measuredAt.IsZero() {
		d.mean, d.measuredAt = float64(slots), now
		return
	}
	step := min(max(0, now.Sub(d.measuredAt)), maxDemandStep)
	weight := 1 - math.Exp(-float64(step)/float64(DemandWindow))
	d.mean += weight * (float64(slots) - d.mean)
	d.measuredAt = now
}

// Mean returns the mean number of slots in use.
func (d *Demand) Mean() float64 { return d.mean }
