// Package schedule decides which backend server runs a request, and when.
//
// A model engine works in passes: one pass is one iteration of its batching
// loop, in which it decodes tokens for all running streams and prefills the
// prompts that have arrived. The scheduler estimates the passes of each server
// from the requests that were sent there and from the events that entry VMs
// report. It uses the estimate to keep the prefill of a long prompt from
// delaying the streams on the same server beyond their maximum gap.
//
// The package is a pure state machine: callers pass in the time, and sending
// requests and placements is the caller's responsibility.
package schedule

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

// JobID identifies a request across all entry VMs.
type JobID struct {
	// VM identifies the start of the entry VM's process. Seq is the number that the
	// entry VM gave the request.
	VM  uint64
	Seq uint64
}

// Server describes a backend server to the scheduler.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// AcceptsNew is false for a server that must get no new requests.
	AcceptsNew bool
	// EvacuatedSince is when the zone of the server was evacuated, zero if it is not; AcceptsNew is false then. Only explanations
	// use it.
	EvacuatedSince time.Time
	// Limited is set if the server takes at most MaxPerSecond requests a second from all VMs together.
	Limited      bool
	MaxPerSecond float64
	// StartedAt is when the server was started, by its own clock, zero if that is not known.
	StartedAt time.Time
	// ColdUntil is the end of the server's warm-up. Until then it takes at most ColdPerSecond
	// requests a second from all VMs together; 0 stands for what the route table states.
	ColdUntil     time.Time
	ColdPerSecond float64
}

// PlacementRequest asks for a backend server for one request.
type PlacementRequest struct {
	ID      JobID
	Service string
	// Zone is the availability zone of the entry VM that sends the request.
	Zone         string
	PromptTokens int
	AnswerTokens int
	// TargetAt is the time by which the first event of a stream, or the whole
	// answer otherwise, is due. The request is late if it arrives after that.
	TargetAt time.Time
	// StartDeadline is the time after which the caller has no use for the first
	// event of a stream, or for the answer otherwise.
	StartDeadline time.Time
	// MaxGap is the maximum gap between two events of a stream, 0 if the answer
	// is not streamed.
	MaxGap time.Duration
	// Weight is the value of the request, if it is on time, relative to others.
	Weight float64
	// Priority orders requests: lower values are placed first.
	Priority int
	// Excluded lists the ids of servers that must not get this request, because
	// an attempt on them has failed or they have stated that they want no requests
	// from its entry VM.
	Excluded []string
	// Team is the name of the team of the caller's API key, empty for none.
	Team string
	// AllowedZones lists the availability zones whose servers may get the request, empty for all.
	AllowedZones []string
	// Identity is a hash of the whole request, 0 if it is unknown. A retry of the same caller has
	// the same one.
	Identity uint64
	// Hedge is set for a second attempt beside a running one. It is placed at once on a free
	// slot or refused, never queued.
	Hedge bool
}

// Helper is a server that prefills a part of another server's prompt.
type Helper struct {
	Server string
	// ReserveTokens is the memory in tokens to reserve on Server, 0 for none.
	ReserveTokens int
}

// Placement answers a PlacementRequest. Server is empty if the request is refused.
type Placement struct {
	ID      JobID
	Server  string
	Helpers []Helper
	// RetryAfter is how long a caller should wait before it repeats a refused
	// request.
	RetryAfter time.Duration
	// Reason tells why a request was refused, for the log.
	Reason string
	// Local is set if the entry VM placed the request without the scheduler of
	// the control group.
	Local bool
}

// Outcome is how a placed request ended.
type Outcome uint8

// Outcomes of a placed request.
const (
	// OutcomeDone means that the request was answered.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed means that the server did not complete the request.
	OutcomeFailed
	// OutcomeRejected means that the server refused the request without running it.
	OutcomeRejected
	// OutcomeUnreachable means that the server's VM could not be reached.
	OutcomeUnreachable
	// OutcomeServerError means that the server answered with an error.
	OutcomeServerError
	// OutcomeStalled means that the server was unresponsive or refused the
	// connection.
	OutcomeStalled
	// OutcomeUnused means that nothing was sent to the server, so that nothing new is
	// known of it.
	OutcomeUnused
	// OutcomeCancelled means that the request was cancelled, or its deadline passed,
	// before it was answered. That is no failure of the server, and no sign that it can be
	// reached.
	OutcomeCancelled
)

// Scheduler places the requests of all services. It is not safe for concurrent use.
type Scheduler struct {
	servers map[string]*server
	// limitedServers is the number of servers with a limit.
	limitedServers int
	// sortedServers lists the servers by id, so that decisions are deterministic.
	sortedServers []*server
	engines       map[string]*routes.Engine
	// queued may hold jobs that have left the queue until dropLeft; queuedByID does not.
	queued     []*job
	queuedByID map[JobID]*job
	fair       fairQueue
	placed     map[JobID]*job
	// placedByVM holds the placed requests of each entry VM, by incarnation.
	placedByVM map[uint64]map[JobID]*job
	// starts holds the records until TakeStarts, slowdownChanges the changes until
	// TakeSlowdownChanges.
	starts          []StartRecord
	slowdownChanges []SlowdownChange
	// hasTightGaps is set if the route table has streams with a maximum gap of at most tightGap. Spare slots and evidence of
	// late events are used only then.
	hasTightGaps bool
	// paths holds the evidence on lost packets between availability zones. lossyFrom holds the zones of
	// entry VMs with a lossy path, in the decision in progress.
	paths     map[zonePath]*pathLoss
	lossyFrom map[string]bool
	// decided holds the results of the decision in progress.
	decided []Placement
	// placementRates holds the recent placement rate of each queue.
	placementRates map[queueKey]*placementRate
	// vms holds the evidence of entry VMs with failures, by incarnation.
	vms map[uint64]*vmEvidence
	// sequence numbers the successes and failures.
	sequence uint64
	// succeededAt holds the time of the last success of each entry VM, by incarnation.
	succeededAt map[uint64]time.Time
	// successes holds the last successes of each service.
	successes          map[string]serviceSuccess
	credibilityChanges []CredibilityChange
	// sweptAt is when old evidence was last forgotten.
	sweptAt time.Time
	// decidedAt is the time of the last decision. leftQueued is set if it left requests in
	// the queue.
	decidedAt  time.Time
	leftQueued bool
	// enqueuedAt is when the last request was queued.
	enqueuedAt time.Time
	// now is the time of the decision in progress.
	now time.Time
	// rankings holds the ranked servers of the decision in progress.
	rankings map[rankingKey]*ranking
	// harmless and harmful are the buffers of affordable.
	harmless, harmful []candidate
	// fraction is the fraction of each server's slots that this scheduler may use.
	// seed selects the model engines on which the share is rounded up.
	fraction float64
	seed     uint64
	// explained collects what Explain returns, nil in any other decision.
	explained *explanation
	// warmUpBounds, warmUpShare and serviceWarmUps determine the limits of cold servers.
	warmUpBounds   WarmUpBounds
	warmUpShare    warmUpShare
	serviceWarmUps map[string]serviceWarmUp
	// coldServers is the number of cold servers as of the decision in progress, soonCandidates the buffer of inTime.
	coldServers int
	// unlimited holds a server of each service without a limit, as limitWait last found it.
	unlimited      map[string]*server
	soonCandidates []candidate
}

// New returns a scheduler without servers. It may use all slots of the servers
// that are added.
func New() *Scheduler {
	return &Scheduler{
		servers: map[string]*server{}, engines: map[string]*routes.Engine{},
		placed: map[JobID]*job{}, placedByVM: map[uint64]map[JobID]*job{}, fraction: 1, vms: map[uint64]*vmEvidence{}, succeededAt: map[uint64]time.Time{}, successes: map[string]serviceSuccess{},
		queuedByID: map[JobID]*job{}, fair: newFairQueue(), paths: map[zonePath]*pathLoss{}, lossyFrom: map[string]bool{},
		placementRates: map[queueKey]*placementRate{}, rankings: map[rankingKey]*ranking{},
		warmUpShare: warmUpShare{fraction: 1, leads: true}, serviceWarmUps: map[string]serviceWarmUp{}, unlimited: map[string]*server{},
	}
}

// SetShare sets the fraction, 0 to 1, of each server's slots that this
// scheduler may use while other VMs also place requests on their own. On a model
// engine, a share that is not a whole number of slots is rounded up or down at
// random; the probability of rounding up is its fractional part. The seed of the
// random numbers must differ between VMs, so that all VMs together use about all
// slots. On a plain server the share is rounded down, to at least one slot.
func (s *Scheduler) SetShare(fraction float64, seed uint64) {
	if s.fraction == fraction && s.seed == seed {
		return
	}
	s.fraction, s.seed = fraction, seed
	for _, srv := range s.sortedServers {
		s.setLimit(srv)
		srv.slotShare, srv.stale = s.slotShareOf(&srv.Server), true
	}
}

// slotShareOf returns the number of slots of a server that this scheduler may use.
// For a model engine it rounds the share up or down at random. The random number
// depends on the server's id and the seed only, so that it stays the same until
// the seed changes. For a plain server it rounds down, to at least 1.
func (s *Scheduler) slotShareOf(srv *Server) int {
	if s.fraction >= 1 {
		return srv.Slots
	}
	if s.engines[srv.Service] == nil {
		return max(1, int(float64(srv.Slots)*s.fraction)) // a plain server queues or rejects requests over its slots
	}
	exact := float64(srv.Slots) * s.fraction
	whole := math.Floor(exact)
	h := fnv.New64a()
	_, _ = h.Write([]byte(srv.ID)) // never fails
	if rand.New(rand.NewPCG(h.Sum64(), s.seed)).Float64() < exact-whole {
		whole++
	}
	return int(whole)
}

// maxPass returns the upper bound of the passes that this scheduler plans. While
// other VMs also place requests, any server may decode streams that this scheduler
// does not know.
func (s *Scheduler) maxPass() time.Duration {
	if s.fraction < 1 {
		return minBreakGap
	}
	return maxPassTime
}

// job is a request that is queued or placed.
type job struct {
	request  PlacementRequest
	queuedAt time.Time
	// prefillTime is the time that one server needs to prefill the whole prompt.
	prefillTime time.Duration
	// tokens is the memory that the request needs on all its servers.
	tokens int
	// firstTokens is the part of tokens that the first server holds.
	firstTokens int

	// first is the server that decodes the answer. helpers prefill parts of the
	// prompt for it.
	first   *server
	helpers []*server
	// unfinishedParts is the number of servers whose part of the prompt is not
	// prefilled yet, by the estimate.
	unfinishedParts int
	sentAt          time.Time
	// decoding is set once the first event has arrived.
	decoding bool
	// late is set when the request can no longer be on time.
	late bool
	// nextCostlyAt is the earliest time of the next search for a placement that
	// makes other requests late.
	nextCostlyAt time.Time
	// barred is the number of servers on which the entry VM is in backoff, in the decision
	// in progress.
	barred int
	// order holds what sortQueued compares, as of the decision in progress.
	order queueOrder
	fair  fairJob
	// left is set when the job has left the queue.
	left bool
	// expectedAt is the expected time of the first event, estimated at placement.
	// No decision depends on it.
	expectedAt time.Time
	// lateEventAt is when the last late event of the stream came, zero for never.
	lateEventAt time.Time
	// adopted is set if another scheduler placed the request.
	adopted bool
	// prefillPlacedBefore is server.prefillPlaced of the first server, the request included.
	prefillPlacedBefore time.Duration
}

// setLate records that the request can no longer be on time.
func (j *job) setLate() {
	if !j.late {
		j.late = true
		j.markServersStale()
	}
}

// markServersStale makes the servers of a placed request compute their headroom again.
func (j *job) markServersStale() {
	j.first.stale = true
	for _, helper := range j.helpers {
		helper.stale = true
	}
}

// SetEngines replaces the engine models of all services by those of the table.
// A service without an engine model is a plain service.
func (s *Scheduler) SetEngines(now time.Time, table *routes.Table) {
	clear(s.engines)
	s.setFair(table)
	s.hasTightGaps = slices.ContainsFunc(table.Routes, func(r routes.Route) bool { return r.TargetGap > 0 && r.TargetGap <= tightGap })
	for i := range table.Services {
		if engine := table.Services[i].Engine; engine != nil {
			s.engines[table.Services[i].Name] = engine
		}
	}
	for _, srv := range s.sortedServers {
		srv.engine = s.engines[srv.Service]
		srv.slotShare, srv.stale = s.slotShareOf(&srv.Server), true
	}
	s.setServiceWarmUps(now, table)
}

// SetServer adds a server or updates it.
func (s *Scheduler) SetServer(now time.Time, updated Server) {
	srv, found := s.servers[updated.ID]
	if !found {
		srv = &server{jobs: map[JobID]*job{}, helping: map[JobID]*helperJob{}, slowdown: 1}
		s.servers[updated.ID] = srv
		s.insert(srv, updated.ID)
	}
	srv.Server = updated
	srv.engine = s.engines[updated.Service]
	srv.slotShare, srv.stale = s.slotShareOf(&updated), true
	s.setLimit(srv)
	s.updateWarmUp(now, srv, !found)
	srv.advanceTo(now)
}

// insert adds a server to sortedServers. The id is passed in because the server's
// fields are not set yet.
func (s *Scheduler) insert(added *server, id string) {
	index := len(s.sortedServers)
	for i, srv := range s.sortedServers {
		if id < srv.ID {
			index = i
			break
		}
	}
	s.sortedServers = append(s.sortedServers, nil)
	copy(s.sortedServers[index+1:], s.sortedServers[index:])
	s.sortedServers[index] = added
}

// RemoveServer removes a server. Requests placed on it stay placed until Finish
// is called for them.
func (s *Scheduler) RemoveServer(id string) {
	removed, found := s.servers[id]
	if !found {
		return
	}
	delete(s.servers, id)
	if removed.limit != nil {
		s.limitedServers--
	}
	s.forgetServer(removed)
	for i, srv := range s.sortedServers {
		if srv == removed {
			s.sortedServers = append(s.sortedServers[:i], s.sortedServers[i+1:]...)
			break
		}
	}
}

// Enqueue queues a request, which Decide places or refuses later. A request
// that is already queued or placed is not queued again.
func (s *Scheduler) Enqueue(now time.Time, request PlacementRequest) {
	if s.placed[request.ID] != nil || s.queuedByID[request.ID] != nil {
		return
	}
	if s.fraction < 1 && now.Sub(s.enqueuedAt) >= shareIdleTime {
		s.emptyLimits(now)
	}
	s.enqueuedAt = now
	j := s.newJob(now, request)
	s.queued = append(s.queued, j)
	s.queuedByID[request.ID] = j
	s.joinShares(now, j)
}

func (s *Scheduler) newJob(now time.Time, request PlacementRequest) *job {
	j := &job{request: request, queuedAt: now}
	if engine := s.engines[request.Service]; engine != nil {
		j.prefillTime = prefillTimeOf(engine, request.PromptTokens)
		j.tokens = request.PromptTokens + request.AnswerTokens
	}
	return j
}

// prefillTimeOf returns how long a server prefills a prompt when it runs nothing
// else.
func prefillTimeOf(engine *routes.Engine, tokens int) time.Duration {
	// Each token attends to the tokens before it.
	pairs := float64(tokens) * float64(tokens) / 2
	return time.Duration(tokens)*engine.PrefillTimePerToken + time.Duration(pairs*engine.PrefillNsPerTokenPair)
}

// Adopt records a request that another scheduler placed. It removes the request
// from the queue and from the server on which this scheduler may have placed it,
// so that each request holds one slot, which Finish releases. An adopted
// placement on an unknown server is not recorded.
func (s *Scheduler) Adopt(now time.Time, request PlacementRequest, placement Placement, decoding bool) {
	s.Withdraw(request.ID)
	first := s.servers[placement.Server]
	if existing := s.placed[request.ID]; existing != nil {
		if existing.first == first {
			return
		}
		s.release(existing)
	}
	if first == nil {
		return
	}
	j := s.newJob(now, request)
	j.adopted = true
	s.joinIdentity(j)
	s.commit(now, j, first, placement.Helpers)
	first.countWarmUp(now, decoding)
	if decoding {
		s.MarkStarted(now, request.ID)
	}
}

// Withdraw removes a request from the queue and reports whether it was queued.
func (s *Scheduler) Withdraw(id JobID) bool {
	j := s.queuedByID[id]
	if j == nil {
		return false
	}
	s.leaveQueue(j)
	s.leaveIdentity(j)
	s.leftQueued = s.leftQueued && s.Queued() > 0
	return true
}

// dropLeft removes the jobs that have left the queue.
func (s *Scheduler) dropLeft() {
	if len(s.queued) != len(s.queuedByID) {
		s.queued = slices.DeleteFunc(s.queued, func(j *job) bool { return j.left })
	}
}

// MarkStarted records that the first event of a placed request arrived.
func (s *Scheduler) MarkStarted(now time.Time, id JobID) {
	j := s.placed[id]
	if j == nil || j.decoding {
		return
	}
	s.recordSuccess(now, j)
	s.recordStartError(now, j)
	j.late = j.late || now.After(j.request.TargetAt)
	j.markServersStale()
	j.first.recordStart(now, j)
	for _, helper := range j.helpers {
		helper.dropParts(j)
	}
	j.first.dropParts(j)
	j.unfinishedParts, j.decoding = 0, true
}

// Finish releases the slots and the memory of a placed request and records its
// outcome. A request that is still queued is removed from the queue.
func (s *Scheduler) Finish(now time.Time, id JobID, outcome Outcome) {
	j := s.placed[id]
	if j == nil {
		s.Withdraw(id)
		return
	}
	s.release(j)
	switch outcome {
	case OutcomeUnused, OutcomeCancelled:
		return
	case OutcomeUnreachable, OutcomeStalled, OutcomeFailed:
		s.recordFailure(now, j, outcome)
		s.suspectWarmUp(now, j.first, outcome)
	case OutcomeRejected:
		j.first.ejectedUntil = now.Add(minBackoff / 2)
		s.recordReached(now, j)
	case OutcomeServerError:
		s.recordReached(now, j)
	default:
		s.recordSuccess(now, j)
	}
	if outcome != OutcomeFailed && outcome != OutcomeUnreachable {
		s.updateErrorRate(now, j.first, outcome == OutcomeServerError)
	}
}

// release removes a placed request from its servers.
func (s *Scheduler) release(j *job) {
	id := j.request.ID
	j.markServersStale()
	delete(s.placed, id)
	s.leaveIdentity(j)
	if delete(s.placedByVM[id.VM], id); len(s.placedByVM[id.VM]) == 0 {
		delete(s.placedByVM, id.VM)
	}
	delete(j.first.jobs, id)
	j.first.dropParts(j)
	for _, helper := range j.helpers {
		helper.dropParts(j)
		delete(helper.helping, id)
	}
}

// FinishAll finishes the placed requests of an entry VM that are not in running
// and removes all its requests from the queue. vm is the entry VM's incarnation. If
// running is nil, the entry VM is gone, and its evidence on servers is forgotten.
func (s *Scheduler) FinishAll(now time.Time, vm uint64, running map[JobID]bool) {
	for id := range s.placedByVM[vm] {
		if !running[id] {
			s.Finish(now, id, OutcomeUnused)
		}
	}
	for id := range s.queuedByID {
		if id.VM == vm {
			s.Withdraw(id)
		}
	}
	if running == nil {
		s.forgetVM(vm)
	}
}

// PlacedRequest is a placed request that has not finished.
type PlacedRequest struct {
	Request   PlacementRequest
	Placement Placement
	// Decoding is set once the first event has arrived.
	Decoding bool
}

// PlacedBy returns the placed requests of an entry VM, in no particular order. vm is its incarnation.
func (s *Scheduler) PlacedBy(vm uint64) []PlacedRequest {
	placed := make([]PlacedRequest, 0, len(s.placedByVM[vm]))
	for id, j := range s.placedByVM[vm] {
		placement := Placement{ID: id, Server: j.first.ID}
		for _, helper := range j.helpers {
			if h := helper.helping[id]; h != nil {
				placement.Helpers = append(placement.Helpers, Helper{Server: helper.ID, ReserveTokens: h.tokens})
			}
		}
		placed = append(placed, PlacedRequest{Request: j.request, Placement: placement, Decoding: j.decoding})
	}
	return placed
}

// IsPlaced reports whether a request is placed and has not finished.
func (s *Scheduler) IsPlaced(id JobID) bool { return s.placed[id] != nil }

// Queued returns the number of requests that wait for placement.
func (s *Scheduler) Queued() int { return len(s.queuedByID) }

// Placed returns the number of placed requests that have not finished.
func (s *Scheduler) Placed() int { return len(s.placed) }

// Load summarizes the servers and requests of a scheduler.
type Load struct {
	Servers int
	// Unavailable is the number of servers that do not accept new requests or are
	// ejected.
	Unavailable int
	Queued      int
	// QueuedLate is the number of queued requests past their TargetAt.
	QueuedLate int
	Placed     int
	Slots      int
	// MaxPassRemaining is the longest estimated time until a server's current
	// pass ends.
	MaxPassRemaining time.Duration
	// MaxSlowdown is the highest factor by which a server is slower than its
	// engine model.
	MaxSlowdown float64
}

// Load returns the load at the given time.
func (s *Scheduler) Load(now time.Time) Load {
	load := Load{Servers: len(s.sortedServers), Queued: s.Queued(), Placed: len(s.placed)}
	for _, j := range s.queuedByID {
		if now.After(j.request.TargetAt) {
			load.QueuedLate++
		}
	}
	for _, srv := range s.sortedServers {
		load.Slots += srv.Slots
		if !srv.AcceptsNew || srv.isOut(now) {
			load.Unavailable++
		}
		load.MaxPassRemaining = max(load.MaxPassRemaining, srv.passEnd.Sub(now))
		load.MaxSlowdown = max(load.MaxSlowdown, srv.slowdown)
	}
	return load
}
