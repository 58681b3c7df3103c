// Package load is an open-loop load generator. A scenario file defines which team
// sends which requests at which rate. The package sends them to entry VMs, checks
// the answers token by token, checks the promises of the system against the
// counters of the stand-in backend servers, and reports latency and goodput. It
// does not start the system under test.
package load

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/jsonc"
)

// Scenario is the content of a scenario file and of the bundle that it names.
type Scenario struct {
	Definition
	Bundle *bundle.Bundle
	// BundlePath is the path of the bundle file.
	BundlePath string
}

// Definition is the content of a scenario file.
type Definition struct {
	Name string `json:"name"`
	// Seed is the seed of the random schedule of arrivals.
	Seed uint64 `json:"seed"`
	// BundleFile is the path of the bundle file, relative to the scenario file.
	BundleFile string `json:"bundle"`
	Fleet      Fleet  `json:"fleet"`
	// ClientDelay is the simulated one-way delay between clients and entry VMs.
	ClientDelay jsonc.Duration     `json:"client_delay"`
	Teams       []Team             `json:"teams"`
	Services    []ServiceOperation `json:"services,omitempty"`
	Phases      []Phase            `json:"phases"`
}

// Fleet is the size and speed of the emulated system that a scenario runs on.
type Fleet struct {
	Zones           []string `json:"zones"`
	EntryVMsPerZone int      `json:"entry_vms_per_zone"`
	EnginesPerZone  int      `json:"engines_per_zone"`
	// ServersPerZone is the number of backend servers of each plain service in
	// each availability zone.
	ServersPerZone int          `json:"servers_per_zone"`
	Engine         EngineConfig `json:"engine"`
	// ZoneDelay is the simulated one-way delay between VMs of different
	// availability zones. Up to a fifth of it is added at random.
	ZoneDelay jsonc.Duration `json:"zone_delay,omitempty"`
	// ServiceTime is the time that a call of a plain service takes.
	ServiceTime jsonc.Duration `json:"service_time"`
}

// EngineConfig has the limits and the time model of each stand-in engine.
type EngineConfig struct {
	MemoryTokens        int64          `json:"memory_tokens"`
	MaxRunning          int            `json:"max_running"`
	StepTime            jsonc.Duration `json:"step"`
	PrefillTimePerToken jsonc.Duration `json:"prefill_token"`
	DecodeTimePerToken  jsonc.Duration `json:"decode_token"`
	ChunkTokens         int64          `json:"chunk_tokens"`
	CacheBlocks         int            `json:"cache_blocks"`
	LoadLag             jsonc.Duration `json:"load_lag"`
}

// Team is a team that sends prompts.
type Team struct {
	Name string `json:"name"`
	// Key is the API key. Its digest must be in the bundle.
	Key string `json:"key"`
	// Weight is the rate of the team's prompts relative to other teams.
	Weight float64 `json:"weight"`
	Model  string  `json:"model"`
	// Chat selects chat requests instead of completion requests.
	Chat    bool     `json:"chat,omitempty"`
	Lengths []Length `json:"lengths"`
	// SharedPrefixTokens is the length of the prefix that all prompts of the team
	// share.
	SharedPrefixTokens int64 `json:"shared_prefix_tokens,omitempty"`
	MinAnswerTokens    int64 `json:"min_answer_tokens"`
	MaxAnswerTokens    int64 `json:"max_answer_tokens"`
}

// Length is one of the prompt lengths of a team.
type Length struct {
	Tokens int64   `json:"tokens"`
	Weight float64 `json:"weight"`
	// Timeout is the timeout that the caller sends. If it is 0, the caller sends
	// none, and the time limit of the request class applies.
	Timeout jsonc.Duration `json:"deadline,omitempty"`
}

// ServiceOperation is an operation of a plain service and the rate at which a
// team calls it.
type ServiceOperation struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Method  string `json:"method"`
	// Team is the name of the calling team.
	Team string `json:"team"`
	// PerSecond is the number of calls per second while the rate of the phase is
	// 100. It is proportional to that rate.
	PerSecond float64 `json:"per_second"`
	// Keyed is true for non-idempotent calls, which carry an idempotency key.
	Keyed bool `json:"keyed,omitempty"`
	// ResendPercent is the percentage of the keyed calls that are sent twice, to
	// test that they run once.
	ResendPercent float64        `json:"resend_percent,omitempty"`
	Timeout       jsonc.Duration `json:"deadline"`
}

// Phase is a part of the schedule with its rate of arrivals.
type Phase struct {
	Name     string         `json:"name"`
	Duration jsonc.Duration `json:"duration"`
	// Rate is the number of prompts per second at the start of the phase.
	Rate float64 `json:"rate"`
	// EndRate is the rate at the end of the phase. The rate changes linearly from
	// Rate to EndRate. If EndRate is 0, the rate stays at Rate.
	EndRate float64 `json:"end_rate,omitempty"`
	// Peak marks a phase of peak load, which is also reported on its own.
	Peak bool `json:"crest,omitempty"`
}

// ReadScenario reads and checks a scenario and its bundle. Mistakes in the files
// are returned as findings. The error is set only if a file cannot be read.
func ReadScenario(file string) (*Scenario, jsonc.Findings, error) {
	var scenario Scenario
	doc, err := jsonc.DecodeFile(file, &scenario.Definition)
	if err != nil {
		return nil, nil, fmt.Errorf("scenario: %w", err)
	}
	if findings := doc.Findings(); len(findings) > 0 {
		return nil, findings, nil
	}
	scenario.check(doc)
	scenario.BundlePath = filepath.Join(filepath.Dir(file), scenario.BundleFile)
	loaded, bundleFindings, err := bundle.Load(scenario.BundlePath)
	if err != nil {
		return nil, nil, fmt.Errorf("scenario %s: bundle: %w", file, err)
	}
	scenario.Bundle = loaded
	if len(bundleFindings) == 0 {
		scenario.checkAgainstBundle(doc)
	}
	return &scenario, append(doc.Findings(), bundleFindings...), nil
}

// check reports values that are out of range and services of unknown teams.
func (s *Scenario) check(doc *jsonc.Document) {
	positive := func(path string, value float64) {
		if value <= 0 {
			doc.Report(path, fmt.Sprintf("%v is too small", value), "a number above 0")
		}
	}
	positive("fleet.entry_vms_per_zone", float64(s.Fleet.EntryVMsPerZone))
	positive("fleet.engines_per_zone", float64(s.Fleet.EnginesPerZone))
	positive("fleet.zones", float64(len(s.Fleet.Zones)))
	positive("teams", float64(len(s.Teams)))
	positive("phases", float64(len(s.Phases)))
	names := map[string]bool{}
	for i, team := range s.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		names[team.Name] = true
		positive(path+".lengths", float64(len(team.Lengths)))
		if team.MinAnswerTokens < 1 || team.MaxAnswerTokens < team.MinAnswerTokens {
			doc.Report(path+".max_answer_tokens", "the answer lengths are out of order", "1 <= min_answer_tokens <= max_answer_tokens")
		}
		for j, length := range team.Lengths {
			positive(fmt.Sprintf("%s.lengths[%d].tokens", path, j), float64(length.Tokens))
		}
	}
	for i, call := range s.Services {
		if !names[call.Team] {
			doc.Report(fmt.Sprintf("services[%d].team", i), fmt.Sprintf("the team %q is not in the scenario", call.Team), "a name in teams")
		}
	}
	for i, phase := range s.Phases {
		positive(fmt.Sprintf("phases[%d].duration", i), float64(phase.Duration))
		positive(fmt.Sprintf("phases[%d].rate", i), phase.Rate)
	}
}

// checkAgainstBundle reports teams, models and services that are not in the
// bundle.
func (s *Scenario) checkAgainstBundle(doc *jsonc.Document) {
	teams, services := map[string]*bundle.Team{}, map[string]bool{}
	for i := range s.Bundle.Teams {
		teams[s.Bundle.Teams[i].Name] = &s.Bundle.Teams[i]
	}
	for _, service := range s.Bundle.Services {
		services[service.Name] = true
	}
	for i, team := range s.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		digest := sha256.Sum256([]byte(team.Key))
		known := teams[team.Name]
		if known == nil || !slices.Contains(known.KeySHA256, hex.EncodeToString(digest[:])) {
			doc.Report(path+".key", "the bundle has no such team with this key", "a key whose digest is in the bundle")
		}
		if s.model(team.Model) == nil {
			doc.Report(path+".model", fmt.Sprintf("the model %q is not in the bundle", team.Model), "a model of the bundle")
		}
	}
	for i, call := range s.Services {
		if !services[call.Service] {
			doc.Report(fmt.Sprintf("services[%d].service", i), fmt.Sprintf("the service %q is not in the bundle", call.Service), "a service of the bundle")
		}
	}
}

// Scaled returns a copy in which the duration of each phase is multiplied by
// factor.
func (s *Scenario) Scaled(factor float64) *Scenario {
	scaled := *s
	scaled.Phases = make([]Phase, len(s.Phases))
	for i, phase := range s.Phases {
		phase.Duration = jsonc.Duration(float64(phase.Duration) * factor)
		scaled.Phases[i] = phase
	}
	return &scaled
}

// model returns a model of the bundle, nil if there is none of this name.
func (s *Scenario) model(name string) *bundle.Model {
	for i := range s.Bundle.Models {
		if s.Bundle.Models[i].Name == name {
			return &s.Bundle.Models[i]
		}
	}
	return nil
}

// timeLimit returns the time limit of the request class of a prompt, 0 if the
// prompt is too long for every class.
func (s *Scenario) timeLimit(promptTokens int64) time.Duration {
	for _, class := range s.Bundle.Classes {
		if promptTokens <= class.MaxPromptTokens {
			return class.TimeLimit.Std()
		}
	}
	return 0
}

// isShort reports whether the request class of a prompt is marked as short.
func (s *Scenario) isShort(promptTokens int64) bool {
	for _, class := range s.Bundle.Classes {
		if promptTokens <= class.MaxPromptTokens {
			return class.Short
		}
	}
	return false
}
