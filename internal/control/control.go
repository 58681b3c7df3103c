package control

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/distribute"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// proposeTimeout limits the wait for a command to be committed and applied.
	proposeTimeout = 2 * time.Second
	// leaderCheckInterval is the time between checks for a change of leader, and
	// between attempts to record the initial VMs.
	leaderCheckInterval = 100 * time.Millisecond
	// leaderGracePeriod is how long a control VM that knows no leader keeps its
	// watchers, so that they stay connected during an election.
	leaderGracePeriod = 5 * time.Second
)

// Options configures the control role.
type Options struct {
	// VM is the name of this VM.
	VM       string
	Group    Group
	Registry *registry.Registry
	// Node distributes accepted bundles to other VMs and collects their reports.
	Node *distribute.Node
	// Pool holds the connections to other VMs.
	Pool *transport.Pool
	// InitialVMs are the control VMs that formed the group.
	InitialVMs []registry.ControlVM
	// EntryVMs are the entry VMs that have to have each bundle in force.
	EntryVMs []ExpectedVM
	// Orders sends orders to backend servers while this VM is the leader. It may be
	// nil.
	Orders OrdersRunner
	// Claims is nil if the control group holds no claim records.
	Claims ClaimHolders
	Log    zerolog.Logger
}

// ClaimHolders is a client of the holders of claim records.
type ClaimHolders interface {
	// CheckGranting returns nil if the holder at address grants claims in the
	// given ledger epoch.
	CheckGranting(ctx context.Context, address string, epoch uint64) error
}

// OrdersRunner sends orders to backend servers.
type OrdersRunner interface {
	// Run sends orders as the leader of term until ctx ends.
	Run(ctx context.Context, term uint64)
	// Status returns the progress of the roll, nil if there is no roll.
	Status() *operatorapi.RollStatus
}

// Control is the control role of one VM.
type Control struct {
	options Options
	leader  *leaderTracker
}

// New returns the control role. Call Run to start it.
func New(options Options) *Control {
	return &Control{options: options, leader: &leaderTracker{}}
}

// KnowsLeader reports whether this VM knows a leader, which may be this VM, or knew one
// less than leaderGracePeriod ago. Watchers stay connected to this VM while it is true.
func (c *Control) KnowsLeader() bool { return c.leader.hasRecentLeader(time.Now()) }

// IsLeader reports whether this VM holds the leader lease.
func (c *Control) IsLeader() bool { return c.options.Group.Leadership().IsLeader }

// Run passes accepted bundles to the distribution node, reports to the leader, and
// does the leader's work while this VM is the leader. It returns when ctx ends.
func (c *Control) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { c.publishChanges(ctx); return nil })
	group.Go(func() error { c.reportToLeader(ctx); return nil })
	group.Go(func() error { c.leaderLoop(ctx); return nil })
	_ = group.Wait()
}

// publishChanges passes the newest accepted bundle and the control VMs to the
// distribution node of this VM at each change of the registry, until ctx ends.
func (c *Control) publishChanges(ctx context.Context) {
	for {
		changed := c.options.Registry.Changed()
		c.publishNewestBundle()
		c.publishControlVMs()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Control) publishControlVMs() {
	revision := c.options.Registry.ControlVMsRevision()
	var peers []distribute.Peer
	for _, vm := range c.options.Registry.ControlVMs() {
		peers = append(peers, distribute.Peer{Name: vm.Name, Zone: vm.Zone, Address: vm.Internal, Control: true})
	}
	c.options.Node.SetControlVMs(revision, peers)
}

// publishNewestBundle verifies the newest accepted bundle and puts it in force on
// this VM, unless the distribution node has that version or a newer one already.
func (c *Control) publishNewestBundle() {
	newest := c.options.Registry.Newest()
	store := c.options.Node.Store()
	if newest == nil || newest.Version <= store.Newest().Version() {
		return
	}
	content, err := bundle.Decompress(newest.Compressed, nil)
	if err == nil {
		var verified *distribute.VerifiedBundle
		accepted := &bundle.AcceptedBundle{Version: newest.Version, Digest: newest.Digest, Signatures: newest.Signatures}
		verified, err = distribute.VerifyBundle(accepted, content, c.options.Node.Keys())
		if err == nil && store.Put(verified) {
			observe.Log(c.options.Log, observe.BundleInForce).
				Uint64("version", newest.Version).Str("digest", newest.Digest).Str("from", "registry").Send()
		}
	}
	if err != nil {
		observe.Log(c.options.Log, observe.BundleRefused).Uint64("version", newest.Version).Str("from", "registry").Err(err).Send()
	}
}

// reportToLeader keeps this VM connected to the distribution node of the leader while
// another VM is the leader, so that the reports of this VM reach the leader.
func (c *Control) reportToLeader(ctx context.Context) {
	client := distribute.NewClient(distribute.ClientOptions{Node: c.options.Node, Pool: c.options.Pool, Peers: c.leaderPeers})
	client.Run(ctx)
}

// leaderPeers returns the leader, or nothing if this VM is the leader or knows
// no leader.
func (c *Control) leaderPeers() []distribute.Peer {
	leadership := c.options.Group.Leadership()
	if leadership.IsLeader || leadership.LeaderName == c.options.VM {
		return nil
	}
	for _, vm := range c.controlVMs() {
		if vm.Name == leadership.LeaderName {
			return []distribute.Peer{{Name: vm.Name, Zone: vm.Zone, Address: vm.Internal, Control: true}}
		}
	}
	return nil
}

// controlVMs returns the control VMs in the registry, or the initial VMs while
// the registry has none.
func (c *Control) controlVMs() []registry.ControlVM {
	if vms := c.options.Registry.ControlVMs(); len(vms) > 0 {
		return vms
	}
	return c.options.InitialVMs
}

// leaderLoop runs the leader's work in each term in which this VM is the leader,
// until ctx ends. The work of a term has ended before the work of the next term starts.
func (c *Control) leaderLoop(ctx context.Context) {
	var work *leaderWork
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		leadership := c.options.Group.Leadership()
		now := time.Now()
		if leadership.LeaderID != 0 {
			c.leader.recordLeader(now)
		}
		if work != nil && (!leadership.IsLeader || leadership.Term != work.term) {
			work.stop()
			work = nil
			observe.Log(c.options.Log, observe.LeaderWorkStopped).Uint64("term", leadership.Term).Send()
		}
		if work == nil && leadership.IsLeader {
			work = c.startLeaderWork(ctx, leadership.Term)
			observe.Log(c.options.Log, observe.LeaderWorkStarted).Uint64("term", leadership.Term).Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if work != nil {
				work.stop()
			}
			return
		}
	}
}

// leaderWork is the running work of the leader in one term.
type leaderWork struct {
	term   uint64
	cancel context.CancelFunc
	group  errgroup.Group
}

// stop cancels the work and waits until it has ended.
func (l *leaderWork) stop() {
	l.cancel()
	_ = l.group.Wait()
}

// startLeaderWork starts recording the initial VMs and running the orders.
func (c *Control) startLeaderWork(ctx context.Context, term uint64) *leaderWork {
	ctx, cancel := context.WithCancel(ctx)
	work := &leaderWork{term: term, cancel: cancel}
	work.group.Go(func() error { c.recordInitialVMs(ctx); return nil })
	if c.options.Orders != nil {
		work.group.Go(func() error { c.options.Orders.Run(ctx, term); return nil })
	}
	return work
}

// recordInitialVMs records the initial VMs and the first ledger epoch in the
// registry. It retries until that succeeds or ctx ends.
func (c *Control) recordInitialVMs(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.tryRecordInitialVMs(ctx); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderCheckInterval):
		}
	}
}

// tryRecordInitialVMs makes one attempt at recordInitialVMs. The epoch is
// recorded last, so an existing epoch shows that the initial VMs are recorded.
func (c *Control) tryRecordInitialVMs(ctx context.Context) error {
	if err := c.options.Group.ReadBarrier(ctx); err != nil {
		return err
	}
	if c.options.Registry.Epoch().Number > 0 {
		return nil
	}
	for _, vm := range c.options.InitialVMs {
		if _, err := c.propose(ctx, putControlVMCommand(vm)); err != nil {
			return err
		}
	}
	return c.recordEpoch(ctx)
}

func putControlVMCommand(vm registry.ControlVM) *registrypb.Command {
	message := &registrypb.ControlVM{Name: vm.Name, Zone: vm.Zone, Internal: vm.Internal, Operators: vm.Operators}
	return &registrypb.Command{Kind: &registrypb.Command_PutControlVm{PutControlVm: &registrypb.PutControlVM{Vm: message}}}
}

func removeControlVMCommand(name string) *registrypb.Command {
	return &registrypb.Command{Kind: &registrypb.Command_RemoveControlVm{RemoveControlVm: &registrypb.RemoveControlVM{Name: name}}}
}

// setEpochCommand returns the command that starts the ledger epoch after the one
// with the expected number.
func setEpochCommand(expected uint64, holders []registry.EpochHolder) *registrypb.Command {
	message := &registrypb.SetEpoch{ExpectedNumber: expected}
	for _, holder := range holders {
		message.Holders = append(message.Holders, &registrypb.EpochHolder{MemberId: holder.MemberID, Address: holder.Address})
	}
	return &registrypb.Command{Kind: &registrypb.Command_SetEpoch{SetEpoch: message}}
}
