// Package place selects the model engine that runs a request. It estimates the
// latency on each live engine of the zone, asks the schedulers for leases of
// engine memory, splits prompts that exceed the memory of one engine, and
// records outcomes to keep its estimates up to date. It reads no network input
// and sends no requests: the servers come from a View and leases from a
// LeaseHolder.
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
	// LoadAt is the time of the load measurement by this VM's clock.
	LoadAt time.Time
	// InFlight is the number of requests that this VM has in flight on the server.
	InFlight int64
	// InFlightPromptTokens is the total prompt length of this VM's requests on the
	// server that have not produced a first token.
	InFlightPromptTokens int64
}

// Query is a placement request for a model engine.
type Query struct {
	// Attempt is the attempt ID under which leases are acquired. Without one the
	// query is placed without a lease.
	Attempt string
	Team    string
	Model   string
	Adapter string
	// PromptTokens and AnswerTokens are the prompt length and the maximum answer
	// length.
	PromptTokens int64
	AnswerTokens int64
	// Short is true for classes that may use the memory reserved for short prompts.
	Short bool
	// Priority is the priority of the team, 0 to 9.
	Priority int
	// Deadline is zero when there is none.
	Deadline time.Time
	// Blocks are the hashes of the prompt's prefixes, shortest first.
	Blocks []uint64
	// Exclude holds the IDs of servers on which the request has already failed.
	Exclude []string
}

// MemoryTokens returns the maximum engine memory of the query, in tokens.
func (q Query) MemoryTokens() int64 { return q.PromptTokens + q.AnswerTokens }

// shortPriority is the lowest engine priority of a short prompt.
const shortPriority = 5

// EnginePriority returns the priority, 0 (lowest) to 9 (highest), of a prompt in
// the queues of schedulers and engines. Short prompts take precedence over long
// ones; within each kind the team priority, 0 to 9, decides in steps of two.
func EnginePriority(short bool, teamPriority int) int {
	if short {
		return shortPriority + teamPriority/2
	}
	return teamPriority / 2
}
