// Package orders rolls a bundle out to the model engines: it brings their
// models, adapters and roles to what the bundle states. The planner computes
// the next steps within the roll limits of the bundle and does no I/O. The
// runner sends the orders for these steps while this VM leads the control
// group. Which bundle is rolled out, and whether the roll is stopped, is
// decided elsewhere and read through Options.
package orders

import (
	"math"
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/bundle"
)

// Engine is a model engine as the planner sees it.
type Engine struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Address is "ip:port".
	Address       string
	Role          backendapi.Role
	Models        []backendapi.ServedModel
	ChecksFencing bool
	// StateUnknown is true while the engine's state can't be read. The engine
	// then counts as out of service and gets no new order.
	StateUnknown bool
	// Loading is true while the engine loads without an order of the current term.
	Loading bool
	// CurrentStep is the step in progress on the engine, nil for none.
	CurrentStep *Step
	// Blocked is true while the engine must not be given a new order.
	Blocked bool
}

// Step is one change to one engine, made by one order.
type Step struct {
	Engine  string
	Kind    backendapi.OrderKind
	Model   string
	Version string
	Adapter string
	Role    backendapi.Role
	// WeightBytes is the number of bytes that the step reads from the weight store.
	WeightBytes int64
	// NewModel is true for a model that the engine does not serve yet.
	NewModel bool
}

// takesOutOfService reports whether a model that the engine serves is out of
// service while the step is in progress.
func (s Step) takesOutOfService() bool {
	if s.NewModel {
		return false
	}
	return s.Kind == backendapi.OrderLoadModel || s.Kind == backendapi.OrderUnloadModel || s.Kind == backendapi.OrderSetRole
}

// WaitReason says why a plan postpones steps. Operators see it in the status
// of the roll.
type WaitReason string

// Reasons to postpone steps. Those with the name of a setting are limits of
// the bundle. WaitPreviousLeader stands for every blocked engine, also for one
// that refused an order.
const (
	WaitNone           WaitReason = ""
	WaitParallelLoads  WaitReason = "max_parallel_loads"
	WaitWeightStore    WaitReason = "weight_store_bytes_per_second"
	WaitMaxUnavailable WaitReason = "max_unavailable_percent"
	WaitMinServers     WaitReason = "min_servers"
	WaitNoFreeEngine   WaitReason = "no free engine"
	WaitPreviousLeader WaitReason = "the previous leader's orders may still be on their way"
	WaitStateUnknown   WaitReason = "engines that can't be read back"
)

// PlanInput is the input of MakePlan.
type PlanInput struct {
	Bundle  *bundle.Bundle
	Engines []Engine
	// StoreFreeAt is the time by which the weight store has served all loads
	// begun so far, at its configured rate.
	StoreFreeAt time.Time
	Now         time.Time
}

// Plan is the result of MakePlan.
type Plan struct {
	// Steps are to be begun now.
	Steps []Step
	// StoreFreeAt is PlanInput.StoreFreeAt with the loads of Steps added.
	StoreFreeAt time.Time
	// EnginesDone counts the engines that need no step.
	EnginesDone int
	WaitReason  WaitReason
}

// planner holds the state of one call of MakePlan.
type planner struct {
	input PlanInput
	plan  Plan
	// models and capacity hold the models of the bundle by name.
	models   map[string]*bundle.Model
	capacity map[string]*modelCapacity
	// prefill holds, by model, the ids of the engines that take the role prefill.
	prefill map[string][]string
	// loads counts the engines with a step of any kind or a load in progress, and
	// the planned steps. MaxParallelLoads bounds it.
	loads int
}

// modelCapacity counts the engines of a model.
type modelCapacity struct {
	// engines is the number of engines that have the model or are about to load it.
	engines int
	// unavailable is how many of them are out of service, or will be by a
	// planned step.
	unavailable int
}

// MakePlan returns the steps to begin at input.Now within the roll limits of
// the bundle. It takes no more of a model's engines out of service than the
// bundle allows; engines whose state is unknown count as out of service.
func MakePlan(input PlanInput) Plan {
	p := &planner{input: input, models: map[string]*bundle.Model{}, capacity: map[string]*modelCapacity{}, prefill: map[string][]string{}}
	p.plan.StoreFreeAt = input.StoreFreeAt
	for i := range input.Bundle.Models {
		model := &input.Bundle.Models[i]
		p.models[model.Name] = model
		p.capacity[model.Name] = &modelCapacity{}
	}
	p.countCapacity()
	for _, engine := range p.enginesInOrder() {
		p.planEngine(engine)
	}
	p.addMissing()
	return p.plan
}

// countCapacity counts each model's engines and the loads in progress.
func (p *planner) countCapacity() {
	for _, engine := range p.input.Engines {
		unavailable := engine.StateUnknown || engine.Loading || engine.CurrentStep != nil && engine.CurrentStep.takesOutOfService()
		if engine.Loading || engine.CurrentStep != nil {
			p.loads++
		}
		counted := map[string]bool{}
		for _, served := range engine.Models {
			p.addCapacity(served.Name, unavailable)
			counted[served.Name] = true
		}
		if engine.CurrentStep != nil && !counted[engine.CurrentStep.Model] {
			p.addCapacity(engine.CurrentStep.Model, true)
		}
	}
}

func (p *planner) addCapacity(model string, unavailable bool) {
	capacity, found := p.capacity[model]
	if !found {
		return
	}
	capacity.engines++
	if unavailable {
		capacity.unavailable++
	}
}

// enginesInOrder returns the engines in the order in which they get steps:
// those of zones with fewer steps in progress first, then by id.
func (p *planner) enginesInOrder() []Engine {
	busy := map[string]int{}
	for _, engine := range p.input.Engines {
		if engine.Loading || engine.CurrentStep != nil {
			busy[engine.Zone]++
		}
	}
	engines := slices.Clone(p.input.Engines)
	slices.SortFunc(engines, func(a, b Engine) int {
		if busy[a.Zone] != busy[b.Zone] {
			return busy[a.Zone] - busy[b.Zone]
		}
		return strings.Compare(a.ID, b.ID)
	})
	return engines
}

// planEngine plans at most one step for an engine.
func (p *planner) planEngine(engine Engine) {
	if engine.CurrentStep != nil || engine.Loading {
		return
	}
	step, needed := p.nextStep(engine)
	switch {
	case engine.StateUnknown:
		p.recordWait(WaitStateUnknown)
	case !needed:
		p.plan.EnginesDone++
	case engine.Blocked:
		p.recordWait(WaitPreviousLeader)
	default:
		p.addStep(step)
	}
}

// addStep adds step to the plan if the roll limits allow it.
func (p *planner) addStep(step Step) {
	if reason := p.exceededLimit(step); reason != WaitNone {
		p.recordWait(reason)
		return
	}
	p.plan.Steps = append(p.plan.Steps, step)
	p.loads++
	if step.NewModel {
		p.addCapacity(step.Model, true)
	}
	if capacity, found := p.capacity[step.Model]; found && step.takesOutOfService() {
		capacity.unavailable++
	}
	rate := int64(p.input.Bundle.Roll.WeightStoreBytesPerSecond)
	if step.WeightBytes > 0 && rate > 0 {
		start := p.plan.StoreFreeAt
		if start.Before(p.input.Now) {
			start = p.input.Now
		}
		p.plan.StoreFreeAt = start.Add(time.Duration(float64(step.WeightBytes) / float64(rate) * float64(time.Second)))
	}
}

// exceededLimit returns the roll limit that step would exceed, or WaitNone.
func (p *planner) exceededLimit(step Step) WaitReason {
	roll := p.input.Bundle.Roll
	if roll.MaxParallelLoads > 0 && p.loads >= roll.MaxParallelLoads {
		return WaitParallelLoads
	}
	if step.WeightBytes > 0 && p.plan.StoreFreeAt.After(p.input.Now) {
		return WaitWeightStore
	}
	capacity, found := p.capacity[step.Model]
	if !found || !step.takesOutOfService() {
		return WaitNone
	}
	allowed := int(math.Floor(float64(capacity.engines) * roll.MaxUnavailablePercent / 100))
	if roll.MaxUnavailablePercent > 0 {
		allowed = max(allowed, 1)
	}
	if capacity.unavailable+1 > allowed {
		return WaitMaxUnavailable
	}
	if capacity.engines-capacity.unavailable-1 < p.models[step.Model].MinServers {
		return WaitMinServers
	}
	return WaitNone
}

// recordWait records reason unless the plan has a reason already.
func (p *planner) recordWait(reason WaitReason) {
	if p.plan.WaitReason == WaitNone {
		p.plan.WaitReason = reason
	}
}
