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

var rollStart = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func served(name, version string, adapters ...string) []backendapi.ServedModel {
	return []backendapi.ServedModel{{Name: name, Version: version, Adapters: adapters}}
}

func rolledBundle(minServers, parallel int, percent float64) *bundle.Bundle {
	return &bundle.Bundle{
		Models: []bundle.Model{{Name: "lace", Version: "2", MinServers: minServers, WeightBytes: 1000}},
		Roll:   bundle.RollLimits{WeightStoreBytesPerSecond: 1000, MaxParallelLoads: parallel, MaxUnavailablePercent: percent},
	}
}

// Prefill engines must be spread over the zones, so that each zone keeps mixed
// engines. No engine may get the role decode: such an engine gets no requests.
func TestPrefillRoleIsSpreadOverZonesAndDecodeIsNotUsed(t *testing.T) {
	rolled := rolledBundle(0, 9, 100)
	rolled.Models[0].PrefillServers = 3
	var engines []Engine
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"} {
		engines = append(engines, Engine{ID: id, Zone: id[:1], Models: served("lace", "2"), Role: backendapi.RoleDecode})
	}
	prefill := []string{}
	for _, step := range MakePlan(PlanInput{Bundle: rolled, Engines: engines, Now: rollStart}).Steps {
		assert.NotEqual(t, backendapi.RoleDecode, step.Role)
		if step.Role == backendapi.RolePrefill {
			prefill = append(prefill, step.Engine)
		}
	}
	assert.ElementsMatch(t, []string{"a1", "b1", "c1"}, prefill)
}

func TestMakePlanReturnsNextStepOrWaitReason(t *testing.T) {
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
		"old version":      {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1")}, backendapi.OrderLoadModel, WaitNone},
		"current version":  {rolledBundle(0, 1, 50), Engine{Models: served("lace", "2")}, "", WaitNone},
		"adapter missing":  {withAdapter, Engine{Models: served("lace", "2")}, backendapi.OrderLoadAdapter, WaitNone},
		"role":             {withRoles, Engine{Models: served("lace", "2"), Role: backendapi.RoleMixed}, backendapi.OrderSetRole, WaitNone},
		"model not named":  {rolledBundle(0, 1, 50), Engine{Models: served("old", "9")}, backendapi.OrderUnloadModel, WaitNone},
		"model missing":    {rolledBundle(1, 1, 50), Engine{}, backendapi.OrderLoadModel, WaitNone},
		"last server":      {rolledBundle(1, 1, 50), Engine{Models: served("lace", "1")}, "", WaitMinServers},
		"none unavailable": {rolledBundle(0, 1, 0), Engine{Models: served("lace", "1")}, "", WaitMaxUnavailable},
		"state unknown":    {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), StateUnknown: true}, "", WaitStateUnknown},
		"previous leader":  {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), Blocked: true}, "", WaitPreviousLeader},
		"load not ordered": {rolledBundle(0, 1, 50), Engine{Models: served("lace", "1"), Loading: true}, "", WaitNone},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.engine.ID = "e1"
			plan := MakePlan(PlanInput{Bundle: c.bundle, Engines: []Engine{c.engine}, Now: rollStart})
			var kind backendapi.OrderKind
			if len(plan.Steps) > 0 {
				kind = plan.Steps[0].Kind
			}
			assert.Equal(t, c.kind, kind)
			assert.Equal(t, c.waiting, plan.WaitReason)
		})
	}
}

// Rolls a bundle out to random fleets, with loads that end in any order, and
// checks the limits of the bundle after each plan.
func TestRollStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 12).Draw(t, "engines")
		rolled := rolledBundle(rapid.IntRange(0, count-1).Draw(t, "min"), rapid.IntRange(1, 4).Draw(t, "parallel"),
			rapid.Float64Range(1, 100).Draw(t, "percent"))
		rolled.Models[0].WeightBytes = jsonc.Bytes(rapid.IntRange(1, 5000).Draw(t, "bytes"))
		engines := make([]Engine, count)
		for i := range engines {
			engines[i] = Engine{ID: fmt.Sprint("e", i), Zone: fmt.Sprint(i % 3), Models: served("lace", "1")}
		}
		now, storeFreeAt, bytesRead := rollStart, rollStart, int64(0)
		for iteration := 0; slices.ContainsFunc(engines, func(e Engine) bool { return e.Models[0].Version == "1" }); iteration++ {
			require.Less(t, iteration, 5000, "the roll does not end")
			plan := MakePlan(PlanInput{Bundle: rolled, Engines: engines, StoreFreeAt: storeFreeAt, Now: now})
			storeFreeAt = plan.StoreFreeAt
			for _, step := range plan.Steps {
				index := slices.IndexFunc(engines, func(e Engine) bool { return e.ID == step.Engine })
				engines[index].CurrentStep = &step
				bytesRead += step.WeightBytes
			}
			checkLimits(t, rolled, engines)
			limit := now.Sub(rollStart).Seconds()*float64(rolled.Roll.WeightStoreBytesPerSecond) + float64(rolled.Models[0].WeightBytes)
			require.LessOrEqual(t, float64(bytesRead), limit+1, "more bytes read from the weight store than its rate allows")
			finish(t, engines)
			now = now.Add(time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second)
		}
	})
}

func checkLimits(t *rapid.T, rolled *bundle.Bundle, engines []Engine) {
	unavailable := 0
	for _, engine := range engines {
		if engine.CurrentStep != nil {
			unavailable++
		}
	}
	allowed := max(1, int(math.Floor(float64(len(engines))*rolled.Roll.MaxUnavailablePercent/100)))
	require.LessOrEqual(t, unavailable, allowed)
	require.LessOrEqual(t, unavailable, rolled.Roll.MaxParallelLoads)
	require.GreaterOrEqual(t, len(engines)-unavailable, rolled.Models[0].MinServers)
}

func finish(t *rapid.T, engines []Engine) {
	for i := range engines {
		if engines[i].CurrentStep != nil && rapid.Bool().Draw(t, "finished") {
			engines[i].CurrentStep = nil
			engines[i].Models = served("lace", "2")
		}
	}
}
