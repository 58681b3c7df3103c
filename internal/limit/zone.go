package limit

import "time"

const (
	// demandFloor is added to each VM's demand for a team, in requests a
	// second, so that a VM without demand has a part of the limit too.
	demandFloor = 0.25
	// totalAge is the age after which a zone's sum is not used any more.
	totalAge = 10 * time.Second
	// minReported is the demand below which a team is not reported, in
	// requests a second.
	minReported = 0.01
)

// Demand is one VM's demand of a team.
type Demand struct {
	Team string
	// RequestsPerSecond is the number of requests asked for each second, refused ones
	// included.
	RequestsPerSecond float64
}

// Total is the demand of a team on all VMs of a zone.
type Total struct {
	Team              string
	RequestsPerSecond float64
	// VMs is the number of VMs that it sums up.
	VMs int
	at  time.Time
}

// Demands returns this VM's demand of the teams that have any.
func (l *Limiter) Demands(now time.Time) []Demand {
	l.mu.Lock()
	defer l.mu.Unlock()
	var usages []Demand
	for name, t := range l.teams {
		if requests := t.asked.perSecond(now); requests >= minReported {
			usages = append(usages, Demand{Team: name, RequestsPerSecond: requests})
		}
	}
	return usages
}

// SetTotals takes the sums of the zone.
func (l *Limiter) SetTotals(totals []Total, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, total := range totals {
		if t, found := l.teams[total.Team]; found {
			total.at = now
			t.zone = total
		}
	}
}

// fraction returns this VM's part of the team's limits. The parts of all VMs
// add up to one when their sums are fresh.
func (l *Limiter) fraction(t *team, now time.Time) float64 {
	if l.vms == 1 {
		return 1
	}
	vms := float64(l.vms)
	if t.zone.at.IsZero() || now.Sub(t.zone.at) > totalAge {
		return 1 / vms
	}
	mine := t.asked.perSecond(now)
	all := max(t.zone.RequestsPerSecond, mine)
	return (mine + demandFloor) / (all + vms*demandFloor)
}

// Aggregator sums up the demand of the teams that it is asked about. Each team has
// one such VM in a zone. It is not safe for concurrent use.
type Aggregator struct {
	teams map[string]map[string]report
}

type report struct {
	requests float64
	at       time.Time
}

// NewAggregator returns an Aggregator without reports.
func NewAggregator() *Aggregator { return &Aggregator{teams: map[string]map[string]report{}} }

// Report takes a VM's usages and returns the sums of the same teams.
func (s *Aggregator) Report(vm string, usages []Demand, now time.Time) []Total {
	totals := make([]Total, 0, len(usages))
	for _, usage := range usages {
		reports, found := s.teams[usage.Team]
		if !found {
			reports = map[string]report{}
			s.teams[usage.Team] = reports
		}
		reports[vm] = report{requests: usage.RequestsPerSecond, at: now}
		totals = append(totals, sum(usage.Team, reports, now))
	}
	return totals
}

func sum(team string, reports map[string]report, now time.Time) Total {
	total := Total{Team: team}
	for vm, r := range reports {
		if now.Sub(r.at) > totalAge {
			delete(reports, vm)
			continue
		}
		total.RequestsPerSecond += r.requests
		total.VMs++
	}
	return total
}

// Sweep forgets teams that nobody has reported for a while.
func (s *Aggregator) Sweep(now time.Time) {
	for team, reports := range s.teams {
		if sum(team, reports, now).VMs == 0 {
			delete(s.teams, team)
		}
	}
}
