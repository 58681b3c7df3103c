// Package schedule decides which backend server runs a request, and when. It
// follows each server's passes from what was sent there and from what callers'
// VMs saw come back, so that reading a long prompt never makes streams that
// write beside it pause for longer than their bound. It is a pure state
// machine: the time is an argument and nothing is sent from here.
package schedule

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

// JobID names a request over all entry VMs.
type JobID struct {
	// VM is the incarnation of the entry VM, Seq its own number.
	VM  uint64
	Seq uint64
}

// Server is what the scheduler needs to know of a backend server.
type Server struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	// AcceptsNew is false for a server that takes nothing new.
	AcceptsNew bool
	// ColdUntil is until when the server is slow after its start.
	ColdUntil time.Time
}

// PlacementRequest is a request that wants a place.
type PlacementRequest struct {
	ID      JobID
	Service string
	// Zone of the entry VM that asks.
	Zone         string
	PromptTokens int
	AnswerTokens int
	// TargetAt is when the answer, or its first event, must be here to be on time.
	TargetAt time.Time
	// StartDeadline is when the caller no longer waits for a first sign.
	StartDeadline time.Time
	// MaxGap bounds the pauses between events, 0 where the answer is no stream.
	MaxGap time.Duration
	// Weight weighs the request against others of any kind.
	Weight float64
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Excluded servers have failed this request.
	Excluded []string
}

// Helper is a server that reads a part of a prompt.
type Helper struct {
	Server string
	// ReserveTokens is the memory to reserve there, 0 for none.
	ReserveTokens int
}

// Placement answers a PlacementRequest: either Server is set or the request is refused.
type Placement struct {
	ID      JobID
	Server  string
	Helpers []Helper
	// RetryAfter is when a refused request may come back.
	RetryAfter time.Duration
	// Reason says why a request was refused, for the log.
	Reason string
	// Local is set by an entry VM that placed the request itself.
	Local bool
}

// Outcome tells how a placed request ended.
type Outcome uint8

// Ends of a placed request.
const (
	// OutcomeDone requests were answered, or given up by their caller.
	OutcomeDone Outcome = iota + 1
	// OutcomeFailed requests were failed by their server.
	OutcomeFailed
	// OutcomeRejected requests were refused by the server without running.
	OutcomeRejected
	// OutcomeUnreachable requests found no way to the server's VM.
	OutcomeUnreachable
	// OutcomeServerError requests were answered with an error of the server's own.
	OutcomeServerError
	// OutcomeStalled requests met a server that was silent or took no connection.
	OutcomeStalled
)

// Scheduler places the requests of all services. It is not safe for concurrent
// use.
type Scheduler struct {
	servers map[string]*server
	// order lists the servers by id, so that equal choices repeat.
	order   []*server
	engines map[string]*routes.Engine
	waiting []*job
	placed  map[JobID]*job
	output  []Placement
	// throughputs are the recent placements by queue.
	throughputs map[queueKey]*throughput
	// unreached counts the servers in a row that an entry VM did not reach.
	unreached map[uint64]int
	// now is the time of the decision in progress, rankings its orders of the
	// servers.
	now      time.Time
	rankings map[rankingKey]*ranking
	// part is the part of every server that this scheduler may use, seed spreads
	// what is left over by rounding.
	part float64
	seed uint64
}

// New returns a scheduler without servers that may use all of each.
func New() *Scheduler {
	return &Scheduler{
		servers: map[string]*server{}, engines: map[string]*routes.Engine{},
		placed: map[JobID]*job{}, part: 1, unreached: map[uint64]int{}, throughputs: map[queueKey]*throughput{}, rankings: map[rankingKey]*ranking{},
	}
}

// SetShare sets the part of every server that this scheduler may use, from 0
// to 1, where other VMs place requests on their own. Seed differs between VMs:
// where the part is less than a slot, it draws the servers that this one may
// use, so that all VMs together use about all slots.
func (s *Scheduler) SetShare(part float64, seed uint64) {
	if s.part == part && s.seed == seed {
		return
	}
	s.part, s.seed = part, seed
	for _, one := range s.order {
		one.share = s.shareOf(&one.Server)
	}
}

func (s *Scheduler) shareOf(server *Server) int {
	if s.part >= 1 {
		return server.Slots
	}
	if s.engines[server.Service] == nil {
		return max(1, int(float64(server.Slots)*s.part)) // a server queues or rejects what is too much
	}
	exact := float64(server.Slots) * s.part
	whole := math.Floor(exact)
	h := fnv.New64a()
	_, _ = h.Write([]byte(server.ID)) // never fails
	if rand.New(rand.NewPCG(h.Sum64(), s.seed)).Float64() < exact-whole {
		whole++
	}
	return int(whole)
}

// job is a request that waits or was placed.
type job struct {
	ask   PlacementRequest
	since time.Time
	// read is the time that one server needs for the whole prompt.
	read time.Duration
	// tokens is the memory that the request needs.
	tokens int
	// firstTokens is what the first server holds of it.
	firstTokens int

	first   *server
	helpers []*server
	// parts that are still to be read.
	unread  int
	sentAt  time.Time
	writing bool
	// late is set once the request can't be on time any more.
	late bool
	// costlyAt is when a place with harm to others is looked for again.
	costlyAt time.Time
	// expectedAt is when the first event was expected at placement.
	expectedAt time.Time
}

// SetEngines replaces the engine figures by service.
func (s *Scheduler) SetEngines(table *routes.Table) {
	clear(s.engines)
	for i := range table.Services {
		if engine := table.Services[i].Engine; engine != nil {
			s.engines[table.Services[i].Name] = engine
		}
	}
	for _, one := range s.order {
		one.engine = s.engines[one.Service]
		one.share = s.shareOf(&one.Server)
	}
}

// SetServer adds a server or brings it up to date.
func (s *Scheduler) SetServer(now time.Time, updated Server) {
	known, found := s.servers[updated.ID]
	if !found {
		known = &server{jobs: map[JobID]*job{}, helping: map[JobID]*help{}, pace: 1}
		s.servers[updated.ID] = known
		s.insert(known, updated.ID)
	}
	known.Server = updated
	known.engine = s.engines[updated.Service]
	known.share = s.shareOf(&updated)
	known.roll(now)
}

func (s *Scheduler) insert(added *server, id string) {
	at := len(s.order)
	for i, one := range s.order {
		if id < one.ID {
			at = i
			break
		}
	}
	s.order = append(s.order, nil)
	copy(s.order[at+1:], s.order[at:])
	s.order[at] = added
}

// RemoveServer forgets a server. Requests on it end by themselves.
func (s *Scheduler) RemoveServer(id string) {
	gone, found := s.servers[id]
	if !found {
		return
	}
	delete(s.servers, id)
	for i, one := range s.order {
		if one == gone {
			s.order = append(s.order[:i], s.order[i+1:]...)
			break
		}
	}
}

// Enqueue queues a request. Decide places or refuses it. One that waits or has a
// place already is not queued again.
func (s *Scheduler) Enqueue(now time.Time, ask PlacementRequest) {
	if s.placed[ask.ID] != nil || s.waits(ask.ID) {
		return
	}
	s.waiting = append(s.waiting, s.newJob(now, ask))
}

func (s *Scheduler) newJob(now time.Time, ask PlacementRequest) *job {
	j := &job{ask: ask, since: now}
	if engine := s.engines[ask.Service]; engine != nil {
		j.read = readTime(engine, ask.PromptTokens)
		j.tokens = ask.PromptTokens + ask.AnswerTokens
	}
	return j
}

func (s *Scheduler) waits(id JobID) bool {
	return slices.ContainsFunc(s.waiting, func(j *job) bool { return j.ask.ID == id })
}

// readTime is how long a server reads a prompt when it does nothing else.
func readTime(engine *routes.Engine, tokens int) time.Duration {
	pairs := float64(tokens) * float64(tokens) / 2
	return time.Duration(tokens)*engine.PrefillTimePerToken + time.Duration(pairs*engine.PrefillNsPerTokenPair)
}

// Adopt takes over a request that was placed through another scheduler. It
// leaves the queue and the place that it may have had here: each request holds
// one place, which its end frees.
func (s *Scheduler) Adopt(now time.Time, ask PlacementRequest, placement Placement, writing bool) {
	s.Withdraw(ask.ID)
	first := s.servers[placement.Server]
	if held := s.placed[ask.ID]; held != nil {
		if held.first == first {
			return
		}
		s.release(held)
	}
	if first == nil {
		return
	}
	s.commit(now, s.newJob(now, ask), first, placement.Helpers)
	if writing {
		s.MarkStarted(now, ask.ID)
	}
}

// Withdraw takes back a request that still waits and tells whether it did.
func (s *Scheduler) Withdraw(id JobID) bool {
	for i, j := range s.waiting {
		if j.ask.ID == id {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// MarkStarted notes that the first event of a placed request arrived.
func (s *Scheduler) MarkStarted(now time.Time, id JobID) {
	j := s.placed[id]
	if j == nil || j.writing {
		return
	}
	delete(s.unreached, id.VM)
	j.late = j.late || now.After(j.ask.TargetAt)
	j.first.noteStart(now, j)
	for _, helper := range j.helpers {
		helper.dropParts(j)
	}
	j.first.dropParts(j)
	j.unread, j.writing = 0, true
}

// Finish frees the place of a request.
func (s *Scheduler) Finish(now time.Time, id JobID, end Outcome) {
	j := s.placed[id]
	if j == nil {
		s.Withdraw(id)
		return
	}
	s.release(j)
	if end == OutcomeUnreachable {
		s.noteUnreached(now, j)
		return
	}
	delete(s.unreached, id.VM)
	j.first.noteEnd(now, end)
	if end != OutcomeFailed {
		s.judgeErrors(now, j.first, end == OutcomeServerError)
	}
}

// release frees the servers of a placed request.
func (s *Scheduler) release(j *job) {
	id := j.ask.ID
	delete(s.placed, id)
	delete(j.first.jobs, id)
	j.first.dropParts(j)
	for _, helper := range j.helpers {
		helper.dropParts(j)
		delete(helper.helping, id)
	}
}

// FinishAll frees the places of the requests of an entry VM but for those that
// still run, and forgets its waiting ones.
func (s *Scheduler) FinishAll(now time.Time, vm uint64, running map[JobID]bool) {
	for id := range s.placed {
		if id.VM == vm && !running[id] {
			s.Finish(now, id, OutcomeDone)
		}
	}
	kept := s.waiting[:0]
	for _, j := range s.waiting {
		if j.ask.ID.VM != vm {
			kept = append(kept, j)
		}
	}
	s.waiting = kept
}

// Queued returns how many requests wait for a place.
func (s *Scheduler) Queued() int { return len(s.waiting) }

// Placed returns how many requests have a place.
func (s *Scheduler) Placed() int { return len(s.placed) }

// Load sums up what a scheduler is busy with.
type Load struct {
	Servers int
	// Unavailable is how many servers take nothing new.
	Unavailable int
	Queued      int
	// QueuedLate is how many of those are past their aim.
	QueuedLate int
	Placed     int
	Slots      int
	// MaxPassRemaining is the longest pass in progress.
	MaxPassRemaining time.Duration
	MaxSlowdown      float64
}

// Load returns the load at now.
func (s *Scheduler) Load(now time.Time) Load {
	load := Load{Servers: len(s.order), Queued: len(s.waiting), Placed: len(s.placed)}
	for _, j := range s.waiting {
		if now.After(j.ask.TargetAt) {
			load.QueuedLate++
		}
	}
	for _, one := range s.order {
		load.Slots += one.Slots
		if !one.AcceptsNew || now.Before(one.outUntil) {
			load.Unavailable++
		}
		load.MaxPassRemaining = max(load.MaxPassRemaining, one.passEnd.Sub(now))
		load.MaxSlowdown = max(load.MaxSlowdown, one.pace)
	}
	return load
}
