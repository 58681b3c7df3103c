// Package hub connects entry VMs with control VMs.
//
// Every control VM runs a Hub. It collects the announcements of backend servers,
// exchanges them with the other control VMs, and sends route tables and servers
// to the entry VMs attached to it. The hub on the leader of the control group
// places the requests of all entry VMs; the other hubs forward those of the entry
// VMs attached to them. Every entry VM runs a Link, which attaches to one control
// VM of its zone.
//
// Package schedule decides on placements, package registry holds the replicated
// route table, and package replica elects the leader.
package hub

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// inboxSize is the capacity of the hub's inbox.
	inboxSize = 4096
	// maxBatch is the maximum number of messages that are handled, after the one
	// that woke Run, before frames are sent.
	maxBatch = 256
	// tickInterval is the interval of the periodic work of a hub and a link.
	tickInterval = 50 * time.Millisecond
	// viewInterval is the interval between two views (hubpb.View) sent to an entry
	// VM. It is also the maximum time between two frames to an entry VM.
	viewInterval = 400 * time.Millisecond
	// refreshInterval is the interval at which entry VMs get all servers, so that
	// they see which ones still announce themselves without a change.
	refreshInterval = 2 * time.Second
	// reportInterval is the interval at which the leader logs the scheduler's load.
	reportInterval = time.Second
	// entryCountDelay is the time from the start of a control VM until it reports
	// the number of entry VMs. In this time the entry VMs attach to control VMs,
	// and the control VMs tell each other which ones are attached (every
	// broadcastInterval).
	entryCountDelay = 5 * time.Second
	// entryExpiry is how long the reported number includes an entry VM after it was
	// last seen.
	entryExpiry = 30 * time.Second
)

// ErrNoLeader is returned if no leader of the control group is known.
var ErrNoLeader = errors.New("no leader of the control group is known")

// Group is this VM's member of the control group.
type Group interface {
	replica.Proposer
	// MemberAddresses returns the internal addresses of all members.
	MemberAddresses() []string
}

// Options configure a Hub.
type Options struct {
	// Address is the internal address of this VM, Zone its availability zone.
	Address string
	Zone    string
	// Zones are the availability zones of the system, empty if the settings name none.
	Zones []string
	// Bootstrap is set if the whole system starts for the first time.
	Bootstrap bool
	Registry  *registry.Registry
	// Group returns the running member of the control group, nil while there is
	// none.
	Group func() Group
	Pool  *transport.Pool
	// Decode parses the document of a route table.
	Decode func(content []byte) (*routes.Table, error)
	// UnresponsiveAfter is the time without an announcement after which a server
	// gets no new requests.
	UnresponsiveAfter time.Duration
	// ExpireAfter is the time without an announcement after which a server is
	// removed.
	ExpireAfter time.Duration
	// WarmUpBounds bound the requests to servers in their warm-up.
	WarmUpBounds schedule.WarmUpBounds
	Logger       zerolog.Logger
	Metrics      *observe.Metrics
	// OnJoin is called on the leader for a control VM that wants to become a voter.
	OnJoin func(Joiner)
	// OnLeave is called on the leader for a voter that stops. It returns when the
	// voter is removed, or nil at once if too few would remain without it.
	OnLeave func(context.Context, Joiner) error
}

// Joiner is a control VM that wants to become a voter of the control group, or one
// that leaves it.
type Joiner struct {
	Member  uint64
	Name    string
	Address string
}

// Hub is the control VM's side of the package. Its methods are safe for
// concurrent use.
type Hub struct {
	hubpb.UnimplementedHubServer
	options Options
	inbox   chan message
	done    chan struct{}
	core    *core
}

// New returns a hub. It does nothing until Run is called.
func New(options Options) *Hub {
	h := &Hub{options: options, inbox: make(chan message, inboxSize), done: make(chan struct{})}
	h.core = newCore(&h.options)
	h.core.post = h.send
	return h
}

// Register registers the hub's service on a gRPC server.
func (h *Hub) Register(registrar *grpc.Server) { hubpb.RegisterHubServer(registrar, h) }

// Run handles messages and periodic work until ctx is done. It is the only
// goroutine that uses the hub's state.
func (h *Hub) Run(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	confirming, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		h.awaitFirstLeader(confirming)
		h.confirmTable(confirming)
	}()
	changed := h.options.Registry.Changed()
	h.core.applyTable(time.Now())
	h.core.applyDepartures(time.Now())
	for {
		select {
		case <-ctx.Done():
			h.core.close()
			return
		case m := <-h.inbox:
			m.handle(h.core, time.Now())
			h.handleBatch()
		case <-changed:
			changed = h.options.Registry.Changed()
			h.core.applyTable(time.Now())
			h.core.applyDepartures(time.Now())
		case <-ticker.C:
			h.core.tick(time.Now())
		case <-wake.C:
		}
		now := time.Now()
		if nextDecisionAt := h.core.decide(now); !nextDecisionAt.IsZero() {
			wake.Reset(nextDecisionAt.Sub(now))
		}
		h.core.flush(now)
	}
}

// handleBatch handles the messages that are already in the inbox, at most maxBatch.
func (h *Hub) handleBatch() {
	for range maxBatch {
		select {
		case m := <-h.inbox:
			m.handle(h.core, time.Now())
		default:
			return
		}
	}
}

// send queues a message for Run. It returns the error of ctx if that is done
// first, and context.Canceled if Run has ended.
func (h *Hub) send(ctx context.Context, m message) error {
	select {
	case h.inbox <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return context.Canceled
	}
}

// Announce handles an announcement that a backend server sent to this VM. It
// returns when the announcement is applied and queued for the entry VMs and the
// other control VMs, and, if the server drains, when that is on the disks of a majority of
// the control group. The error for an invalid announcement wraps roster.ErrInvalid.
func (h *Hub) Announce(ctx context.Context, server roster.Server) error {
	if err := server.Check(time.Now()); err != nil {
		return err
	}
	reply := make(chan struct{})
	if err := h.send(ctx, serversAnnounced{servers: []roster.Server{server}, local: true, reply: reply}); err != nil {
		return err
	}
	if err := await(ctx, reply); err != nil || server.State == roster.StateReady {
		return err
	}
	return h.recordDeparture(ctx, server)
}

// Deregister marks the incarnation of the backend server with id that was started at
// startedAt as gone, zero for the known one. It returns when the change is applied, queued for
// the entry VMs and the other control VMs, and on the disks of a majority of the control
// group. A server that is unknown or was started again is no error. The error for an invalid
// id or start wraps roster.ErrInvalid.
func (h *Hub) Deregister(ctx context.Context, id string, startedAt time.Time) error {
	gone := roster.Server{ID: id, StartedAt: startedAt, State: roster.StateGone}
	if err := gone.Check(time.Now()); err != nil {
		return err
	}
	reply := make(chan roster.Server, 1)
	if err := h.send(ctx, serverDeregistered{id: id, startedAt: startedAt, reply: reply}); err != nil {
		return err
	}
	select {
	case server := <-reply:
		if server.ID == "" {
			return nil
		}
		return h.recordDeparture(ctx, server)
	case <-ctx.Done():
		return ctx.Err()
	case <-h.done:
		return context.Canceled
	}
}

// await returns when reply is closed, or the error of ctx if that is done first.
func await(ctx context.Context, reply <-chan struct{}) error {
	select {
	case <-reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LeaderAddress returns the internal address of the leader, empty if it is unknown.
// This address is also the leader's name in the control group, see
// replica.Leadership.
func (h *Hub) LeaderAddress() string {
	group := h.options.Group()
	if group == nil {
		return ""
	}
	return group.Leadership().LeaderName
}

// PutTable stores a route table through the leader, which may be this VM. It
// returns when this table, or one with a higher version, is on the disks of a
// majority of the control group.
func (h *Hub) PutTable(ctx context.Context, version uint64, content []byte) error {
	compressed, err := bundle.Compress(content, nil)
	if err != nil {
		return err
	}
	request := &hubpb.PutRoutesRequest{Table: &hubpb.RouteTable{Version: version, Content: compressed}}
	group := h.options.Group()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	if group != nil && group.Leadership().IsLeader {
		_, err = h.PutRoutes(ctx, request)
		return err
	}
	client, err := h.leaderClient()
	if err != nil {
		return err
	}
	_, err = client.PutRoutes(ctx, request)
	return err
}

// GetTable returns the document of the newest route table, read through the
// leader.
func (h *Hub) GetTable(ctx context.Context) (content []byte, err error) {
	table, err := h.readTable(ctx)
	if err != nil {
		return nil, err
	}
	if table.GetVersion() == 0 {
		return nil, errNoTable
	}
	return bundle.Decompress(table.GetContent(), nil)
}

// readTable returns the newest route table, read through the leader. Its version is 0 if there
// is none yet.
func (h *Hub) readTable(ctx context.Context) (*hubpb.RouteTable, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if group := h.options.Group(); group != nil && group.Leadership().IsLeader {
		reply, err := h.GetRoutes(ctx, &hubpb.GetRoutesRequest{})
		return reply.GetTable(), err
	}
	client, err := h.leaderClient()
	if err != nil {
		return nil, err
	}
	reply, err := client.GetRoutes(ctx, &hubpb.GetRoutesRequest{})
	return reply.GetTable(), err
}

var errNoTable = errors.New("no route table was accepted yet")

// leaderClient returns a client of the leader, for a VM whose Leadership reports
// that it does not lead. It returns ErrNoLeader if the leader is unknown, or if it
// is this VM, as after its leader lease has expired or while it stops.
func (h *Hub) leaderClient() (hubpb.HubClient, error) {
	address := h.LeaderAddress()
	if address == "" || address == h.options.Address {
		return nil, ErrNoLeader
	}
	conn, err := h.options.Pool.Conn(address)
	if err != nil {
		return nil, err
	}
	return hubpb.NewHubClient(conn), nil
}

// RequestJoin asks the leader, through the first control VM at addresses that knows it, to make joiner a voter.
func (h *Hub) RequestJoin(ctx context.Context, addresses []string, joiner Joiner) error {
	outcome := askInTurn(ctx, addresses, 0, func(ctx context.Context, address string) (string, error) {
		return askForLeader(ctx, h.options.Pool, address)
	})
	if !outcome.leaderKnown {
		return fmt.Errorf("%w: %d control VMs asked, %d of them did not answer", ErrNoLeader, len(addresses), len(outcome.failed))
	}
	conn, err := h.options.Pool.Conn(outcome.found)
	if err == nil {
		_, err = hubpb.NewHubClient(conn).Join(ctx, &hubpb.JoinRequest{Member: joiner.Member, Name: joiner.Name, Address: joiner.Address})
	}
	if err != nil {
		return fmt.Errorf("request to join the control group via %s: %w", outcome.found, err)
	}
	return nil
}

// RequestLeave asks the leader to remove this VM's member, which stops, from the
// voters. It returns when the member is removed or has to stay.
func (h *Hub) RequestLeave(ctx context.Context, leaver Joiner) error {
	client, err := h.leaderClient()
	if err != nil {
		return err
	}
	_, err = client.Leave(ctx, &hubpb.LeaveRequest{Member: leaver.Member, Name: leaver.Name, Address: leaver.Address})
	return err
}
