package schedule

import (
	"math"
)

// memoryPlan is the distribution of a request's memory over its servers, in tokens.
type memoryPlan struct {
	// holders is the number of helpers that reserve memory.
	holders int
	// perHolder is the memory that one of them reserves.
	perHolder int
	// first is the memory that remains for the first server.
	first int
}

// planMemory distributes the tokens of a request over servers that have the given
// memory each. A request of up to soloMemoryFraction of that stays on its first
// server.
func planMemory(memory, tokens int) memoryPlan {
	if tokens <= int(soloMemoryFraction*float64(memory)) {
		return memoryPlan{first: tokens}
	}
	parts := int(math.Ceil(float64(tokens) / (partMemoryFraction * float64(memory))))
	perHolder := (tokens/parts/memoryBlockTokens + 1) * memoryBlockTokens
	return memoryPlan{holders: parts - 1, perHolder: perHolder, first: tokens - (parts-1)*perHolder}
}
