package registry

import (
	"slices"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// maxEvacuations is the maximum number of evacuated zones in the registry. Further orders to
// evacuate a zone are refused.
const maxEvacuations = 64

// setEvacuation stores whether a zone is evacuated. An order for the state that holds changes
// nothing, so that the time of the first order stays. One that was delayed until after another
// change is refused: it may be older than an order that has been acknowledged. The result has the
// revision of the evacuations as its version.
func (s *state) setEvacuation(command *registrypb.SetEvacuation) Result {
	i, evacuated := slices.BinarySearchFunc(s.evacuations, command.GetZone(), compareZone)
	switch {
	case evacuated == command.GetEvacuated():
		return Result{Code: CodeAccepted, Version: s.evacuationsRevision}
	case command.KnownRevision != nil && command.GetKnownRevision() < s.evacuationsRevision:
		return Result{Code: CodeOutdated, Version: s.evacuationsRevision}
	case evacuated:
		s.evacuations = slices.Delete(s.evacuations, i, i+1)
	case len(s.evacuations) >= maxEvacuations:
		return Result{Code: CodeRefused, Version: s.evacuationsRevision}
	default:
		s.evacuations = slices.Insert(s.evacuations, i, &registrypb.Evacuation{Zone: command.GetZone(), UnixMs: command.GetUnixMs()})
	}
	s.evacuationsRevision++
	return Result{Code: CodeAccepted, Version: s.evacuationsRevision}
}

func compareZone(evacuation *registrypb.Evacuation, zone string) int {
	return strings.Compare(evacuation.GetZone(), zone)
}

// Evacuation is an availability zone whose backend servers get no new requests.
type Evacuation struct {
	Zone string
	// Since is the time at which the leader proposed the order, by the clock of that leader.
	Since time.Time
}

// Evacuations are the evacuated zones.
type Evacuations struct {
	// Revision grows by one with each change of Zones.
	Revision uint64
	// Zones are ordered by name.
	Zones []Evacuation
}

// Has tells whether a zone is evacuated.
func (e Evacuations) Has(zone string) bool {
	return slices.ContainsFunc(e.Zones, func(evacuation Evacuation) bool { return evacuation.Zone == zone })
}

// Evacuations returns the evacuated zones.
func (r *Registry) Evacuations() Evacuations {
	_, evacuations := r.RoutesAndEvacuations()
	return evacuations
}

// RoutesAndEvacuations returns the route table with the highest version and the evacuated zones,
// both after the same command: their versions are compared by their sum, so that they must not
// be mixed from different states.
func (r *Registry) RoutesAndEvacuations() (RouteTable, Evacuations) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	evacuations := Evacuations{Revision: r.state.evacuationsRevision}
	for _, e := range r.state.evacuations {
		evacuations.Zones = append(evacuations.Zones, Evacuation{Zone: e.GetZone(), Since: time.UnixMilli(e.GetUnixMs())})
	}
	return RouteTable{Version: r.state.routes.GetVersion(), Compressed: r.state.routes.GetContent()}, evacuations
}
