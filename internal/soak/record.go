package soak

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/platform/standin"
)

// Request is a request as its client sees it.
type Request struct {
	Call standin.Call
	// Unsafe is set if the request must run at most once.
	Unsafe bool
	// Team is the name of the team that holds the call's key.
	Team string
	// ProbedVersion is the version of the only configuration that has the route or key of a probe, 0 for other
	// requests.
	ProbedVersion uint64
	VM            string
	Incarnation   int
	StartedAt     time.Time
	// Reply is valid once Done is set.
	Reply standin.Reply
	Done  bool
}

// Attempt is one send of a request to a worker, as the worker sees it.
type Attempt struct {
	standin.ReceivedRequest
	Server   string
	Service  string
	Rejected bool
	// Leaving is set if the answer stated that the worker is draining. Backoff is the time for which a rejection stated
	// that the worker wants no requests from the entry VM, 0 for none.
	Leaving bool
	Backoff time.Duration
	// Limit is the number of requests a second from all VMs that the answer named, 0 for none.
	Limit float64
	// EndedAt is zero while the worker runs the request. Completed is set if the run was not cancelled.
	EndedAt   time.Time
	Completed bool
	// Ending is how the worker ends complete answers, Cut how it cut off this one, EndComplete if its end did not look like a
	// proper one.
	Ending, Cut Ending
	// SenderVM is the entry VM that sent the request.
	SenderVM string
}

// ConfigChange is a configuration that the operator has sent.
type ConfigChange struct {
	Version uint64
	SentAt  time.Time
	// AckedAt is zero if the configuration has not been acknowledged.
	AckedAt time.Time
	Refused bool
}

// ConfigRead is a configuration that the operator has read back. SentAt is the time when the read was sent.
type ConfigRead struct {
	SentAt  time.Time
	Version uint64
}

// Disturbance is a time span in which a step may affect requests. Node is the target of the step.
type Disturbance struct {
	From, To time.Time
	Node     string
	// Planned is set for planned work, which suspends none of the bounds.
	Planned bool
}

// FailedConnect is a connection attempt of a client that an entry VM refused or did not answer.
type FailedConnect struct {
	At time.Time
	VM string
}

// ServerCut is a time span in which some entry VMs are cut off from all workers.
type ServerCut struct {
	From, To time.Time
	VMs      []string
	// Held is set if bytes are held back until the end of the cut.
	Held bool
}

// Records are the observations of a run from outside the processes.
type Records struct {
	// ControlVMs is the number of control VMs at a time.
	ControlVMs     int
	Requests       map[string]*Request
	FailedConnects []FailedConnect
	Attempts       map[string][]*Attempt
	Changes        []*ConfigChange
	Reads          []ConfigRead
	Disturbances   []Disturbance
	// ServerCuts are no disturbances: an entry VM without workers stays in touch with its callers and the other VMs.
	ServerCuts  []*ServerCut
	Evacuations []*Evacuation
	// WarmUps are the time spans in which workers are cold, in the order of their beginnings.
	WarmUps []*WarmUp
	// ZoneOf returns the zone of a worker by its id; nil if there are no evacuations.
	ZoneOf func(server string) string
	// DrainingSince holds, by worker id, the time when the announcement of draining was acknowledged.
	DrainingSince map[string]time.Time
	// UnexpectedExits describes the processes that ended without being told to, and the failed restarts and wipes.
	UnexpectedExits []string
	// ReservedTokens holds, by worker id, the memory in tokens that is reserved after settleTime without load.
	ReservedTokens map[string]int
	// LoadEndedAt is the time when the last client stopped, zero before.
	LoadEndedAt time.Time
}

// recorder collects records. Its methods may be called concurrently.
type recorder struct {
	mu sync.Mutex
	Records
	// vmByIP holds the names of VMs by their source IP address. It is complete before the first request.
	vmByIP map[string]string
}

func newRecorder() *recorder {
	return &recorder{
		Records: Records{
			Requests: map[string]*Request{}, Attempts: map[string][]*Attempt{}, DrainingSince: map[string]time.Time{},
			ReservedTokens: map[string]int{},
		},
		vmByIP: map[string]string{},
	}
}

// locked calls do with the lock of the records held.
func (r *recorder) locked(do func(*Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(&r.Records)
}

// recordAttempt records a request that a worker received.
func (r *recorder) recordAttempt(attempt *Attempt, rejected bool) {
	attempt.Rejected, attempt.SenderVM = rejected, r.vmByIP[attempt.SenderIP]
	if rejected {
		attempt.EndedAt = attempt.ReceivedAt
	}
	r.locked(func(all *Records) { all.Attempts[attempt.RequestID] = append(all.Attempts[attempt.RequestID], attempt) })
}

// recordEnd records that a worker has stopped running a request. completed is false if the run was cancelled, cut is how
// the answer was cut off.
func (r *recorder) recordEnd(attempt *Attempt, completed bool, cut Ending) {
	r.locked(func(*Records) { attempt.EndedAt, attempt.Completed, attempt.Cut = time.Now(), completed, cut })
}

// recordDraining records that the announcement of a worker's draining was acknowledged.
func (r *recorder) recordDraining(server string) {
	r.locked(func(all *Records) { all.DrainingSince[server] = time.Now() })
}

// beginDisturbance records that a step may affect requests from now on. The returned function records the end.
func (r *recorder) beginDisturbance(node string, planned bool) (end func()) {
	index := 0
	r.locked(func(all *Records) {
		index = len(all.Disturbances)
		all.Disturbances = append(all.Disturbances, Disturbance{From: time.Now(), To: time.Now().Add(time.Hour), Node: node, Planned: planned})
	})
	return func() { r.locked(func(all *Records) { all.Disturbances[index].To = time.Now() }) }
}

// beginDisturbances records that a fault concerns several nodes from now on. The returned function records the end.
func (r *recorder) beginDisturbances(nodes []string) (end func()) {
	var ends []func()
	for _, node := range nodes {
		ends = append(ends, r.beginDisturbance(node, false))
	}
	return func() {
		for _, endOne := range ends {
			endOne()
		}
	}
}

// beginServerCut records that entry VMs are cut off from all workers from now on. The returned function records the end.
func (r *recorder) beginServerCut(vms []string, held bool) (end func()) {
	cut := &ServerCut{From: time.Now(), To: time.Now().Add(time.Hour), VMs: vms, Held: held}
	r.locked(func(all *Records) { all.ServerCuts = append(all.ServerCuts, cut) })
	return func() { r.locked(func(*Records) { cut.To = time.Now() }) }
}
