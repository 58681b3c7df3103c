package capacity

import (
	"fmt"
	"testing"
	"time"
)

// settledState returns the state of the only VM of a zone, which may grant all memory of the
// given number of engines, and up to 16 choices.
func settledState(engines int) (*State, []Choice) {
	state := NewState("a", []string{"a"}, DefaultConfig(term, 20, time.Hour))
	live := make([]Engine, engines)
	choices := make([]Choice, engines)
	for i := range live {
		live[i] = Engine{Server: fmt.Sprintf("e%d", i), Incarnation: 1, Memory: 400_000, Group: testGroup}
		choices[i] = Choice{Server: live[i].Server, PrefillTokens: 1000, TokenTime: 5 * time.Microsecond}
	}
	for now := start; now.Before(start.Add(4 * term)); now = now.Add(term / 4) {
		for _, engine := range state.Tick(live, now).Lists {
			state.ApplyList(engine.Server, 1, nil, now, now)
		}
	}
	return state, choices[:min(len(choices), 16)]
}

// BenchmarkGrant measures the scheduler's cost of one lease: request, first token and
// release.
func BenchmarkGrant(b *testing.B) {
	for _, engines := range []int{5, 15, 100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			state, choices := settledState(engines)
			now := start.Add(4 * term)
			request := Request{Holder: "a", Tokens: 1100, Short: true, LatestStart: now.Add(time.Hour), Deadline: now.Add(time.Hour)}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				now = now.Add(time.Millisecond)
				request.Attempt = fmt.Sprint(i)
				server := state.Acquire(request, choices, now)
				state.RecordFirstToken(server, request.Attempt, now)
				state.Release(server, request.Attempt, false, now)
				state.TakeDecisions()
				if i%1000 == 0 {
					for name := range state.engines {
						state.engines[name].core.Expire(state.IsAlive, now)
					}
				}
			}
		})
	}
}

// BenchmarkTick measures one tick of a scheduler with 40 leases per engine.
func BenchmarkTick(b *testing.B) {
	for _, engines := range []int{5, 15, 100} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			state, choices := settledState(engines)
			now := start.Add(4 * term)
			var live []Engine
			for _, engine := range state.engines {
				live = append(live, engine.engine)
			}
			for i := range 40 * engines {
				choice := []Choice{{Server: live[i%engines].Server, TokenTime: choices[0].TokenTime}}
				state.Acquire(Request{Attempt: fmt.Sprint(i), Holder: "a", Tokens: 1000, Short: true, LatestStart: now.Add(time.Hour), Deadline: now.Add(time.Hour)}, choice, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				state.Tick(live, now)
			}
		})
	}
}
