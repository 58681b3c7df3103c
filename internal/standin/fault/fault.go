// Package fault defines the faults that can be injected into a stand-in, and the set of those that
// are active. The stand-ins themselves produce the effects.
package fault

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind is a kind of fault. Its value is the name in the control interface.
type Kind string

// Kinds of fault.
const (
	// Die stops the stand-in at once, without announcing it.
	Die Kind = "die"
	// Hang stops all work. Announcements continue and connections stay open.
	Hang Kind = "hang"
	// Silent makes the stand-in send neither answers nor announcements.
	Silent Kind = "silent"
	// Late delays the start of an answer by Fault.DelayMillis.
	Late Kind = "late"
	// Crossed sends the answer, or one chunk of it, with the identifier of another attempt.
	Crossed Kind = "crossed"
	// Cut closes the connection after Fault.AfterTokens tokens. A plain service runs the call
	// and closes the connection in the middle of the answer.
	Cut Kind = "cut"
	// Repeat sends one chunk of a streamed answer, or the body of a plain service's answer, twice.
	Repeat Kind = "repeat"
	// Leak makes an engine keep the memory of an attempt after its end, until the attempt is
	// cancelled. A plain service ignores it.
	Leak Kind = "leak"
	// Refuse answers with status 503 and backendapi.HeaderNotRun, and runs nothing.
	Refuse Kind = "refuse"
	// Error answers with status 500 and without backendapi.HeaderNotRun. A plain service does so
	// after it has run the call, an engine before it runs anything.
	Error Kind = "error"
)

// Kinds lists all kinds of fault.
var Kinds = []Kind{Die, Hang, Silent, Late, Crossed, Cut, Repeat, Leak, Refuse, Error}

// Forever as Fault.Count keeps a fault active until it is cleared.
const Forever = -1

// Fault is a fault to activate or to clear.
type Fault struct {
	Kind Kind `json:"kind"`
	// Count is the number of calls that the fault hits, or Forever. Zero clears the fault. Die,
	// Hang and Silent are not counted down: they stay active until they are cleared.
	Count int `json:"count"`
	// DelayMillis is the delay of Late in milliseconds.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// AfterTokens is the number of tokens that an engine sends before Cut, Crossed or Repeat
	// hits.
	AfterTokens int64 `json:"after_tokens,omitempty"`
}

// Delay returns DelayMillis as a duration.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Set holds the active faults, at most one of each kind. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	active  map[Kind]Fault
	changed chan struct{}
}

// NewSet returns a set without faults.
func NewSet() *Set {
	return &Set{active: map[Kind]Fault{}, changed: make(chan struct{})}
}

// Apply activates a fault in place of one of the same kind, or clears it if its count is zero. It
// fails if the kind is unknown.
func (s *Set) Apply(fault Fault) error {
	if !slices.Contains(Kinds, fault.Kind) {
		return fmt.Errorf("unknown fault %q, allowed: %v", fault.Kind, Kinds)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Count == 0 {
		delete(s.active, fault.Kind)
	} else {
		s.active[fault.Kind] = fault
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

// IsActive reports whether a fault is active, without counting it down.
func (s *Set) IsActive(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.active[kind]
	return found
}

// Take returns an active fault for the current call and counts it down. It reports false if no
// fault of the kind is active.
func (s *Set) Take(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, found := s.active[kind]
	if !found {
		return Fault{}, false
	}
	if fault.Count > 0 {
		remaining := fault
		remaining.Count--
		s.active[kind] = remaining
		if remaining.Count == 0 {
			delete(s.active, kind)
		}
	}
	return fault, true
}

// Changed returns a channel that is closed at the next Apply.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Active lists the active faults in the order of Kinds.
func (s *Set) Active() []Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := make([]Fault, 0, len(s.active))
	for _, kind := range Kinds {
		if fault, found := s.active[kind]; found {
			faults = append(faults, fault)
		}
	}
	return faults
}
