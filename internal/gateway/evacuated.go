package gateway

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Evacuations tells which availability zones are evacuated. It is safe for concurrent use.
type Evacuations interface {
	// IsEvacuated tells whether servers of a zone get no new requests.
	IsEvacuated(zone string) bool
	// EvacuatedZones returns the number of evacuated zones.
	EvacuatedZones() int
	// ConfirmEvacuations waits for a short time if the state may be outdated because this VM was suspended.
	ConfirmEvacuations(ctx context.Context)
}

// noEvacuations is used where zones are not evacuated.
type noEvacuations struct{}

func (noEvacuations) IsEvacuated(string) bool            { return false }
func (noEvacuations) EvacuatedZones() int                { return 0 }
func (noEvacuations) ConfirmEvacuations(context.Context) {}

// turnDownEvacuated tells whether the placement of an attempt that is about to be sent has a server in an evacuated zone. The
// attempt then counts neither as an attempt nor as a retry.
func (x *exchange) turnDownEvacuated(ctx context.Context, placement schedule.Placement) bool {
	x.gateway.options.Evacuations.ConfirmEvacuations(ctx)
	if x.gateway.options.Evacuations.EvacuatedZones() == 0 {
		return false
	}
	ids := []string{placement.Server}
	for _, helper := range placement.Helpers {
		ids = append(ids, helper.Server)
	}
	for _, id := range ids {
		if server, known := x.gateway.options.Servers.Find(id); known && x.isEvacuated(server) {
			x.attempts--
			return true
		}
	}
	return false
}

// isEvacuated tells whether a server of a placement is in an evacuated zone, and logs and counts the placement that is turned
// down then. Further placement requests exclude the servers of evacuated zones.
func (x *exchange) isEvacuated(server roster.Server) bool {
	if !x.gateway.options.Evacuations.IsEvacuated(server.Zone) {
		return false
	}
	x.turnedDown++
	x.excludesEvacuated = true
	observe.Log(x.gateway.options.Logger, observe.PlacementTurnedDown).Str("request", x.request.ID).Str("server", server.ID).
		Str("reason", "evacuated").Str("zone", server.Zone).Send()
	return true
}

// evacuatedServers returns the ids of the ready servers within the homes in evacuated zones, at most maxExcludedServers, and whether there are
// no others.
func (x *exchange) evacuatedServers() (ids []string, all bool) {
	if x.gateway.options.Evacuations.EvacuatedZones() == 0 || x.gateway.options.ReadyServers == nil {
		return nil, false
	}
	ready := x.readyServers()
	evacuated := 0
	for _, server := range ready {
		if !x.gateway.options.Evacuations.IsEvacuated(server.Zone) {
			continue
		}
		evacuated++
		if len(ids) < maxExcludedServers {
			ids = append(ids, server.ID)
		}
	}
	return ids, evacuated > 0 && evacuated == len(ready)
}

// refuseEvacuated ends a request while all servers of its service are in evacuated zones: it is not known when one is
// restored, so that it must not wait. A stream that has begun is placed again; refuseEvacuated then returns false.
func (x *exchange) refuseEvacuated(ctx context.Context, requestedAt time.Time) (ended bool) {
	if x.waitToAskAgain(ctx, overloadRetryAfter) {
		return false
	}
	x.timing.placementWait += time.Since(requestedAt)
	x.failUnplaced(ctx, x.evacuatedReason(), overloadRetryAfter)
	return true
}

func (x *exchange) evacuatedReason() string {
	return fmt.Sprintf("all servers of %s are in evacuated zones", x.service)
}
