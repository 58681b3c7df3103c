package soak

import (
	"sync"
	"time"

	"godwityoke.example/godwityoke/platform/standin"
)

// Request is what a client knows of a request.
type Request struct {
	Call standin.Call
	// Unsafe requests may run once at most.
	Unsafe bool
	// Team holds the call's key.
	Team string
	// ProbedVersion is the configuration that alone has the route or key of a probe,
	// 0 for other requests.
	ProbedVersion uint64
	VM            string
	Incarnation   int
	StartedAt     time.Time
	// Reply is complete once Done is set.
	Reply standin.Reply
	Done  bool
}

// Attempt is what a worker knows of one sending of a request.
type Attempt struct {
	standin.ReceivedRequest
	Server   string
	Service  string
	Rejected bool
	// EndedAt is zero while the run goes on. Completed runs were not given up.
	EndedAt   time.Time
	Completed bool
	// SenderVM is the process that sent it.
	SenderVM string
}

// ConfigChange is a configuration that the operator sends.
type ConfigChange struct {
	Version uint64
	SentAt  time.Time
	// AckedAt is zero without an acknowledgement.
	AckedAt time.Time
	Refused bool
}

// ConfigRead is a configuration that the operator read back.
type ConfigRead struct {
	SentAt  time.Time
	Version uint64
}

// Disturbance is a time in which a step may disturb.
type Disturbance struct {
	From, To time.Time
	Node     string
	// Planned disturbances suspend nothing that holds beside planned work.
	Planned bool
}

// Records are all that was seen from outside.
type Records struct {
	Requests     map[string]*Request
	Attempts     map[string][]*Attempt
	Changes      []*ConfigChange
	Reads        []ConfigRead
	Disturbances []Disturbance
	// DrainingSince holds when workers had an acknowledgement of their departure.
	DrainingSince map[string]time.Time
	// UnexpectedExits are processes that ended by themselves.
	UnexpectedExits []string
	// ReservedTokens is the memory in tokens that workers still have reserved at the end.
	ReservedTokens map[string]int
	// LoadEndedAt is when the last client stopped, zero before.
	LoadEndedAt time.Time
}

// recorder collects records.
type recorder struct {
	mu sync.Mutex
	Records
	vmOf map[string]string
}

func newRecorder() *recorder {
	return &recorder{
		Records: Records{
			Requests: map[string]*Request{}, Attempts: map[string][]*Attempt{}, DrainingSince: map[string]time.Time{}, ReservedTokens: map[string]int{},
		},
		vmOf: map[string]string{},
	}
}

// locked calls do while no record changes.
func (r *recorder) locked(do func(*Records)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(&r.Records)
}

// arrived notes a request that a worker got.
func (r *recorder) arrived(arrival *Attempt, rejected bool) {
	arrival.Rejected, arrival.SenderVM = rejected, r.vmOf[arrival.SenderIP]
	if rejected {
		arrival.EndedAt = arrival.ReceivedAt
	}
	r.locked(func(all *Records) { all.Attempts[arrival.RequestID] = append(all.Attempts[arrival.RequestID], arrival) })
}

// ended notes that a worker works on a request no more. Completed runs were not
// given up.
func (r *recorder) ended(arrival *Attempt, whole bool) {
	r.locked(func(*Records) { arrival.EndedAt, arrival.Completed = time.Now(), whole })
}

// left notes that a worker's departure was acknowledged.
func (r *recorder) left(server string) {
	r.locked(func(all *Records) { all.DrainingSince[server] = time.Now() })
}

// span notes that a step may disturb from now on, and returns how to end it.
func (r *recorder) span(node string, planned bool) (end func()) {
	at := 0
	r.locked(func(all *Records) {
		at = len(all.Disturbances)
		all.Disturbances = append(all.Disturbances, Disturbance{From: time.Now(), To: time.Now().Add(time.Hour), Node: node, Planned: planned})
	})
	return func() { r.locked(func(all *Records) { all.Disturbances[at].To = time.Now() }) }
}
