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
	// Generation is the configuration that alone has the route or key of a probe,
	// 0 for other requests.
	Generation  uint64
	VM          string
	Incarnation int
	Begun       time.Time
	// Reply is complete once Done is set.
	Reply standin.Reply
	Done  bool
}

// Arrival is what a worker knows of one sending of a request.
type Arrival struct {
	standin.ReceivedRequest
	Server   string
	Service  string
	Rejected bool
	// EndedAt is zero while the run goes on. Whole runs were not given up.
	EndedAt time.Time
	Whole   bool
	// VM is the process that sent it.
	VM string
}

// Change is a configuration that the operator sends.
type Change struct {
	Version uint64
	SentAt  time.Time
	// AckedAt is zero without an acknowledgement.
	AckedAt time.Time
	Refused bool
}

// Read is a configuration that the operator read back.
type Read struct {
	SentAt  time.Time
	Version uint64
}

// Span is a time in which a step may disturb.
type Span struct {
	From, To time.Time
	Node     string
	// Planned spans suspend nothing that holds beside planned work.
	Planned bool
}

// Records are all that was seen from outside.
type Records struct {
	Requests map[string]*Request
	Arrivals map[string][]*Arrival
	Changes  []*Change
	Reads    []Read
	Spans    []Span
	// Leavings holds when workers had an acknowledgement of their departure.
	Leavings map[string]time.Time
	// Exits are processes that ended by themselves.
	Exits []string
	// Left is the memory in tokens that workers still have reserved at the end.
	Left map[string]int
	// LoadEnds is when the last client stopped, zero before.
	LoadEnds time.Time
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
			Requests: map[string]*Request{}, Arrivals: map[string][]*Arrival{}, Leavings: map[string]time.Time{}, Left: map[string]int{},
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
func (r *recorder) arrived(arrival *Arrival, rejected bool) {
	arrival.Rejected, arrival.VM = rejected, r.vmOf[arrival.SenderIP]
	if rejected {
		arrival.EndedAt = arrival.ReceivedAt
	}
	r.locked(func(all *Records) { all.Arrivals[arrival.RequestID] = append(all.Arrivals[arrival.RequestID], arrival) })
}

// ended notes that a worker works on a request no more. Whole runs were not
// given up.
func (r *recorder) ended(arrival *Arrival, whole bool) {
	r.locked(func(*Records) { arrival.EndedAt, arrival.Whole = time.Now(), whole })
}

// left notes that a worker's departure was acknowledged.
func (r *recorder) left(server string) {
	r.locked(func(all *Records) { all.Leavings[server] = time.Now() })
}

// span notes that a step may disturb from now on, and returns how to end it.
func (r *recorder) span(node string, planned bool) (end func()) {
	at := 0
	r.locked(func(all *Records) {
		at = len(all.Spans)
		all.Spans = append(all.Spans, Span{From: time.Now(), To: time.Now().Add(time.Hour), Node: node, Planned: planned})
	})
	return func() { r.locked(func(all *Records) { all.Spans[at].To = time.Now() }) }
}
