package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/place"
)

// expireAfter is the time since the last announcement after which a server is evicted.
// Until then its incarnation is kept to detect late announcements of replaced incarnations.
const expireAfter = time.Hour

// CacheListener receives the cache events of engines. Its methods must not
// block and must not call back into the Table.
type CacheListener interface {
	// ApplyCacheEvents passes events in the order of their arrival. Events may arrive
	// late, and their sequence numbers may have gaps.
	ApplyCacheEvents(serverID string, incarnation uint64, events []backendapi.CacheEvent)
	// DropCache reports that the cache contents of an incarnation are no longer valid:
	// the incarnation was replaced or is unresponsive.
	DropCache(serverID string, incarnation uint64)
}

// Change is the effect of an announcement on the Table.
type Change int

// Values of Change.
const (
	// ChangeNone is a further heartbeat.
	ChangeNone Change = iota
	// ChangeJoined is the first announcement of a server or incarnation, or the first
	// one after it was unresponsive.
	ChangeJoined
	// ChangeDraining is the first announcement of draining by an incarnation.
	ChangeDraining
	// ChangeIgnored is an invalid, stale or repeated announcement, which has no effect.
	ChangeIgnored
)

// Table holds the backend servers of one zone. It implements View and is safe
// for concurrent use.
type Table struct {
	zone              string
	unresponsiveAfter time.Duration

	mu       sync.RWMutex
	entries  map[string]*serverEntry
	listener CacheListener
}

// serverEntry is the state of one server by its latest announcement.
type serverEntry struct {
	server   place.Server
	sequence uint64
	lastSeen time.Time
	draining bool
	// reportedUnresponsive is true once Sweep has reported the server.
	reportedUnresponsive bool
	checksFencing        bool
}

// NewTable returns an empty table for the servers of zone. A server without an
// announcement for unresponsiveAfter is unresponsive.
func NewTable(zone string, unresponsiveAfter time.Duration) *Table {
	return &Table{zone: zone, unresponsiveAfter: unresponsiveAfter, entries: map[string]*serverEntry{}}
}

// SetCacheListener sets the receiver of cache events. It must be called before the first
// announcement; earlier events are not passed on.
func (t *Table) SetCacheListener(listener CacheListener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
}

// Apply updates the table with an announcement that arrived at now, and notifies the
// cache listener. It returns an error for an invalid announcement.
func (t *Table) Apply(a *backendapi.Announcement, now time.Time) (Change, error) {
	if err := t.validate(a); err != nil {
		return ChangeIgnored, err
	}
	t.mu.Lock()
	change, replaced := t.update(a, now)
	listener := t.listener
	t.mu.Unlock()
	if listener != nil && change != ChangeIgnored {
		if replaced != 0 {
			listener.DropCache(a.ServerID, replaced)
		}
		if len(a.CacheEvents) > 0 {
			listener.ApplyCacheEvents(a.ServerID, a.Incarnation, a.CacheEvents)
		}
	}
	return change, nil
}

func (t *Table) validate(a *backendapi.Announcement) error {
	if a.ServerID == "" || a.Incarnation == 0 {
		return fmt.Errorf("server_id and incarnation are required")
	}
	if a.Zone != t.zone {
		return fmt.Errorf("the server is in zone %q, this VM in zone %q", a.Zone, t.zone)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return fmt.Errorf("address: %w", err)
	}
	if a.State != backendapi.StateServing && a.State != backendapi.StateDraining {
		return fmt.Errorf("state %q is not known", a.State)
	}
	switch {
	case a.Kind == backendapi.KindService && a.Service != "":
	case a.Kind == backendapi.KindEngine && a.MemoryTokens > 0:
	default:
		return fmt.Errorf("kind %q needs a service or memory_tokens", a.Kind)
	}
	return nil
}

// update stores the state of a valid announcement. It returns the change and the replaced
// incarnation, which is 0 if none was replaced. The caller holds t.mu.
func (t *Table) update(a *backendapi.Announcement, now time.Time) (change Change, replaced uint64) {
	current := t.entries[a.ServerID]
	if current != nil {
		old := current.server.Incarnation
		if a.Incarnation < old || (a.Incarnation == old && a.Sequence <= current.sequence) {
			return ChangeIgnored, 0
		}
		if a.Incarnation > old {
			replaced = old
		}
	}
	next := newServerEntry(a, now)
	sameIncarnation := current != nil && replaced == 0
	wasDraining := sameIncarnation && current.draining
	next.draining = next.draining || wasDraining // draining is final for an incarnation
	switch {
	case next.draining && !wasDraining:
		change = ChangeDraining
	case !sameIncarnation || t.isUnresponsive(current, now):
		change = ChangeJoined
	}
	t.entries[a.ServerID] = next
	return change, replaced
}

func newServerEntry(a *backendapi.Announcement, now time.Time) *serverEntry {
	return &serverEntry{
		sequence:      a.Sequence,
		lastSeen:      now,
		draining:      a.State == backendapi.StateDraining,
		checksFencing: a.ChecksFencing,
		server: place.Server{
			ID:           a.ServerID,
			Incarnation:  a.Incarnation,
			Zone:         a.Zone,
			Address:      a.Address,
			Kind:         a.Kind,
			Service:      a.Service,
			Role:         a.Role,
			Models:       a.Models,
			MemoryTokens: a.MemoryTokens,
			Load:         a.Load,
			LoadAt:       now.Add(-time.Duration(a.Load.AgeMillis) * time.Millisecond),
		},
	}
}

func (t *Table) isUnresponsive(e *serverEntry, now time.Time) bool {
	return now.Sub(e.lastSeen) >= t.unresponsiveAfter
}

// IsAlive reports whether incarnation is the latest one of the server and is responsive.
// Draining servers are alive until they become unresponsive.
func (t *Table) IsAlive(serverID string, incarnation uint64, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[serverID]
	return e != nil && e.server.Incarnation == incarnation && !t.isUnresponsive(e, now)
}

// IsLatestIncarnation reports whether incarnation is the latest known one of the server,
// which may be unresponsive.
func (t *Table) IsLatestIncarnation(serverID string, incarnation uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e := t.entries[serverID]
	return e != nil && e.server.Incarnation == incarnation
}

// Sweep evicts servers without an announcement for expireAfter. It returns the servers that
// became unresponsive since the last call, after it has dropped their caches at the listener.
func (t *Table) Sweep(now time.Time) []place.Server {
	unresponsive, listener := t.sweep(now)
	if listener != nil {
		for _, server := range unresponsive {
			listener.DropCache(server.ID, server.Incarnation)
		}
	}
	return unresponsive
}

func (t *Table) sweep(now time.Time) ([]place.Server, CacheListener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var unresponsive []place.Server
	for id, e := range t.entries {
		if now.Sub(e.lastSeen) >= expireAfter {
			delete(t.entries, id)
			continue
		}
		if !e.reportedUnresponsive && t.isUnresponsive(e, now) {
			e.reportedUnresponsive = true
			unresponsive = append(unresponsive, e.server)
		}
	}
	return unresponsive, t.listener
}

// Engines implements View.
func (t *Table) Engines(model, adapter string, now time.Time) []place.Server {
	return t.filter(now, func(s *place.Server) bool {
		return s.Kind == backendapi.KindEngine && servesModel(s.Models, model, adapter)
	})
}

// Services implements View.
func (t *Table) Services(service string, now time.Time) []place.Server {
	return t.filter(now, func(s *place.Server) bool {
		return s.Kind == backendapi.KindService && s.Service == service
	})
}

// All implements View.
func (t *Table) All(now time.Time) []place.Server {
	return t.filter(now, func(*place.Server) bool { return true })
}

// filter returns the servers that accept new work and match wanted, ordered by ID.
func (t *Table) filter(now time.Time, wanted func(*place.Server) bool) []place.Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []place.Server
	for _, e := range t.entries {
		if !e.draining && !t.isUnresponsive(e, now) && wanted(&e.server) {
			found = append(found, e.server)
		}
	}
	slices.SortFunc(found, func(a, b place.Server) int { return strings.Compare(a.ID, b.ID) })
	return found
}

// OrderTarget is a backend server that can receive orders.
type OrderTarget struct {
	place.Server
	// ChecksFencing is true if the server rejects orders with stale fencing numbers.
	ChecksFencing bool
}

// OrderTargets returns the servers that accept new work, ordered by ID.
func (t *Table) OrderTargets(now time.Time) []OrderTarget {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []OrderTarget
	for _, e := range t.entries {
		if !e.draining && !t.isUnresponsive(e, now) {
			found = append(found, OrderTarget{Server: e.server, ChecksFencing: e.checksFencing})
		}
	}
	slices.SortFunc(found, func(a, b OrderTarget) int { return strings.Compare(a.ID, b.ID) })
	return found
}

func servesModel(models []backendapi.ServedModel, model, adapter string) bool {
	return slices.ContainsFunc(models, func(m backendapi.ServedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}
