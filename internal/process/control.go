package process

import (
	"context"
	"net/http"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/control"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/orders"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/settings"
)

// percent is the divisor that turns a percentage into a fraction.
const percent = 100

// controlRole is the Component of the role control: this VM's member of the replicated
// control group and the operators' API over it.
type controlRole struct {
	host       *Host
	replica    *replica.Replica
	control    *control.Control
	background sync.WaitGroup
	cancel     context.CancelFunc
}

// BuildControl is the Builder of the role control. It sets host.Registry, host.MemberID
// and host.Control. It must run after BuildDistribution, because it uses
// host.Distribution. It returns nil if this VM does not have the role control.
func BuildControl(host *Host) (Component, error) {
	if !host.Settings.HasRole(settings.RoleControl) {
		return nil, nil
	}
	host.Registry = registry.New()
	member, err := replica.Start(replica.Options{
		Settings: host.Settings, StateMachine: host.Registry, Pool: host.PeerPool, Logger: host.Logger,
	})
	if err != nil {
		return nil, err
	}
	member.Register(host.GRPCServer)
	host.MemberID = uint64(member.Status().ID)
	c := &controlRole{host: host, replica: member}
	c.control = control.New(control.Options{
		VM:         host.Settings.VM.Name,
		Group:      &control.ReplicaGroup{Replica: member},
		Registry:   host.Registry,
		Node:       host.Distribution,
		Pool:       host.PeerPool,
		InitialVMs: initialControlVMs(host.Settings),
		EntryVMs:   expectedEntryVMs(host.Settings),
		Orders:     c.newOrderRunner(),
		Claims:     ledger.GRPCClient{Connections: host.PeerPool},
		Log:        host.Logger,
	})
	host.Control = c.control
	host.OperatorMux.Handle("/v1/", c.control.Handler())
	return c, nil
}

// newOrderRunner returns the runner that sends orders to engines while this VM leads the
// control group. A previous leader can hold its lease for one election timeout on its own
// clock, which may be slow by the configured drift.
func (c *controlRole) newOrderRunner() *orders.Runner {
	config := c.host.Settings.Control
	driftFactor := 1 + config.MaxClockDriftPercent/percent
	return orders.NewRunner(orders.Options{
		Leadership:    c.replica.Leadership,
		CurrentRoll:   c.host.Registry.CurrentRoll,
		Reports:       c.host.Distribution.Reports,
		Engines:       orders.NewHTTPEngineClient(),
		PreviousLease: time.Duration(float64(config.ElectionTimeout) * driftFactor),
		Log:           c.host.Logger,
	})
}

func initialControlVMs(config *settings.Settings) []registry.ControlVM {
	vms := make([]registry.ControlVM, 0, len(config.ControlVMs))
	for _, vm := range config.ControlVMs {
		vms = append(vms, registry.ControlVM{Name: vm.Name, Zone: vm.Zone, Internal: vm.Internal, Operators: vm.Operators})
	}
	return vms
}

func expectedEntryVMs(config *settings.Settings) []control.ExpectedVM {
	vms := make([]control.ExpectedVM, 0, len(config.EntryVMs))
	for _, vm := range config.EntryVMs {
		vms = append(vms, control.ExpectedVM{Name: vm.Name, Zone: vm.Zone})
	}
	return vms
}

// Start implements Component.
func (c *controlRole) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.background.Go(func() { c.control.Run(ctx) })
	c.background.Go(func() { c.watchReplica(ctx) })
	return nil
}

// watchReplica cancels the work of the control role when this VM's member of the control
// group has stopped, for example after a failed write.
func (c *controlRole) watchReplica(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-c.replica.Done():
		c.cancel()
	}
}

// CheckReady implements Component. It returns http.ErrServerClosed once this VM's member of
// the control group has stopped.
func (c *controlRole) CheckReady() error {
	select {
	case <-c.replica.Done():
		return http.ErrServerClosed
	default:
		return nil
	}
}

// Stop implements Component.
func (c *controlRole) Stop(ctx context.Context) error {
	err := c.replica.Stop(ctx)
	c.cancel()
	c.background.Wait()
	return err
}

// Kill implements Killer.
func (c *controlRole) Kill() {
	c.replica.Abort()
	c.background.Wait()
}
