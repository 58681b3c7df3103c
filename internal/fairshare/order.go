package fairshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Request is a waiting request.
type Request struct {
	Account *Account
	// ServerTime is the time for which it occupies a server alone, in seconds.
	ServerTime float64
	// Value is its weight per second of server time.
	Value float64
	// Waited is the time since it was queued, or since its caller was told to come back. In the
	// latter case it is negative if the caller is early.
	Waited time.Duration
	// ToTarget is the time until its latency target; a request that starts after that is late.
	// ToDeadline is the time until its caller leaves.
	ToTarget, ToDeadline time.Duration
	// Suspect is set if its entry VM is most likely cut off, so that its attempt would fail.
	Suspect bool
	// Copy is set if another request with the same identity waits or runs.
	Copy bool

	// dropped is set by dropLate.
	dropped bool
}

// Classes of the requests of one priority, in their order. The first three apply to a pool
// with several waiting teams: a request of a team that is more than one request below its fair share,
// one of a team that is within one request of it, and one beyond that. A team keeps its place among others while it is that close,
// so that teams of equal demand are ordered by value. Without this margin, 10 such teams lost 0.010 of the credit under 1.4 times the
// alternating bursts on the grown fleet.
const (
	classBehind = iota
	classWithin
	classBeyond
	// classEarly is a request whose caller came back before the time that it was told.
	classEarly
	classCopy
	classSuspect
)

// Lateness within a class, in its order.
const (
	onTime = iota
	// lateServed is a late request that can start before its caller leaves.
	lateServed
	// lateDropped is a late request that would make others miss their start deadline.
	lateDropped
)

const (
	// urgentFraction is the fraction of the time to its latency target from which on a request of a longer target
	// counts as urgent. A target is longer if it is at least longTargetRatio times the shortest one that waits.
	// Requests of about the same target don't become urgent: if they did, those about to be late would make
	// later ones late, too, which cost 0.03 to 0.05 of the credit.
	urgentFraction  = 0.25
	longTargetRatio = 3
	// urgentFactor multiplies the value of an urgent request. The values per second of the prompts of known loads
	// differ by less.
	urgentFactor = 20
)

// A key orders a request in 64 bits, which sort several times faster than a structure with its comparison. From
// the highest bit on, it holds the place of the priority, the class, the lateness, the value as an unsigned
// 32-bit floating-point number, and the index of the request.
const (
	indexBits  = 20
	valueBits  = 31
	lateBits   = 2
	classBits  = 3
	rankShift  = indexBits + valueBits
	levelShift = rankShift + lateBits + classBits
	maxPlace   = 1<<(64-levelShift) - 1
	indexMask  = 1<<indexBits - 1
	valueMask  = 1<<valueBits - 1

	// MaxRequests is the maximum number of requests of an Order: as many as a key can number.
	MaxRequests = 1 << indexBits
)

// ascending returns the bits of a value of at least 0 by which smaller ones come first.
func ascending(value float64) uint64 {
	return uint64(math.Float32bits(float32(max(value, 0)))) & valueMask
}

// descending returns the bits by which larger values come first.
func descending(value float64) uint64 { return valueMask - ascending(value) }

// keyOf returns the key of a request.
func keyOf(l *level, class, lateness int, value uint64, index int) uint64 {
	return uint64(l.place)<<levelShift | uint64(class)<<(rankShift+lateBits) | uint64(lateness)<<rankShift | value<<indexBits | uint64(index)
}

// Order returns the indices of at most MaxRequests requests in the order in which they are to be placed. The
// result is valid until the next call.
//
// Requests of resumed streams (negative priority) come first, then those that a reserved
// share lets pass, then all others by priority. Within a priority, and while requests of
// several teams wait for the same pool, teams below their fair share come first and teams
// above it last. In a pool where one team waits, the order depends on priority, suspicion,
// lateness and value only.
func (s *Shares) Order(now time.Time, requests []Request) []int32 {
	s.begin(now, requests)
	s.divide()
	s.dropLate(requests)
	s.keys = s.keys[:0]
	// The first order is the one within each team. It decides which of its requests are within its share.
	for i := range requests {
		r := &requests[i]
		l := r.Account.level
		class, late, value := classWithin, lateness(r), descending(r.Value)
		switch {
		case r.Suspect:
			class = classSuspect
		case !l.pool.contended || l.priority < 0:
		case late == lateServed:
			value = ascending(float64(r.ToDeadline))
		default:
			value = descending(agedValue(r))
		}
		s.keys = append(s.keys, keyOf(l, class, late, value, i))
	}
	s.keys, s.other = sortKeys(s.keys, s.other)
	s.other = slices.Grow(s.other[:0], len(s.keys))[:len(s.keys)]
	moved := false
	for _, key := range s.keys {
		i := int(key & indexMask)
		if class, value, moves := classify(&requests[i]); moves {
			key = keyOf(requests[i].Account.level, class, int(key>>rankShift&(1<<lateBits-1)), value, i)
			moved = true
		}
		s.other[i] = key // in the order of the indices again
	}
	if moved {
		s.keys, s.other = sortKeys(s.other, s.keys)
	}
	s.order = s.order[:0]
	for _, key := range s.keys {
		s.order = append(s.order, int32(key&indexMask))
	}
	s.promote(requests)
	return s.order
}

// placeLevels numbers the levels of all pools by priority. Those beyond maxPlace share a place.
func (s *Shares) placeLevels() {
	if !s.levelsChanged {
		return
	}
	s.levelsChanged = false
	var levels []*level
	for _, p := range s.pools {
		levels = append(levels, p.sorted...)
	}
	slices.SortFunc(levels, func(a, b *level) int {
		return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.pool.name, b.pool.name))
	})
	for i, l := range levels {
		l.place = min(i, maxPlace)
	}
}

// begin sets the state of the pools, levels and accounts from the waiting requests.
func (s *Shares) begin(now time.Time, requests []Request) {
	s.placeLevels()
	for _, p := range s.pools {
		p.seen, p.contended = false, false
		for _, l := range p.sorted {
			l.waiting, l.largest, l.shortest, l.total, l.claims = false, 0, math.MaxInt64/longTargetRatio, 0, 0
		}
	}
	s.active = s.active[:0]
	factor := 1 / s.scale(now)
	for i := range requests {
		r := &requests[i]
		a := r.Account
		l := a.level
		p := l.pool
		switch {
		case !p.seen:
			p.seen, p.team = true, a.team
		case !p.contended && p.team != a.team:
			p.contended = true
		}
		l.waiting = true
		if !a.marked {
			a.marked, a.now, a.waiting, a.fair = true, a.use*factor, 0, 0
			a.virtual = a.now
			l.total += a.now
			s.active = append(s.active, a)
		}
		if !r.Copy && !r.Suspect {
			a.waiting += r.ServerTime
			l.largest = max(l.largest, r.ServerTime)
			if r.ToTarget >= 0 {
				l.shortest = min(l.shortest, r.Waited+r.ToTarget)
			}
		}
	}
	for _, a := range s.active {
		a.marked = false
	}
	for _, p := range s.pools {
		for _, l := range p.sorted {
			if !l.waiting || !p.contended {
				l.due = 0
			}
		}
	}
}

// divide sets the fair share of the waiting accounts of each level with several of them.
func (s *Shares) divide() {
	s.keys = s.keys[:0]
	for i, a := range s.active {
		s.keys = append(s.keys, keyOf(a.level, 0, 0, ascending(a.now+a.waiting), i))
	}
	s.keys, s.other = sortKeys(s.keys, s.other)
	for start := 0; start < len(s.keys); {
		l, end := s.active[s.keys[start]&indexMask].level, start
		s.claims = s.claims[:0]
		for ; end < len(s.keys) && s.keys[end]>>levelShift == s.keys[start]>>levelShift; end++ {
			a := s.active[s.keys[end]&indexMask]
			s.claims = append(s.claims, Claim{Index: int(s.keys[end] & indexMask), Weight: 1, Demand: a.now + a.waiting})
		}
		if l.claims = len(s.claims); l.claims > 1 {
			divideSorted(l.total, s.claims)
			for _, c := range s.claims {
				s.active[c.Index].fair = c.Fair
			}
		}
		start = end
	}
}

// lateness returns whether a request is late, and if so whether dropLate has dropped it.
func lateness(r *Request) int {
	switch {
	case r.ToTarget >= 0:
		return onTime
	case r.dropped:
		return lateDropped
	}
	return lateServed
}

// agedValue returns the value of a request in a contended pool. That of a long prompt grows when its target
// comes near, so that it is not passed by later short ones until it is late.
func agedValue(r *Request) float64 {
	total := r.Waited + r.ToTarget
	if r.Waited <= 0 || r.ToTarget < 0 || total < longTargetRatio*r.Account.level.shortest ||
		float64(r.ToTarget) > urgentFraction*float64(total) {
		return r.Value
	}
	return urgentFactor * r.Value
}

// classify returns the class of a request by the share of its team and the value within it, and
// whether they differ from those of its first key. It must be called in the order of the requests within their team.
func classify(r *Request) (class int, value uint64, moves bool) {
	a := r.Account
	l := a.level
	if !l.pool.contended || l.priority < 0 || r.Suspect {
		return 0, 0, false
	}
	switch {
	case r.Copy:
		return classCopy, descending(r.Value), true
	case r.Waited < 0:
		return classEarly, ascending(float64(-r.Waited)), true
	case l.claims < 2:
		return 0, 0, false
	}
	begin := a.virtual
	a.virtual += r.ServerTime
	switch {
	case begin+l.largest <= a.fair:
		return classBehind, ascending(begin), true
	case begin > a.fair+l.largest:
		return classBeyond, ascending(begin), true
	}
	return 0, 0, false
}

// promote moves requests to the front, behind those of resumed streams, whose priority is
// owed server time.
func (s *Shares) promote(requests []Request) {
	owing := false
	for _, p := range s.pools {
		first, _ := p.reserved()
		for _, l := range p.sorted {
			l.owed = 0
			if p.contended && l.waiting && l != first && l.priority >= 0 && l.due > 0 {
				l.owed, owing = l.due, true
			}
		}
	}
	if !owing {
		return
	}
	s.front, s.rest = s.front[:0], s.rest[:0]
	for _, i := range s.order {
		r := &requests[i]
		l := r.Account.level
		switch {
		case l.priority < 0:
			s.front = append(s.front, i)
		case l.owed > 0 && !r.Suspect && !r.Copy:
			l.owed -= r.ServerTime
			s.front = append(s.front, i)
		default:
			s.rest = append(s.rest, i)
		}
	}
	s.order = append(append(s.order[:0], s.front...), s.rest...)
}
