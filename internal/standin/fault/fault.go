// Package fault holds the faults that are switched on in a stand-in.
package fault

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kind names a fault.
type Kind string

// Kinds of fault.
const (
	// Die ends the stand-in at once without any message.
	Die Kind = "die"
	// Hang stops all work; announcements and open connections go on.
	Hang Kind = "hang"
	// Silent sends nothing any more: no answer, no announcement.
	Silent Kind = "silent"
	// Late delays the start of an answer by DelayMillis.
	Late Kind = "late"
	// Crossed marks an answer with the attempt of another one.
	Crossed Kind = "crossed"
	// Cut closes the connection after AfterTokens tokens. A plain service
	// runs the call and closes the connection in the middle of the answer.
	Cut Kind = "cut"
	// Repeat sends a part of the answer twice.
	Repeat Kind = "repeat"
	// Leak keeps the memory of an attempt after its end, until it is
	// cancelled.
	Leak Kind = "leak"
	// Refuse answers 503 with the not-run header and runs nothing.
	Refuse Kind = "refuse"
	// Error runs a part of the call and answers 500.
	Error Kind = "error"
)

// Kinds lists all faults.
var Kinds = []Kind{Die, Hang, Silent, Late, Crossed, Cut, Repeat, Leak, Refuse, Error}

// Forever as a Count keeps a fault until it is cleared.
const Forever = -1

// Fault is one fault that is switched on.
type Fault struct {
	Kind Kind `json:"kind"`
	// Count is the number of calls that the fault hits, Forever for all. Zero
	// clears the fault.
	Count int `json:"count"`
	// DelayMillis is the delay of Late.
	DelayMillis int64 `json:"delay_ms,omitempty"`
	// AfterTokens is the number of tokens before Cut, Crossed and Repeat.
	AfterTokens int64 `json:"after_tokens,omitempty"`
}

// Delay returns the delay of Late.
func (f Fault) Delay() time.Duration { return time.Duration(f.DelayMillis) * time.Millisecond }

// Set holds the faults that are on. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	active  map[Kind]Fault
	changed chan struct{}
}

// NewSet returns a set without faults.
func NewSet() *Set {
	return &Set{active: map[Kind]Fault{}, changed: make(chan struct{})}
}

// Apply turns fault on, or off when its count is zero.
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

// IsActive reports whether a fault is on, without using it up.
func (s *Set) IsActive(kind Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.active[kind]
	return found
}

// Take returns a fault that hits the current call and counts it down.
func (s *Set) Take(kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fault, found := s.active[kind]
	if !found {
		return Fault{}, false
	}
	if fault.Count > 0 {
		left := fault
		left.Count--
		s.active[kind] = left
		if left.Count == 0 {
			delete(s.active, kind)
		}
	}
	return fault, true
}

// Changed returns a channel that is closed at the next switch.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Active lists the faults that are on.
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
