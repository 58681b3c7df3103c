package emulate_test

import (
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"godwityoke.example/godwityoke/internal/emulate"
	"godwityoke.example/godwityoke/internal/routes"
)

func standardFleet() emulate.Fleet {
	return emulate.Fleet{Servers: 14, Engine: routes.Engine{
		Slots: 16, MemoryTokens: 232_000, Stride: 43, Chunk: 2048, Step: 1020 * time.Microsecond,
		StepPerWriter: 2260 * time.Nanosecond, StepPerToken: 4 * time.Nanosecond, ReadPerToken: 4854 * time.Nanosecond, ReadPerPairNs: 0.138,
	}}
}

func standardLoad(scale float64) emulate.Load {
	return emulate.Load{
		Scale: scale, Length: 40 * time.Second, Swing: 0.55, Period: 17 * time.Second,
		Kinds: []emulate.Kind{
			{Name: "short", PerSecond: 26.2, PromptTokens: 4960, PromptSpread: 0.9, PromptMax: 23800, Events: 31.6, EventSpread: 0.7,
				Aim: 300 * time.Millisecond, Pause: 250 * time.Millisecond, Worth: 1.3, LateWorth: 0.33},
			{Name: "medium", PerSecond: 1.42, PromptTokens: 45000, PromptSpread: 0.5, PromptMax: 110000, Events: 19, EventSpread: 0.6,
				Aim: 1500 * time.Millisecond, Pause: 600 * time.Millisecond, Worth: 3.9, LateWorth: 0.98},
			{Name: "long", PerSecond: 1.2, PromptTokens: 133000, PromptSpread: 0.55, PromptMax: 600000, Events: 15.8, EventSpread: 0.5,
				Aim: 3 * time.Second, Pause: time.Second, Worth: 15, LateWorth: 3.7},
		},
	}
}

func alternating(load emulate.Load) emulate.Load {
	short := map[string]float64{"short": 2.4, "medium": 0.5, "long": 0.05}
	long := map[string]float64{"short": 0.35, "medium": 1.3, "long": 2.8}
	for i, factor := range []map[string]float64{short, long, short} {
		from := 2*time.Second + time.Duration(i)*10500*time.Millisecond
		load.Bursts = append(load.Bursts, emulate.Burst{From: from, To: from + 9500*time.Millisecond, Factor: factor})
	}
	return load
}

func TestTune(t *testing.T) {
	if os.Getenv("TUNE") == "" {
		t.Skip()
	}
	for _, scenario := range []struct {
		name string
		load emulate.Load
	}{{"x1", standardLoad(1)}, {"x2", standardLoad(2)}, {"alt", alternating(standardLoad(1))}, {"alt1.4", alternating(standardLoad(1.4))}} {
		var mu sync.Mutex
		var running sync.WaitGroup
		sums := map[string]emulate.Tally{}
		for seed := range uint64(12) {
			running.Go(func() {
				result := emulate.Play(scenario.load, standardFleet(), seed)
				mu.Lock()
				defer mu.Unlock()
				add := func(name string, tally *emulate.Tally) {
					s := sums[name]
					s.Asked += tally.Asked
					s.OnTime += tally.OnTime
					s.Late += tally.Late
					s.Refused += tally.Refused
					s.Lost += tally.Lost
					s.Owed += tally.Owed
					s.Earned += tally.Earned
					sums[name] = s
				}
				total := result.Total()
				add("total", &total)
				for name, tally := range result.Kinds {
					add(name, tally)
				}
				for name, tally := range result.Largest {
					add(name+"+", tally)
				}
			})
		}
		running.Wait()
		fmt.Printf("%-7s", scenario.name)
		for _, name := range []string{"total", "short", "medium", "long", "long+"} {
			s := sums[name]
			fmt.Printf(" | %s %.3f late %d ref %d lost %d/%d", name, s.Share(), s.Late, s.Refused, s.Lost, s.Asked)
		}
		fmt.Println()
	}
}
