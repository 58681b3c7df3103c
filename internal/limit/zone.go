package limit

import "time"

const (
	// demandFloorPerSecond is added to each VM's demand of a team, in requests
	// per second, so that a VM without demand can use a part of the limit, too.
	demandFloorPerSecond = 0.25
	// maxTotalAge is the age at which reports and totals expire.
	maxTotalAge = 10 * time.Second
	// minReportedPerSecond is the minimum demand of a team that is reported, in
	// requests per second.
	minReportedPerSecond = 0.01
)

// Demand is the demand of a team on one VM.
type Demand struct {
	Team string
	// RequestsPerSecond is the rate of requests, refused ones included.
	RequestsPerSecond float64
}

// Total is the demand of a team on all VMs of an availability zone.
type Total struct {
	Team              string
	RequestsPerSecond float64
	// VMs is the number of VMs with a report that has not expired.
	VMs int
	// receivedAt is set by SetTotals.
	receivedAt time.Time
}

// Demands returns the demand of each team on this VM, without teams of less
// than 0.01 requests per second.
func (l *Limiter) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var demands []Demand
	for name, t := range l.teams {
		if requests := t.requestRate.perSecond(now); requests >= minReportedPerSecond {
			demands = append(demands, Demand{Team: name, RequestsPerSecond: requests})
		}
	}
	return demands
}

// SetTotals stores the totals of the zone. Totals of teams without recent
// requests on this VM are ignored.
func (l *Limiter) SetTotals(totals []Total, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, total := range totals {
		if t, found := l.teams[total.Team]; found {
			total.receivedAt = now
			t.zoneTotal = total
		}
	}
}

// fraction returns the fraction of the team's limits that applies to this VM.
// The fractions of all VMs add up to one while their totals are current. Without
// a current total, each VM applies an equal fraction.
func (l *Limiter) fraction(t *team, now time.Time) float64 {
	if l.vms == 1 {
		return 1
	}
	vms := float64(l.vms)
	if t.zoneTotal.receivedAt.IsZero() || now.Sub(t.zoneTotal.receivedAt) > maxTotalAge {
		return 1 / vms
	}
	own := t.requestRate.perSecond(now)
	all := max(t.zoneTotal.RequestsPerSecond, own)
	return (own + demandFloorPerSecond) / (all + vms*demandFloorPerSecond)
}

// Aggregator adds up the demand of teams over the VMs of an availability zone.
// All VMs must report a team to the same Aggregator. It is not safe for
// concurrent use.
type Aggregator struct {
	teams map[string]map[string]demandReport
}

// demandReport is the last demand of a team that a VM reported.
type demandReport struct {
	requestsPerSecond float64
	receivedAt        time.Time
}

// NewAggregator returns an empty Aggregator.
func NewAggregator() *Aggregator { return &Aggregator{teams: map[string]map[string]demandReport{}} }

// Report replaces the reports of vm for the teams in demands and returns the
// totals of these teams, in the same order.
func (a *Aggregator) Report(vm string, demands []Demand, now time.Time) []Total {
	totals := make([]Total, 0, len(demands))
	for _, demand := range demands {
		reports, found := a.teams[demand.Team]
		if !found {
			reports = map[string]demandReport{}
			a.teams[demand.Team] = reports
		}
		reports[vm] = demandReport{requestsPerSecond: demand.RequestsPerSecond, receivedAt: now}
		totals = append(totals, sum(demand.Team, reports, now))
	}
	return totals
}

// sum returns the total of a team and deletes expired reports.
func sum(team string, reports map[string]demandReport, now time.Time) Total {
	total := Total{Team: team}
	for vm, r := range reports {
		if now.Sub(r.receivedAt) > maxTotalAge {
			delete(reports, vm)
			continue
		}
		total.RequestsPerSecond += r.requestsPerSecond
		total.VMs++
	}
	return total
}

// Sweep deletes the teams whose reports have all expired.
func (a *Aggregator) Sweep(now time.Time) {
	for team, reports := range a.teams {
		if sum(team, reports, now).VMs == 0 {
			delete(a.teams, team)
		}
	}
}
