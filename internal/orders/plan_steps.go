package orders

import (
	"cmp"
	"slices"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
)

// nextStep returns the next step that brings the engine to what the bundle
// states, and whether there is one: first model versions, then adapters, then
// the role, and last the removal of models that the bundle does not name.
func (p *planner) nextStep(engine Engine) (Step, bool) {
	for _, served := range engine.Models {
		model, named := p.models[served.Name]
		if named && served.Version != model.Version {
			return loadModel(engine.ID, model), true
		}
	}
	for _, served := range engine.Models {
		if model, named := p.models[served.Name]; named {
			if step, needed := loadAdapter(engine.ID, model, served); needed {
				return step, true
			}
		}
	}
	if step, needed := p.nextRoleStep(engine); needed {
		return step, true
	}
	for _, served := range engine.Models {
		if _, named := p.models[served.Name]; !named {
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

// nextRoleStep returns the step that gives an engine its role, and whether it
// needs one. Some engines of a model get the role prefill and the others the
// role mixed. No engine gets the role decode: requests are not handed over from
// one engine to another, so an engine with that role would get no requests.
func (p *planner) nextRoleStep(engine Engine) (Step, bool) {
	for _, served := range engine.Models {
		model, named := p.models[served.Name]
		if !named || model.PrefillServers == 0 {
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

// prefillEngines returns the ids of the model's engines that take the role
// prefill. They are taken from the zones in rotation, so that each zone keeps
// engines of both roles where the numbers allow it.
func (p *planner) prefillEngines(model *bundle.Model) []string {
	if selected, found := p.prefill[model.Name]; found {
		return selected
	}
	type candidate struct {
		id, zone string
		// rank is the number of the model's engines in the zone with a lower id.
		rank int
	}
	var candidates []candidate
	zoneCounts := map[string]int{}
	engines := slices.SortedFunc(slices.Values(p.input.Engines), func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
	for _, engine := range engines {
		if serves(engine, model.Name) {
			candidates = append(candidates, candidate{id: engine.ID, zone: engine.Zone, rank: zoneCounts[engine.Zone]})
			zoneCounts[engine.Zone]++
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.zone, b.zone))
	})
	selected := []string{}
	for _, preferred := range candidates[:min(model.PrefillServers, len(candidates))] {
		selected = append(selected, preferred.id)
	}
	p.prefill[model.Name] = selected
	return selected
}

func serves(engine Engine, model string) bool {
	return slices.ContainsFunc(engine.Models, func(served backendapi.ServedModel) bool { return served.Name == model })
}

// addMissing plans loads of the models that have fewer engines than MinServers
// on engines that serve no model of the bundle.
func (p *planner) addMissing() {
	engines := p.enginesInOrder()
	for i := range p.input.Bundle.Models {
		model := &p.input.Bundle.Models[i]
		missing := model.MinServers - p.capacity[model.Name].engines
		for range missing {
			free := slices.IndexFunc(engines, p.isFree)
			if free < 0 {
				p.recordWait(WaitNoFreeEngine)
				break
			}
			step := loadModel(engines[free].ID, model)
			step.NewModel = true
			p.addStep(step)
			engines = slices.Delete(engines, free, free+1)
		}
	}
}

// isFree reports whether an engine can load another model now: its state is known,
// it serves no model of the bundle, has no step planned or in progress, loads
// nothing and is not blocked.
func (p *planner) isFree(engine Engine) bool {
	if engine.StateUnknown || engine.Loading || engine.Blocked || engine.CurrentStep != nil {
		return false
	}
	if slices.ContainsFunc(p.plan.Steps, func(step Step) bool { return step.Engine == engine.ID }) {
		return false
	}
	for _, served := range engine.Models {
		if _, named := p.models[served.Name]; named {
			return false
		}
	}
	return true
}

// isDone reports whether the state read from an engine shows that step was
// carried out.
func isDone(step Step, state *backendapi.EngineState) bool {
	index := slices.IndexFunc(state.Models, func(served backendapi.ServedModel) bool { return served.Name == step.Model })
	switch step.Kind {
	case backendapi.OrderLoadModel:
		return index >= 0 && state.Models[index].Version == step.Version
	case backendapi.OrderUnloadModel:
		return index < 0
	case backendapi.OrderLoadAdapter:
		return index >= 0 && slices.Contains(state.Models[index].Adapters, step.Adapter)
	case backendapi.OrderSetRole:
		return state.Role == step.Role
	}
	return false
}
