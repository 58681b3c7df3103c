package place

import (
	"slices"

	"godwityoke.example/godwityoke/internal/capacity"
)

const (
	// maxChoices is the maximum number of engines in one lease request.
	maxChoices = 16
	// longPreferredDivisor sets the number of engines that are preferred for long
	// prompts: one in longPreferredDivisor, rounded up.
	longPreferredDivisor = 3
)

// rankedCandidate is a candidate with its estimate for one query.
type rankedCandidate struct {
	candidate
	cachedTokens int64
	expected     timeEstimate
	// preferred is true for a long query on an engine that is preferred for long prompts.
	preferred bool
}

// ranker orders candidates by the expected time to the first token, in which tokens
// in an engine's prefix cache need no prefill. It reuses its buffers and is guarded
// by the lock of its localPlacer.
type ranker struct {
	// cachedTokens is the estimated number of cached tokens of the current prompt, by
	// server ID.
	cachedTokens map[string]int64
	// weights is a buffer that preferredThreshold reuses.
	weights []uint64
}

func newRanker() *ranker { return &ranker{cachedTokens: map[string]int64{}} }

// rank returns the candidate with the earliest expected first token as fastest. top
// holds up to maxChoices candidates of the lease group of fastest, sorted by the expected
// first token, earliest first; for a long query the preferred engines precede the others.
// candidates must not be empty.
func (r *ranker) rank(candidates []candidate, durations *durationEstimator) (top []rankedCandidate, fastest rankedCandidate) {
	fastest = r.estimate(&candidates[0], durations)
	for i := range candidates[1:] {
		if next := r.estimate(&candidates[i+1], durations); next.expected.firstToken < fastest.expected.firstToken {
			fastest = next
		}
	}
	leaseGroup := LeaseGroup(fastest.server)
	threshold := ^uint64(0)
	if !durations.query.Short {
		threshold = r.preferredThreshold(candidates, leaseGroup)
	}
	top = make([]rankedCandidate, 0, maxChoices)
	for i := range candidates {
		if LeaseGroup(candidates[i].server) != leaseGroup {
			continue
		}
		next := r.estimate(&candidates[i], durations)
		next.preferred = !durations.query.Short && capacity.EngineWeight(next.server.ID) >= threshold
		top = insertRanked(top, next)
	}
	return top, fastest
}

func (r *ranker) estimate(c *candidate, durations *durationEstimator) rankedCandidate {
	cachedTokens := min(r.cachedTokens[c.server.ID], durations.query.PromptTokens)
	return rankedCandidate{candidate: *c, cachedTokens: cachedTokens, expected: durations.forCandidate(c, cachedTokens)}
}

// insertRanked inserts added into the sorted list top and cuts it to maxChoices.
func insertRanked(top []rankedCandidate, added rankedCandidate) []rankedCandidate {
	index := len(top)
	for index > 0 && added.isBetterThan(&top[index-1]) {
		index--
	}
	if index == maxChoices {
		return top
	}
	if len(top) == maxChoices {
		top = top[:maxChoices-1]
	}
	return slices.Insert(top, index, added)
}

func (r *rankedCandidate) isBetterThan(other *rankedCandidate) bool {
	if r.preferred != other.preferred {
		return r.preferred
	}
	return r.expected.firstToken < other.expected.firstToken
}

// preferredThreshold returns the minimum hash weight of an engine of leaseGroup that
// is preferred for long prompts. The weight depends on the server ID only, so that all
// VMs prefer the same engines.
func (r *ranker) preferredThreshold(candidates []candidate, leaseGroup string) uint64 {
	r.weights = r.weights[:0]
	for i := range candidates {
		if LeaseGroup(candidates[i].server) == leaseGroup {
			r.weights = append(r.weights, capacity.EngineWeight(candidates[i].server.ID))
		}
	}
	slices.Sort(r.weights)
	preferred := (len(r.weights) + longPreferredDivisor - 1) / longPreferredDivisor
	return r.weights[len(r.weights)-preferred]
}

// choices converts ranked candidates for a lease request.
func choices(all []rankedCandidate, query *Query) []capacity.Choice {
	choices := make([]capacity.Choice, len(all))
	for i := range all {
		choices[i] = capacity.Choice{
			Server: all[i].server.ID, PrefillTokens: query.PromptTokens - all[i].cachedTokens,
			TokenTime: all[i].expected.tokenTime, Preferred: all[i].preferred,
		}
	}
	return choices
}

// LeaseGroup returns the name of server's lease group, the unit that is assigned to
// one scheduler: the alphabetically first of its model names.
func LeaseGroup(server *Server) string {
	first := ""
	for i := range server.Models {
		if name := server.Models[i].Name; first == "" || name < first {
			first = name
		}
	}
	return first
}
