// Package fairshare orders the requests that wait for servers, so that each team gets a fair
// share of the server time. It divides by server time, not by the number of requests, and
// only among the teams that have requests waiting.
//
// The package is a pure state machine: callers pass in the time, and placing requests is
// their responsibility. It is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// useTime is the time constant in which the use of a team decays. It matches the longest
	// time for which most streams occupy a server, so that the shares hold for what runs.
	useTime = 2 * time.Second
	// reservedShare is the share of the server time that each waiting priority keeps beside
	// the first one. All of them together keep at most maxReservedShare.
	reservedShare    = 0.1
	maxReservedShare = 0.5
	// maxDue bounds what a priority may be owed or may have received in advance, in seconds
	// of server time: about two of the longest requests.
	maxDue = 4.0
	// maxAccounts is the number of accounts that are kept, or as many as have requests waiting
	// if these are more. The one with the least use among evictionSample without waiting
	// requests is evicted first.
	maxAccounts    = 8192
	evictionSample = 64
	// maxExponent is the exponent of the decay at which all amounts are scaled down, so that
	// they stay finite.
	maxExponent = 200
)

// Shares holds what teams have used. Pools of servers are independent of each other: use of
// one pool does not count in another.
type Shares struct {
	accounts map[accountKey]*Account
	// ring lists the accounts. evict looks at them from evictAt on, so that what it evicts does
	// not depend on the order of a map.
	ring    []*Account
	evictAt int
	pools   map[string]*pool
	// epoch is the time for which the amounts of use are stated: amounts are multiplied by
	// exp((now-epoch)/useTime) when they are added, rather than reduced as time passes.
	epoch time.Time
	// Buffers of Order.
	keys   []uint64
	other  []uint64
	claims []Claim
	active []*Account
	heap   largestFirst
	order  []int32
	front  []int32
	rest   []int32
	// levelsChanged is set if a priority was added since the last Order.
	levelsChanged bool
}

type accountKey struct {
	pool, team string
	priority   int
}

// pool is a set of servers that run the same requests.
type pool struct {
	name   string
	levels map[int]*level
	// servers is the number of its servers, at least 1.
	servers int
	// sorted lists the levels by priority.
	sorted []*level
	// contended is set if requests of several teams waited at the last Order.
	contended bool
	// team is the first team seen in the Order in progress.
	team string
	seen bool
}

// level is one priority of a pool.
type level struct {
	pool     *pool
	priority int
	// place is the position among the levels of all pools, by priority.
	place int
	// due is the server time that the level is owed before others, in seconds. owed is what is
	// left of it in the Order in progress.
	due, owed float64
	// waiting is set if requests waited at the last Order.
	waiting bool
	// largest is the longest server time of the waiting requests. total is the use of their teams.
	largest, total float64
	// shortest is the shortest time from queueing to the latency target of the waiting requests.
	shortest time.Duration
	claims   int
}

// Account is the use of one team at one priority in one pool.
type Account struct {
	team  string
	key   accountKey
	level *level
	// use is the decayed server time in seconds, as of the epoch.
	use float64
	// holders counts the requests that refer to the account, which is not evicted before 0.
	holders int
	// refused counts refusals since the last call of TopRefused.
	refused int

	// State of the Order in progress: now is the use as of now, waiting the server time of
	// the waiting requests, fair the share.
	now, waiting, fair, virtual float64
	marked                      bool
}

// New returns a Shares without any use.
func New() *Shares {
	return &Shares{accounts: map[accountKey]*Account{}, pools: map[string]*pool{}}
}

// Hold returns the account of a request that waits. Release must be called once for it.
func (s *Shares) Hold(poolName, team string, priority int) *Account {
	key := accountKey{pool: poolName, team: team, priority: priority}
	a := s.accounts[key]
	if a == nil {
		if len(s.accounts) >= maxAccounts {
			s.evict()
		}
		a = &Account{team: team, key: key, level: s.levelOf(poolName, priority)}
		s.accounts[key] = a
		s.ring = append(s.ring, a)
	}
	a.holders++
	return a
}

// Release ends a Hold.
func (s *Shares) Release(a *Account) { a.holders-- }

func (s *Shares) levelOf(poolName string, priority int) *level {
	p := s.pools[poolName]
	if p == nil {
		p = &pool{name: poolName, levels: map[int]*level{}, servers: 1}
		s.pools[poolName] = p
	}
	l := p.levels[priority]
	if l == nil {
		s.levelsChanged = true
		l = &level{pool: p, priority: priority}
		p.levels[priority] = l
		at := len(p.sorted)
		for i, other := range p.sorted {
			if priority < other.priority {
				at = i
				break
			}
		}
		p.sorted = append(p.sorted, nil)
		copy(p.sorted[at+1:], p.sorted[at:])
		p.sorted[at] = l
	}
	return l
}

// evict removes accounts without requests until there is room for another one, each the one with
// the least use of the next evictionSample of them.
func (s *Shares) evict() {
	for len(s.ring) >= maxAccounts {
		least, seen := -1, 0
		for range s.ring {
			if s.evictAt >= len(s.ring) {
				s.evictAt = 0
			}
			at := s.evictAt
			s.evictAt++
			if s.ring[at].holders > 0 {
				continue
			}
			if least < 0 || s.ring[at].use < s.ring[least].use {
				least = at
			}
			if seen++; seen >= evictionSample {
				break
			}
		}
		if least < 0 {
			return
		}
		delete(s.accounts, s.ring[least].key)
		last := len(s.ring) - 1
		s.ring[least], s.ring[last] = s.ring[last], nil
		s.ring = s.ring[:last]
	}
}

// scale returns the factor from an amount as of now to one as of the epoch.
func (s *Shares) scale(now time.Time) float64 {
	if s.epoch.IsZero() {
		s.epoch = now
	}
	exponent := now.Sub(s.epoch).Seconds() / useTime.Seconds()
	if exponent > maxExponent {
		factor := math.Exp(-exponent)
		for _, a := range s.accounts {
			a.use *= factor
		}
		s.epoch, exponent = now, 0
	}
	return math.Exp(exponent)
}

// Charge records that a request was placed that takes the given server time in seconds.
func (s *Shares) Charge(now time.Time, a *Account, serverTime float64) {
	a.use += serverTime * s.scale(now)
	p := a.level.pool
	if !p.contended || a.key.priority < 0 {
		return
	}
	first, reserved := p.reserved()
	for _, l := range p.sorted {
		if !l.waiting || l == first || l.priority < 0 {
			continue
		}
		l.due += reserved * serverTime
		if l == a.level {
			l.due -= serverTime
		}
		l.due = math.Max(-maxDue, math.Min(l.due, maxDue))
	}
}

// reserved returns the first priority that waits, without those of resumed streams, and the
// share that each further one keeps.
func (p *pool) reserved() (first *level, share float64) {
	others := -1
	for _, l := range p.sorted {
		if l.waiting && l.priority >= 0 {
			if first == nil {
				first = l
			}
			others++
		}
	}
	return first, math.Min(reservedShare, maxReservedShare/float64(max(others, 1)))
}

// SetServers sets the number of servers of each pool.
func (s *Shares) SetServers(servers map[string]int) {
	for name, p := range s.pools {
		p.servers = max(servers[name], 1)
	}
}

// EndContention records that requests of one team at most wait.
func (s *Shares) EndContention() {
	for _, p := range s.pools {
		p.contended = false
		for _, l := range p.sorted {
			l.due = 0
		}
	}
}

// CountRefusal records that a request was refused.
func (s *Shares) CountRefusal(a *Account) { a.refused++ }

// TeamCount is a number of requests of a team.
type TeamCount struct {
	Team  string
	Count int
}

// TakeRefused returns up to n teams of which the most requests were refused since the last
// call, the most first.
func (s *Shares) TakeRefused(n int) []TeamCount {
	byTeam := map[string]int{}
	for _, a := range s.accounts {
		if a.refused > 0 {
			byTeam[a.team] += a.refused
			a.refused = 0
		}
	}
	counts := make([]TeamCount, 0, len(byTeam))
	for team, count := range byTeam {
		counts = append(counts, TeamCount{team, count})
	}
	slices.SortFunc(counts, func(a, b TeamCount) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Team, b.Team)) })
	return counts[:min(n, len(counts))]
}

// Share describes what a team has used of its pool, relative to all teams that waited at
// the same priority.
type Share struct {
	// Contended is false if no other team's requests waited at the last Order.
	Contended bool
	// Used and Fair are fractions of the use of all of these teams.
	Used, Fair float64
}

// ShareOf returns the share of a team as of the last Order.
func (s *Shares) ShareOf(a *Account) Share {
	share := Share{Contended: a.level.pool.contended}
	if a.level.total > 0 {
		share.Used, share.Fair = a.now/a.level.total, math.Min(a.fair/a.level.total, 1)
	}
	return share
}
