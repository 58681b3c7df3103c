package schedule

import (
	"fmt"
	"math"
	"time"

	"godwityoke.example/godwityoke/internal/fairshare"
	"godwityoke.example/godwityoke/internal/routes"
)

const (
	// plainServerTime is the server time in seconds that a request of a plain service counts
	// for: nothing is known of it, so that shares of plain services go by the number of requests.
	plainServerTime = 0.05
	// maxCopies is the number of requests with the identity of another one that may wait while
	// several teams do: as many as may always wait in the first queue.
	maxCopies = firstGuaranteedLength
	// maxRetrySpread is by how much the announced time of a retry exceeds the estimate at most, as a
	// fraction of it.
	maxRetrySpread = 0.3
	// maxRefused is the number of refused identities after which the older half is dropped, and
	// refusedFor the time. A caller that comes back later is a new one.
	maxRefused = 4096
	refusedFor = 10 * time.Second
)

// fairQueue is what the order of the queue by fair shares needs. It is used if the route table
// has teams.
type fairQueue struct {
	enabled bool
	shares  *fairshare.Shares
	// identities holds those of the queued and the placed requests.
	identities map[uint64]*identity
	refused    refusedIdentities
	refusals   Refusals
	// decisions numbers the decisions.
	decisions uint64
	// base is the time from which the times of jobs count.
	base time.Time
	// Buffers of sortByShares.
	requests []fairshare.Request
	sorted   []*job
	servers  map[string]int
}

func newFairQueue() fairQueue {
	return fairQueue{shares: fairshare.New(), identities: map[uint64]*identity{}, servers: map[string]int{}}
}

// fairJob is the part of a job that the order by fair shares needs.
type fairJob struct {
	// account is that of the job's team, nil unless the job is queued.
	account *fairshare.Account
	// identity is nil if it is unknown, and for requests that may run beside another one.
	identity *identity
	// copy is set if another job with the identity is queued or placed, excess if also as many copies
	// as may wait.
	copy, excess bool
	// returned is set if the caller was refused before and comes back.
	returned bool
	// serverTime is in seconds, value the weight per second of it.
	serverTime, value float64
	// since is when the job was queued, or when its caller was told to come back. These times count
	// from the base.
	since, target, deadline time.Duration
}

// identity counts the queued and placed jobs of a request's identity.
type identity struct {
	hash uint64
	// first is the job that counts for the share of its team, nil if it has ended.
	first *job
	jobs  int
	// copies counts the queued copies in a decision.
	copies   int
	decision uint64
}

// Refusals counts refused requests since the start.
type Refusals struct {
	Total int
	// Again counts those of callers that had been refused before.
	Again int
}

// Refusals returns how many requests were refused. It counts only while the route table has teams.
func (s *Scheduler) Refusals() Refusals { return s.fair.refusals }

// TakeMostRefused returns up to n teams with the most refusals since the last call.
func (s *Scheduler) TakeMostRefused(n int) []fairshare.TeamCount { return s.fair.shares.TakeRefused(n) }

// setFair turns the order by fair shares on if the table has teams.
func (s *Scheduler) setFair(table *routes.Table) { s.fair.enabled = table.HasTeams }

// joinShares adds a job that begins to wait to the account of its team.
func (s *Scheduler) joinShares(now time.Time, j *job) {
	if !s.fair.enabled || j.fair.account != nil {
		return
	}
	if s.fair.base.IsZero() {
		s.fair.base = now
	}
	f := &j.fair
	f.account = s.fair.shares.Hold(j.request.Service, j.request.Team, j.request.Priority)
	f.serverTime, f.value = plainServerTime, s.weightPerSecond(j)
	if s.engines[j.request.Service] != nil {
		f.serverTime = s.serverTime(j)
	}
	since, target := j.queuedAt, j.request.TargetAt
	if told, found := s.fair.refused.told(now, j.request.Identity); found {
		f.returned, since = true, told.at
		if told.targetAt.Before(target) {
			target = told.targetAt
		}
	}
	f.since, f.target, f.deadline = since.Sub(s.fair.base), target.Sub(s.fair.base), j.request.StartDeadline.Sub(s.fair.base)
	s.joinIdentity(j)
}

// joinIdentity counts a queued or placed job for its identity. A hedge and a resumed stream run
// beside the first attempt of the same request, or after it.
func (s *Scheduler) joinIdentity(j *job) {
	hash := j.request.Identity
	if !s.fair.enabled || hash == 0 || j.fair.identity != nil || j.request.Hedge || j.request.Priority < 0 {
		return
	}
	id := s.fair.identities[hash]
	if id == nil {
		id = &identity{hash: hash, first: j}
		s.fair.identities[hash] = id
	}
	id.jobs++
	j.fair.identity = id
}

// leaveIdentity ends joinIdentity.
func (s *Scheduler) leaveIdentity(j *job) {
	id := j.fair.identity
	if id == nil {
		return
	}
	j.fair.identity = nil
	if id.first == j {
		id.first = nil
	}
	if id.jobs--; id.jobs == 0 {
		delete(s.fair.identities, id.hash)
	}
}

// leaveQueue records that a job does not wait any more. The caller removes it from s.queued.
func (s *Scheduler) leaveQueue(j *job) {
	delete(s.queuedByID, j.request.ID)
	j.left = true
	if j.fair.account != nil {
		s.fair.shares.Release(j.fair.account)
		j.fair.account = nil
	}
}

// chargeShare charges a job that is placed to its team.
func (s *Scheduler) chargeShare(now time.Time, j *job) {
	if j.fair.account != nil && !j.fair.copy {
		s.fair.shares.Charge(now, j.fair.account, j.fair.serverTime)
	}
}

// sortByShares orders the queue by the fair shares of its teams. It returns false if fewer than two
// teams wait, the route table has none, or the queue is too long for it.
func (s *Scheduler) sortByShares(now time.Time) bool {
	if !s.fair.enabled {
		return false
	}
	several := false
	for _, j := range s.queued {
		s.joinShares(now, j)
		several = several || j.request.Team != s.queued[0].request.Team
	}
	if !several || len(s.queued) > fairshare.MaxRequests {
		s.fair.shares.EndContention()
		for _, j := range s.queued {
			j.fair.copy, j.fair.excess = false, false
		}
		return false
	}
	s.countServers(now)
	s.fair.decisions++
	s.fair.requests, s.fair.sorted = s.fair.requests[:0], s.fair.sorted[:0]
	at := now.Sub(s.fair.base)
	for _, j := range s.queued {
		f := &j.fair
		s.markCopy(j)
		s.fair.requests = append(s.fair.requests, fairshare.Request{
			Account: f.account, ServerTime: f.serverTime, Value: f.value, Waited: at - f.since, ToTarget: f.target - at,
			ToDeadline: f.deadline - at, Suspect: s.isSuspect(j), Copy: f.copy,
		})
	}
	for _, i := range s.fair.shares.Order(now, s.fair.requests) {
		s.fair.sorted = append(s.fair.sorted, s.queued[i])
	}
	s.queued, s.fair.sorted = s.fair.sorted, s.queued
	return true
}

// countServers tells the shares how many servers each service has.
func (s *Scheduler) countServers(now time.Time) {
	clear(s.fair.servers)
	for _, srv := range s.sortedServers {
		if srv.isAvailable(now) {
			s.fair.servers[srv.Service]++
		}
	}
	s.fair.shares.SetServers(s.fair.servers)
}

// markCopy sets whether a queued job is a copy.
func (s *Scheduler) markCopy(j *job) {
	j.fair.copy, j.fair.excess = false, false
	id := j.fair.identity
	if id == nil {
		return
	}
	if id.first == nil {
		id.first = j
	}
	if id.first == j {
		return
	}
	if id.decision != s.fair.decisions {
		id.decision, id.copies = s.fair.decisions, 0
	}
	id.copies++
	j.fair.copy, j.fair.excess = true, id.copies > maxCopies
}

// isExcess reports whether as many copies of a job wait as may.
func (s *Scheduler) isExcess(j *job) bool {
	return j.fair.excess && s.fair.shares.ShareOf(j.fair.account).Contended
}

// spreadRetryAfter returns how long the caller of a refused request should wait until room is expected, in a
// deployment with teams. It differs between requests, so that their callers don't return at the same time. An estimate over
// maxRetryAfter is announced as far as the caller's time allows.
func spreadRetryAfter(now time.Time, j *job, estimate time.Duration) time.Duration {
	bound := max(maxRetryAfter, j.request.StartDeadline.Sub(now))
	wait := min(max(estimate, minRetryAfter), bound)
	return wait + time.Duration(maxRetrySpread*unitHash(j.request.ID)*float64(wait))
}

// unitHash returns a number in [0, 1) that differs between requests, by the finalizer of splitmix64.
func unitHash(id JobID) float64 {
	x := id.VM ^ id.Seq*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// recordRefusal counts a refusal and keeps the announced place of the caller.
func (s *Scheduler) recordRefusal(now time.Time, j *job, retryAfter time.Duration) {
	if !s.fair.enabled {
		return
	}
	s.fair.refusals.Total++
	if j.fair.returned {
		s.fair.refusals.Again++
	}
	if j.fair.account != nil {
		s.fair.shares.CountRefusal(j.fair.account)
	}
	if j.request.Identity != 0 {
		s.fair.refused.add(now, j.request.Identity, announcement{
			at: now.Add(retryAfter), until: now.Add(2 * retryAfter), targetAt: s.fair.base.Add(j.fair.target),
		})
	}
}

// describeShare returns what the fair share of the job's team was, for the log.
func (s *Scheduler) describeShare(now time.Time, j *job, q *queue) string {
	if j.fair.account == nil {
		return ""
	}
	text := fmt.Sprintf(", estimate by the last placement %d ms ago", q.rate.sinceLast(now).Milliseconds())
	share := s.fair.shares.ShareOf(j.fair.account)
	if !share.Contended {
		return text + fmt.Sprintf(", only team %q waits", j.request.Team)
	}
	text += fmt.Sprintf(", team %q has used %.1f%% of the server time of the waiting teams, its fair share is %.1f%%",
		j.request.Team, 100*share.Used, 100*share.Fair)
	if j.fair.copy {
		text += ", another request with its identity is queued or placed"
	}
	return text
}

// refusedIdentities holds until when the callers of refused requests were told to wait, in two generations of at
// most maxRefused/2 entries.
type refusedIdentities struct {
	current, older map[uint64]announcement
	rotatedAt      time.Time
}

// announcement is when a caller was told to come back, until when it keeps that place, and the latency target of its
// first attempt, which it has missed if it comes back later.
type announcement struct{ at, until, targetAt time.Time }

// add records a refusal. A caller that came back too early keeps the time that it was told first.
func (r *refusedIdentities) add(now time.Time, hash uint64, told announcement) {
	if first, found := r.told(now, hash); found && first.at.After(now) {
		told.at = first.at
	}
	if r.current == nil || now.Sub(r.rotatedAt) > refusedFor || len(r.current) >= maxRefused/2 {
		r.current, r.older, r.rotatedAt = map[uint64]announcement{}, r.current, now
	}
	r.current[hash] = told
}

// told returns what a caller was told, unless that has expired.
func (r *refusedIdentities) told(now time.Time, hash uint64) (told announcement, found bool) {
	if hash == 0 {
		return announcement{}, false
	}
	told, found = r.current[hash]
	if !found {
		told, found = r.older[hash]
	}
	return told, found && !now.After(told.until)
}

// serverTime returns the time in seconds for which a request of a model service occupies one
// server alone: its prefill, and its part of the passes that decode the answer.
func (s *Scheduler) serverTime(j *job) float64 {
	engine := s.engines[j.request.Service]
	decode := time.Duration(j.request.AnswerTokens) * engine.StepTime / time.Duration(max(engine.Slots, 1))
	return math.Max((j.prefillTime + decode).Seconds(), 1e-3)
}
