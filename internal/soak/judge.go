package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of the judges.
const (
	// contact is how long after a disturbance bounds of time hold again.
	contact = 4 * time.Second
	// applied is how long an acknowledged configuration may take to be in force.
	applied = 2500 * time.Millisecond
	// rollback is how much later than an effect of a version a request may still
	// be handled by an older one.
	rollback = 250 * time.Millisecond
	// drained is how long requests may reach a worker that leaves.
	drained = 2500 * time.Millisecond
	// gone is how long work may go on after its client left.
	gone = 500 * time.Millisecond
	// lossSlack is how long after its last byte a request counts as read.
	lossSlack = 200 * time.Millisecond
	// passedOnSlack is how much more time than a client gave a worker may get.
	passedOnSlack = 500 * time.Millisecond
	// leastServed is the part of the requests that must be served once all is
	// well, wellAnswered the part that must be served or refused for a while, as
	// callers ask for more than the workers' slots. Both are taken over the last
	// lastWindow of the load.
	leastServed  = 0.25
	wellAnswered = 0.9
	lastWindow   = 3 * time.Second
	// servedStatus begins the statuses of success.
	servedStatus = 200
	// refusedStatus tells that a request has not run and may come back.
	refusedStatus = 503
)

// Finding is a broken promise.
type Finding struct {
	Rule    string
	Request string
	Detail  string
}

// String returns the finding as a line.
func (f Finding) String() string { return fmt.Sprintf("%-10s %-18s %s", f.Rule, f.Request, f.Detail) }

// judge checks all promises on what was seen until now. It changes nothing and
// may be called while records still grow.
func judge(r *Records, now time.Time) []Finding {
	j := &judgement{Records: r, now: now}
	for _, id := range slices.Sorted(maps.Keys(r.Requests)) {
		j.request(r.Requests[id], r.Attempts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(r.Attempts)) {
		if r.Requests[id] == nil {
			j.found("UNASKED", id, "a worker got a request that no client sent")
		}
	}
	j.retries()
	j.configuration()
	j.generations()
	j.draining()
	for _, exit := range r.UnexpectedExits {
		j.found("EXIT", "", "%s", exit)
	}
	j.end()
	return j.findings
}

type judgement struct {
	*Records
	now      time.Time
	findings []Finding
}

func (j *judgement) found(rule, request, format string, arguments ...any) {
	j.findings = append(j.findings, Finding{Rule: rule, Request: request, Detail: fmt.Sprintf(format, arguments...)})
}

// calm tells whether nothing disturbed from contact before a time to another;
// planned work counts unless it is ignored.
func (j *judgement) calm(from, to time.Time, ignorePlanned bool) bool {
	for _, span := range j.Disturbances {
		if span.Planned && ignorePlanned {
			continue
		}
		if span.From.Before(to) && span.To.After(from.Add(-contact)) {
			return false
		}
	}
	return true
}

// request judges one request by its reply and its arrivals.
func (j *judgement) request(q *Request, arrivals []*Attempt) {
	id, runs := q.Call.ID, 0
	for _, a := range arrivals {
		if !a.Rejected {
			runs++
		}
		j.arrival(q, a)
	}
	if q.Unsafe && runs > 1 {
		j.found("TWICE", id, "ran %d times", runs)
	}
	if q.Done {
		j.reply(q, arrivals, runs)
	}
}

// reply judges what a client got.
func (j *judgement) reply(q *Request, arrivals []*Attempt, runs int) {
	reply, id := &q.Reply, q.Call.ID
	if reply.Status != 0 {
		j.answer(q, arrivals)
		j.refusal(q, runs)
	}
	if reply.TimedOut && j.calm(q.StartedAt, reply.EndedAt, true) {
		j.found("HELD", id, "no end after %v at %s", q.Call.Timeout, q.VM)
	}
	if reply.Disconnected {
		j.abandoned(q, arrivals)
	}
	inTime := reply.EndedAt.Sub(q.StartedAt) < routeTimeout
	cut := reply.Err != nil && !reply.Disconnected && inTime
	read := len(arrivals) > 0 || reply.EndedAt.Sub(reply.SentAt) > lossSlack
	if cut && read && j.calm(q.StartedAt, reply.EndedAt, true) {
		j.found("LOST", id, "cut after %v at %s: %v", reply.EndedAt.Sub(q.StartedAt), q.VM, reply.Err)
	}
}

// Statuses that an entry VM gives by itself: those that promise that a request
// has not run, and those that a proper request never gets.
var (
	notRunStatuses = []int{408, 421, 429, 503}
	deniedStatuses = []int{400, 401, 403, 404, 413, 431}
)

// refusal judges an answer that no worker gave.
func (j *judgement) refusal(q *Request, runs int) {
	if q.Reply.Seal != "" {
		return
	}
	if q.Unsafe && runs > 0 && slices.Contains(notRunStatuses, q.Reply.Status) {
		j.found("REFUSED", q.Call.ID, "answered %d and ran", q.Reply.Status)
	}
	if q.ProbedVersion == 0 && slices.Contains(deniedStatuses, q.Reply.Status) {
		j.found("DENIED", q.Call.ID, "%s answered %d to a request that every version allows", q.VM, q.Reply.Status)
	}
}

// arrival judges what a worker was given.
func (j *judgement) arrival(q *Request, a *Attempt) {
	id := q.Call.ID
	if a.Path != q.Call.Path || a.Body != q.Call.Body {
		j.found("UNASKED", id, "%s got %s with body %q", a.Server, a.Path, a.Body)
	}
	if a.Team != q.Team || a.Key != "" {
		j.found("UNASKED", id, "%s got team %q, key %q", a.Server, a.Team, a.Key)
	}
	if over := a.Remaining - q.Call.Timeout; over > passedOnSlack || a.Remaining == 0 {
		j.found("BUDGET", id, "%s was given %v of %v", a.Server, a.Remaining, q.Call.Timeout)
	}
}

// answer judges that an answer is the worker's own, whole and to this request.
func (j *judgement) answer(q *Request, arrivals []*Attempt) {
	reply, id := &q.Reply, q.Call.ID
	if reply.Status != servedStatus {
		if reply.Seal != "" && reply.Status != 500 {
			j.found("MIXED", id, "status %d bears a seal", reply.Status)
		}
		return
	}
	sealed := slices.ContainsFunc(arrivals, func(a *Attempt) bool { return !a.Rejected && reply.Seal == sealOf(id, a.Server) })
	if !sealed || reply.AnsweredID != id {
		j.found("MIXED", id, "seal %q, id %q", reply.Seal, reply.AnsweredID)
	}
	want := plainAnswer(id, q.Call.Body)
	if strings.HasPrefix(q.Call.Body, streamBody) {
		want = streamAnswer(id)
	}
	switch {
	case reply.Complete && reply.Body != want:
		j.found("MIXED", id, "%d bytes instead of %d look complete", len(reply.Body), len(want))
	case !strings.HasPrefix(want, reply.Body):
		j.found("ORDER", id, "the part of the answer is not its beginning: %.200q", reply.Body)
	}
}

// abandoned judges that work ends soon after its client left.
func (j *judgement) abandoned(q *Request, arrivals []*Attempt) {
	limit := q.Reply.EndedAt.Add(gone)
	for _, a := range arrivals {
		if a.ReceivedAt.After(limit) && j.calm(q.StartedAt, a.ReceivedAt, true) {
			j.found("GONE", q.Call.ID, "reached %s %v after its client left", a.Server, a.ReceivedAt.Sub(q.Reply.EndedAt))
		}
		ended := a.EndedAt
		if ended.IsZero() {
			ended = j.now
		}
		if ended.After(limit) && a.ReceivedAt.Before(limit) && j.calm(q.StartedAt, ended, true) {
			j.found("GONE", q.Call.ID, "%s worked on for %v", a.Server, ended.Sub(q.Reply.EndedAt))
		}
	}
}

// retries judges arrivals beyond the first against the budget of each service.
// Its requests are those that clients sent, in the window, the one before it or
// the one that begins half a window earlier, whichever has most.
func (j *judgement) retries() {
	repeats, asked := map[string][]time.Time{}, map[string][]time.Time{}
	for id, arrivals := range j.Attempts {
		for _, a := range arrivals[min(1, len(arrivals)):] {
			repeats[a.Service] = append(repeats[a.Service], a.ReceivedAt)
		}
		if q := j.Requests[id]; q != nil && len(arrivals) > 0 {
			asked[arrivals[0].Service] = append(asked[arrivals[0].Service], q.StartedAt)
		}
	}
	for service, times := range repeats {
		slices.SortFunc(times, time.Time.Compare)
		for first, from := range times {
			count := 0
			for count < len(times)-first && times[first+count].Sub(from) <= bounds.RetryWindow {
				count++
			}
			requests := 0
			for _, back := range []time.Duration{0, bounds.RetryWindow / 2, bounds.RetryWindow} {
				requests = max(requests, within(asked[service], from.Add(-back), bounds.RetryWindow))
			}
			if limit := bounds.RetryRatio*float64(requests) + bounds.RetryAllowance; float64(count) > limit {
				j.found("BUDGET", "", "%s got %d repeats in a window that allows %.1f", service, count, limit)
				break
			}
		}
	}
}

// within counts the times in a window.
func within(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(from) && at.Sub(from) <= window {
			count++
		}
	}
	return count
}

// configuration judges that nothing acknowledged is lost or read back older.
func (j *judgement) configuration() {
	for _, read := range j.Reads {
		if newest := j.ackedBefore(read.SentAt.Add(-applied)); read.Version < newest {
			j.found("CONFIG", "", "version %d was read, %d had been acknowledged", read.Version, newest)
		}
	}
	for _, change := range j.Changes {
		if change.Refused {
			j.found("CONFIG", "", "version %d was refused", change.Version)
		}
	}
}

// ackedBefore is the newest version that was acknowledged before a time.
func (j *judgement) ackedBefore(at time.Time) uint64 {
	newest := uint64(0)
	for _, change := range j.Changes {
		if !change.AckedAt.IsZero() && change.AckedAt.Before(at) {
			newest = max(newest, change.Version)
		}
	}
	return newest
}

// sentBefore is the newest version that was sent before a time.
func (j *judgement) sentBefore(at time.Time) uint64 {
	newest := uint64(0)
	for _, change := range j.Changes {
		if change.SentAt.Before(at) {
			newest = max(newest, change.Version)
		}
	}
	return newest
}

// generations judges requests on routes and keys that one version alone has.
func (j *judgement) generations() {
	type process struct {
		vm          string
		incarnation int
	}
	probes := map[process][]*Request{}
	for _, q := range j.Requests {
		if q.ProbedVersion > 0 && q.Done && q.Reply.Status != 0 {
			p := process{q.VM, q.Incarnation}
			probes[p] = append(probes[p], q)
		}
	}
	for p, all := range probes {
		slices.SortFunc(all, func(a, b *Request) int { return a.StartedAt.Compare(b.StartedAt) })
		for i, later := range all {
			if later.Reply.Status != servedStatus {
				j.missing(later)
				continue
			}
			if acked := j.ackedBefore(later.StartedAt.Add(-applied)); later.ProbedVersion < acked && j.calm(later.StartedAt, later.Reply.EndedAt, true) {
				j.found("CONFIG", later.Call.ID, "%s served version %d, %d is in force", p.vm, later.ProbedVersion, acked)
			}
			for _, earlier := range all[:i] {
				if earlier.Reply.Status == servedStatus && earlier.ProbedVersion > later.ProbedVersion &&
					later.StartedAt.Sub(earlier.Reply.EndedAt) > rollback {
					j.found("CONFIG", later.Call.ID, "%s went back from version %d to %d", p.vm, earlier.ProbedVersion, later.ProbedVersion)
					break
				}
			}
		}
	}
}

// missing judges a probe that was not served though its version is in force.
func (j *judgement) missing(q *Request) {
	unknown := slices.Contains([]int{401, 403, 404}, q.Reply.Status)
	if unknown && q.ProbedVersion == j.ackedBefore(q.StartedAt.Add(-applied)) && j.sentBefore(q.Reply.EndedAt) == q.ProbedVersion &&
		j.calm(q.StartedAt, q.Reply.EndedAt, true) {
		j.found("CONFIG", q.Call.ID, "%s answers %d to version %d, which is in force", q.VM, q.Reply.Status, q.ProbedVersion)
	}
}

// draining judges that a worker that leaves gets nothing more.
func (j *judgement) draining() {
	for id, arrivals := range j.Attempts {
		for _, a := range arrivals {
			left, leaving := j.DrainingSince[a.Server]
			if leaving && a.ReceivedAt.After(left.Add(drained)) && j.calm(left, a.ReceivedAt, true) {
				j.found("DRAIN", id, "%s got it %v after its departure", a.Server, a.ReceivedAt.Sub(left))
			}
		}
	}
}

// end judges what must hold once all faults are over.
func (j *judgement) end() {
	if j.LoadEndedAt.IsZero() {
		return
	}
	for server, tokens := range j.ReservedTokens {
		if tokens > 0 {
			j.found("LEAK", "", "%s has %d tokens reserved", server, tokens)
		}
	}
	asked, served, refused := 0, 0, 0
	for _, q := range j.Requests {
		if q.ProbedVersion > 0 || q.Reply.Disconnected || q.StartedAt.Before(j.LoadEndedAt.Add(-lastWindow)) {
			continue
		}
		asked++
		switch {
		case q.Reply.Status == servedStatus && q.Reply.Complete:
			served++
		case q.Reply.Status == refusedStatus && q.Reply.RetryAfter != "":
			refused++
		}
	}
	if asked == 0 || float64(served) < leastServed*float64(asked) || float64(served+refused) < wellAnswered*float64(asked) {
		j.found("RECOVER", "", "at the end %d of %d requests were served and %d refused for a while", served, asked, refused)
	}
	newest := j.ackedBefore(j.now)
	if len(j.Reads) == 0 || j.Reads[len(j.Reads)-1].Version < newest {
		j.found("LOST", "", "version %d was acknowledged and is not read back at the end", newest)
	}
}
