// Package bundle defines the operators' versioned statement of what is
// served: models, adapters, teams, plain services, prompt-length classes and
// limits. It checks a bundle, computes its digest and verifies its signatures.
package bundle

import (
	"godwityoke.example/godwityoke/internal/jsonc"
)

// Bundle is the content that operators write, sign and submit. Its version is
// assigned when it is accepted and is not part of the content.
type Bundle struct {
	Name     string    `json:"name"`
	Models   []Model   `json:"models"`
	Teams    []Team    `json:"teams"`
	Services []Service `json:"services,omitempty"`
	// Classes are ordered by MaxPromptTokens.
	Classes []Class    `json:"classes"`
	Limits  Limits     `json:"limits"`
	Roll    RollLimits `json:"roll"`
}

// Model is a model that the fleet serves.
type Model struct {
	Name    string `json:"name"`
	Version string `json:"version"`
	// BytesPerToken is the average length of a token, used to estimate the
	// prompt length.
	BytesPerToken int `json:"bytes_per_token"`
	// ContextTokens is the longest prompt plus answer.
	ContextTokens int64 `json:"context_tokens"`
	// WeightBytes is the size of the weights in the weight store.
	WeightBytes jsonc.Bytes `json:"weight_bytes"`
	// MinServers is the number of serving engines that a roll must leave.
	MinServers int `json:"min_servers"`
	// PrefillServers is the number of the model's engines that take the role
	// prefill, spread over the zones; the others take the role mixed. With 0,
	// roles are left as they are.
	PrefillServers int       `json:"prefill_servers,omitempty"`
	Adapters       []Adapter `json:"adapters,omitempty"`
}

// Adapter is a variation of a model.
type Adapter struct {
	Name    string `json:"name"`
	Version string `json:"version"`
}

// Team is a customer of the fleet.
type Team struct {
	Name string `json:"name"`
	// KeySHA256 lists the SHA-256 digests of the team's API keys, in
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

// TeamLimits bounds what one team may use. Zero means no bound.
type TeamLimits struct {
	RequestsPerSecond  float64 `json:"requests_per_second,omitempty"`
	TokensPerSecond    float64 `json:"tokens_per_second,omitempty"`
	ConcurrentRequests int     `json:"concurrent,omitempty"`
	// EngineMemoryTokens bounds the engine memory leased at one time.
	EngineMemoryTokens int64 `json:"engine_memory_tokens,omitempty"`
}

// Service is a plain service beside the model engines.
type Service struct {
	Name       string      `json:"name"`
	Operations []Operation `json:"operations"`
}

// Operation is one call of a plain service.
type Operation struct {
	Name string `json:"name"`
	// Method is an HTTP method.
	Method string `json:"method"`
	// Path is matched exactly; a last segment "*" matches one or more segments.
	Path       string         `json:"path"`
	Idempotent bool           `json:"idempotent"`
	TimeLimit  jsonc.Duration `json:"time_limit"`
}

// Class groups prompts by length. A prompt belongs to the first class whose
// MaxPromptTokens it does not exceed.
type Class struct {
	Name            string `json:"name"`
	MaxPromptTokens int64  `json:"max_prompt_tokens"`
	// TimeLimit is the default and longest time from admission to the end.
	TimeLimit jsonc.Duration `json:"time_limit"`
	// StallLimit is the longest time without a token after the first.
	StallLimit jsonc.Duration `json:"stall_limit"`
	// Short classes keep a reserve of memory and prefill on each engine.
	Short bool `json:"short,omitempty"`
}

// Limits bound requests of every team.
type Limits struct {
	MaxBody         jsonc.Bytes `json:"max_body"`
	MaxAnswerTokens int64       `json:"max_answer_tokens"`
	// MinTimeLimit is the shortest deadline that a caller may ask for.
	MinTimeLimit jsonc.Duration `json:"min_time_limit"`
	// ShortReservePercent of each engine's memory serves short classes only.
	ShortReservePercent float64 `json:"short_reserve_percent"`
	// RetryBudgetPercent is the share of recent successes that may be retried.
	RetryBudgetPercent float64 `json:"retry_budget_percent"`
	// MaxEjectedPercent bounds the ejected share of a model's servers.
	MaxEjectedPercent float64 `json:"max_ejected_percent"`
	// ClaimRetention is how long claims of non-idempotent calls are kept.
	ClaimRetention jsonc.Duration `json:"claim_retention"`
}

// RollLimits bound how fast a roll changes engines.
type RollLimits struct {
	// WeightStoreBytesPerSecond is the rate of the weight store.
	WeightStoreBytesPerSecond jsonc.Bytes `json:"weight_store_bytes_per_second"`
	// MaxParallelLoads bounds the engines that load at one time.
	MaxParallelLoads int `json:"max_parallel_loads"`
	// MaxUnavailablePercent of a model's servers may be out of service.
	MaxUnavailablePercent float64 `json:"max_unavailable_percent"`
}

// AcceptedBundle is a bundle with the version that acceptance gave it.
type AcceptedBundle struct {
	Version    uint64      `json:"version"`
	Digest     string      `json:"digest"`
	Signatures []Signature `json:"signatures"`
	Bundle     *Bundle     `json:"bundle"`
}

// Signature is an operator's signature over a bundle's digest.
type Signature struct {
	// Key is the operator key's name in the settings.
	Key string `json:"key"`
	// Value is the ed25519 signature in base64.
	Value string `json:"value"`
}
