package hub

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/roster"
)

// evacuationTimeout limits the wait until a majority has an order to evacuate a zone on disk. An
// operator waits a second for the acknowledgement.
const evacuationTimeout = 900 * time.Millisecond

var (
	// ErrUnknownZone means that an order names an availability zone that does not exist.
	ErrUnknownZone = errors.New("no such availability zone")
	// errZoneNotKnownYet means that servers of a zone may still announce themselves.
	errZoneNotKnownYet = errors.New("the zone is not known here, and this control VM has just started")
	// errEvacuationRefused means that the registry holds too many evacuated zones.
	errEvacuationRefused = errors.New("too many zones are evacuated")
	// errEvacuationOutdated means that an order would change evacuations that this control VM did not know when it arrived.
	errEvacuationOutdated = errors.New("the evacuations have changed since the order arrived, or this control VM did not know the last change; send the order again")
)

// tableRevision returns the number by which VMs compare route tables and name them to each other: version and evacuations
// both grow along the replicated log, so that the sum does. Without evacuations it is the version.
func tableRevision(table *hubpb.RouteTable) uint64 {
	return table.GetVersion() + table.GetEvacuationsRevision()
}

// withTable adds the version of a route table to a log line, and its revision where that differs.
func withTable(line *zerolog.Event, table *hubpb.RouteTable) *zerolog.Event {
	line = line.Uint64("version", table.GetVersion())
	if table.GetEvacuationsRevision() > 0 {
		line = line.Uint64("revision", tableRevision(table))
	}
	return line
}

// storedTable returns the newest route table of the registry.
func storedTable(state *registry.Registry) *hubpb.RouteTable {
	table, evacuations := state.RoutesAndEvacuations()
	message := &hubpb.RouteTable{Version: table.Version, Content: table.Compressed, EvacuationsRevision: evacuations.Revision}
	for _, e := range evacuations.Zones {
		message.Evacuated = append(message.Evacuated, &hubpb.Evacuation{Zone: e.Zone, SinceMs: e.Since.UnixMilli()})
	}
	return message
}

// evacuations are the evacuated zones that a VM obeys, with the time of the order. zones is never changed.
type evacuations struct {
	revision uint64
	zones    map[string]time.Time
}

// evacuationsOf returns the evacuations that come with a route table.
func evacuationsOf(table *hubpb.RouteTable) evacuations {
	e := evacuations{revision: table.GetEvacuationsRevision(), zones: make(map[string]time.Time, len(table.GetEvacuated()))}
	for _, evacuation := range table.GetEvacuated() {
		e.zones[evacuation.GetZone()] = time.UnixMilli(evacuation.GetSinceMs())
	}
	return e
}

// names returns the zones in order.
func (e evacuations) names() []string { return slices.Sorted(maps.Keys(e.zones)) }

// has tells whether a zone is evacuated.
func (e evacuations) has(zone string) bool {
	_, evacuated := e.zones[zone]
	return evacuated
}

// differsIn tells whether a zone is evacuated in one of the states only, or by different orders.
func (e evacuations) differsIn(zone string, other evacuations) bool {
	return e.has(zone) != other.has(zone) || !e.zones[zone].Equal(other.zones[zone])
}

// applyEvacuations uses the evacuations of the newest route table, which came from the given source, for the decisions of
// this VM.
func (c *core) applyEvacuations(source string, now time.Time) {
	previous := c.evacuations
	c.evacuations = evacuationsOf(c.newest)
	if c.evacuations.revision == previous.revision {
		return
	}
	c.roster.Each(func(server roster.Server) {
		if c.evacuations.differsIn(server.Zone, previous) {
			c.setServer(server, now)
		}
	})
	c.options.Metrics.Gauge("godwityoke_evacuated_zones").Update(int64(len(c.evacuations.zones)))
	observe.Log(c.options.Logger, observe.EvacuationsApplied).Uint64("revision", c.evacuations.revision).Strs("zones", c.evacuations.names()).
		Strs("previous", previous.names()).Str("source", source).Uint64("term", c.term).Bool("confirmed", c.tableConfirmed).Send()
}

// OrderEvacuation stores through the leader, which may be this VM, whether an availability zone is evacuated, by the order of
// an operator at the address by. It returns when a majority of the control group has that on disk. The error for a zone that
// doesn't exist wraps ErrUnknownZone; after any other error the order may be in force or not.
//
// The order is bound to the evacuations that this VM knows when it arrives: if the link to the leader delays it until after
// another change, it is refused, because that change may be a later order that has been acknowledged.
func (h *Hub) OrderEvacuation(ctx context.Context, zone string, evacuated bool, by string) error {
	knownRevision := h.options.Registry.Evacuations().Revision
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	known, certain, err := h.knownZones(ctx)
	switch {
	case err != nil:
		return err
	case !slices.Contains(known, zone) && certain:
		return fmt.Errorf("%w: %q; the zones are %q", ErrUnknownZone, zone, known)
	case !slices.Contains(known, zone):
		return errZoneNotKnownYet
	}
	reply, err := h.forwardEvacuation(ctx, &hubpb.SetEvacuationRequest{Zone: zone, Evacuated: evacuated, KnownRevision: &knownRevision})
	observe.Log(h.options.Logger, observe.EvacuationOrdered).Str("zone", zone).Bool("evacuated", evacuated).Str("by", by).
		Str("leader", h.LeaderAddress()).Uint64("known_revision", knownRevision).Uint64("revision", reply.GetRevision()).Err(err).Send()
	return err
}

// forwardEvacuation passes an order to the leader, which may be this VM.
func (h *Hub) forwardEvacuation(ctx context.Context, request *hubpb.SetEvacuationRequest) (*hubpb.SetEvacuationReply, error) {
	if group := h.options.Group(); group != nil && group.Leadership().IsLeader {
		return h.SetEvacuation(ctx, request)
	}
	client, err := h.leaderClient()
	if err != nil {
		return nil, err
	}
	return client.SetEvacuation(ctx, request)
}

// SetEvacuation implements the gRPC service. It succeeds on the leader only. An order for the state that holds is written to the
// log, too: an earlier order that was not acknowledged may still be on its way there, and must not take effect after this one.
func (h *Hub) SetEvacuation(ctx context.Context, request *hubpb.SetEvacuationRequest) (*hubpb.SetEvacuationReply, error) {
	group := h.options.Group()
	if group == nil {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	if err := ctx.Err(); err != nil {
		return nil, status.FromContextError(err).Err() // the operator sends the order again, or has given it up
	}
	order := &registrypb.SetEvacuation{
		Zone: request.GetZone(), Evacuated: request.GetEvacuated(), UnixMs: time.Now().UnixMilli(), KnownRevision: request.KnownRevision,
	}
	command, err := registry.Encode(&registrypb.Command{Kind: &registrypb.Command_SetEvacuation{SetEvacuation: order}})
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	encoded, err := group.Propose(ctx, command)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	result, err := registry.DecodeResult(encoded)
	switch {
	case err != nil:
		return nil, status.Error(codes.Internal, err.Error())
	case result.Code == registry.CodeOutdated:
		return nil, status.Error(codes.Aborted, errEvacuationOutdated.Error())
	case result.Code != registry.CodeAccepted:
		return nil, status.Error(codes.ResourceExhausted, errEvacuationRefused.Error())
	}
	observe.Log(h.options.Logger, observe.EvacuationStored).Str("zone", request.GetZone()).Bool("evacuated", request.GetEvacuated()).
		Str("from", h.senderOf(ctx)).Uint64("revision", result.Version).Uint64("term", group.Leadership().Term).Send()
	return &hubpb.SetEvacuationReply{Revision: result.Version}, nil
}

// senderOf returns the address from which the request in ctx came, that of this VM if it is its own.
func (h *Hub) senderOf(ctx context.Context) string {
	if sender, known := peer.FromContext(ctx); known {
		return sender.Addr.String()
	}
	return h.options.Address
}

// ZoneState tells whether an availability zone is evacuated, and since when.
type ZoneState struct {
	Zone      string
	Evacuated bool
	// Since is the time of the order, zero if the zone is not evacuated.
	Since time.Time
}

// Zones returns the state of all availability zones, read through the leader, ordered by name.
func (h *Hub) Zones(ctx context.Context) ([]ZoneState, error) {
	ctx, cancel := context.WithTimeout(ctx, evacuationTimeout)
	defer cancel()
	table, err := h.readTable(ctx)
	if err != nil {
		return nil, err
	}
	known, _, err := h.knownZones(ctx)
	if err != nil {
		return nil, err
	}
	states := map[string]ZoneState{}
	for _, zone := range known {
		states[zone] = ZoneState{Zone: zone}
	}
	for _, e := range table.GetEvacuated() {
		states[e.GetZone()] = ZoneState{Zone: e.GetZone(), Evacuated: true, Since: time.UnixMilli(e.GetSinceMs())}
	}
	zones := make([]ZoneState, 0, len(states))
	for _, name := range slices.Sorted(maps.Keys(states)) {
		zones = append(zones, states[name])
	}
	return zones, nil
}

// knownZones returns the availability zones of the system in order: those of the settings, or, where these name none, that
// of this VM and those of the known servers, which are not certain to be all before servers have had time to announce
// themselves. Evacuated zones are among them, also when their servers have gone.
func (h *Hub) knownZones(ctx context.Context) (zones []string, certain bool, err error) {
	for _, e := range h.options.Registry.Evacuations().Zones {
		zones = append(zones, e.Zone)
	}
	certain = true
	if len(h.options.Zones) > 0 {
		zones = append(zones, h.options.Zones...)
	} else {
		m := serverZonesRequested{reply: make(chan serverZones, 1)}
		if err := h.send(ctx, m); err != nil {
			return nil, false, err
		}
		select {
		case found := <-m.reply:
			zones, certain = append(append(zones, found.zones...), h.options.Zone), found.certain
		case <-ctx.Done():
			return nil, false, ctx.Err()
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones), certain, nil
}

// serverZones are the zones of the servers that a control VM knows. certain is set once servers have had time to announce
// themselves since the start of the VM.
type serverZones struct {
	zones   []string
	certain bool
}

// serverZonesRequested asks for the zones of the known servers. The reply has a capacity of one.
type serverZonesRequested struct{ reply chan serverZones }

func (m serverZonesRequested) handle(c *core, now time.Time) {
	found := serverZones{certain: now.Sub(c.startedAt) >= entryCountDelay}
	c.roster.Each(func(server roster.Server) {
		if server.Zone != "" {
			found.zones = append(found.zones, server.Zone)
		}
	})
	slices.Sort(found.zones)
	found.zones = slices.Compact(found.zones)
	m.reply <- found
}
