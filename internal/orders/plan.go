// Package orders brings engines to what a rolled bundle states. The planner is
// pure; the runner gives its orders while this VM leads the control group.
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
	// StateUnknown is true while the engine's state can't be read back. It counts as
	// out of service and gets no new order.
	StateUnknown bool
	// Loading is true while the engine loads without an order of this term.
	Loading bool
	// CurrentStep is the step in progress on the engine, nil for none.
	CurrentStep *Step
	// Blocked is true while the engine must not be given a new order.
	Blocked bool
}

// Step is one change of one engine. An order asks for it.
type Step struct {
	Engine  string
	Kind    backendapi.OrderKind
	Model   string
	Version string
	Adapter string
	Role    backendapi.Role
	// WeightBytes is what the step reads from the weight store.
	WeightBytes int64
	// NewModel is true for a model that the engine does not serve yet.
	NewModel bool
}

// takesOut reports whether the model is out of service on the engine while the
// step is in progress.
func (s Step) takesOut() bool {
	if s.NewModel {
		return false
	}
	return s.Kind == backendapi.OrderLoadModel || s.Kind == backendapi.OrderUnloadModel || s.Kind == backendapi.OrderSetRole
}

// WaitReason tells why a plan holds steps back.
type WaitReason string

// Reasons to hold steps back.
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

// PlanInput is what a plan depends on.
type PlanInput struct {
	Bundle  *bundle.Bundle
	Engines []Engine
	// StoreFreeAt is when the weight store has served the loads begun so far
	// at its rate.
	StoreFreeAt time.Time
	Now         time.Time
}

// Plan is what is to be done next.
type Plan struct {
	Steps       []Step
	StoreFreeAt time.Time
	// EnginesDone counts the engines that need no step.
	EnginesDone int
	WaitReason  WaitReason
}

// planner holds the state of one plan in the making.
type planner struct {
	input    PlanInput
	plan     Plan
	models   map[string]*bundle.Model
	capacity map[string]*modelCapacity
	// prefill holds the engines of a model that take the role prefill.
	prefill map[string][]string
	loads   int
}

// modelCapacity counts the engines of a model.
type modelCapacity struct {
	// engines have the model or are being given it.
	engines int
	// out of them are not in service, or will not be.
	out int
}

// MakePlan returns the steps to begin at input.Now within the roll limits of the
// bundle. It takes no more of a model's engines out of service than the bundle
// allows, counting those whose state is not known.
func MakePlan(input PlanInput) Plan {
	p := &planner{input: input, models: map[string]*bundle.Model{}, capacity: map[string]*modelCapacity{}, prefill: map[string][]string{}}
	p.plan.StoreFreeAt = input.StoreFreeAt
	for i := range input.Bundle.Models {
		model := &input.Bundle.Models[i]
		p.models[model.Name] = model
		p.capacity[model.Name] = &modelCapacity{}
	}
	p.count()
	for _, engine := range p.order() {
		p.visit(engine)
	}
	p.addMissing()
	return p.plan
}

// count takes stock of capacity and of loads in progress.
func (p *planner) count() {
	for _, engine := range p.input.Engines {
		away := engine.StateUnknown || engine.Loading || engine.CurrentStep != nil && engine.CurrentStep.takesOut()
		if engine.Loading || engine.CurrentStep != nil {
			p.loads++
		}
		counted := map[string]bool{}
		for _, served := range engine.Models {
			p.addCapacity(served.Name, away)
			counted[served.Name] = true
		}
		if engine.CurrentStep != nil && !counted[engine.CurrentStep.Model] {
			p.addCapacity(engine.CurrentStep.Model, true)
		}
	}
}

func (p *planner) addCapacity(model string, away bool) {
	capacity, found := p.capacity[model]
	if !found {
		return
	}
	capacity.engines++
	if away {
		capacity.out++
	}
}

// order returns the engines so that zones with fewer steps in progress come
// first, and otherwise by their id.
func (p *planner) order() []Engine {
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

// visit plans at most one step of an engine.
func (p *planner) visit(engine Engine) {
	if engine.CurrentStep != nil || engine.Loading {
		return
	}
	step, needed := p.nextStep(engine)
	switch {
	case engine.StateUnknown:
		p.wait(WaitStateUnknown)
	case !needed:
		p.plan.EnginesDone++
	case engine.Blocked:
		p.wait(WaitPreviousLeader)
	default:
		p.begin(step)
	}
}

// begin adds step to the plan if the limits allow it.
func (p *planner) begin(step Step) {
	if reason := p.limit(step); reason != WaitNone {
		p.wait(reason)
		return
	}
	p.plan.Steps = append(p.plan.Steps, step)
	p.loads++
	if step.NewModel {
		p.addCapacity(step.Model, true)
	}
	if capacity, found := p.capacity[step.Model]; found && step.takesOut() {
		capacity.out++
	}
	rate := int64(p.input.Bundle.Roll.WeightStoreBytesPerSecond)
	if step.WeightBytes > 0 && rate > 0 {
		from := p.plan.StoreFreeAt
		if from.Before(p.input.Now) {
			from = p.input.Now
		}
		p.plan.StoreFreeAt = from.Add(time.Duration(float64(step.WeightBytes) / float64(rate) * float64(time.Second)))
	}
}

func (p *planner) limit(step Step) WaitReason {
	roll := p.input.Bundle.Roll
	if roll.MaxParallelLoads > 0 && p.loads >= roll.MaxParallelLoads {
		return WaitParallelLoads
	}
	if step.WeightBytes > 0 && p.plan.StoreFreeAt.After(p.input.Now) {
		return WaitWeightStore
	}
	capacity, found := p.capacity[step.Model]
	if !found || !step.takesOut() {
		return WaitNone
	}
	allowed := int(math.Floor(float64(capacity.engines) * roll.MaxUnavailablePercent / 100))
	if roll.MaxUnavailablePercent > 0 {
		allowed = max(allowed, 1)
	}
	if capacity.out+1 > allowed {
		return WaitMaxUnavailable
	}
	if capacity.engines-capacity.out-1 < p.models[step.Model].MinServers {
		return WaitMinServers
	}
	return WaitNone
}

// wait records the first reason to hold a step back.
func (p *planner) wait(reason WaitReason) {
	if p.plan.WaitReason == WaitNone {
		p.plan.WaitReason = reason
	}
}
