package emulate

import (
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/routes"
)

// StandardFleet returns a fleet of the present size: 14 servers with 16 slots each.
func StandardFleet() Fleet {
	return Fleet{Servers: 14, Engine: routes.Engine{
		Slots: 16, MemoryTokens: 232_000, StepsPerPass: 43, ChunkTokens: 2048, StepTime: 1020 * time.Microsecond,
		StepTimePerSequence: 2260 * time.Nanosecond, StepTimePerContextToken: 4 * time.Nanosecond,
		PrefillTimePerToken: 4854 * time.Nanosecond, PrefillNsPerTokenPair: 0.138,
	}}
}

// StandardLoad returns the present mix of short, medium and long prompts with wave-shaped rates. scale is a factor on
// the rates.
func StandardLoad(scale float64) Load {
	return Load{
		Scale: scale, Duration: 40 * time.Second, WaveAmplitude: 0.55, WavePeriod: 17 * time.Second,
		Kinds: []RequestKind{
			{Name: "short", PerSecond: 26.2, PromptTokens: 4960, PromptSpread: 0.9, MaxPromptTokens: 23800, Events: 31.6, EventSpread: 0.7,
				TargetLatency: 300 * time.Millisecond, MaxGap: 250 * time.Millisecond, Weight: 1.3, LateWeight: 0.33, Timeout: 10 * time.Second},
			{Name: "medium", PerSecond: 1.42, PromptTokens: 45000, PromptSpread: 0.5, MaxPromptTokens: 110000, Events: 19, EventSpread: 0.6,
				TargetLatency: 1500 * time.Millisecond, MaxGap: 600 * time.Millisecond, Weight: 3.9, LateWeight: 0.98, Timeout: 10 * time.Second},
			{Name: "long", PerSecond: 1.2, PromptTokens: 133000, PromptSpread: 0.55, MaxPromptTokens: 600000, Events: 15.8, EventSpread: 0.5,
				TargetLatency: 3 * time.Second, MaxGap: time.Second, Weight: 15, LateWeight: 3.7, Timeout: 15 * time.Second},
		},
	}
}

// GrownFleet returns a fleet of the planned future size: more servers, each with fewer slots and less memory.
func GrownFleet() Fleet {
	fleet := StandardFleet()
	fleet.Servers, fleet.Engine.Slots, fleet.Engine.MemoryTokens = 45, 12, 197_200
	return fleet
}

// GrownLoad returns the mix of prompts for GrownFleet. A long prompt takes about the memory of one server. scale is a
// factor on the rates.
func GrownLoad(scale float64) Load {
	load := StandardLoad(scale)
	load.Kinds[0].PerSecond, load.Kinds[1].PerSecond, load.Kinds[2].PerSecond = 65.8, 4.49, 2.77
	load.Kinds[1].Weight, load.Kinds[1].LateWeight = 3.3, 0.83
	load.Kinds[2].PromptTokens, load.Kinds[2].PromptSpread, load.Kinds[2].Weight, load.Kinds[2].LateWeight = 190_000, 0.45, 20, 5.1
	return load
}

// LargeFleet returns a fleet of hundreds of entry VMs: 112 servers with 10 slots each and longer passes.
func LargeFleet() Fleet {
	fleet := StandardFleet()
	fleet.Servers, fleet.Engine.Slots, fleet.Engine.StepsPerPass = 112, 10, 68
	return fleet
}

// LargeLoad returns the mix of prompts for LargeFleet. scale is a factor on the rates.
func LargeLoad(scale float64) Load {
	load := GrownLoad(scale)
	for i, rates := range []struct{ perSecond, events float64 }{{140, 22.6}, {11, 13.6}, {5.26, 11.3}} {
		load.Kinds[i].PerSecond, load.Kinds[i].Events = rates.perSecond, rates.events
	}
	load.Kinds[0].TargetLatency = 400 * time.Millisecond
	load.Kinds[1].Weight, load.Kinds[1].LateWeight = 2.9, 0.73
	load.Kinds[2].PromptSpread, load.Kinds[2].Weight, load.Kinds[2].LateWeight = 0.55, 18, 4.5
	return load
}

// WithAlternatingBursts returns load with three added bursts: the first and the last mostly of short requests, the
// second mostly of long ones.
func WithAlternatingBursts(load Load) Load {
	short := map[string]float64{"short": 2.4, "medium": 0.5, "long": 0.05}
	long := map[string]float64{"short": 0.35, "medium": 1.3, "long": 2.8}
	for i, factor := range []map[string]float64{short, long, short} {
		from := 2*time.Second + time.Duration(i)*10500*time.Millisecond
		load.Bursts = append(load.Bursts, Burst{From: from, To: from + 9500*time.Millisecond, Factors: factor})
	}
	return load
}

// WithSlowServers returns fleet with a sixth of the servers five times slower for some seconds.
func WithSlowServers(fleet Fleet) Fleet {
	fleet.Slow = Slowdown{Every: 6, Factor: 5, From: 8 * time.Second, To: 14500 * time.Millisecond}
	return fleet
}

// WithTeams returns load with requests of the given number of teams.
func WithTeams(load Load, teams int) Load {
	load.Kinds = slices.Clone(load.Kinds)
	for i := range load.Kinds {
		load.Kinds[i].Team, load.Kinds[i].Teams = "team ", teams
	}
	return load
}

// WithRetries returns load with callers that retry each refused request up to the given number of times.
func WithRetries(load Load, retries int) Load {
	load.Kinds = slices.Clone(load.Kinds)
	for i := range load.Kinds {
		load.Kinds[i].MaxRetries = retries
	}
	return load
}

// WithBurst returns load with a burst of all kinds.
func WithBurst(load Load, factor float64, from, to time.Duration) Load {
	factors := map[string]float64{}
	for i := range load.Kinds {
		factors[load.Kinds[i].Name] = factor
	}
	load.Bursts = append(slices.Clone(load.Bursts), Burst{From: from, To: to, Factors: factors})
	return load
}

// WithFlood returns load with requests of one more team, named "flood": those of the first kind, factor times as many,
// between from and to. Their callers retry within retriesWithin.
func WithFlood(load Load, factor float64, from, to, retriesWithin time.Duration) Load {
	flood := load.Kinds[0]
	flood.Name, flood.Team, flood.Teams, flood.MaxRetries, flood.RetriesWithin = "flood", "flood", 0, 20, retriesWithin
	load.Kinds = append(slices.Clone(load.Kinds), flood)
	load.Bursts = append(slices.Clone(load.Bursts),
		Burst{To: from, Factors: map[string]float64{"flood": 0}}, Burst{From: from, To: to, Factors: map[string]float64{"flood": factor}},
		Burst{From: to, To: load.Duration + time.Second, Factors: map[string]float64{"flood": 0}})
	return load
}
