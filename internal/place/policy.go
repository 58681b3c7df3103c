package place

import (
	"fmt"
	"math/rand/v2"

	"godwityoke.example/godwityoke/internal/settings"
)

// policy chooses one of at least one candidate. It is called by one goroutine
// at a time.
type policy interface {
	pick(candidates []candidate) int
}

func newPolicy(name settings.Policy, random *rand.Rand) (policy, error) {
	switch name {
	case settings.PolicyRoundRobin:
		return &roundRobin{}, nil
	case settings.PolicyLeastInFlight:
		return &leastInFlight{}, nil
	case settings.PolicyTwoChoices:
		return &twoChoices{random: random}, nil
	}
	return nil, fmt.Errorf("unknown placement policy %q", name)
}

// roundRobin takes the candidates in turn.
type roundRobin struct {
	next int
}

func (p *roundRobin) pick(candidates []candidate) int {
	chosen := p.next % len(candidates)
	p.next = chosen + 1
	return chosen
}

// leastInFlight takes the candidate with the fewest requests of this VM, in
// turn where several are equal.
type leastInFlight struct {
	next int
}

func (p *leastInFlight) pick(candidates []candidate) int {
	start := p.next % len(candidates)
	best := start
	for i := range candidates {
		at := (start + i) % len(candidates)
		if candidates[at].inFlight < candidates[best].inFlight {
			best = at
		}
	}
	p.next = best + 1
	return best
}

// twoChoices draws two candidates and takes the one that reported fewer
// requests; the reports lag behind.
type twoChoices struct {
	random *rand.Rand
}

func (p *twoChoices) pick(candidates []candidate) int {
	count := len(candidates)
	if count == 1 {
		return 0
	}
	first := p.random.IntN(count)
	second := (first + 1 + p.random.IntN(count-1)) % count
	if lessLoaded(candidates[second], candidates[first]) {
		return second
	}
	return first
}

func lessLoaded(a, b candidate) bool {
	loadA := a.server.Load.RunningRequests + a.server.Load.WaitingRequests
	loadB := b.server.Load.RunningRequests + b.server.Load.WaitingRequests
	if loadA != loadB {
		return loadA < loadB
	}
	return a.inFlight < b.inFlight
}
