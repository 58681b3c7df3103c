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

// claimsFolder holds the claim records in the data folder of a control VM.
const claimsFolder = "claims"

// BuildClaims is the Builder of the claims of non-idempotent calls: an entry
// VM claims, a control VM holds records. It comes after BuildControl. It is
// absent where the settings name no control VM.
func BuildClaims(host *Host) (Component, error) {
	if len(host.Settings.ControlVMs) == 0 {
		return nil, nil
	}
	network := ledger.GRPCClient{Connections: host.PeerPool}
	if host.Settings.HasRole(settings.RoleEntry) {
		host.Claims = ledger.NewClient(network, foundingHolders(host.Settings), host.claimRetention)
	}
	if !host.Settings.HasRole(settings.RoleControl) {
		return nil, nil
	}
	return newClaimHolder(host, network)
}

func foundingHolders(config *settings.Settings) []ledger.HolderVM {
	holders := make([]ledger.HolderVM, len(config.ControlVMs))
	for i, vm := range config.ControlVMs {
		holders[i] = ledger.HolderVM{Address: vm.Internal}
	}
	return holders
}

// claimRetention returns how long claim records are kept under the bundle in
// force.
func (h *Host) claimRetention() time.Duration {
	current := h.Bundles.Current()
	if current == nil {
		return bundle.Defaults().Limits.ClaimRetention.Std()
	}
	return current.Bundle.Limits.ClaimRetention.Std()
}

// claimHolder is the part of a control VM that holds claim records.
type claimHolder struct {
	host    *Host
	journal *storage.Journal
	server  *ledger.Server
	// repair has an element when an epoch was started since the last repair.
	repair  chan struct{}
	running sync.WaitGroup
	cancel  context.CancelFunc
}

func newClaimHolder(host *Host, source ledger.EntrySource) (*claimHolder, error) {
	folder, err := storage.OpenDir(filepath.Join(host.Settings.DataDir, claimsFolder))
	if err != nil {
		return nil, fmt.Errorf("claim records: %w", err)
	}
	journal, err := storage.OpenJournal(folder)
	if err != nil {
		return nil, fmt.Errorf("claim records: %w", err)
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
	return &claimHolder{host: host, journal: journal, server: server, repair: make(chan struct{}, 1)}, nil
}

// Start implements Component.
func (c *claimHolder) Start(ctx context.Context) error {
	ctx, c.cancel = context.WithCancel(ctx)
	c.running.Go(func() {
		defer c.cancel()
		_ = c.server.Run(ctx) // logged there
	})
	c.running.Go(func() { c.followEpochs(ctx) })
	c.running.Go(func() { c.repairRecords(ctx) })
	return nil
}

// repairRecords repairs the records after each epoch, when they have to be.
func (c *claimHolder) repairRecords(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.repair:
			_ = c.server.Repair(ctx) // ends early with ctx only
		}
	}
}

// followEpochs moves the holder through the epochs that the control group
// accepts, one by one.
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

func (c *claimHolder) startEpochs(ctx context.Context, epochs []registry.Epoch) error {
	var previous []ledger.HolderVM
	for _, accepted := range epochs {
		epoch := ledger.Epoch{Number: accepted.Number, Holders: toHolders(accepted.Holders), PreviousHolders: previous}
		if err := c.server.StartEpoch(ctx, epoch); err != nil {
			return err
		}
		previous = epoch.Holders
	}
	select {
	case c.repair <- struct{}{}:
	default:
	}
	return nil
}

func toHolders(accepted []registry.EpochHolder) []ledger.HolderVM {
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
	c.running.Wait()
	return c.journal.Close()
}

// Kill implements Killer.
func (c *claimHolder) Kill() {
	if c.cancel != nil {
		c.cancel()
	}
	c.running.Wait()
	_ = c.journal.Close() // what was acknowledged is synced
}
