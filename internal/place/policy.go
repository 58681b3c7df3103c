package place

import (
	"fmt"
	"math/rand/v2"

	"godwityoke.example/godwityoke/internal/settings"
)

// policy selects a candidate. It is not safe for concurrent use.
type policy interface {
	// pick returns the index of the selected candidate; candidates is not empty.
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

// roundRobin cycles through the candidates.
type roundRobin struct {
	next int
}

func (p *roundRobin) pick(candidates []candidate) int {
	selected := p.next % len(candidates)
	p.next = selected + 1
	return selected
}

// leastInFlight selects the candidate with the fewest requests of this VM in flight,
// round robin among equals.
type leastInFlight struct {
	next int
}

func (p *leastInFlight) pick(candidates []candidate) int {
	start := p.next % len(candidates)
	best := start
	for i := range candidates {
		index := (start + i) % len(candidates)
		if candidates[index].inFlight < candidates[best].inFlight {
			best = index
		}
	}
	p.next = best + 1
	return best
}

// twoChoices draws two random candidates and selects the one with fewer running and
// waiting requests in its load report. Load reports lag, so always selecting the
// minimum would send all requests between two reports to the same server.
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

// lessLoaded compares the reported loads, and this VM's requests in flight on a tie.
func lessLoaded(a, b candidate) bool {
	loadA := a.server.Load.RunningRequests + a.server.Load.WaitingRequests
	loadB := b.server.Load.RunningRequests + b.server.Load.WaitingRequests
	if loadA != loadB {
		return loadA < loadB
	}
	return a.inFlight < b.inFlight
}
