package ledger

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// repairPause is the wait between two tries of a repair.
	repairPause = time.Second
	// repairTimeout bounds the transfer from one holder.
	repairTimeout = time.Minute
)

// StartEpoch moves the holder to a later epoch, which the control group has
// accepted. Epochs are started one by one, in order, and followed by Repair.
func (s *Server) StartEpoch(ctx context.Context, epoch Epoch) error {
	return s.inOwner(ctx, func() error {
		change := s.core.StartEpoch(epoch)
		if change == nil {
			return nil
		}
		observe.Log(s.options.Logger, observe.LedgerEpochStarted).
			Uint64("epoch", epoch.Number).Bool("granting", s.core.IsGranting()).Send()
		return s.storeOrFail([]*ledgerpb.Change{change})
	})
}

func (s *Server) storeOrFail(changes []*ledgerpb.Change) error {
	err := s.store(changes)
	if err != nil {
		s.failed <- err
	}
	return err
}

// Repair merges the records of the other holders where this holder has to
// before it grants claims. It returns when that is done or ctx ends.
func (s *Server) Repair(ctx context.Context) error {
	for {
		var epoch Epoch
		recovering := false
		err := s.inOwner(ctx, func() error {
			epoch = s.core.Epoch()
			recovering = s.core.IsRecovering()
			return nil
		})
		if err != nil {
			return err
		}
		if !recovering {
			return nil
		}
		err = s.repairOnce(ctx, epoch)
		if err == nil {
			observe.Log(s.options.Logger, observe.LedgerRepaired).Uint64("epoch", epoch.Number).Send()
			return nil
		}
		observe.Log(s.options.Logger, observe.LedgerRepairWaits).Err(err).Send()
		select {
		case <-ctx.Done():
			return fmt.Errorf("repair claim records: %w", ctx.Err())
		case <-time.After(repairPause):
		}
	}
}

func (s *Server) repairOnce(ctx context.Context, epoch Epoch) error {
	var collected []*ledgerpb.EntriesReply
	sources := 0
	for _, holder := range epoch.PreviousHolders {
		if holder.MemberID == s.options.MemberID {
			continue
		}
		entries, err := s.fetch(ctx, holder.Address, epoch.Number)
		if err != nil {
			continue
		}
		collected = append(collected, entries...)
		sources++
	}
	if need := majority(len(epoch.PreviousHolders)); sources < need {
		return fmt.Errorf("%d of %d holders sent their records, needed: %d", sources, len(epoch.PreviousHolders), need)
	}
	return s.inOwner(ctx, func() error {
		if s.core.Epoch().Number != epoch.Number {
			return fmt.Errorf("the epoch changed during the repair")
		}
		var changes []*ledgerpb.Change
		for _, entry := range collected {
			if change := s.core.Merge(keyFromProto(entry.Key), entry.Entry); change != nil {
				changes = append(changes, change)
			}
		}
		changes = append(changes, s.core.FinishRecovery())
		return s.storeOrFail(changes)
	})
}

func (s *Server) fetch(ctx context.Context, address string, epoch uint64) ([]*ledgerpb.EntriesReply, error) {
	fetchCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	var entries []*ledgerpb.EntriesReply
	err := s.options.Source.Entries(fetchCtx, address, epoch, func(entry *ledgerpb.EntriesReply) {
		entries = append(entries, entry)
	})
	return entries, err
}
