package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds for a cut of entry VMs from all workers. It breaks a promise if, from contactTime after its beginning, first
// tries at these VMs are served less than cutServedShare as often as those at the others, and more than
// allowedCutFailures plus one in allTriesPerCutFailure of all first tries fail there.
const (
	contactTime               = 3 * time.Second
	cutServedShareNumerator   = 2
	cutServedShareDenominator = 3
	allowedCutFailures        = 10
	allTriesPerCutFailure     = 50
)

// tryCount counts first tries of requests, including those whose connection was refused.
type tryCount struct{ served, total int }

func (c *tryCount) add(served bool) {
	c.total++
	if served {
		c.served++
	}
}

// cutTries holds the first tries at the entry VMs of a cut and at the others.
type cutTries struct{ cut, others tryCount }

func (c *cutTries) breaksPromise() bool {
	failed := c.cut.total - c.cut.served
	return cutServedShareDenominator*c.cut.served*c.others.total < cutServedShareNumerator*c.others.served*c.cut.total &&
		allTriesPerCutFailure*(failed-allowedCutFailures) > c.cut.total+c.others.total
}

func (c *cutTries) describe(cut *ServerCut) string {
	return fmt.Sprintf("cut off from all workers, %s served %d of %d first tries, the others %d of %d",
		strings.Join(cut.VMs, " "), c.cut.served, c.cut.total, c.others.served, c.others.total)
}

// checkServerCut checks that callers of entry VMs without workers are served about as often as those of the others.
func (j *judgement) checkServerCut(cut *ServerCut) {
	if tries := j.countCutTries(cut); tries.breaksPromise() {
		j.report("RECOVER", "", "%s", tries.describe(cut))
	}
}

// countCutTries counts the first tries that began in a cut, contactTime after its beginning at the earliest. It leaves
// out those whose outcome may be unknown, and those at VMs that another fault or cut concerns.
func (j *judgement) countCutTries(cut *ServerCut) *cutTries {
	from, to := cut.From.Add(contactTime), cut.To
	if decided := j.now.Add(-callTimeout); j.LoadEndedAt.IsZero() && decided.Before(to) {
		to = decided
	}
	tries := &cutTries{}
	add := func(vm string, at time.Time, served bool) {
		if at.Before(from) || !at.Before(to) || !j.isInTouch(vm, at) || j.isInOtherCut(vm, cut) {
			return
		}
		if slices.Contains(cut.VMs, vm) {
			tries.cut.add(served)
		} else {
			tries.others.add(served)
		}
	}
	for _, q := range j.Requests {
		if q.ProbedVersion == 0 && q.Done && !q.Reply.Disconnected {
			add(q.VM, q.StartedAt, q.Reply.Status == servedStatus && q.Reply.Complete)
		}
	}
	for _, failure := range j.FailedConnects {
		add(failure.VM, failure.At, false)
	}
	return tries
}

// isInTouch reports whether no fault of a VM overlaps the time from recoveryTime before at until callTimeout after it.
func (j *judgement) isInTouch(vm string, at time.Time) bool {
	return !slices.ContainsFunc(j.Disturbances, func(d Disturbance) bool {
		return d.Node == vm && !d.Planned && d.From.Before(at.Add(callTimeout)) && d.To.After(at.Add(-recoveryTime))
	})
}

// isInOtherCut reports whether a cut that overlaps this one concerns the VM.
func (j *judgement) isInOtherCut(vm string, cut *ServerCut) bool {
	return slices.ContainsFunc(j.ServerCuts, func(other *ServerCut) bool {
		return other != cut && slices.Contains(other.VMs, vm) && other.From.Before(cut.To) && other.To.After(cut.From)
	})
}

// isHeldBack reports whether bytes between an entry VM and the workers were held back at some time in a span.
func (j *judgement) isHeldBack(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(j.ServerCuts, func(cut *ServerCut) bool {
		return cut.Held && slices.Contains(cut.VMs, vm) && cut.From.Before(to) && cut.To.After(from)
	})
}

// isAtBeginningOfCut reports whether the entry VM of a request lost its workers during the request or less than
// contactTime before it.
func (j *judgement) isAtBeginningOfCut(q *Request) bool {
	return slices.ContainsFunc(j.ServerCuts, func(cut *ServerCut) bool {
		return slices.Contains(cut.VMs, q.VM) && cut.From.Before(q.Reply.EndedAt) && cut.From.Add(contactTime).After(q.StartedAt)
	})
}

// describeServerCuts returns a line for each cut with the first tries that were judged.
func describeServerCuts(r *Records, now time.Time) []string {
	j := &judgement{Records: r, now: now}
	var lines []string
	for _, cut := range r.ServerCuts {
		lines = append(lines, j.countCutTries(cut).describe(cut))
	}
	return lines
}
