// Package engine is a stand-in for a model engine, for tests and experiments. It speaks the
// published backend protocol and simulates continuous batching, but runs no model.
//
// A step is one iteration of the batching loop. Core computes the steps without a clock or
// I/O, the runner waits for the simulated duration of each step, and Server connects them to
// HTTP, to announcements and to the faults that an experiment switches on.
package engine

import (
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
)

// Config describes one stand-in engine.
type Config struct {
	ServerID string
	Zone     string
	// Listen is the "ip:port" to listen on. Port 0 selects a free port.
	Listen string
	// Seeds are the "ip:port" announce addresses of the entry VMs to announce to at first.
	Seeds  []string
	Models []backendapi.ServedModel
	Role   backendapi.Role
	// BytesPerToken converts the length of a prompt in bytes to tokens.
	BytesPerToken int
	Limits        Limits
	Speed         Speed
	Reports       Reports
	// ChecksFencing makes the engine refuse orders whose fencing token is lower than one
	// seen before.
	ChecksFencing bool
	// LoadTime is the time from accepting an order to load a model or an adapter to its effect.
	LoadTime time.Duration
	// MinDrainTime is the minimum time from the announcement of draining to the stop. Entry
	// VMs may still send requests until they have received the announcement.
	MinDrainTime time.Duration
	// ExitOnDie makes the fault "die" exit the whole process. Without it, the engine closes
	// its listener and all its connections.
	ExitOnDie bool
}

// Limits are the capacity limits of an engine.
type Limits struct {
	// MemoryTokens is the KV cache capacity in tokens.
	MemoryTokens int64
	// MaxRunning is the maximum number of attempts in the batch.
	MaxRunning int
	// MaxWaiting is the maximum number of queued attempts.
	MaxWaiting int
	// CacheBlocks is the capacity of the prefix cache in blocks of backendapi.BlockTokens
	// tokens. The prefix cache takes no part of MemoryTokens.
	CacheBlocks int
}

// Speed determines the simulated duration of the work of an engine.
type Speed struct {
	// StepTime is the duration of a step before the time per token is added.
	StepTime time.Duration
	// PrefillTimePerToken is the time that each prefill token adds to a step.
	PrefillTimePerToken time.Duration
	// DecodeTimePerToken is the time that each generated token adds to a step.
	DecodeTimePerToken time.Duration
	// ChunkTokens is the maximum number of prefill tokens in a step.
	ChunkTokens int64
	// TransferTimePerToken is the time to transfer the KV cache of one token from another
	// engine.
	TransferTimePerToken time.Duration
}

// Reports determine the delay and the loss of the reports that the engine announces.
type Reports struct {
	// LoadLag is the minimum age of the reported load, once the engine has run that long.
	LoadLag time.Duration
	// CacheEventDelay is the minimum delay before a cache event is announced.
	CacheEventDelay time.Duration
	// CacheEventLossPercent is the percentage of cache events, 0 to 100, that are lost.
	CacheEventLossPercent int
}

// DefaultConfig returns the configuration of an engine that prefills about 200,000 tokens
// per second, not counting StepTime, and generates a token in about 5 ms. This is several
// times the speed of a real engine.
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
		Reports: Reports{
			LoadLag: 300 * time.Millisecond, CacheEventDelay: 500 * time.Millisecond, CacheEventLossPercent: 5,
		},
		ChecksFencing: true,
		LoadTime:      500 * time.Millisecond,
		MinDrainTime:  3 * time.Second,
	}
}
