package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds that the judges check.
const (
	// recoveryTime is the time after the end of a fault until the time bounds are checked again.
	recoveryTime = 4 * time.Second
	// maxApplyTime is the maximum time between the acknowledgement of a configuration and its being in force.
	maxApplyTime = 2500 * time.Millisecond
	// maxVersionOverlap is the maximum time for which a process may still apply an older version after it has applied
	// a newer one.
	maxVersionOverlap = 250 * time.Millisecond
	// maxDrainDelay is the maximum time after the acknowledgement of a worker's draining for which requests may still
	// reach it.
	maxDrainDelay = 2500 * time.Millisecond
	// minBackoffDelay is the time after a rejection that states a backoff from which at most maxRequestsInBackoff requests
	// may reach the worker from the entry VM until the end of the backoff.
	minBackoffDelay      = 500 * time.Millisecond
	maxRequestsInBackoff = 2
	// maxCancelDelay is the maximum time for which work may continue after its client disconnected.
	maxCancelDelay = 500 * time.Millisecond
	// readSlack is the time from the sending of a request to the end of its connection beyond which the entry VM counts
	// as having read the request.
	readSlack = 200 * time.Millisecond
	// deadlineSlack is the maximum by which the remaining time that a worker is given may exceed the client's timeout.
	deadlineSlack = 500 * time.Millisecond
	// minServedFraction is the minimum fraction of requests that must be served once all faults are over,
	// minAnsweredFraction the minimum fraction that must be served or refused with a Retry-After header.
	// minServedFraction is the lower one because clients offer more load than the workers have slots. Both cover the
	// requests that began in the last finalWindow of the load.
	minServedFraction   = 0.25
	minAnsweredFraction = 0.9
	finalWindow         = 3 * time.Second
	// servedStatus is the status of a served request.
	servedStatus = 200
	// refusedStatus is the status of a request that has not run and may be retried.
	refusedStatus = 503
)

// Finding is a violation of one of the platform's promises.
type Finding struct {
	Rule string
	// Request is the id of the request concerned, empty if there is no single one.
	Request string
	Detail  string
}

// String returns the finding as a line.
func (f Finding) String() string { return fmt.Sprintf("%-10s %-18s %s", f.Rule, f.Request, f.Detail) }

// judge checks all promises on the records up to now. It does not change the records and may be called repeatedly
// during a run. The caller must hold the lock of the records.
func judge(r *Records, now time.Time) []Finding {
	j := &judgement{Records: r, now: now}
	for _, id := range slices.Sorted(maps.Keys(r.Requests)) {
		j.checkRequest(r.Requests[id], r.Attempts[id])
	}
	for _, id := range slices.Sorted(maps.Keys(r.Attempts)) {
		if r.Requests[id] == nil {
			j.report("UNASKED", id, "a worker got a request that no client sent")
		}
	}
	j.checkRetries()
	j.checkConfiguration()
	j.checkProbes()
	j.checkDraining()
	j.checkStatements()
	j.checkLimits()
	j.checkEvacuations()
	j.checkWarmUps()
	for _, cut := range r.ServerCuts {
		j.checkServerCut(cut)
	}
	for _, exit := range r.UnexpectedExits {
		j.report("EXIT", "", "%s", exit)
	}
	j.checkFinalState()
	return j.findings
}

type judgement struct {
	*Records
	now      time.Time
	findings []Finding
}

func (j *judgement) report(rule, request, format string, arguments ...any) {
	j.findings = append(j.findings, Finding{Rule: rule, Request: request, Detail: fmt.Sprintf(format, arguments...)})
}

// isCalm reports whether no disturbance overlaps the time span from recoveryTime before from until to. Planned work
// counts as a disturbance unless ignorePlanned is set.
func (j *judgement) isCalm(from, to time.Time, ignorePlanned bool) bool {
	for _, disturbance := range j.Disturbances {
		if disturbance.Planned && ignorePlanned {
			continue
		}
		if disturbance.From.Before(to) && disturbance.To.After(from.Add(-recoveryTime)) {
			return false
		}
	}
	return true
}

// followMajority reports whether the entry VMs have to follow a majority of the control VMs throughout a time span: any other
// disturbance ended contactTime before it, and those that last concern a minority of the control VMs and are as old.
func (j *judgement) followMajority(from, to time.Time) bool {
	gone := map[string]bool{}
	for _, d := range j.Disturbances {
		if d.Planned || !d.From.Before(to) || !d.To.After(from.Add(-contactTime)) {
			continue
		}
		if !strings.HasPrefix(d.Node, controlPrefix) || d.From.After(from.Add(-contactTime)) || d.To.Before(to) {
			return false
		}
		gone[d.Node] = true
	}
	return 2*len(gone) < j.ControlVMs
}

// checkRequest checks one request: the attempts that workers received and, once it is done, its reply.
func (j *judgement) checkRequest(q *Request, attempts []*Attempt) {
	id, runs := q.Call.ID, 0
	for _, a := range attempts {
		if !a.Rejected {
			runs++
		}
		j.checkAttempt(q, a)
	}
	if q.Unsafe && runs > 1 {
		j.report("TWICE", id, "ran %d times", runs)
	}
	if q.Done {
		j.checkReply(q, attempts, runs)
	}
}

// checkReply checks the reply that a client received.
func (j *judgement) checkReply(q *Request, attempts []*Attempt, runs int) {
	reply, id := &q.Reply, q.Call.ID
	if reply.Status != 0 {
		j.checkAnswer(q, attempts)
		j.checkRefusal(q, runs)
	}
	if reply.TimedOut && j.isCalm(q.StartedAt, reply.EndedAt, true) {
		j.report("HELD", id, "no end after %v at %s", q.Call.Timeout, q.VM)
	}
	if reply.Disconnected {
		j.checkAbandoned(q, attempts)
	}
	inTime := reply.EndedAt.Sub(q.StartedAt) < routeTimeout
	interrupted := reply.Err != nil && !reply.Disconnected && inTime
	wasRead := len(attempts) > 0 || reply.EndedAt.Sub(reply.SentAt) > readSlack
	if interrupted && wasRead && j.isCalm(q.StartedAt, reply.EndedAt, true) && !j.isAtBeginningOfCut(q) {
		j.report("LOST", id, "cut after %v at %s: %v", reply.EndedAt.Sub(q.StartedAt), q.VM, reply.Err)
	}
}

// Statuses of answers that an entry VM gives without a worker. A status of notRunStatuses promises that the request has
// not run. A status of deniedStatuses must not answer a valid request.
var (
	notRunStatuses = []int{408, 421, 429, 503}
	deniedStatuses = []int{400, 401, 403, 404, 413, 431}
)

// checkRefusal checks an answer without a seal, which does not come from a worker.
func (j *judgement) checkRefusal(q *Request, runs int) {
	if q.Reply.Seal != "" {
		return
	}
	if q.Unsafe && runs > 0 && slices.Contains(notRunStatuses, q.Reply.Status) {
		j.report("REFUSED", q.Call.ID, "answered %d and ran", q.Reply.Status)
	}
	if q.ProbedVersion == 0 && slices.Contains(deniedStatuses, q.Reply.Status) {
		j.report("DENIED", q.Call.ID, "%s answered %d to a request that every version allows", q.VM, q.Reply.Status)
	}
}

// checkAttempt checks that a worker received a request unchanged, with the name of the team in place of the key. The
// remaining time that the worker was given must not be 0 and must not exceed the client's timeout plus deadlineSlack.
func (j *judgement) checkAttempt(q *Request, a *Attempt) {
	id := q.Call.ID
	if a.Path != q.Call.Path || a.Body != q.Call.Body {
		j.report("UNASKED", id, "%s got %s with body %q", a.Server, a.Path, a.Body)
	}
	if a.Team != q.Team || a.Key != "" {
		j.report("UNASKED", id, "%s got team %q, key %q", a.Server, a.Team, a.Key)
	}
	if excess := a.Remaining - q.Call.Timeout; excess > deadlineSlack || a.Remaining == 0 {
		j.report("BUDGET", id, "%s was given %v of %v", a.Server, a.Remaining, q.Call.Timeout)
	}
}

// checkAnswer checks that a worker that ran this request sealed the answer, and that the answer is complete or a prefix
// of the complete answer. An answer that was not served must have no seal, except an internal error of a worker.
func (j *judgement) checkAnswer(q *Request, attempts []*Attempt) {
	reply, id := &q.Reply, q.Call.ID
	if reply.Status != servedStatus {
		if reply.Seal != "" && reply.Status != 500 {
			j.report("MIXED", id, "status %d bears a seal", reply.Status)
		}
		return
	}
	sealed := slices.ContainsFunc(attempts, func(a *Attempt) bool { return !a.Rejected && reply.Seal == sealOf(id, a.Server) })
	if !sealed || reply.AnsweredID != id {
		j.report("MIXED", id, "seal %q, id %q", reply.Seal, reply.AnsweredID)
	}
	want := wholeAnswer(q)
	switch {
	case reply.Complete && reply.Body != want:
		j.report("MIXED", id, "%d bytes instead of %d look complete", len(reply.Body), len(want))
	case !strings.HasPrefix(want, reply.Body):
		j.report("ORDER", id, "the part of the answer is not its beginning: %.200q", reply.Body)
	}
}

// wholeAnswer returns the complete answer to a request.
func wholeAnswer(q *Request) string {
	if strings.HasPrefix(q.Call.Body, streamBodyPrefix) {
		return streamAnswer(q.Call.ID)
	}
	return plainAnswer(q.Call.ID, q.Call.Body)
}

// checkAbandoned checks that, from maxCancelDelay after the client disconnected, no worker receives the request or works
// on it, unless the request or its cancellation was held back.
func (j *judgement) checkAbandoned(q *Request, attempts []*Attempt) {
	limit := q.Reply.EndedAt.Add(maxCancelDelay)
	for _, a := range attempts {
		if a.ReceivedAt.After(limit) && j.isCalm(q.StartedAt, a.ReceivedAt, true) && !j.isHeldBack(a.SenderVM, q.StartedAt, a.ReceivedAt) {
			j.report("GONE", q.Call.ID, "reached %s %v after its client left", a.Server, a.ReceivedAt.Sub(q.Reply.EndedAt))
		}
		ended := a.EndedAt
		if ended.IsZero() {
			ended = j.now
		}
		if ended.After(limit) && a.ReceivedAt.Before(limit) && j.isCalm(q.StartedAt, ended, true) &&
			!j.isHeldBack(a.SenderVM, q.Reply.EndedAt, ended) {
			j.report("GONE", q.Call.ID, "%s worked on for %v", a.Server, ended.Sub(q.Reply.EndedAt))
		}
	}
}

// checkRetries checks the retries, which are the attempts of a request beyond its first, against the retry budget of
// each service. The budget of a window grows with the number of requests that clients began. That number is the maximum
// over three windows: the window itself, the preceding one, and the one that begins half a window earlier.
func (j *judgement) checkRetries() {
	retriesByService, startsByService := map[string][]time.Time{}, map[string][]time.Time{}
	for id, attempts := range j.Attempts {
		for _, a := range attempts[min(1, len(attempts)):] {
			retriesByService[a.Service] = append(retriesByService[a.Service], a.ReceivedAt)
		}
		if q := j.Requests[id]; q != nil && len(attempts) > 0 {
			startsByService[attempts[0].Service] = append(startsByService[attempts[0].Service], q.StartedAt)
		}
	}
	for service, times := range retriesByService {
		slices.SortFunc(times, time.Time.Compare)
		for first, from := range times {
			count := 0
			for count < len(times)-first && times[first+count].Sub(from) <= baseSettings.RetryWindow {
				count++
			}
			requests := 0
			for _, shift := range []time.Duration{0, baseSettings.RetryWindow / 2, baseSettings.RetryWindow} {
				requests = max(requests, countWithin(startsByService[service], from.Add(-shift), baseSettings.RetryWindow))
			}
			if limit := baseSettings.RetryRatio*float64(requests) + baseSettings.RetryAllowance; float64(count) > limit {
				j.report("BUDGET", "", "%s got %d repeats in a window that allows %.1f", service, count, limit)
				break
			}
		}
	}
}

// countWithin returns how many of the times lie between from and from+window, both included.
func countWithin(times []time.Time, from time.Time, window time.Duration) int {
	count := 0
	for _, t := range times {
		if !t.Before(from) && t.Sub(from) <= window {
			count++
		}
	}
	return count
}

// checkConfiguration checks that no change is refused and that a read returns no version older than the newest one
// acknowledged maxApplyTime before.
func (j *judgement) checkConfiguration() {
	for _, read := range j.Reads {
		if newest := j.newestAckedBefore(read.SentAt.Add(-maxApplyTime)); read.Version < newest {
			j.report("CONFIG", "", "version %d was read, %d had been acknowledged", read.Version, newest)
		}
	}
	for _, change := range j.Changes {
		if change.Refused {
			j.report("CONFIG", "", "version %d was refused", change.Version)
		}
	}
}

// newestAckedBefore returns the newest version that was acknowledged before limit, 0 for none.
func (j *judgement) newestAckedBefore(limit time.Time) uint64 {
	newest := uint64(0)
	for _, change := range j.Changes {
		if !change.AckedAt.IsZero() && change.AckedAt.Before(limit) {
			newest = max(newest, change.Version)
		}
	}
	return newest
}

// newestSentBefore returns the newest version that was sent before limit, 0 for none.
func (j *judgement) newestSentBefore(limit time.Time) uint64 {
	newest := uint64(0)
	for _, change := range j.Changes {
		if change.SentAt.Before(limit) {
			newest = max(newest, change.Version)
		}
	}
	return newest
}

// checkProbes checks the probes, which are requests for a route or with a key that only one version has. A process of an
// entry VM must neither serve a version older than the one in force nor go back to an older version. It must serve the
// version in force.
func (j *judgement) checkProbes() {
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
				j.checkMissingProbe(later)
				continue
			}
			if acked := j.newestAckedBefore(later.StartedAt.Add(-maxApplyTime)); later.ProbedVersion < acked &&
				(j.isCalm(later.StartedAt, later.Reply.EndedAt, true) || j.followMajority(later.StartedAt, later.Reply.EndedAt)) {
				j.report("CONFIG", later.Call.ID, "%s served version %d, %d is in force", p.vm, later.ProbedVersion, acked)
			}
			for _, earlier := range all[:i] {
				if earlier.Reply.Status == servedStatus && earlier.ProbedVersion > later.ProbedVersion &&
					later.StartedAt.Sub(earlier.Reply.EndedAt) > maxVersionOverlap {
					j.report("CONFIG", later.Call.ID, "%s went back from version %d to %d", p.vm, earlier.ProbedVersion, later.ProbedVersion)
					break
				}
			}
		}
	}
}

// checkMissingProbe checks a probe that was not served. An unknown route or key is a violation if it is that of the
// version in force and no newer version has been sent.
func (j *judgement) checkMissingProbe(q *Request) {
	unknown := slices.Contains([]int{401, 403, 404}, q.Reply.Status)
	if unknown && q.ProbedVersion == j.newestAckedBefore(q.StartedAt.Add(-maxApplyTime)) &&
		j.newestSentBefore(q.Reply.EndedAt) == q.ProbedVersion &&
		(j.isCalm(q.StartedAt, q.Reply.EndedAt, true) || j.followMajority(q.StartedAt, q.Reply.EndedAt)) {
		j.report("CONFIG", q.Call.ID, "%s answers %d to version %d, which is in force", q.VM, q.Reply.Status, q.ProbedVersion)
	}
}

// checkDraining checks that a draining worker receives no more requests after maxDrainDelay, unless they were held back.
func (j *judgement) checkDraining() {
	for id, attempts := range j.Attempts {
		for _, a := range attempts {
			drainingSince, isDraining := j.DrainingSince[a.Server]
			if isDraining && a.ReceivedAt.After(drainingSince.Add(maxDrainDelay)) && j.isCalm(drainingSince, a.ReceivedAt, true) &&
				!(j.Requests[id] != nil && j.isHeldBack(a.SenderVM, j.Requests[id].StartedAt, a.ReceivedAt)) {
				j.report("DRAIN", id, "%s got it %v after its departure", a.Server, a.ReceivedAt.Sub(drainingSince))
			}
		}
	}
}

// vmProcess identifies a process of an entry VM and a worker that it sends requests to.
type vmProcess struct {
	vm          string
	incarnation int
	worker      string
}

// checkStatements checks that an entry VM's process heeds what a worker states in its answers to it, in a partition, too.
// A request that a client sent later than maxDrainDelay after the process had passed on an answer that stated draining
// must not reach the worker. In a backoff at most maxRequestsInBackoff requests may, unless a fault of the VM overlaps it.
func (j *judgement) checkStatements() {
	drainingSince := map[vmProcess]time.Time{}
	received := map[vmProcess][]*Attempt{}
	for id, attempts := range j.Attempts {
		q := j.Requests[id]
		if q == nil {
			continue
		}
		for _, a := range attempts {
			p := vmProcess{q.VM, q.Incarnation, a.Server}
			received[p] = append(received[p], a)
			passedOn := a.Leaving && q.Done && q.Reply.Seal == sealOf(id, a.Server)
			if since, known := drainingSince[p]; passedOn && (!known || q.Reply.EndedAt.Before(since)) {
				drainingSince[p] = q.Reply.EndedAt
			}
		}
	}
	for p, attempts := range received {
		since, isDraining := drainingSince[p]
		for _, a := range attempts {
			if sentAt := j.Requests[a.RequestID].StartedAt; isDraining && sentAt.After(since.Add(maxDrainDelay)) {
				j.report("DRAIN", a.RequestID, "%s sent it to %s, which had stated %v before that it is draining", p.vm, p.worker, sentAt.Sub(since))
			}
			j.checkBackoff(p, a, attempts)
		}
	}
}

// checkBackoff checks the requests that reached a worker from one process in the backoff that its answer to stated gave.
func (j *judgement) checkBackoff(p vmProcess, stated *Attempt, attempts []*Attempt) {
	from, to := stated.ReceivedAt.Add(minBackoffDelay), stated.ReceivedAt.Add(stated.Backoff)
	if !from.Before(to) || slices.ContainsFunc(j.Disturbances, func(d Disturbance) bool {
		return d.Node == p.vm && d.From.Before(to) && d.To.After(stated.ReceivedAt)
	}) || j.isHeldBack(p.vm, stated.ReceivedAt, to) {
		return
	}
	count := 0
	for _, a := range attempts {
		if a.ReceivedAt.After(from) && a.ReceivedAt.Before(to) {
			count++
		}
	}
	if count > maxRequestsInBackoff {
		j.report("BUDGET", stated.RequestID, "%s sent %d requests to %s in its backoff of %v", p.vm, count, p.worker, stated.Backoff)
	}
}

// checkFinalState checks, after the end of the load, what must hold once all faults are over: workers have no memory
// reserved, the last requests are served or refused for a while, and the newest acknowledged version is read back.
func (j *judgement) checkFinalState() {
	if j.LoadEndedAt.IsZero() {
		return
	}
	for server, tokens := range j.ReservedTokens {
		if tokens > 0 {
			j.report("LEAK", "", "%s has %d tokens reserved", server, tokens)
		}
	}
	total, served, refused := 0, 0, 0
	for _, q := range j.Requests {
		if q.ProbedVersion > 0 || q.Reply.Disconnected || q.StartedAt.Before(j.LoadEndedAt.Add(-finalWindow)) {
			continue
		}
		total++
		switch {
		case q.Reply.Status == servedStatus && q.Reply.Complete:
			served++
		case q.Reply.Status == refusedStatus && q.Reply.RetryAfter != "":
			refused++
		}
	}
	if total == 0 || float64(served) < minServedFraction*float64(total) ||
		float64(served+refused) < minAnsweredFraction*float64(total) {
		j.report("RECOVER", "", "at the end %d of %d requests were served and %d refused for a while", served, total, refused)
	}
	newest := j.newestAckedBefore(j.now)
	if len(j.Reads) == 0 || j.Reads[len(j.Reads)-1].Version < newest {
		j.report("LOST", "", "version %d was acknowledged and is not read back at the end", newest)
	}
}
