package site

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/members"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/routes"
	productsettings "godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/tcp"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// clusterName is told between VMs; a platform runs one system.
	clusterName = "site"
	// controlHeartbeat and electionTimeout are the times of the control group.
	controlHeartbeat = 100 * time.Millisecond
	electionTimeout  = 600 * time.Millisecond
	maxDriftPercent  = 5
	// snapshotEntries keeps the log small beside a disk of a hundred megabytes.
	snapshotEntries = 64
	// joinInterval is how often a control VM asks to vote until it does.
	joinInterval = 400 * time.Millisecond
	joinTimeout  = 800 * time.Millisecond
	// MaxTableBytes bounds a route table as an operator sends it: 20,000 routes of
	// 400 bytes.
	MaxTableBytes = 8 << 20
	// MaxAnnouncementBytes bounds what a backend server says of itself.
	MaxAnnouncementBytes = 64 << 10
	// replicaRetry is the pause before a member that ended is started again.
	replicaRetry = 500 * time.Millisecond
)

// Codec reads the platform's documents.
type Codec interface {
	// DecodeRoutes reads and checks a route table.
	DecodeRoutes(content []byte) (*routes.Table, error)
}

// ControlHandlerFactory returns the handler of the control listener.
type ControlHandlerFactory func(*hub.Hub) http.Handler

// Control is the process of a control VM.
type Control struct {
	settings *Settings
	logger   zerolog.Logger
	registry *registry.Registry
	hub      *hub.Hub
	keeper   *members.Reconciler
	metrics  *observe.Metrics
	pool     *transport.Pool
	server   *grpc.Server
	replica  atomic.Pointer[replica.Replica]
	// services are the gRPC services of the running member.
	services *switchingServer
	running  sync.WaitGroup
}

// RunControl runs a control VM until ctx ends.
func RunControl(ctx context.Context, settings *Settings, codec Codec, handler ControlHandlerFactory, logger zerolog.Logger) error {
	identity := transport.Identity{Cluster: clusterName, VM: settings.InternalAddress()}
	c := &Control{
		settings: settings, logger: logger, registry: registry.New(), metrics: observe.NewMetrics(),
		pool:   transport.NewPool(transport.PoolOptions{Identity: identity, Source: settings.Bind}),
		server: transport.NewServer(transport.ServerOptions{Identity: identity, Log: logger}),
	}
	c.keeper = members.NewReconciler(c.replica.Load, logger)
	c.hub = hub.New(hub.Options{
		Address: settings.InternalAddress(), Registry: c.registry, Group: c.group, Pool: c.pool, Decode: codec.DecodeRoutes,
		UnresponsiveAfter: settings.silentAfter(), ExpireAfter: settings.forgetAfter(), Logger: logger, Metrics: c.metrics,
		OnJoin: func(j hub.Joiner) { c.keeper.RecordJoinRequest(joinerOf(j)) },
	})
	c.hub.Register(c.server)
	c.services = &switchingServer{}
	c.services.register(c.server)
	return c.run(ctx, handler(c.hub))
}

func (c *Control) run(ctx context.Context, handler http.Handler) error {
	internal, err := tcp.Listen(ctx, c.settings.internalListener())
	if err != nil {
		return err
	}
	external, err := tcp.Listen(ctx, c.settings.Control)
	if err != nil {
		_ = internal.Close()
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	c.running.Go(func() { c.keepReplica(background) })
	c.running.Go(func() { c.hub.Run(background) })
	c.running.Go(func() { c.keeper.Run(background) })
	c.running.Go(func() { c.join(background) })
	c.running.Go(func() { serveMetrics(background, c.settings.MetricsAddress(), c.metrics, c.logger) })
	c.running.Go(func() { _ = c.server.Serve(internal) }) // ends with the server
	c.running.Go(func() { _ = server.Serve(external) })   // ends with the server
	observe.Log(c.logger, observe.ProcessStarted).Str("control", c.settings.Control).Str("internal", c.settings.InternalAddress()).
		Bool("bootstrap", c.settings.Bootstrap).Strs("seeds", c.settings.Seeds).Send()
	<-ctx.Done()
	observe.Log(c.logger, observe.ProcessStopping).Send()
	c.stop(server, cancel)
	observe.Log(c.logger, observe.ProcessStopped).Send()
	return nil
}

// stop hands leadership over before anything else ends.
func (c *Control) stop(server *http.Server, cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), c.settings.StopLimit/2)
	defer done()
	if member := c.replica.Load(); member != nil && member.Leadership().IsLeader {
		if err := member.TransferLeadership(ctx); err != nil {
			observe.Log(c.logger, observe.ControlStopIncomplete).Err(err).Send()
		}
	}
	_ = server.Shutdown(ctx) // what remains is cut at the end of the process
	cancel()
	c.server.Stop()
	c.running.Wait()
	c.pool.Close()
}

// group returns the running member, nil while there is none.
func (c *Control) group() hub.Group {
	if member := c.replica.Load(); member != nil {
		return memberGroup{member}
	}
	return nil
}

type memberGroup struct{ *replica.Replica }

// MemberAddresses implements hub.Group.
func (g memberGroup) MemberAddresses() []string {
	known := g.Members()
	addresses := make([]string, 0, len(known))
	for _, member := range known {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// keepReplica runs the member of the control group, and starts it again when
// its disk refused a write: what it held in memory beyond the disk is dropped.
func (c *Control) keepReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.runReplica(ctx)
		if ctx.Err() != nil {
			return
		}
		observe.Log(c.logger, observe.ReplicaRestarting).Err(err).Send()
		select {
		case <-time.After(replicaRetry):
		case <-ctx.Done():
		}
	}
}

func (c *Control) runReplica(ctx context.Context) error {
	options, err := c.replicaSettings()
	if err != nil {
		return err
	}
	member, err := replica.Start(replica.Options{Settings: options, StateMachine: c.registry, Pool: c.pool, Logger: c.logger})
	if err != nil {
		return err
	}
	c.services.set(member)
	c.replica.Store(member)
	defer c.replica.Store(nil)
	select {
	case <-member.Done():
		return member.Err()
	case <-ctx.Done():
		member.Abort()
		return nil
	}
}

// replicaSettings names control VMs by their internal addresses, since a
// process knows nothing else of the others.
func (c *Control) replicaSettings() (*productsettings.Settings, error) {
	seeds, err := c.settings.SeedAddresses()
	if err != nil {
		return nil, err
	}
	options := productsettings.Defaults()
	options.Cluster = clusterName
	options.VM = productsettings.VM{Name: c.settings.InternalAddress(), Zone: c.settings.Zone}
	options.Listen.Internal = c.settings.InternalAddress()
	options.DataDir = c.settings.DataDir
	options.Control = productsettings.Control{
		Bootstrap: c.settings.Bootstrap, Heartbeat: jsonc.Duration(controlHeartbeat),
		ElectionTimeout: jsonc.Duration(electionTimeout), MaxClockDriftPercent: maxDriftPercent, SnapshotEntries: snapshotEntries,
	}
	for _, seed := range seeds {
		options.ControlVMs = append(options.ControlVMs, productsettings.Peer{Name: seed, Internal: seed})
	}
	return &options, nil
}

// join asks to vote until this VM does.
func (c *Control) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		member := c.replica.Load()
		if member == nil || c.settled(member) {
			continue
		}
		if err := c.askToJoin(ctx, member, turn); err != nil && turn%25 == 0 {
			observe.Log(c.logger, observe.JoinWaiting).Err(err).Send()
		}
	}
}

// settled tells whether this VM votes and follows a leader, or still forms the
// first group.
func (c *Control) settled(member *replica.Replica) bool {
	status := member.Status()
	if status.Group == 0 {
		return false
	}
	return status.Membership.IsVoter(status.ID) && status.Leader != 0
}

var errNobodyKnown = errors.New("no other control VM is known")

func (c *Control) askToJoin(ctx context.Context, member *replica.Replica, turn int) error {
	known, err := c.settings.SeedAddresses()
	if err != nil {
		return err
	}
	known = append(known, memberGroup{member}.MemberAddresses()...)
	var others []string
	for _, address := range known {
		if address != c.settings.InternalAddress() {
			others = append(others, address)
		}
	}
	if len(others) == 0 {
		return errNobodyKnown
	}
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	via := others[turn%len(others)]
	joiner := hub.Joiner{Member: uint64(member.Status().ID), Name: c.settings.InternalAddress(), Address: c.settings.InternalAddress()}
	if err := c.hub.RequestJoin(ctx, via, joiner); err != nil {
		return fmt.Errorf("ask %s to join: %w", via, err)
	}
	return nil
}

func joinerOf(j hub.Joiner) members.Joiner {
	return members.Joiner{ID: consensus.MemberID(j.Member), Name: j.Name, Address: j.Address, RequestedAt: time.Now()}
}
