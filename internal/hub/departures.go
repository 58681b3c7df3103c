package hub

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/roster"
)

// departureTimeout limits the wait until a majority has a departure on disk. A backend server
// waits a second for the acknowledgement.
const departureTimeout = 800 * time.Millisecond

// recordDeparture stores through the leader, which may be this VM, that a server drains or has
// left. It returns when a majority of the control group has that on disk: otherwise a delayed
// announcement would bring the server back after a restart of all control VMs.
func (h *Hub) recordDeparture(ctx context.Context, server roster.Server) error {
	if h.options.Registry.HasDeparture(departureOf(server)) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	request := &hubpb.RecordDepartureRequest{Server: serverToProto(server, time.Now())}
	if group := h.options.Group(); group != nil && group.Leadership().IsLeader {
		_, err := h.RecordDeparture(ctx, request)
		return err
	}
	client, err := h.leaderClient()
	if err != nil {
		return err
	}
	_, err = client.RecordDeparture(ctx, request)
	if status.Code(err) == codes.Unimplemented {
		return nil // a leader of an earlier version keeps departures in memory only
	}
	return err
}

// RecordDeparture implements the gRPC service. It succeeds on the leader only.
func (h *Hub) RecordDeparture(ctx context.Context, request *hubpb.RecordDepartureRequest) (*hubpb.RecordDepartureReply, error) {
	group := h.options.Group()
	if group == nil {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	now := time.Now()
	servers := serversFromProto([]*hubpb.Announcement{request.GetServer()}, now)
	if len(servers) == 0 || servers[0].State == roster.StateReady {
		return nil, status.Error(codes.InvalidArgument, "not an announcement of a server that drains or has left")
	}
	departures := &registrypb.RecordDepartures{Departures: []*registrypb.Departure{departureOf(servers[0])}, UnixMs: now.UnixMilli()}
	command, err := registry.Encode(&registrypb.Command{Kind: &registrypb.Command_RecordDepartures{RecordDepartures: departures}})
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	if _, err := group.Propose(ctx, command); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &hubpb.RecordDepartureReply{}, nil
}

func departureOf(server roster.Server) *registrypb.Departure {
	departure := &registrypb.Departure{
		Id: server.ID, Gone: server.State == roster.StateGone, Service: server.Service, Address: server.Address, Zone: server.Zone,
		Slots: uint32(server.Slots), Sequence: server.Sequence,
	}
	if !server.StartedAt.IsZero() {
		departure.BornMs = server.StartedAt.UnixMilli()
	}
	return departure
}

// serverFromDeparture returns a server that was last seen when its departure was stored.
func serverFromDeparture(departure *registrypb.Departure) roster.Server {
	server := roster.Server{
		ID: departure.GetId(), Service: departure.GetService(), Address: departure.GetAddress(), Zone: departure.GetZone(),
		Slots: int(departure.GetSlots()), State: roster.StateDraining, Sequence: departure.GetSequence(), LastSeen: time.UnixMilli(departure.GetUnixMs()),
	}
	if departure.GetGone() {
		server.State = roster.StateGone
	}
	if departure.GetBornMs() != 0 {
		server.StartedAt = time.UnixMilli(departure.GetBornMs())
	}
	return server
}
