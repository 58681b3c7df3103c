package process

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage"
)

// claimsDir is the subfolder of a control VM's data folder for claim records.
const claimsDir = "claims"

// BuildClaims is the Builder of the claims of non-idempotent calls. On an entry VM it sets
// host.Claims, with which the request path claims idempotency keys. On a control VM it
// returns the Component that holds claim records. It must run after BuildControl, which
// sets host.MemberID and host.Registry. It does nothing if the settings list no control
// VMs.
func BuildClaims(host *Host) (Component, error) {
	if len(host.Settings.ControlVMs) == 0 {
		return nil, nil
	}
	holderClient := ledger.GRPCClient{Connections: host.PeerPool}
	if host.Settings.HasRole(settings.RoleEntry) {
		host.Claims = ledger.NewClient(holderClient, initialHolders(host.Settings), host.claimRetention)
	}
	if !host.Settings.HasRole(settings.RoleControl) {
		return nil, nil
	}
	return newClaimHolder(host, holderClient)
}

// initialHolders returns the control VMs of the settings as holders without member IDs,
// for the claims client to start with.
func initialHolders(config *settings.Settings) []ledger.HolderVM {
	holders := make([]ledger.HolderVM, len(config.ControlVMs))
	for i, vm := range config.ControlVMs {
		holders[i] = ledger.HolderVM{Address: vm.Internal}
	}
	return holders
}

// claimRetention returns how long claim records are kept: the value of the bundle in
// force, or the default while there is none.
func (h *Host) claimRetention() time.Duration {
	current := h.Bundles.Current()
	if current == nil {
		return bundle.Defaults().Limits.ClaimRetention.Std()
	}
	return current.Bundle.Limits.ClaimRetention.Std()
}

// claimHolder is the Component of a control VM that stores claim records.
type claimHolder struct {
	host    *Host
	journal *storage.Journal
	server  *ledger.Server
	// repairDue holds an element if epochs may have started since the last repair began.
	repairDue  chan struct{}
	background sync.WaitGroup
	// cancel ends the background work; nil before Start.
	cancel context.CancelFunc
}

func newClaimHolder(host *Host, source ledger.EntrySource) (*claimHolder, error) {
	dir, err := storage.OpenDir(filepath.Join(host.Settings.DataDir, claimsDir))
	if err != nil {
		return nil, fmt.Errorf("open the directory of the claim records: %w", err)
	}
	journal, err := storage.OpenJournal(dir)
	if err != nil {
		return nil, fmt.Errorf("open the journal of the claim records: %w", err)
	}
	if torn := journal.TornRecord(); torn != nil {
		observe.Log(host.Logger, observe.LedgerRecordCut).
			Str("file", torn.File).Int64("offset", torn.Offset).Int64("bytes", torn.Bytes).Send()
	}
	server, err := ledger.NewServer(ledger.ServerOptions{
		MemberID: host.MemberID, Retention: host.claimRetention, Log: journal, Source: source, Logger: host.Logger,
	})
	if err != nil {
		_ = journal.Close()
		return nil, err
	}
	server.Register(host.GRPCServer)
	return &claimHolder{host: host, journal: journal, server: server, repairDue: make(chan struct{}, 1)}, nil
}

// Start implements Component.
func (c *claimHolder) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.background.Go(func() {
		defer c.cancel()
		_ = c.server.Run(ctx) // the server logs its error
	})
	c.background.Go(func() { c.followEpochs(ctx) })
	c.background.Go(func() { c.repairRecords(ctx) })
	return nil
}

// repairRecords runs a repair each time after epochs were started. The server decides
// whether its records need one.
func (c *claimHolder) repairRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.repairDue:
			_ = c.server.Repair(ctx) // fails only when ctx ends
		}
	}
}

// followEpochs starts each epoch that the control group accepts, in order, until ctx ends
// or the server fails.
func (c *claimHolder) followEpochs(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.host.Registry.Changed()
		if err := c.startEpochs(ctx, c.host.Registry.Epochs()); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
}

// startEpochs starts the given epochs in order and marks a repair as due. The server
// ignores epochs that it has started before.
func (c *claimHolder) startEpochs(ctx context.Context, epochs []registry.Epoch) error {
	var previous []ledger.HolderVM
	for _, accepted := range epochs {
		epoch := ledger.Epoch{Number: accepted.Number, Holders: holderVMs(accepted.Holders), PreviousHolders: previous}
		if err := c.server.StartEpoch(ctx, epoch); err != nil {
			return err
		}
		previous = epoch.Holders
	}
	select {
	case c.repairDue <- struct{}{}:
	default:
	}
	return nil
}

// holderVMs converts the holders of an accepted epoch to those of package ledger.
func holderVMs(accepted []registry.EpochHolder) []ledger.HolderVM {
	holders := make([]ledger.HolderVM, len(accepted))
	for i, holder := range accepted {
		holders[i] = ledger.HolderVM{MemberID: holder.MemberID, Address: holder.Address}
	}
	return holders
}

// CheckReady implements Component.
func (c *claimHolder) CheckReady() error { return nil }

// Stop implements Component.
func (c *claimHolder) Stop(context.Context) error {
	c.cancel()
	c.background.Wait()
	return c.journal.Close()
}

// Kill implements Killer.
func (c *claimHolder) Kill() {
	if c.cancel != nil {
		c.cancel()
	}
	c.background.Wait()
	_ = c.journal.Close() // every acknowledged record is synced already
}
