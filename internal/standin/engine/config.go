// Package engine is a stand-in model engine over the published backend
// protocol. A pure core decides, step by step, what continuous batching does;
// a goroutine and an HTTP server around it give it time and callers.
package engine

import (
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// Config describes one stand-in engine.
type Config struct {
	ServerID string
	Zone     string
	// Listen is "ip:port"; port 0 takes a free one.
	Listen string
	// Seeds are announce addresses of entry VMs.
	Seeds  []string
	Models []backendapi.ServedModel
	Role   backendapi.Role
	// BytesPerToken is the average length of a prompt token.
	BytesPerToken int
	Limits        Limits
	Speed         Speed
	Reports       Reports
	// ChecksFencing makes the engine refuse orders with an old fencing number.
	ChecksFencing bool
	// LoadTime is how long a load order takes.
	LoadTime time.Duration
	// MinDrainTime is the shortest time between the announcement of leaving and
	// the end.
	MinDrainTime time.Duration
	// ExitOnDie ends the whole process at the fault "die". Without it, the
	// engine closes its listener and all its connections.
	ExitOnDie bool
}

// Limits bound what an engine holds.
type Limits struct {
	// MemoryTokens is the KV cache capacity in tokens.
	MemoryTokens int64
	// MaxRunning bounds the attempts in one batch.
	MaxRunning int
	// MaxWaiting bounds the queue.
	MaxWaiting int
	// CacheBlocks bounds the prefix cache in blocks of
	// backendapi.BlockTokens tokens, beside MemoryTokens.
	CacheBlocks int
}

// Speed is the time model of an engine.
type Speed struct {
	// StepTime is the time of a step without any token.
	StepTime time.Duration
	// PrefillTimePerToken is the time that each prefill token adds to a step.
	PrefillTimePerToken time.Duration
	// DecodeTimePerToken is the time that each generated token adds to a step.
	DecodeTimePerToken time.Duration
	// ChunkTokens bounds the prefill tokens of a step.
	ChunkTokens int64
	// TransferTimePerToken is the time to move the KV cache of one token to another
	// engine.
	TransferTimePerToken time.Duration
}

// Reports shape what the engine tells about itself.
type Reports struct {
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventDelay is the delay of cache events.
	CacheEventDelay time.Duration
	// CacheEventLossPercent of the cache events are never sent.
	CacheEventLossPercent int
}

// DefaultConfig returns an engine that prefills about 200,000 tokens a second
// and generates a token in about 5 ms, several times the speed of a real one.
func DefaultConfig() Config {
	return Config{
		Listen:        "127.0.0.1:0",
		Role:          backendapi.RoleMixed,
		BytesPerToken: 4,
		Limits:        Limits{MemoryTokens: 400_000, MaxRunning: 64, MaxWaiting: 512, CacheBlocks: 1024},
		Speed: Speed{
			StepTime: 4 * time.Millisecond, PrefillTimePerToken: 5 * time.Microsecond,
			DecodeTimePerToken: 50 * time.Microsecond, ChunkTokens: 2048, TransferTimePerToken: time.Microsecond,
		},
		Reports:       Reports{LoadLag: 300 * time.Millisecond, CacheEventDelay: 500 * time.Millisecond, CacheEventLossPercent: 5},
		ChecksFencing: true,
		LoadTime:      500 * time.Millisecond,
		MinDrainTime:  3 * time.Second,
	}
}
