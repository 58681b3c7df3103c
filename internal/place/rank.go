package place

import (
	"slices"

	"godwityoke.example/godwityoke/internal/capacity"
)

const (
	// maxChoices bounds the engines that a scheduler is asked to choose from.
	maxChoices = 16
	// longHomeDivisor is the share of a model's engines, as a divisor, that
	// long prompts are steered to.
	longHomeDivisor = 3
)

// ranked is a candidate with the estimate for a query.
type ranked struct {
	candidate
	cached   int64
	expected timing
	// home is true for the engines that a long query is steered to.
	home bool
}

// ranker orders candidates by the expected time to the first token. The time
// for tokens in an engine's prefix cache counts as saved. Its buffers are used
// again, so it is guarded by the lock of its placer.
type ranker struct {
	cached  map[string]int64
	weights []uint64
}

func newRanker() *ranker { return &ranker{cached: map[string]int64{}} }

// rank returns the best of all candidates that share its scheduler, up to
// maxChoices, homes of a long query first. The second result is the best one.
func (r *ranker) rank(candidates []candidate, outlook *outlook) (best []ranked, first ranked) {
	first = r.estimate(&candidates[0], outlook)
	for i := range candidates[1:] {
		if next := r.estimate(&candidates[i+1], outlook); next.expected.firstToken < first.expected.firstToken {
			first = next
		}
	}
	group := LeaseGroup(first.server)
	threshold := ^uint64(0)
	if !outlook.query.Short {
		threshold = r.homeThreshold(candidates, group)
	}
	best = make([]ranked, 0, maxChoices)
	for i := range candidates {
		if LeaseGroup(candidates[i].server) != group {
			continue
		}
		next := r.estimate(&candidates[i], outlook)
		next.home = !outlook.query.Short && capacity.HomeWeight(next.server.ID) >= threshold
		best = insertRanked(best, next)
	}
	return best, first
}

func (r *ranker) estimate(c *candidate, outlook *outlook) ranked {
	cached := min(r.cached[c.server.ID], outlook.query.PromptTokens)
	return ranked{candidate: *c, cached: cached, expected: outlook.on(c, cached)}
}

// insertRanked keeps the best maxChoices in order.
func insertRanked(best []ranked, added ranked) []ranked {
	at := len(best)
	for at > 0 && added.before(&best[at-1]) {
		at--
	}
	if at == maxChoices {
		return best
	}
	if len(best) == maxChoices {
		best = best[:maxChoices-1]
	}
	return slices.Insert(best, at, added)
}

func (r *ranked) before(other *ranked) bool {
	if r.home != other.home {
		return r.home
	}
	return r.expected.firstToken < other.expected.firstToken
}

// homeThreshold returns the weight from which on an engine of group is a home
// for long prompts. All VMs take the same ones.
func (r *ranker) homeThreshold(candidates []candidate, group string) uint64 {
	r.weights = r.weights[:0]
	for i := range candidates {
		if LeaseGroup(candidates[i].server) == group {
			r.weights = append(r.weights, capacity.HomeWeight(candidates[i].server.ID))
		}
	}
	slices.Sort(r.weights)
	homes := (len(r.weights) + longHomeDivisor - 1) / longHomeDivisor
	return r.weights[len(r.weights)-homes]
}

// choices turns ranked candidates into choices.
func choices(all []ranked, query *Query) []capacity.Choice {
	choices := make([]capacity.Choice, len(all))
	for i := range all {
		choices[i] = capacity.Choice{
			Server: all[i].server.ID, PrefillTokens: query.PromptTokens - all[i].cached,
			TokenTime: all[i].expected.tokenTime, Preferred: all[i].home,
		}
	}
	return choices
}

// LeaseGroup names the engines that share a scheduler with server: those with
// the same first model.
func LeaseGroup(server *Server) string {
	first := ""
	for i := range server.Models {
		if name := server.Models[i].Name; first == "" || name < first {
			first = name
		}
	}
	return first
}
