// Package place decides which backend server serves a request. Policies are
// pure: they take a snapshot of the servers and the time, and return a choice.
package place

import (
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// Server is a backend server as one entry VM knows it.
type Server struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Address is "ip:port".
	Address      string
	Kind         backendapi.Kind
	Service      string
	Role         backendapi.Role
	Models       []backendapi.ServedModel
	MemoryTokens int64
	Load         backendapi.LoadReport
	// LoadAt is when the load was measured, by this VM's clock.
	LoadAt time.Time
	// InFlight counts the requests that this VM has in progress there.
	InFlight int64
	// InFlightPromptTokens sums the prompts that this VM has in progress there
	// without a first token.
	InFlightPromptTokens int64
}

// Query describes a request to be placed on a model engine.
type Query struct {
	Attempt string
	Team    string
	Model   string
	Adapter string
	// PromptTokens and AnswerTokens bound the engine memory needed.
	PromptTokens int64
	AnswerTokens int64
	// Short is true for a class that the reserve of each engine serves.
	Short    bool
	Priority int
	Deadline time.Time
	// Blocks are the hashes of the prompt's prefixes, shortest first.
	Blocks []uint64
	// Exclude names servers that failed this request before.
	Exclude []string
}

// MemoryTokens returns the engine memory that the query needs at its end.
func (q Query) MemoryTokens() int64 { return q.PromptTokens + q.AnswerTokens }

// shortPriority is the lowest engine priority of a short prompt.
const shortPriority = 5

// EnginePriority returns the priority, 0 (lowest) to 9 (highest), that a
// prompt has in the queues of schedulers and engines: short prompts go before
// all others, and among equals the priority of the team decides.
func EnginePriority(short bool, teamPriority int) int {
	if short {
		return shortPriority + teamPriority/2
	}
	return teamPriority / 2
}
