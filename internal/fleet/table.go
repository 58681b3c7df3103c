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

// forgetAfter is how long the incarnation of a silent server is remembered, so
// that late news of an older one changes nothing.
const forgetAfter = time.Hour

// CacheListener receives the cache events of engines. Its methods must not
// block and must not call back into the Table.
type CacheListener interface {
	// ApplyCacheEvents reports events as they arrived: late and with gaps in their
	// sequence numbers.
	ApplyCacheEvents(serverID string, incarnation uint64, events []backendapi.CacheEvent)
	// DropCache reports that the cache of an incarnation no longer counts.
	DropCache(serverID string, incarnation uint64)
}

// Change tells what an announcement changed.
type Change int

// Changes made by an announcement.
const (
	// ChangeNone stands for a further heartbeat.
	ChangeNone Change = iota
	// ChangeJoined stands for a new server or incarnation, or one that is
	// heard again after silence.
	ChangeJoined
	// ChangeDraining stands for the first news of leaving.
	ChangeDraining
	// ChangeIgnored stands for old news, which changes nothing.
	ChangeIgnored
)

// Table holds the backend servers of one zone. It implements View and is safe
// for concurrent use.
type Table struct {
	zone        string
	silentAfter time.Duration

	mu       sync.RWMutex
	entries  map[string]*entry
	listener CacheListener
}

// entry is what is known of one server.
type entry struct {
	server   place.Server
	sequence uint64
	heardAt  time.Time
	leaving  bool
	// silent is set once the silence was reported by Sweep.
	silent        bool
	checksFencing bool
}

// NewTable returns an empty table for the servers of zone.
func NewTable(zone string, silentAfter time.Duration) *Table {
	return &Table{zone: zone, silentAfter: silentAfter, entries: map[string]*entry{}}
}

// SetCacheListener sets the receiver of cache events. It is called before the
// first announcement.
func (t *Table) SetCacheListener(listener CacheListener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listener = listener
}

// Apply takes an announcement that arrived at now. The error tells what is
// wrong with it.
func (t *Table) Apply(a *backendapi.Announcement, now time.Time) (Change, error) {
	if err := t.check(a); err != nil {
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

func (t *Table) check(a *backendapi.Announcement) error {
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

// update returns what changed, and the incarnation that was replaced or 0.
func (t *Table) update(a *backendapi.Announcement, now time.Time) (change Change, replaced uint64) {
	known := t.entries[a.ServerID]
	if known != nil {
		old := known.server.Incarnation
		if a.Incarnation < old || (a.Incarnation == old && a.Sequence <= known.sequence) {
			return ChangeIgnored, 0
		}
		if a.Incarnation > old {
			replaced = old
		}
	}
	next := newEntry(a, now)
	sameIncarnation := known != nil && replaced == 0
	wasLeaving := sameIncarnation && known.leaving
	next.leaving = next.leaving || wasLeaving // leaving is final for an incarnation
	switch {
	case next.leaving && !wasLeaving:
		change = ChangeDraining
	case !sameIncarnation || t.isSilent(known, now):
		change = ChangeJoined
	}
	t.entries[a.ServerID] = next
	return change, replaced
}

func newEntry(a *backendapi.Announcement, now time.Time) *entry {
	return &entry{
		sequence:      a.Sequence,
		heardAt:       now,
		leaving:       a.State == backendapi.StateDraining,
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

func (t *Table) isSilent(e *entry, now time.Time) bool {
	return now.Sub(e.heardAt) >= t.silentAfter
}

// IsAlive reports whether the server is heard of and still runs incarnation.
// Leaving servers are alive until they fall silent.
func (t *Table) IsAlive(serverID string, incarnation uint64, now time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known := t.entries[serverID]
	return known != nil && known.server.Incarnation == incarnation && !t.isSilent(known, now)
}

// IsLatestIncarnation reports whether the incarnation is the newest one heard of, though it
// may be silent at this time.
func (t *Table) IsLatestIncarnation(serverID string, incarnation uint64) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	known := t.entries[serverID]
	return known != nil && known.server.Incarnation == incarnation
}

// Sweep forgets servers that have long been silent, and returns those that
// fell silent since the last sweep.
func (t *Table) Sweep(now time.Time) []place.Server {
	silent, listener := t.sweep(now)
	if listener != nil {
		for _, server := range silent {
			listener.DropCache(server.ID, server.Incarnation)
		}
	}
	return silent
}

func (t *Table) sweep(now time.Time) ([]place.Server, CacheListener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var silent []place.Server
	for id, known := range t.entries {
		if now.Sub(known.heardAt) >= forgetAfter {
			delete(t.entries, id)
			continue
		}
		if !known.silent && t.isSilent(known, now) {
			known.silent = true
			silent = append(silent, known.server)
		}
	}
	return silent, t.listener
}

// Engines implements View.
func (t *Table) Engines(model, adapter string, now time.Time) []place.Server {
	return t.filter(now, func(s *place.Server) bool {
		return s.Kind == backendapi.KindEngine && serves(s.Models, model, adapter)
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

// filter returns the servers that may get new work, ordered by ID.
func (t *Table) filter(now time.Time, wanted func(*place.Server) bool) []place.Server {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []place.Server
	for _, known := range t.entries {
		if !known.leaving && !t.isSilent(known, now) && wanted(&known.server) {
			found = append(found, known.server)
		}
	}
	slices.SortFunc(found, func(a, b place.Server) int { return strings.Compare(a.ID, b.ID) })
	return found
}

// OrderTarget is a backend server with what matters for orders to it.
type OrderTarget struct {
	place.Server
	// ChecksFencing tells whether the server refuses old fencing numbers.
	ChecksFencing bool
}

// OrderTargets returns the servers that may get new work, ordered by ID.
func (t *Table) OrderTargets(now time.Time) []OrderTarget {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var found []OrderTarget
	for _, known := range t.entries {
		if !known.leaving && !t.isSilent(known, now) {
			found = append(found, OrderTarget{Server: known.server, ChecksFencing: known.checksFencing})
		}
	}
	slices.SortFunc(found, func(a, b OrderTarget) int { return strings.Compare(a.ID, b.ID) })
	return found
}

func serves(models []backendapi.ServedModel, model, adapter string) bool {
	return slices.ContainsFunc(models, func(m backendapi.ServedModel) bool {
		return m.Name == model && (adapter == "" || slices.Contains(m.Adapters, adapter))
	})
}
