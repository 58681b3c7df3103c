package gateway

import (
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// reachOf returns where the request may be handled. The homes of a team also bind its requests of public routes.
func (x *exchange) reachOf() routes.Reach {
	options, homes := &x.gateway.options, [][]string{x.route.Homes}
	team := x.team
	if team == nil && x.request.Key != "" {
		team = x.table.TeamOf(x.request.Key)
	}
	if team != nil {
		homes = append(homes, team.Homes)
	}
	return routes.ReachOf(options.Zone, options.ZoneRegions, homes...)
}

// turnDownForeign tells whether a server of the placement is outside of the homes of the request, and logs and counts it.
// The scheduler places nothing there, but one of an older version doesn't know of homes; the next placement request then
// excludes all such servers.
func (x *exchange) turnDownForeign(placement schedule.Placement) bool {
	if !x.reach.Limited {
		return false
	}
	ids := make([]string, 0, 1+len(placement.Helpers))
	ids = append(ids, placement.Server)
	for _, helper := range placement.Helpers {
		ids = append(ids, helper.Server)
	}
	for _, id := range ids {
		server, known := x.gateway.options.Servers.Find(id)
		if !known || x.reach.Allows(server.Zone) {
			continue
		}
		x.turnedDown++
		x.excludesForeign = true
		observe.Log(x.gateway.options.Logger, observe.PlacementTurnedDown).Str("request", x.request.ID).Str("server", id).
			Str("reason", "not in a home region").Str("zone", server.Zone).Strs("allowed_zones", x.reach.ServerZones).Send()
		return true
	}
	return false
}

// foreignServers returns the ids of servers outside of the homes, once one of them was in a placement.
func (x *exchange) foreignServers() (ids []string) {
	if !x.excludesForeign || x.gateway.options.ReadyServers == nil {
		return nil
	}
	for _, server := range x.gateway.options.ReadyServers(x.service) {
		if !x.reach.Allows(server.Zone) && len(ids) < maxExcludedServers {
			ids = append(ids, server.ID)
		}
	}
	return ids
}

// readyServers returns the servers of the service that accept requests by their announcements, without those outside of the
// homes of the request.
func (x *exchange) readyServers() []roster.Server {
	ready := x.gateway.options.ReadyServers(x.service)
	if !x.reach.Limited {
		return ready
	}
	allowed := make([]roster.Server, 0, len(ready))
	for _, server := range ready {
		if x.reach.Allows(server.Zone) {
			allowed = append(allowed, server)
		}
	}
	return allowed
}

// isHomeless tells whether the route and the team of the request have no home in common.
func (x *exchange) isHomeless() bool { return x.reach.Limited && len(x.reach.ServerZones) == 0 }

// refuseHomeless refuses a request that isHomeless.
func (x *exchange) refuseHomeless() {
	x.countOutcome(outcomeRefused)
	x.gateway.refuse(x.request, x.caller, RefusedOverload, homelessRetryAfter, homelessReason)
}

const (
	homelessReason = "no zone is in a home of both the route and the team"
	// homelessRetryAfter is the retry delay where only a new route table helps.
	homelessRetryAfter = 5 * time.Second
)
