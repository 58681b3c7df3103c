// Package roster keeps the latest announced state of each backend server. Announcements may arrive late, repeatedly and
// out of order; a stale one never replaces a newer one. The package does no I/O and reads no clock: the time is passed
// as an argument. It does not decide whether a server is considered down.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state of a server.
type State uint8

// Values of State, in the order in which they may follow each other within one incarnation.
const (
	StateReady State = iota + 1
	// StateDraining servers finish their requests and accept no new ones.
	StateDraining
	// StateGone servers have deregistered or were superseded by a server started later at the same address.
	StateGone
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case StateReady:
		return "ready"
	case StateDraining:
		return "draining"
	case StateGone:
		return "gone"
	}
	return "unknown"
}

// Server is one backend server.
type Server struct {
	ID      string
	Service string
	// Address is "ip:port".
	Address string
	// Zone is the availability zone.
	Zone string
	// Slots is the maximum number of requests that the server runs at the same time.
	Slots int
	State State
	// StartedAt is the start time of the server process by its own clock, zero if it was not announced. It orders
	// the incarnations that share an id or an address.
	StartedAt time.Time
	// Sequence increases with each announcement of an incarnation.
	Sequence uint64
	// LastSeen is when the last announcement arrived, or when the server was marked as gone, by the clock of this VM.
	LastSeen time.Time
	// ColdUntil is the end of the warm-up after the start, during which the server is slower.
	ColdUntil time.Time
}

// GoneRetention is how long a server that is gone is kept. It is longer than an announcement may be delayed, so that a
// delayed one does not bring the server back.
const GoneRetention = 60 * time.Second

// Roster holds the servers by id. It is not safe for concurrent use.
type Roster struct {
	servers map[string]Server
	// live holds the id of the server at each address that is not gone. There is at most
	// one, see resolveAddress.
	live map[string]string
	// displaced holds the ids of servers that Apply has marked as gone because another one
	// was announced at their address, since the last TakeDisplaced.
	displaced []string
	// services holds the services that the route table names, nil if every service counts as named.
	services map[string]bool
	// refusal is the last announcement that Apply has refused, nil after TakeRefusal.
	refusal *Refusal
}

// Refusal is an announcement that names a service which the route table doesn't, for the id or the address of a server
// that is in use. Such an announcement may come from another sender than the server.
type Refusal struct {
	Announced Server
	// Known is the server in use.
	Known Server
}

// New returns an empty Roster.
func New() *Roster { return &Roster{servers: map[string]Server{}, live: map[string]string{}} }

// SetServices sets the services that the route table names. Announcements with other services take no id and no address
// from a server. Before the first call every service counts as named.
func (r *Roster) SetServices(names map[string]bool) { r.services = names }

func (r *Roster) isNamed(service string) bool { return r.services == nil || r.services[service] }

// TakeRefusal returns the last announcement that Apply has refused since the last call, nil if there is none.
func (r *Roster) TakeRefusal() *Refusal {
	refusal := r.refusal
	r.refusal = nil
	return refusal
}

// store records a server in place of the entry with its id.
func (r *Roster) store(server Server) {
	r.remove(server.ID)
	r.servers[server.ID] = server
	if server.State != StateGone {
		r.live[server.Address] = server.ID
	}
}

func (r *Roster) remove(id string) {
	if known, found := r.servers[id]; found && r.live[known.Address] == id {
		delete(r.live, known.Address)
	}
	delete(r.servers, id)
}

// Apply stores an announcement unless it is stale. Within an incarnation the latest state counts in the order of the
// values of State, whatever the sequence: the server may have stated it to another VM than its announcements. Apply
// tells whether the server is new or its incarnation, state, service, address or slots changed.
func (r *Roster) Apply(announced Server) (changed bool) {
	known, found := r.servers[announced.ID]
	if found && !r.isSameClaim(&announced, &known) {
		if !r.isNamed(announced.Service) {
			r.refusal = &Refusal{Announced: announced, Known: known}
			return false
		}
		r.remove(known.ID)
		found = false
	}
	if found {
		merged, isLater := merge(known, announced)
		if !isLater {
			return false
		}
		announced = merged
	}
	if announced.State != StateGone && r.resolveAddress(&announced) {
		return false
	}
	r.store(announced)
	return !found || isChange(&known, &announced)
}

// isSameClaim tells whether an announcement has the same claim to its id as the known server: the service of both is
// named, or of neither, or one of them is gone.
func (r *Roster) isSameClaim(announced, known *Server) bool {
	inUse := known.State != StateGone && announced.State != StateGone
	return !inUse || r.isNamed(known.Service) == r.isNamed(announced.Service)
}

// merge returns what is to be stored after an announcement of a known server, and false if the announcement is stale.
func merge(known, announced Server) (merged Server, isLater bool) {
	sameRun := known.StartedAt.Equal(announced.StartedAt)
	if sameRun && known.State != StateGone && announced.State != StateGone {
		announced = latest(known, announced)
	} else if !isNewer(&announced, &known) {
		return Server{}, false
	}
	if sameRun && known.State > announced.State {
		return Server{}, false
	}
	if announced.State == StateGone && announced.Address == "" {
		announced.Address, announced.Service = known.Address, known.Service
	}
	return announced, true
}

// isChange tells whether two entries of a server differ in more than when they were announced.
func isChange(a, b *Server) bool {
	return a.State != b.State || a.Address != b.Address || a.Service != b.Service || !a.StartedAt.Equal(b.StartedAt) || a.Slots != b.Slots
}

// latest merges two announcements of one incarnation: the later state, and all else of the one with the higher sequence.
func latest(known, announced Server) Server {
	merged := known
	if announced.Sequence > known.Sequence {
		merged = announced
	}
	merged.State = max(known.State, announced.State)
	return merged
}

// isNewer tells whether announcement a of a server supersedes b: by incarnation, then by sequence. StateGone has no
// sequence of its own and supersedes every other state of the incarnation.
func isNewer(a, b *Server) bool {
	if !a.StartedAt.Equal(b.StartedAt) && !a.StartedAt.IsZero() {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.Sequence > b.Sequence || a.State == StateGone && b.State != StateGone
}

// resolveAddress marks another server at the announced address as gone. It returns true if the announcement is stale,
// because the other one was started later, or refused, because its service is not named. A server whose service is not
// named has no claim to its address.
func (r *Roster) resolveAddress(announced *Server) bool {
	id, found := r.live[announced.Address]
	if !found || id == announced.ID {
		return false
	}
	other := r.servers[id]
	if !r.isNamed(announced.Service) {
		r.refusal = &Refusal{Announced: *announced, Known: other}
		return true
	}
	if r.isNamed(other.Service) && other.StartedAt.After(announced.StartedAt) {
		return true
	}
	other.State, other.LastSeen = StateGone, announced.LastSeen
	r.store(other)
	r.displaced = append(r.displaced, id)
	return false
}

// TakeDisplaced returns the servers that Apply has marked as gone since the last call because
// another one was announced at their address.
func (r *Roster) TakeDisplaced() []Server {
	var servers []Server
	for _, id := range r.displaced {
		if server, found := r.servers[id]; found {
			servers = append(servers, server)
		}
	}
	r.displaced = r.displaced[:0]
	return servers
}

// Each calls f with each server, including those that are gone, in no particular order.
func (r *Roster) Each(f func(Server)) {
	for _, server := range r.servers {
		f(server)
	}
}

// MarkGone marks the incarnation of a server that was started at startedAt as gone, zero for the known one. It returns
// the entry of the server, and tells whether that has changed. A server that is not known yet gets an entry, so that a
// delayed announcement does not bring it back. The entry is zero if the server was started again since.
func (r *Roster) MarkGone(id string, startedAt, now time.Time) (server Server, changed bool) {
	server, found := r.servers[id]
	switch {
	case found && startedAt.Before(server.StartedAt) && !startedAt.IsZero():
		return Server{}, false
	case !found || startedAt.After(server.StartedAt):
		server.ID, server.StartedAt = id, startedAt
	case server.State == StateGone:
		return server, false
	}
	server.State, server.LastSeen = StateGone, now
	r.store(server)
	return server, true
}

// Find returns the server with the given id and whether it is known.
func (r *Roster) Find(id string) (Server, bool) {
	server, found := r.servers[id]
	return server, found
}

// FindAddress returns the server at the address "ip:port" and whether one is known there that is not gone.
func (r *Roster) FindAddress(address string) (Server, bool) {
	id, found := r.live[address]
	return r.servers[id], found
}

// Ready returns the servers of a service in StateReady, in no particular order.
func (r *Roster) Ready(service string) []Server {
	var ready []Server
	for _, server := range r.servers {
		if server.Service == service && server.State == StateReady {
			ready = append(ready, server)
		}
	}
	return ready
}

// All returns the servers sorted by id, including those that are gone.
func (r *Roster) All() []Server {
	return slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Evict removes and returns the servers that were not seen for longer than unresponsiveFor, and those that have been
// gone for longer than GoneRetention. Draining servers of the former stay as gone, since a delayed announcement from
// before would bring them back as ready.
func (r *Roster) Evict(now time.Time, unresponsiveFor time.Duration) []Server {
	var evicted []Server
	for id, server := range r.servers {
		maxAge := unresponsiveFor
		if server.State == StateGone {
			maxAge = GoneRetention
		}
		if now.Sub(server.LastSeen) <= maxAge {
			continue
		}
		r.remove(id)
		evicted = append(evicted, server)
		if server.State == StateDraining {
			server.State, server.LastSeen = StateGone, now
			r.store(server)
		}
	}
	return evicted
}
