package quarantine

import (
	"sync"
	"time"
)

// Guard is a Tracker that is safe for concurrent use. It computes the Subjects of requests
// outside of its lock, since bodies may have megabytes.
type Guard struct {
	mu      sync.Mutex
	tracker *Tracker
}

// NewGuard returns a guard without evidence.
func NewGuard() *Guard { return &Guard{tracker: NewTracker()} }

// Do calls f with the tracker, which f must not keep.
func (g *Guard) Do(f func(*Tracker)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.tracker)
}

// DoWith is Do for a function that gets request and may need its Subject.
func (g *Guard) DoWith(request *Request, f func(*Tracker)) {
	var mayKnow bool
	g.Do(func(t *Tracker) { mayKnow = t.mayKnow(request) })
	if mayKnow {
		request.Subject()
	}
	g.Do(f)
}

// Quarantined is Tracker.Quarantined.
func (g *Guard) Quarantined(now time.Time, request *Request, parts []Subject) (subject Subject, found bool) {
	g.DoWith(request, func(t *Tracker) { subject, found = t.Quarantined(now, request, parts) })
	return subject, found
}

// RecordSound is Tracker.RecordSound.
func (g *Guard) RecordSound(now time.Time, request *Request, parts []Subject) {
	g.DoWith(request, func(t *Tracker) { t.RecordSound(now, request, parts) })
}
