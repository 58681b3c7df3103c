package schedule

import (
	"math"
)

// memoryPlan is how the tokens of a request are spread over servers.
type memoryPlan struct {
	// holders is how many helpers reserve memory, each how many tokens.
	holders int
	each    int
	// first is what is left for the first server.
	first int
}

// planMemory spreads a request that one server should not hold alone.
func planMemory(memory, tokens int) memoryPlan {
	if tokens <= int(soloShare*float64(memory)) {
		return memoryPlan{first: tokens}
	}
	parts := int(math.Ceil(float64(tokens) / (partMemoryShare * float64(memory))))
	each := (tokens/parts/memoryBlock + 1) * memoryBlock
	return memoryPlan{holders: parts - 1, each: each, first: tokens - (parts-1)*each}
}
