package orders

import (
	"cmp"
	"slices"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
)

// nextStep returns what the engine needs next to serve what the bundle states:
// versions first, then adapters, then its role, and last the removal of models
// that the bundle does not name.
func (p *planner) nextStep(engine Engine) (Step, bool) {
	for _, served := range engine.Models {
		model, wanted := p.models[served.Name]
		if wanted && served.Version != model.Version {
			return loadModel(engine.ID, model), true
		}
	}
	for _, served := range engine.Models {
		if model, wanted := p.models[served.Name]; wanted {
			if step, needed := loadAdapter(engine.ID, model, served); needed {
				return step, true
			}
		}
	}
	if step, needed := p.roleStep(engine); needed {
		return step, true
	}
	for _, served := range engine.Models {
		if _, wanted := p.models[served.Name]; !wanted {
			return Step{Engine: engine.ID, Kind: backendapi.OrderUnloadModel, Model: served.Name, Version: served.Version}, true
		}
	}
	return Step{}, false
}

func loadModel(engine string, model *bundle.Model) Step {
	return Step{
		Engine: engine, Kind: backendapi.OrderLoadModel,
		Model: model.Name, Version: model.Version, WeightBytes: int64(model.WeightBytes),
	}
}

func loadAdapter(engine string, model *bundle.Model, served backendapi.ServedModel) (Step, bool) {
	for _, adapter := range model.Adapters {
		if !slices.Contains(served.Adapters, adapter.Name) {
			return Step{
				Engine: engine, Kind: backendapi.OrderLoadAdapter,
				Model: model.Name, Adapter: adapter.Name, Version: adapter.Version,
			}, true
		}
	}
	return Step{}, false
}

// roleStep gives some engines of a model the role prefill and the others the
// role mixed. No engine gets the role decode: requests are not handed over from
// one engine to another, so such an engine would serve nobody.
func (p *planner) roleStep(engine Engine) (Step, bool) {
	for _, served := range engine.Models {
		model, wanted := p.models[served.Name]
		if !wanted || model.PrefillServers == 0 {
			continue
		}
		role := backendapi.RoleMixed
		if slices.Contains(p.prefillEngines(model), engine.ID) {
			role = backendapi.RolePrefill
		}
		if engine.Role == role {
			return Step{}, false
		}
		return Step{Engine: engine.ID, Kind: backendapi.OrderSetRole, Model: served.Name, Role: role}, true
	}
	return Step{}, false
}

// prefillEngines returns the engines of model that take the role prefill: one
// of each zone in turn, so that no zone is left with a single role.
func (p *planner) prefillEngines(model *bundle.Model) []string {
	if chosen, found := p.prefill[model.Name]; found {
		return chosen
	}
	type candidate struct {
		id, zone string
		// turn is the number of engines of the zone with a lower id.
		turn int
	}
	var candidates []candidate
	turns := map[string]int{}
	engines := slices.SortedFunc(slices.Values(p.input.Engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, engine := range engines {
		if serves(engine, model.Name) {
			candidates = append(candidates, candidate{id: engine.ID, zone: engine.Zone, turn: turns[engine.Zone]})
			turns[engine.Zone]++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.zone, b.zone))
	})
	chosen := []string{}
	for _, one := range candidates[:min(model.PrefillServers, len(candidates))] {
		chosen = append(chosen, one.id)
	}
	p.prefill[model.Name] = chosen
	return chosen
}

func serves(engine Engine, model string) bool {
	return slices.ContainsFunc(engine.Models, func(served backendapi.ServedModel) bool { return served.Name == model })
}

// addMissing gives models that have fewer engines than MinServers to engines
// that serve no model of the bundle.
func (p *planner) addMissing() {
	engines := p.order()
	for i := range p.input.Bundle.Models {
		model := &p.input.Bundle.Models[i]
		missing := model.MinServers - p.capacity[model.Name].engines
		for range missing {
			at := slices.IndexFunc(engines, p.free)
			if at < 0 {
				p.wait(WaitNoFreeEngine)
				break
			}
			step := loadModel(engines[at].ID, model)
			step.NewModel = true
			p.begin(step)
			engines = slices.Delete(engines, at, at+1)
		}
	}
}

// free reports whether an engine can be given a model it does not have.
func (p *planner) free(engine Engine) bool {
	if engine.StateUnknown || engine.Loading || engine.Blocked || engine.CurrentStep != nil {
		return false
	}
	if slices.ContainsFunc(p.plan.Steps, func(step Step) bool { return step.Engine == engine.ID }) {
		return false
	}
	for _, served := range engine.Models {
		if _, wanted := p.models[served.Name]; wanted {
			return false
		}
	}
	return true
}

// agrees reports whether an engine's own state shows that step was done.
func agrees(step Step, state *backendapi.EngineState) bool {
	at := slices.IndexFunc(state.Models, func(served backendapi.ServedModel) bool { return served.Name == step.Model })
	switch step.Kind {
	case backendapi.OrderLoadModel:
		return at >= 0 && state.Models[at].Version == step.Version
	case backendapi.OrderUnloadModel:
		return at < 0
	case backendapi.OrderLoadAdapter:
		return at >= 0 && slices.Contains(state.Models[at].Adapters, step.Adapter)
	case backendapi.OrderSetRole:
		return state.Role == step.Role
	}
	return false
}
