// Package bundle defines the bundle: the versioned configuration in which
// operators state what is served, that is models, adapters, teams, plain
// services, prompt-length classes and limits. The package checks, encodes,
// compresses and compares bundles, computes their digest, verifies their
// signatures, and holds the bundle in force on a VM. It does not distribute or
// apply bundles.
package bundle

import (
	"godwityoke.example/godwityoke/internal/jsonc"
)

// Bundle is the content that operators write, sign and submit. The version is not
// part of the content; the bundle gets it when it is accepted.
type Bundle struct {
	Name     string    `json:"name"`
	Models   []Model   `json:"models"`
	Teams    []Team    `json:"teams"`
	Services []Service `json:"services,omitempty"`
	// Classes are in ascending order of MaxPromptTokens.
	Classes []Class    `json:"classes"`
	Limits  Limits     `json:"limits"`
	Roll    RollLimits `json:"roll"`
}

// Model is a model that the fleet serves.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// BytesPerToken is the average length of a token, from which the prompt
	// length is estimated.
	BytesPerToken int `json:"bytes_per_token"`
	// ContextTokens is the maximum length of prompt and answer together.
	ContextTokens int64 `json:"context_tokens"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes jsonc.Bytes `json:"weight_bytes"`
	// MinServers is the minimum number of serving engines during a roll. A model
	// with fewer gets engines that serve no model of the bundle.
	MinServers int `json:"min_servers"`
	// PrefillServers is the number of the model's engines that take the role
	// prefill, distributed over the zones; the others take the role mixed. With 0,
	// roles are not changed.
	PrefillServers int       `json:"prefill_servers,omitempty"`
	Adapters       []Adapter `json:"adapters,omitempty"`
}

// Adapter is a variant of a model that its engines load in addition.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Team is a customer of the fleet.
type Team struct {
	Name string `json:"name"`
	// KeySHA256 lists the SHA-256 digests of the team's API keys in lower-case
	// hexadecimal digits.
	KeySHA256 []string `json:"key_sha256"`
	// Priority is 0 (lowest) to 9 (highest).
	Priority int `json:"priority"`
	// SharePercent is the team's weighted fair share of the fleet's tokens.
	SharePercent float64    `json:"share_percent"`
	Models       []string   `json:"models"`
	Services     []string   `json:"services,omitempty"`
	Limits       TeamLimits `json:"limits"`
}

// TeamLimits are upper bounds of what one team may use. Zero means no bound.
type TeamLimits struct {
	RequestsPerSecond  float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond    float64 `json:"tokens_per_second,omitempty"`
	ConcurrentRequests int     `json:"concurrent,omitempty"`
	// EngineMemoryTokens bounds the engine memory that is leased at the same time.
	EngineMemoryTokens int64 `json:"engine_memory_tokens,omitempty"`
}

// Service is a plain service, which is not a model engine.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one call of a plain service.
type Operation struct {
	Name string `json:"name"`
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path is matched exactly, but "*" as the last segment matches one or more
	// segments.
	Path       string         `json:"path"`
	Idempotent bool           `json:"idempotent"`
	TimeLimit  jsonc.Duration `json:"time_limit"`
}

// Class groups prompts by length. A prompt belongs to the first class whose
// MaxPromptTokens it does not exceed.
type Class struct {
	Name            string `json:"name"`
	MaxPromptTokens int64  `json:"max_prompt_tokens"`
	// TimeLimit is the default and the maximum of a request's timeout, which starts
	// when the request arrives.
	TimeLimit jsonc.Duration `json:"time_limit"`
	// StallLimit is the maximum time between two tokens of an answer.
	StallLimit jsonc.Duration `json:"stall_limit"`
	// Short marks a class whose prompts take precedence over long ones and may use
	// the memory that Limits.ShortReservePercent reserves on each engine.
	Short bool `json:"short,omitempty"`
}

// Limits bound requests of every team.
type Limits struct {
	MaxBody         jsonc.Bytes `json:"max_body"`
	MaxAnswerTokens int64       `json:"max_answer_tokens"`
	// MinTimeLimit is the minimum timeout that a caller may request.
	MinTimeLimit jsonc.Duration `json:"min_time_limit"`
	// ShortReservePercent is the percentage of each engine's memory that is reserved
	// for short classes. A long prompt that needs part of the reserve runs only while
	// the engine runs no other long prompt.
	ShortReservePercent float64 `json:"short_reserve_percent"`
	// RetryBudgetPercent is the maximum number of retries as a percentage of recent
	// successes.
	RetryBudgetPercent float64 `json:"retry_budget_percent"`
	// MaxEjectedPercent is the maximum percentage of a model's servers that may be
	// ejected at the same time.
	MaxEjectedPercent float64 `json:"max_ejected_percent"`
	// ClaimRetention is how long claims of non-idempotent calls are kept.
	ClaimRetention jsonc.Duration `json:"claim_retention"`
}

// RollLimits bound how fast a roll changes engines.
type RollLimits struct {
	// WeightStoreBytesPerSecond is the rate of the weight store.
	WeightStoreBytesPerSecond jsonc.Bytes `json:"weight_store_bytes_per_second"`
	// MaxParallelLoads is the maximum number of engines that load at the same time.
	MaxParallelLoads int `json:"max_parallel_loads"`
	// MaxUnavailablePercent is the maximum percentage of a model's servers that a roll
	// may take out of service at the same time.
	MaxUnavailablePercent float64 `json:"max_unavailable_percent"`
}

// AcceptedBundle is a bundle with the version that it got when it was accepted.
type AcceptedBundle struct {
	Version    uint64      `json:"version"`
	Digest     string      `json:"digest"`
	Signatures []Signature `json:"signatures"`
	Bundle     *Bundle     `json:"bundle"`
}

// Signature is an operator's signature over a bundle's digest.
type Signature struct {
	// Key is the name of the operator key in the settings.
	Key string `json:"key"`
	// Value is the ed25519 signature in base64.
	Value string `json:"value"`
}
