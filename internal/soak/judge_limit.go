package soak

import (
	"slices"
	"time"
)

// Bounds for a worker that names a limit of N requests a second from all VMs together: from contactTime after the first answer
// that does, it gets in limitWindow at most limitFactor times as many requests as N allows and limitSlack more from the VMs that
// had passed on such an answer limitNoticeTime before.
const (
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitNoticeTime = 500 * time.Millisecond
)

// checkLimits checks that workers get no more requests than the limits that they name allow.
func (j *judgement) checkLimits() {
	byServer := map[string][]*Attempt{}
	toldAt := map[vmProcess]time.Time{}
	for id, attempts := range j.Attempts {
		q := j.Requests[id]
		for _, a := range attempts {
			byServer[a.Server] = append(byServer[a.Server], a)
			if q == nil || a.Limit == 0 || !q.Done || q.Reply.Seal != sealOf(id, a.Server) {
				continue
			}
			p := vmProcess{q.VM, q.Incarnation, a.Server}
			if at, told := toldAt[p]; !told || q.Reply.EndedAt.Before(at) {
				toldAt[p] = q.Reply.EndedAt
			}
		}
	}
	for server, attempts := range byServer {
		slices.SortFunc(attempts, func(a, b *Attempt) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		for i, first := range attempts {
			if first.Limit > 0 && (i == 0 || attempts[i-1].Limit == 0) {
				j.checkLimit(server, attempts[i:], toldAt)
			}
		}
	}
}

// checkLimit checks the requests from the first answer of a worker that named a limit until one that names none.
func (j *judgement) checkLimit(server string, attempts []*Attempt, toldAt map[vmProcess]time.Time) {
	if end := slices.IndexFunc(attempts, func(a *Attempt) bool { return a.Limit == 0 }); end >= 0 {
		attempts = attempts[:end]
	}
	named := attempts[0].ReceivedAt
	var counted []*Attempt
	for _, a := range attempts {
		q := j.Requests[a.RequestID]
		if q == nil || a.ReceivedAt.Before(named.Add(contactTime)) || j.isDisturbed(q.VM, named, a.ReceivedAt) {
			continue
		}
		if at, told := toldAt[vmProcess{q.VM, q.Incarnation, server}]; told && at.Add(limitNoticeTime).Before(a.ReceivedAt) {
			counted = append(counted, a)
		}
	}
	for i, first := range counted {
		count := 1
		for count < len(counted)-i && counted[i+count].ReceivedAt.Sub(first.ReceivedAt) <= limitWindow {
			count++
		}
		if allowed := limitFactor*limitWindow.Seconds()*first.Limit + limitSlack; float64(count) > allowed {
			j.report("LIMIT", first.RequestID, "%s named %.1f a second and got %d requests in %v, %.0f are allowed", server, first.Limit, count, limitWindow, allowed)
			return
		}
	}
}

// isDisturbed reports whether an unplanned disturbance of a VM overlaps a time span.
func (j *judgement) isDisturbed(vm string, from, to time.Time) bool {
	return slices.ContainsFunc(j.Disturbances, func(d Disturbance) bool {
		return !d.Planned && d.Node == vm && d.From.Before(to) && d.To.After(from)
	})
}
