package site

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/gateway"
	"godwityoke.example/godwityoke/internal/hub"
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/members"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/routes"
	productsettings "godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage"
	"godwityoke.example/godwityoke/internal/tcp"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// clusterName identifies the cluster in connections between VMs. It is constant,
	// since a platform runs only one.
	clusterName = "site"
	// controlHeartbeat, electionTimeout and maxClockDriftPercent configure the
	// consensus of the control group.
	controlHeartbeat     = 100 * time.Millisecond
	electionTimeout      = 600 * time.Millisecond
	maxClockDriftPercent = 5
	// snapshotEntries is the log length that triggers a snapshot: low enough that the
	// log stays small on a disk of 100 MB.
	snapshotEntries = 64
	// joinInterval is how often a control VM requests to become a voter until it is a
	// voter that knows the leader.
	joinInterval = 400 * time.Millisecond
	// joinTimeout bounds one request to become a voter.
	joinTimeout = 800 * time.Millisecond
	// leaveTimeout bounds the time that a planned stop waits for the removal of this VM
	// from the voters. It covers an election after the transfer of leadership.
	leaveTimeout = 1200 * time.Millisecond
	// staleMembershipTimeout is how long a stopping VM that takes the group for too small without
	// it looks for the leader, which may know of a voter that was promoted just now: a follower
	// learns of it within a heartbeat interval.
	staleMembershipTimeout = 2 * controlHeartbeat
	// leaveRetryDelay is the delay between two requests to leave.
	leaveRetryDelay = 50 * time.Millisecond
	// MaxTableBytes bounds the encoded route table of an operator's request: 20,000
	// routes of 400 bytes.
	MaxTableBytes = 8 << 20
	// MaxAnnouncementBytes bounds one encoded announcement of a backend server.
	MaxAnnouncementBytes = 64 << 10
	// replicaRestartDelay is the delay before a replica that ended by itself is restarted.
	replicaRestartDelay = 500 * time.Millisecond
)

// Codec decodes the platform's documents.
type Codec interface {
	// DecodeRoutes decodes and validates a route table.
	DecodeRoutes(content []byte) (*routes.Table, error)
}

// ControlHandlerFactory returns the handler of the control listener, which serves
// backend servers and operators.
type ControlHandlerFactory func(*hub.Hub) http.Handler

// Control is the process of a control VM.
type Control struct {
	settings   *Settings
	logger     zerolog.Logger
	registry   *registry.Registry
	hub        *hub.Hub
	reconciler *members.Reconciler
	metrics    *observe.Metrics
	pool       *transport.Pool
	server     *grpc.Server
	// folder replaces the data folder in tests; nil otherwise.
	folder storage.FS
	// replica is the running member of the control group; nil while there is none.
	replica atomic.Pointer[replica.Replica]
	// forwarder is the gRPC Replica service of the running member.
	forwarder *replicaForwarder
	running   sync.WaitGroup
}

// RunControl runs a control VM until ctx ends, and then stops it. It returns an error
// if a listener can't be opened.
func RunControl(ctx context.Context, settings *Settings, codec Codec, newHandler ControlHandlerFactory, logger zerolog.Logger) error {
	c := newControl(settings, codec, logger)
	return c.run(ctx, newHandler(c.hub))
}

func newControl(settings *Settings, codec Codec, logger zerolog.Logger) *Control {
	identity := transport.Identity{Cluster: clusterName, VM: settings.InternalAddress()}
	c := &Control{
		settings: settings, logger: logger, registry: registry.New(), metrics: observe.NewMetrics(),
		pool:   transport.NewPool(transport.PoolOptions{Identity: identity, SourceIP: settings.Bind}),
		server: transport.NewServer(transport.ServerOptions{Identity: identity, Log: logger}),
	}
	c.reconciler = members.NewReconciler(members.Options{
		Replica: c.replica.Load, MinVoters: members.MinVoters(settings.ToleratedDiskLosses), Logger: logger, Metrics: c.metrics,
	})
	c.hub = hub.New(hub.Options{
		Address: settings.InternalAddress(), Zone: settings.Zone, Zones: slices.Sorted(maps.Keys(settings.ZoneRegions)), Bootstrap: settings.Bootstrap, Registry: c.registry, Group: c.group, Pool: c.pool, Decode: codec.DecodeRoutes,
		UnresponsiveAfter: settings.unresponsiveAfter(), ExpireAfter: settings.expireAfter(), WarmUpBounds: settings.warmUpBounds(), Logger: logger, Metrics: c.metrics,
		OnJoin:  func(j hub.Joiner) { c.reconciler.RecordJoinRequest(joinerOf(j)) },
		OnLeave: func(ctx context.Context, j hub.Joiner) error { return c.reconciler.Leave(ctx, joinerOf(j)) },
	})
	c.hub.Register(c.server)
	c.forwarder = &replicaForwarder{}
	c.forwarder.register(c.server)
	return c
}

func (c *Control) run(ctx context.Context, handler http.Handler) error {
	internal, err := tcp.Listen(ctx, c.settings.internalBindAddress())
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
	c.running.Go(func() { c.superviseReplica(background) })
	c.running.Go(func() { c.hub.Run(background) })
	c.running.Go(func() { c.reconciler.Run(background) })
	c.running.Go(func() { c.join(ctx) })
	operatorCalls := map[string]http.Handler{ExplainPath: newExplainer(c.settings, c.hub.Knowledge, c.hub.Explain, gateway.PreviewOptions{})}
	c.running.Go(func() { serveMetrics(background, c.settings.MetricsAddress(), c.metrics, operatorCalls, c.logger) })
	c.running.Go(func() { _ = c.server.Serve(internal) }) // returns when the server is stopped
	c.running.Go(func() { _ = server.Serve(external) })   // returns when the server is shut down
	observe.Log(c.logger, observe.ProcessStarted).Str("control", c.settings.Control).Str("internal", c.settings.InternalAddress()).
		Bool("bootstrap", c.settings.Bootstrap).Strs("seeds", c.settings.Seeds).Send()
	<-ctx.Done()
	observe.Log(c.logger, observe.ProcessStopping).Send()
	c.stop(server, cancel)
	observe.Log(c.logger, observe.ProcessStopped).Send()
	return nil
}

// stop transfers leadership to another member before it stops the rest, so that the
// control group doesn't have to wait for an election timeout. It then leaves the group if
// that is large enough without this VM.
func (c *Control) stop(server *http.Server, cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), c.settings.StopLimit/2)
	defer done()
	if member := c.replica.Load(); member != nil && member.Leadership().IsLeader {
		if err := member.TransferLeadership(ctx); err != nil {
			observe.Log(c.logger, observe.ControlStopIncomplete).Err(fmt.Errorf("transfer leadership: %w", err)).Send()
		}
	}
	c.leave(ctx)
	_ = server.Shutdown(ctx) // connections that are still open are closed when the process ends
	cancel()
	c.server.Stop()
	c.running.Wait()
	c.pool.Close()
}

// group returns the running member of the control group, or nil while there is none.
func (c *Control) group() hub.Group {
	if member := c.replica.Load(); member != nil {
		return groupAdapter{member}
	}
	return nil
}

// groupAdapter implements hub.Group on a replica.
type groupAdapter struct{ *replica.Replica }

// MemberAddresses implements hub.Group.
func (g groupAdapter) MemberAddresses() []string {
	groupMembers := g.Members()
	addresses := make([]string, 0, len(groupMembers))
	for _, member := range groupMembers {
		addresses = append(addresses, member.Address)
	}
	return addresses
}

// superviseReplica runs the member of the control group until ctx ends, and restarts
// it when it ends by itself, for example after a failed disk write. A restarted
// replica loads its state from disk, so state that was not yet written is discarded.
func (c *Control) superviseReplica(ctx context.Context) {
	for ctx.Err() == nil {
		err := c.runReplica(ctx)
		if ctx.Err() != nil {
			return
		}
		observe.Log(c.logger, observe.ReplicaRestarting).Err(err).Send()
		select {
		case <-time.After(replicaRestartDelay):
		case <-ctx.Done():
		}
	}
}

func (c *Control) runReplica(ctx context.Context) error {
	options, err := c.replicaSettings()
	if err != nil {
		return err
	}
	member, err := replica.Start(replica.Options{Settings: options, StateMachine: c.registry, Pool: c.pool, Logger: c.logger, Folder: c.folder})
	if err != nil {
		return err
	}
	c.forwarder.setMember(member)
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

// replicaSettings returns the settings of the replica. The internal address of a control
// VM serves as its name, since Settings holds nothing else about other control VMs.
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
		Bootstrap: c.settings.Bootstrap, HeartbeatInterval: jsonc.Duration(controlHeartbeat),
		ElectionTimeout: jsonc.Duration(electionTimeout), MaxClockDriftPercent: maxClockDriftPercent, SnapshotEntries: snapshotEntries,
	}
	for _, seed := range seeds {
		options.ControlVMs = append(options.ControlVMs, productsettings.Peer{Name: seed, Internal: seed})
	}
	return &options, nil
}

// join requests at each joinInterval that this VM becomes a voter, unless it is a voter
// that knows the leader. It returns when ctx ends.
func (c *Control) join(ctx context.Context) {
	ticker := time.NewTicker(joinInterval)
	defer ticker.Stop()
	for tick := 0; ; tick++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		member := c.replica.Load()
		if member == nil || c.isFollowingVoter(member) {
			continue
		}
		// Log at most one error in 25 ticks, which is 10 s.
		if err := c.requestJoin(ctx, member, tick); err != nil && tick%25 == 0 {
			observe.Log(c.logger, observe.JoinWaiting).Err(err).Send()
		}
	}
}

// isFollowingVoter reports whether this VM is a voter and knows the leader. It is
// false while the control group is not formed.
func (c *Control) isFollowingVoter(member *replica.Replica) bool {
	status := member.Status()
	if status.Group == 0 {
		return false
	}
	return status.Membership.IsVoter(status.ID) && status.Leader != 0
}

var errNoPeer = errors.New("no other control VM is known")

// requestJoin sends a join request to another control VM that knows the leader, which forwards it. Successive values of tick
// begin with the other control VMs in turn.
func (c *Control) requestJoin(ctx context.Context, member *replica.Replica, tick int) error {
	addresses, err := c.settings.SeedAddresses()
	if err != nil {
		return err
	}
	addresses = append(addresses, groupAdapter{member}.MemberAddresses()...)
	slices.Sort(addresses)
	others := slices.DeleteFunc(slices.Compact(addresses), func(address string) bool { return address == c.settings.InternalAddress() })
	if len(others) == 0 {
		return errNoPeer
	}
	first := tick % len(others)
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	return c.hub.RequestJoin(ctx, slices.Concat(others[first:], others[:first]), c.joiner(member.Status().ID))
}

// joiner describes this VM for requests to join and to leave.
func (c *Control) joiner(id consensus.MemberID) hub.Joiner {
	return hub.Joiner{Member: uint64(id), Name: c.settings.InternalAddress(), Address: c.settings.InternalAddress()}
}

// leave asks the leader to remove this VM from the voters. It returns at once if this VM
// is no voter.
func (c *Control) leave(ctx context.Context) {
	if member := c.replica.Load(); member != nil {
		c.leaveGroup(ctx, member.Status())
	}
}

// leaveGroup asks the leader to remove this VM, whose state is status, from the voters. The
// leader decides whether the group is large enough without it. leaveGroup gives up after
// leaveTimeout, and if the group seems too small here and the leader is unknown for
// staleMembershipTimeout.
func (c *Control) leaveGroup(ctx context.Context, status consensus.Status) {
	if !status.Membership.IsVoter(status.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	canLeave := len(status.Membership.Voters()) > members.MinVoters(c.settings.ToleratedDiskLosses)
	startedAt := time.Now()
	for {
		err := c.hub.RequestLeave(ctx, c.joiner(status.ID))
		if err == nil || !canLeave && time.Since(startedAt) >= staleMembershipTimeout {
			return
		}
		select {
		case <-time.After(leaveRetryDelay): // after a transfer, the next leader is not known at once
		case <-ctx.Done():
			observe.Log(c.logger, observe.ControlStopIncomplete).Err(fmt.Errorf("leave the control group: %w", err)).Send()
			return
		}
	}
}

func joinerOf(j hub.Joiner) members.Joiner {
	return members.Joiner{ID: consensus.MemberID(j.Member), Name: j.Name, Address: j.Address, RequestedAt: time.Now()}
}
