package routes

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// CheckHomes returns an error that joins all homes of routes and teams that are not regions of the system, nil if there are
// none. zoneRegions maps availability zones to regions. It is not part of Check: a table that was accepted stays valid on a
// VM whose settings name other regions.
func CheckHomes(t *Table, zoneRegions map[string]string) error {
	regions := slices.Sorted(maps.Values(zoneRegions))
	regions = slices.Compact(regions)
	var problems []error
	check := func(place string, homes []string) {
		for _, home := range homes {
			if _, exists := slices.BinarySearch(regions, home); !exists {
				problems = append(problems, fmt.Errorf("%w: %s: region %.64q does not exist, the regions are %q", ErrInvalid, place, home, regions))
			}
		}
	}
	for i := range t.Routes {
		check(fmt.Sprintf("routes[%d] %.64q", i, t.Routes[i].Name), t.Routes[i].Homes)
	}
	for i := range t.Teams {
		check(fmt.Sprintf("teams[%d] %.64q", i, t.Teams[i].Name), t.Teams[i].Homes)
	}
	return errors.Join(problems...)
}

// Reach tells where a request may be handled.
type Reach struct {
	// Limited is set if the request must not be handled everywhere.
	Limited bool
	// ServerZones are the availability zones whose servers may get a limited request, RelayZones those whose VMs may pass it
	// on: zones in its homes, and for RelayZones also those in the region of the caller. Both are sorted.
	ServerZones []string
	RelayZones  []string
}

// ReachOf returns where a request may be handled that has arrived in a zone. Each list of homes binds; an empty one allows
// all regions. zoneRegions maps availability zones to regions.
func ReachOf(zone string, zoneRegions map[string]string, homes ...[]string) Reach {
	reach := Reach{}
	for _, list := range homes {
		reach.Limited = reach.Limited || len(list) > 0
	}
	if !reach.Limited {
		return reach
	}
	own, hasOwn := zoneRegions[zone]
	for other, region := range zoneRegions {
		isHome := !slices.ContainsFunc(homes, func(list []string) bool { return len(list) > 0 && !slices.Contains(list, region) })
		if isHome {
			reach.ServerZones = append(reach.ServerZones, other)
		}
		if isHome || hasOwn && region == own {
			reach.RelayZones = append(reach.RelayZones, other)
		}
	}
	slices.Sort(reach.ServerZones)
	slices.Sort(reach.RelayZones)
	return reach
}

// Allows tells whether a server in the zone may get the request.
func (r *Reach) Allows(zone string) bool {
	if !r.Limited {
		return true
	}
	_, found := slices.BinarySearch(r.ServerZones, zone)
	return found
}
