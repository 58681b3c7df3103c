// Package roster keeps what backend servers last announced of themselves.
// Announcements may arrive late, twice and out of order; an older one never
// replaces a newer one. The functions are pure but for the state of a Roster,
// and take the time as an argument.
package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is what a server says of itself.
type State uint8

// States of a server, in the order in which they may follow each other within
// one incarnation.
const (
	StateReady State = iota + 1
	// StateDraining servers finish what they have and take nothing new.
	StateDraining
	// StateGone servers have said farewell or were replaced at their address.
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
	// Address is its "ip:port".
	Address string
	Zone    string
	// Slots is how many requests it runs at once.
	Slots int
	State State
	// StartedAt is the start of the server, by its own clock. It orders the
	// incarnations that share an id or an address.
	StartedAt time.Time
	// Sequence grows with each announcement of an incarnation.
	Sequence uint64
	// LastSeen is when the announcement arrived, by the clock of this VM.
	LastSeen time.Time
	// ColdUntil is until when the server is slow after its start.
	ColdUntil time.Time
}

// forgetGoneAfter is how long a farewell is remembered: longer than an
// announcement may be delayed on its way.
const forgetGoneAfter = 60 * time.Second

// Roster holds the servers by id. It is not safe for concurrent use.
type Roster struct {
	servers map[string]Server
}

// New returns an empty roster.
func New() *Roster { return &Roster{servers: map[string]Server{}} }

// Apply takes an announcement and tells whether it changed more than the time
// at which the server was heard.
func (r *Roster) Apply(announced Server) (changed bool) {
	known, found := r.servers[announced.ID]
	if found && !newer(&announced, &known) {
		return false
	}
	if found && known.StartedAt.Equal(announced.StartedAt) && known.State > announced.State {
		return false
	}
	if announced.State != StateGone && r.addressTaken(&announced) {
		return false
	}
	r.servers[announced.ID] = announced
	return !found || known.State != announced.State || known.Address != announced.Address ||
		known.Service != announced.Service || !known.StartedAt.Equal(announced.StartedAt) || known.Slots != announced.Slots
}

// newer orders announcements of one id: by incarnation, then by sequence. A
// farewell carries no sequence and follows all that came before it.
func newer(a, b *Server) bool {
	if !a.StartedAt.Equal(b.StartedAt) && !a.StartedAt.IsZero() {
		return a.StartedAt.After(b.StartedAt)
	}
	return a.Sequence > b.Sequence || a.State == StateGone && b.State != StateGone
}

// addressTaken tells whether a server that was born later holds the address.
// Servers that were born earlier are gone from it.
func (r *Roster) addressTaken(announced *Server) bool {
	for id, other := range r.servers {
		if id == announced.ID || other.Address != announced.Address || other.State == StateGone {
			continue
		}
		if other.StartedAt.After(announced.StartedAt) {
			return true
		}
		other.State = StateGone
		other.LastSeen = announced.LastSeen
		r.servers[id] = other
	}
	return false
}

// MarkGone notes the farewell of the server with id and returns its entry. It
// returns false when the server is unknown or gone already.
func (r *Roster) MarkGone(id string, now time.Time) (Server, bool) {
	server, found := r.servers[id]
	if !found || server.State == StateGone {
		return Server{}, false
	}
	server.State = StateGone
	server.LastSeen = now
	r.servers[id] = server
	return server, true
}

// Find returns the server with id.
func (r *Roster) Find(id string) (Server, bool) {
	server, found := r.servers[id]
	return server, found
}

// All returns the servers by id, also those that are gone.
func (r *Roster) All() []Server {
	return slices.SortedFunc(maps.Values(r.servers), func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
}

// Evict forgets servers that were silent for forget, and farewells when no
// announcement can be on its way any more. It returns the forgotten ones.
func (r *Roster) Evict(now time.Time, forget time.Duration) []Server {
	var forgotten []Server
	for id, server := range r.servers {
		limit := forget
		if server.State == StateGone {
			limit = forgetGoneAfter
		}
		if now.Sub(server.LastSeen) > limit {
			delete(r.servers, id)
			forgotten = append(forgotten, server)
		}
	}
	return forgotten
}
