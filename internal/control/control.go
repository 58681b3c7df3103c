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
	// proposeTimeout bounds the wait for a command to be committed.
	proposeTimeout = 2 * time.Second
	// leaderCheckInterval is how often a change of leader is looked for.
	leaderCheckInterval = 100 * time.Millisecond
	// leaderMemory is how long a control VM that hears of no leader keeps its
	// watchers, so that an election does not disperse them.
	leaderMemory = 5 * time.Second
)

// Options configures the control role.
type Options struct {
	VM       string
	Group    Group
	Registry *registry.Registry
	Node     *distribute.Node
	Pool     *transport.Pool
	// InitialVMs are the control VMs that formed the group.
	InitialVMs []registry.ControlVM
	// EntryVMs are the entry VMs that a bundle has to reach.
	EntryVMs []ExpectedVM
	// Orders runs while this VM leads, until its context ends. It may be nil.
	Orders OrdersRunner
	// Claims may be nil where no claim records are kept.
	Claims ClaimHolders
	Log    zerolog.Logger
}

// ClaimHolders reaches the holders of claim records.
type ClaimHolders interface {
	// CheckGranting returns nil when the holder at address grants claims in the
	// given ledger epoch.
	CheckGranting(ctx context.Context, address string, epoch uint64) error
}

// OrdersRunner gives orders to backend servers.
type OrdersRunner interface {
	// Run gives orders as the leader of term until ctx ends.
	Run(ctx context.Context, term uint64)
	// Status tells how far the roll is, nil without one.
	Status() *operatorapi.RollStatus
}

// Control is the control role of one VM.
type Control struct {
	options Options
	leader  *leaderTracker
}

// New returns the control role. Run starts it.
func New(options Options) *Control {
	return &Control{options: options, leader: &leaderTracker{}}
}

// KnowsLeader reports whether this VM leads, or has heard of a leader within
// the last seconds. Watchers stay with this VM while it is true.
func (c *Control) KnowsLeader() bool { return c.leader.known(time.Now()) }

// IsLeader reports whether this VM holds the leader lease.
func (c *Control) IsLeader() bool { return c.options.Group.Leadership().IsLeader }

// Run feeds accepted bundles to the distribution, reports to the leader, and
// does the leader's work while this VM leads. It returns when ctx ends.
func (c *Control) Run(ctx context.Context) {
	var group errgroup.Group
	group.Go(func() error { c.feed(ctx); return nil })
	group.Go(func() error { c.watchLeader(ctx); return nil })
	group.Go(func() error { c.leaderLoop(ctx); return nil })
	_ = group.Wait()
}

// feed puts each accepted bundle in force on this VM, from where the
// distribution takes it.
func (c *Control) feed(ctx context.Context) {
	for {
		changed := c.options.Registry.Changed()
		c.feedNewest()
		c.feedControlVMs()
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (c *Control) feedControlVMs() {
	revision := c.options.Registry.ControlVMsRevision()
	var peers []distribute.Peer
	for _, vm := range c.options.Registry.ControlVMs() {
		peers = append(peers, distribute.Peer{Name: vm.Name, Zone: vm.Zone, Address: vm.Internal, Control: true})
	}
	c.options.Node.SetControlVMs(revision, peers)
}

func (c *Control) feedNewest() {
	newest := c.options.Registry.Newest()
	store := c.options.Node.Store()
	if newest == nil || newest.Version <= store.Newest().Version() {
		return
	}
	content, err := bundle.Decompress(newest.Compressed, nil)
	if err == nil {
		var sealed *distribute.VerifiedBundle
		accepted := &bundle.AcceptedBundle{Version: newest.Version, Digest: newest.Digest, Signatures: newest.Signatures}
		sealed, err = distribute.VerifyBundle(accepted, content, c.options.Node.Keys())
		if err == nil && store.Put(sealed) {
			observe.Log(c.options.Log, observe.BundleInForce).
				Uint64("version", newest.Version).Str("digest", newest.Digest).Str("from", "registry").Send()
		}
	}
	if err != nil {
		observe.Log(c.options.Log, observe.BundleRefused).Uint64("version", newest.Version).Str("from", "registry").Err(err).Send()
	}
}

// watchLeader reports to the leader while another VM leads.
func (c *Control) watchLeader(ctx context.Context) {
	client := distribute.NewClient(distribute.ClientOptions{Node: c.options.Node, Pool: c.options.Pool, Peers: c.leaderPeers})
	client.Run(ctx)
}

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

// controlVMs returns the control VMs on record, and before there are any those
// that form the group.
func (c *Control) controlVMs() []registry.ControlVM {
	if vms := c.options.Registry.ControlVMs(); len(vms) > 0 {
		return vms
	}
	return c.options.InitialVMs
}

// leaderLoop runs the leader's work for each term in which this VM leads.
func (c *Control) leaderLoop(ctx context.Context) {
	var led *ledTerm
	ticker := time.NewTicker(leaderCheckInterval)
	defer ticker.Stop()
	for {
		leadership := c.options.Group.Leadership()
		now := time.Now()
		if leadership.LeaderID != 0 {
			c.leader.heard(now)
		}
		if led != nil && (!leadership.IsLeader || leadership.Term != led.term) {
			led.stop()
			led = nil
			observe.Log(c.options.Log, observe.LeaderWorkStopped).Uint64("term", leadership.Term).Send()
		}
		if led == nil && leadership.IsLeader {
			led = c.lead(ctx, leadership.Term)
			observe.Log(c.options.Log, observe.LeaderWorkStarted).Uint64("term", leadership.Term).Send()
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			if led != nil {
				led.stop()
			}
			return
		}
	}
}

// ledTerm is the work of one term of leadership.
type ledTerm struct {
	term   uint64
	cancel context.CancelFunc
	group  errgroup.Group
}

func (l *ledTerm) stop() {
	l.cancel()
	_ = l.group.Wait()
}

func (c *Control) lead(ctx context.Context, term uint64) *ledTerm {
	ctx, cancel := context.WithCancel(ctx)
	led := &ledTerm{term: term, cancel: cancel}
	led.group.Go(func() error { c.recordFounders(ctx); return nil })
	if c.options.Orders != nil {
		led.group.Go(func() error { c.options.Orders.Run(ctx, term); return nil })
	}
	return led
}

// recordFounders puts the control VMs that formed the group and the first
// ledger epoch on record. It repeats until that is done.
func (c *Control) recordFounders(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.recordFoundersOnce(ctx); err == nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(leaderCheckInterval):
		}
	}
}

func (c *Control) recordFoundersOnce(ctx context.Context) error {
	if err := c.options.Group.ReadBarrier(ctx); err != nil {
		return err
	}
	if c.options.Registry.Epoch().Number > 0 {
		return nil
	}
	for _, vm := range c.options.InitialVMs {
		if _, err := c.propose(ctx, putCommand(vm)); err != nil {
			return err
		}
	}
	return c.recordEpoch(ctx)
}

func putCommand(vm registry.ControlVM) *registrypb.Command {
	message := &registrypb.ControlVM{Name: vm.Name, Zone: vm.Zone, Internal: vm.Internal, Operators: vm.Operators}
	return &registrypb.Command{Kind: &registrypb.Command_PutControlVm{PutControlVm: &registrypb.PutControlVM{Vm: message}}}
}

func removeCommand(name string) *registrypb.Command {
	return &registrypb.Command{Kind: &registrypb.Command_RemoveControlVm{RemoveControlVm: &registrypb.RemoveControlVM{Name: name}}}
}

func epochCommand(expected uint64, holders []registry.EpochHolder) *registrypb.Command {
	message := &registrypb.SetEpoch{ExpectedNumber: expected}
	for _, holder := range holders {
		message.Holders = append(message.Holders, &registrypb.EpochHolder{MemberId: holder.MemberID, Address: holder.Address})
	}
	return &registrypb.Command{Kind: &registrypb.Command_SetEpoch{SetEpoch: message}}
}
