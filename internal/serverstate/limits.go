package serverstate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/roster"
)

const (
	// MaxLimit bounds the limit that a server may state, in requests a second.
	MaxLimit = 1e6
	// limitTolerance is the fraction by which a limit may vary without counting as changed.
	limitTolerance = 0.1
)

// LimitStatement tells what an answer says about the limit of its server.
type LimitStatement uint8

// Values of LimitStatement.
const (
	// LimitUnsaid means that the answer says nothing about a limit, neither that there is one nor that there is none.
	LimitUnsaid LimitStatement = iota
	// LimitNone means that the server has no limit.
	LimitNone
	// LimitStated means that the server has the limit in Statement.PerSecond.
	LimitStated
)

// Limit is the limit of one incarnation of a server, as one of its answers to any VM stated it.
type Limit struct {
	Server    string
	StartedAt time.Time
	// Stated is false if the answer named no limit, so that an earlier one has ended.
	Stated bool
	// PerSecond is the number of requests a second that the server takes from all VMs together. It may be 0.
	PerSecond float64
	// StatedAt is when the answer arrived, by the clock of this VM.
	StatedAt time.Time
}

// Limits holds the latest limit of each server that ever stated one. It is not safe for concurrent use.
type Limits struct {
	entries map[string]Limit
}

// NewLimits returns a Limits without entries.
func NewLimits() *Limits { return &Limits{entries: map[string]Limit{}} }

// Merge records a limit unless a later one, or one of a later incarnation, is known. It reports whether the server's limit has
// changed. The end of a limit that is not known is not recorded.
func (l *Limits) Merge(limit Limit) (changed bool) {
	known, found := l.entries[limit.Server]
	sameIncarnation := found && known.StartedAt.Equal(limit.StartedAt)
	switch {
	case !found && !limit.Stated, known.StartedAt.After(limit.StartedAt):
		return false
	case sameIncarnation && !limit.StatedAt.After(known.StatedAt):
		return false
	}
	if sameIncarnation && known.Stated && limit.Stated && math.Abs(limit.PerSecond-known.PerSecond) <= limitTolerance*known.PerSecond {
		limit.PerSecond = known.PerSecond
	}
	l.entries[limit.Server] = limit
	return !sameIncarnation || known.Stated != limit.Stated || known.PerSecond != limit.PerSecond
}

// Of returns the limit of an incarnation of a server in requests a second, and whether it has one.
func (l *Limits) Of(server roster.Server) (perSecond float64, limited bool) {
	limit, found := l.entries[server.ID]
	if !found || !limit.Stated || !limit.StartedAt.Equal(server.StartedAt) {
		return 0, false
	}
	return limit.PerSecond, true
}

// Has reports whether a limit of the incarnation of a server, or its end, is known.
func (l *Limits) Has(server roster.Server) bool {
	limit, found := l.entries[server.ID]
	return found && limit.StartedAt.Equal(server.StartedAt)
}

// All returns all entries, sorted by the server's id.
func (l *Limits) All() []Limit {
	all := make([]Limit, 0, len(l.entries))
	for _, limit := range l.entries {
		all = append(all, limit)
	}
	slices.SortFunc(all, func(a, b Limit) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// Len returns the number of entries.
func (l *Limits) Len() int { return len(l.entries) }

// Sweep removes the entries of servers that are gone or were started again, and those without a limit whose last statement is
// older than retention. find looks a server up in the roster.
func (l *Limits) Sweep(now time.Time, find func(id string) (roster.Server, bool)) {
	for id, limit := range l.entries {
		server, found := find(id)
		replaced := found && server.StartedAt.After(limit.StartedAt)
		gone := !found || server.State == roster.StateGone
		if replaced || (gone || !limit.Stated) && now.Sub(limit.StatedAt) > retention {
			delete(l.entries, id)
		}
	}
}
