// Package hub connects entry VMs with control VMs. Every control VM runs a Hub:
// it keeps what backend servers announce, brings route tables and servers to
// the entry VMs attached to it, and, on the leader of the control group,
// places their requests. Entry VMs run a Link.
package hub

import (
	"context"
	"errors"
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
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// inboxMessages bounds the messages that wait for the hub's goroutine.
	inboxMessages = 4096
	// maxBatch bounds the messages that share one round of frames.
	maxBatch = 256
	// tickInterval is how often the hub looks at the time while nothing waits.
	tickInterval = 50 * time.Millisecond
	// viewInterval is the time between two views of the system that an entry VM
	// gets, and so the longest time between two frames.
	viewInterval = 400 * time.Millisecond
	// refreshInterval is how often entry VMs hear which servers still announce
	// themselves without a change.
	refreshInterval = 2 * time.Second
	// reportInterval is how often the leader logs the scheduler's load.
	reportInterval = time.Second
	// countAfter is how long after its start a control VM does not count entry
	// VMs: they attach to some control VM within a few attempts, and control VMs
	// tell each other every second.
	countAfter = 5 * time.Second
	// entryForget is how long an entry VM counts after it was last heard of.
	entryForget = 30 * time.Second
)

// ErrNoLeader tells that no leader of the control group is known.
var ErrNoLeader = errors.New("no leader of the control group is known")

// Group is this VM's membership of the control group.
type Group interface {
	replica.Proposer
	// MemberAddresses lists the internal addresses of the members.
	MemberAddresses() []string
}

// Options are what a Hub works with.
type Options struct {
	// Address is the internal address of this VM.
	Address  string
	Registry *registry.Registry
	// Group returns the running member, nil while there is none.
	Group func() Group
	Pool  *transport.Pool
	// Decode reads a route table from its document.
	Decode func(content []byte) (*routes.Table, error)
	// UnresponsiveAfter is the silence after which a server gets no new work,
	// ExpireAfter that after which it is forgotten.
	UnresponsiveAfter time.Duration
	ExpireAfter       time.Duration
	Logger            zerolog.Logger
	Metrics           *observe.Metrics
	// OnJoin takes a control VM that wants to vote, on the leader.
	OnJoin func(Joiner)
}

// Joiner is a control VM that wants to vote.
type Joiner struct {
	Member  uint64
	Name    string
	Address string
}

// Hub is the control VM's side. Its methods are safe for concurrent use.
type Hub struct {
	hubpb.UnimplementedHubServer
	options Options
	inbox   chan message
	done    chan struct{}
	core    *core
}

// New returns a hub; Run makes it work.
func New(options Options) *Hub {
	h := &Hub{options: options, inbox: make(chan message, inboxMessages), done: make(chan struct{})}
	h.core = newCore(&h.options)
	return h
}

// Register serves the hub on a gRPC server.
func (h *Hub) Register(registrar *grpc.Server) { hubpb.RegisterHubServer(registrar, h) }

// Run owns the hub's state until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	changed := h.options.Registry.Changed()
	h.core.takeTable(time.Now())
	for {
		select {
		case <-ctx.Done():
			h.core.close()
			return
		case m := <-h.inbox:
			m.handle(h.core, time.Now())
			h.takeMore()
		case <-changed:
			changed = h.options.Registry.Changed()
			h.core.takeTable(time.Now())
		case <-ticker.C:
			h.core.tick(time.Now())
		case <-wake.C:
		}
		now := time.Now()
		if at := h.core.decide(now); !at.IsZero() {
			wake.Reset(at.Sub(now))
		}
		h.core.flush(now)
	}
}

func (h *Hub) takeMore() {
	for range maxBatch {
		select {
		case m := <-h.inbox:
			m.handle(h.core, time.Now())
		default:
			return
		}
	}
}

// send hands a message to the hub's goroutine.
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

// Announce takes an announcement that a backend server sent to this VM. It
// returns once entry VMs and control VMs are being told.
func (h *Hub) Announce(ctx context.Context, server roster.Server) error {
	reply := make(chan struct{})
	if err := h.send(ctx, serversAnnounced{servers: []roster.Server{server}, local: true, reply: reply}); err != nil {
		return err
	}
	return await(ctx, reply)
}

// Deregister takes the farewell of the backend server with id.
func (h *Hub) Deregister(ctx context.Context, id string) error {
	reply := make(chan struct{})
	if err := h.send(ctx, serverDeregistered{id: id, reply: reply}); err != nil {
		return err
	}
	return await(ctx, reply)
}

func await(ctx context.Context, reply <-chan struct{}) error {
	select {
	case <-reply:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// LeaderAddress returns the internal address of the leader, empty when unknown.
func (h *Hub) LeaderAddress() string {
	group := h.options.Group()
	if group == nil {
		return ""
	}
	return group.Leadership().LeaderName
}

// PutTable offers a route table, on whichever VM leads. It returns once the table,
// or one with a higher version, is on a majority's disks.
func (h *Hub) PutTable(ctx context.Context, version uint64, content []byte) error {
	compressed, err := bundle.Compress(content, nil)
	if err != nil {
		return err
	}
	request := &hubpb.PutRoutesRequest{Table: &hubpb.RouteTable{Version: version, Content: compressed}}
	group := h.options.Group()
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

// GetTable returns the document of the newest route table, from whichever VM leads.
func (h *Hub) GetTable(ctx context.Context) (content []byte, err error) {
	group := h.options.Group()
	var reply *hubpb.GetRoutesReply
	if group != nil && group.Leadership().IsLeader {
		reply, err = h.GetRoutes(ctx, &hubpb.GetRoutesRequest{})
	} else {
		client, leaderErr := h.leaderClient()
		if leaderErr != nil {
			return nil, leaderErr
		}
		reply, err = client.GetRoutes(ctx, &hubpb.GetRoutesRequest{})
	}
	if err != nil {
		return nil, err
	}
	if reply.GetTable().GetVersion() == 0 {
		return nil, errNoTable
	}
	return bundle.Decompress(reply.GetTable().GetContent(), nil)
}

var errNoTable = errors.New("no route table was accepted yet")

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

// RequestJoin asks the leader, through the VM at via, to let this VM vote.
func (h *Hub) RequestJoin(ctx context.Context, via string, joiner Joiner) error {
	conn, err := h.options.Pool.Conn(via)
	if err != nil {
		return err
	}
	_, err = hubpb.NewHubClient(conn).Join(ctx, &hubpb.JoinRequest{Member: joiner.Member, Name: joiner.Name, Address: joiner.Address})
	return err
}
