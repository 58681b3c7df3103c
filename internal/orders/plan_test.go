package orders

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/jsonc"
)

var planStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func served(name, version string, adapters ...string) []backendapi.ServedModel {
	return []backendapi.ServedModel{{Name: name, Version: version, Adapters: adapters}}
}

func rolledBundle(minServers, parallel int, percent float64) *bundle.Bundle {
	return &bundle.Bundle{
		Models: []bundle.Model{{Name: "lace", Version: "2", MinServers: minServers, WeightBytes: 1000}},
		Roll:   bundle.RollLimits{WeightStoreBytesPerSecond: 1000, MaxParallelLoads: parallel, MaxUnavailablePercent: percent},
	}
}

// TestRolesLeaveNoZoneWithoutService spreads prefill engines over the zones and
// gives no engine the role decode, which is never placed on.
func TestRolesLeaveNoZoneWithoutService(t *testing.T) {
	rolled := rolledBundle(0, 9, 100)
	rolled.Models[0].PrefillServers = 3
	var engines []Engine
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"} {
		engines = append(engines, Engine{ID: id, Zone: id[:1], Models: served("lace", "2"), Role: backendapi.RoleDecode})
	}
	prefill := []string{}
	for _, step := range MakePlan(PlanInput{Bundle: rolled, Engines: engines, Now: planStart}).Steps {
		assert.NotEqual(t, backendapi.RoleDecode, step.Role)
		if step.Role == backendapi.RolePrefill {
			prefill = append(prefill, step.Engine)
		}
	}
	assert.ElementsMatch(t, []string{"a1", "b1", "c1"}, prefill)
}

func TestPlanSteps(t *testing.T) {
	withAdapter := rolledBundle(0, 1, 50)
	withAdapter.Models[0].Adapters = []bundle.Adapter{{Name: "knit", Version: "1"}}
	withRoles := rolledBundle(0, 1, 100)
	withRoles.Models[0].PrefillServers = 1
	cases := map[string]struct {
		bundle  *bundle.Bundle
		engine  Engine
		kind    backendapi.OrderKind
		waiting WaitReason
	}{
		"old version":        {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1")}, backendapi.OrderLoadModel, WaitNone},
		"right version":      {rolledBundle(0, 1, 50), Engine{Models: served("lace", "2")}, "", WaitNone},
		"adapter missing":    {withAdapter, Engine{Models: served("lace", "2")}, backendapi.OrderLoadAdapter, WaitNone},
		"role":               {withRoles, Engine{Models: served("lace", "2"), Role: backendapi.RoleMixed}, backendapi.OrderSetRole, WaitNone},
		"model not named":    {rolledBundle(0, 1, 50), Engine{Models: served("old", "9")}, backendapi.OrderUnloadModel, WaitNone},
		"model missing":      {rolledBundle(1, 1, 50), Engine{}, backendapi.OrderLoadModel, WaitNone},
		"last server":        {rolledBundle(1, 1, 50), Engine{Models: served("lace", "1")}, "", WaitMinServers},
		"nothing may go":     {rolledBundle(0, 1, 0), Engine{Models: served("lace", "1")}, "", WaitMaxUnavailable},
		"state not known":    {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), StateUnknown: true}, "", WaitStateUnknown},
		"previous leader":    {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), Blocked: true}, "", WaitPreviousLeader},
		"loading by another": {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), Loading: true}, "", WaitNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.engine.ID = "e1"
			plan := MakePlan(PlanInput{Bundle: c.bundle, Engines: []Engine{c.engine}, Now: planStart})
			var kind backendapi.OrderKind
			if len(plan.Steps) > 0 {
				kind = plan.Steps[0].Kind
			}
			assert.Equal(t, c.kind, kind)
			assert.Equal(t, c.waiting, plan.WaitReason)
		})
	}
}

// TestRollStaysWithinLimits rolls random fleets to the end, and holds each
// moment against the limits of the bundle, with loads that end in any order.
func TestRollStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "engines")
		stated := rolledBundle(rapid.IntRange(0, count-1).Draw(t, "min"), rapid.IntRange(1, 4).Draw(t, "parallel"),
			rapid.Float64Range(1, 100).Draw(t, "percent"))
		stated.Models[0].WeightBytes = jsonc.Bytes(rapid.IntRange(1, 5000).Draw(t, "bytes"))
		engines := make([]Engine, count)
		for i := range engines {
			engines[i] = Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint(i % 3), Models: served("lace", "1")}
		}
		now, storeAt, read := planStart, planStart, int64(0)
		for round := 0; slices.ContainsFunc(engines, func(e Engine) bool { return e.Models[0].Version == "1" }); round++ {
			require.Less(t, round, 5000, "the roll makes no progress")
			plan := MakePlan(PlanInput{Bundle: stated, Engines: engines, StoreFreeAt: storeAt, Now: now})
			storeAt = plan.StoreFreeAt
			for _, step := range plan.Steps {
				at := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == step.Engine })
				engines[at].CurrentStep = &step
				read += step.WeightBytes
			}
			checkLimits(t, stated, engines)
			most := now.Sub(planStart).Seconds()*float64(stated.Roll.WeightStoreBytesPerSecond) + float64(stated.Models[0].WeightBytes)
			require.LessOrEqual(t, float64(read), most+1, "the weight store's rate is exceeded")
			finish(t, engines)
			now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		}
	})
}

func checkLimits(t *rapid.T, stated *bundle.Bundle, engines []Engine) {
	out := 0
	for _, engine := range engines {
		if engine.CurrentStep != nil {
			out++
		}
	}
	allowed := max(1, int(math.Floor(float64(len(engines))*stated.Roll.MaxUnavailablePercent/100)))
	require.LessOrEqual(t, out, allowed)
	require.LessOrEqual(t, out, stated.Roll.MaxParallelLoads)
	require.GreaterOrEqual(t, len(engines)-out, stated.Models[0].MinServers)
}

func finish(t *rapid.T, engines []Engine) {
	for i := range engines {
		if engines[i].CurrentStep != nil && rapid.Bool().Draw(t, "finished") {
			engines[i].CurrentStep = nil
			engines[i].Models = served("lace", "2")
		}
	}
}
