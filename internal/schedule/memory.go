package schedule

import (
	"math"
)

// memoryPlan is the distribution of a request's memory over its servers, in tokens.
type memoryPlan struct {
	// holders is the number of helpers that reserve memory.
	holders int
	// perHolder is the memory that each of these helpers reserves.
	perHolder int
	// first is the memory that the first server holds.
	first int
}

// planMemory distributes the tokens of a request over servers with the given memory,
// in tokens, each. A request that needs at most soloMemoryFraction of a server's
// memory stays on its first server.
func planMemory(memory, tokens int) memoryPlan {
	if tokens <= int(soloMemoryFraction*float64(memory)) {
		return memoryPlan{first: tokens}
	}
	parts := int(math.Ceil(float64(tokens) / (partMemoryFraction * float64(memory))))
	perHolder := (tokens/parts/memoryBlockTokens + 1) * memoryBlockTokens
	return memoryPlan{holders: parts - 1, perHolder: perHolder, first: tokens - (parts-1)*perHolder}
}
