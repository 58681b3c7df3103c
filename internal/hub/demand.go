package hub

import (
	"math"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/schedule"
)

// demandExpiry is how long an entry VM uses a report of the demand of all. It covers an election
// and the time until the next leader has measured the demand. Without a limit, the report of a
// control VM that has since gone back to an earlier version would be used forever.
const demandExpiry = time.Minute

// allDemand is what the leader measures of the demand of all entry VMs.
type allDemand struct {
	// ledSince is when this VM began to lead, zero while it doesn't.
	ledSince time.Time
	measured schedule.Demand
}

// measureDemand measures the slots in use once this VM has led for schedule.DemandWindow: before
// that, it may not know of the requests of entry VMs that still attach.
func (c *core) measureDemand(now time.Time) {
	switch {
	case !c.isLeader:
		c.demand = allDemand{}
	case c.demand.ledSince.IsZero():
		c.demand.ledSince = now
	case now.Sub(c.demand.ledSince) >= schedule.DemandWindow:
		c.demand.measured.Measure(now, c.scheduler.Placed())
	}
}

// slotsInUse returns the mean number of slots that the requests of all entry VMs use, as the
// leader has measured it, 0 if it is unknown. It is rounded up, so that the shares that entry VMs
// derive from it don't add up to more than 1. Less than one slot is no basis for shares.
func (c *core) slotsInUse() uint32 {
	switch {
	case c.isLeader && c.demand.measured.Mean() >= 1:
		return uint32(math.Ceil(c.demand.measured.Mean()))
	case !c.isLeader && c.isForwarding():
		return c.upstream.slotsInUse
	}
	return 0
}

// demandShare is what the share of an entry VM that places requests on its own is derived from.
type demandShare struct {
	own schedule.Demand
	// leaderPlaces is set if the attached control VM last knew a leader. Otherwise the slots that
	// this VM's requests use may be limited to the share of that control VM.
	leaderPlaces bool
	// reported is the last report of the demand of all, with the own demand at that time: a later
	// one would be compared to an outdated sum after the loss of the leader.
	reported reportedDemand
	// taken is what was reported when this VM last began to place requests on its own. isAlone is
	// set from then until the leader's scheduler places them again.
	taken   reportedDemand
	isAlone bool
}

// reportedDemand is the mean number of slots in use by one and by all entry VMs, all 0 if it is
// unknown.
type reportedDemand struct {
	own, all   float64
	reportedAt time.Time
}

// applyView applies what a control VM reports of the demand of all. A report without a value, as
// of an earlier version, leaves the last one in force.
func (d *demandShare) applyView(view *hubpb.View, now time.Time) {
	d.leaderPlaces = view.GetLeader() != ""
	if all := view.GetSlotsInUse(); all > 0 {
		d.reported = reportedDemand{own: d.own.Mean(), all: float64(all), reportedAt: now}
	}
}

// take fixes the values for the time in which this VM places requests on its own. Failed attempts
// to attach in this time change nothing.
func (d *demandShare) take(now time.Time) {
	if d.isAlone {
		return
	}
	d.taken, d.isAlone = d.reported, true
	if now.Sub(d.reported.reportedAt) >= demandExpiry {
		d.taken = reportedDemand{}
	}
}

// measureDemand measures the slots in use by this VM's requests while the leader places them.
func (s *linkState) measureDemand(now time.Time) {
	if !s.schedulerAttached || s.schedulerSuspect {
		return
	}
	s.demand.isAlone = false
	if s.demand.leaderPlaces {
		s.demand.own.Measure(now, s.local.Placed())
	}
}

// takeShare sets the share of this VM's own scheduler by the demand that is known now, when that
// scheduler begins to place requests.
func (s *linkState) takeShare(now time.Time) {
	s.demand.take(now)
	s.updateShare()
}

// updateShare sets the fraction of each server's slots that this VM's own scheduler may use.
func (s *linkState) updateShare() {
	s.local.SetShare(s.share(), s.link.options.Incarnation)
}

// share returns the fraction of each server's slots that this VM's own scheduler may use. The
// demand that it follows changes only by takeShare.
//
// The VMs in a partitioned zone divide its servers equally among themselves: the demand of the
// VMs that reach the same zones is not known, and shares by the demand of all, extended to fewer
// servers, would add up to more than 1 in a busy zone. The calculation assumes that entry VMs are
// spread evenly over the zones.
func (s *linkState) share() float64 {
	vms, reachable := s.link.EntryVMCount(), s.local.ReachableZoneFraction()
	if reachable < 1 {
		return 1 / (float64(vms) * reachable)
	}
	return schedule.DemandShare(s.demand.taken.own, s.demand.taken.all, vms)
}
