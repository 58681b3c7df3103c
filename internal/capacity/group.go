package capacity

import (
	"cmp"
	"slices"
)

// GroupEngine is an engine that may hold a segment of a prompt.
type GroupEngine struct {
	Server string
	// Memory is what the engine has, and Free what is thought to be free of
	// it, in tokens.
	Memory int64
	Free   int64
}

// Segment is the part of a prompt that one engine of a group prefills and
// keeps. The last engine generates the answer.
type Segment struct {
	Server string
	// Start and End are positions in the prompt in tokens, End exclusive.
	Start int64
	End   int64
	// Tokens is the engine memory needed, with the answer for the last one.
	Tokens int64
}

// PlanGroup divides a prompt that no single engine can hold into equal
// segments on as few engines as leave the reserve of each to short prompts,
// those with the most free memory. Segments are ordered by server, which is
// the order in which leases are acquired: so two groups never wait for each
// other. It returns nil when the engines together are too small.
func PlanGroup(promptTokens, answerTokens int64, engines []GroupEngine, shortReservePercent float64) []Segment {
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b GroupEngine) int {
		return cmp.Or(cmp.Compare(b.Free, a.Free), cmp.Compare(a.Server, b.Server))
	})
	for count := 2; count <= len(ordered); count++ {
		length := (promptTokens + int64(count) - 1) / int64(count)
		chosen := ordered[:count]
		tooSmall := func(e GroupEngine) bool {
			return float64(length+answerTokens) > float64(e.Memory)*(1-shortReservePercent/100)
		}
		if !slices.ContainsFunc(chosen, tooSmall) {
			return segments(promptTokens, answerTokens, length, chosen)
		}
	}
	return nil
}

func segments(promptTokens, answerTokens, length int64, chosen []GroupEngine) []Segment {
	servers := make([]string, len(chosen))
	for i, engine := range chosen {
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

// AcquireGroup acquires all leases of a group in order, or none: when one
// cannot be had, those already held are given back and the error is returned.
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
