package capacity

import (
	"cmp"
	"slices"
)

// GroupEngine is an engine that can hold a segment of a prompt.
type GroupEngine struct {
	Server string
	// Memory is the memory of the engine, and Free the part that is estimated
	// to be free, in tokens.
	Memory int64
	Free   int64
}

// Segment is the part of a prompt that one engine of a group prefills and holds in
// memory. The engine of the last segment also generates the answer.
type Segment struct {
	Server string
	// Start and End are positions in the prompt in tokens, End exclusive.
	Start int64
	End   int64
	// Tokens is the required engine memory. For the last segment it includes
	// the answer.
	Tokens int64
}

// PlanGroup divides a prompt that no single engine can hold into segments of equal length
// (the last may be shorter). It uses the engines with the most free memory, and the
// smallest number of them (at least two) such that each can hold a segment and the answer
// outside its short reserve. It returns nil if the engines together are too small.
//
// The segments are sorted by server. Leases are acquired in this order, which rules out
// a deadlock between two groups.
func PlanGroup(promptTokens, answerTokens int64, engines []GroupEngine, shortReservePercent float64) []Segment {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b GroupEngine) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Server, b.Server))
	})
	for count := 2; count <= len(ordered); count++ {
		length := (promptTokens + int64(count) - 1) / int64(count)
		selected := ordered[:count]
		tooSmall := func(e GroupEngine) bool {
			return float64(length+answerTokens) > float64(e.Memory)*(1-shortReservePercent/100)
		}
		if !slices.ContainsFunc(selected, tooSmall) {
			return splitPrompt(promptTokens, answerTokens, length, selected)
		}
	}
	return nil
}

func splitPrompt(promptTokens, answerTokens, length int64, selected []GroupEngine) []Segment {
	servers := make([]string, len(selected))
	for i, engine := range selected {
		servers[i] = engine.Server
	}
	slices.Sort(servers)
	planned := make([]Segment, len(servers))
	for i, server := range servers {
		start := int64(i) * length
		end := min(start+length, promptTokens)
		planned[i] = Segment{Server: server, Start: start, End: end, Tokens: end - start}
	}
	planned[len(planned)-1].Tokens += answerTokens
	return planned
}

// AcquireGroup acquires the leases of all segments in order. If acquire fails, it
// releases the leases acquired so far and returns the error.
func AcquireGroup(planned []Segment, acquire func(Segment) (*Lease, error)) ([]*Lease, error) {
	leases := make([]*Lease, 0, len(planned))
	for _, segment := range planned {
		lease, err := acquire(segment)
		if err != nil {
			for _, held := range leases {
				held.Release(false)
			}
			return nil, err
		}
		leases = append(leases, lease)
	}
	return leases, nil
}
