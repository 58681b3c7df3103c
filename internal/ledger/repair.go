package ledger

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// repairRetryInterval is the delay after a failed repair.
	repairRetryInterval = time.Second
	// fetchTimeout is the timeout for fetching all entries of one holder.
	fetchTimeout = time.Minute
)

// StartEpoch moves the holder to a later epoch, which the control group has accepted.
// The caller starts epochs one by one, in order, and then calls Repair. It returns an
// error if the change could not be synced or ctx ended.
func (s *Server) StartEpoch(ctx context.Context, epoch Epoch) error {
	return s.runInOwner(ctx, func() error {
		change := s.core.StartEpoch(epoch)
		if change == nil {
			return nil
		}
		observe.Log(s.options.Logger, observe.LedgerEpochStarted).
			Uint64("epoch", epoch.Number).Bool("granting", s.core.IsGranting()).Send()
		return s.storeOrFail([]*ledgerpb.Change{change})
	})
}

// storeOrFail syncs changes. An error also makes Run end.
func (s *Server) storeOrFail(changes []*ledgerpb.Change) error {
	err := s.store(changes)
	if err != nil {
		s.writeErrors <- err
	}
	return err
}

// Repair merges the records of the holders of the preceding epoch if this holder may not
// grant claims without them. It retries a failed repair, and returns an error only if ctx
// ends.
func (s *Server) Repair(ctx context.Context) error {
	for {
		var epoch Epoch
		recovering := false
		err := s.runInOwner(ctx, func() error {
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
		case <-time.After(repairRetryInterval):
		}
	}
}

// repairOnce merges the entries of a majority of the holders of the preceding epoch. Any
// majority includes a holder of each granted claim. A source sends its entries only once
// it has reached the new epoch, in which it refuses claims of the preceding one.
func (s *Server) repairOnce(ctx context.Context, epoch Epoch) error {
	var collected []*ledgerpb.EntriesReply
	sources := 0
	for _, holder := range epoch.PreviousHolders {
		if holder.MemberID == s.options.MemberID {
			continue
		}
		entries, err := s.fetchEntries(ctx, holder.Address, epoch.Number)
		if err != nil {
			continue
		}
		collected = append(collected, entries...)
		sources++
	}
	if need := majority(len(epoch.PreviousHolders)); sources < need {
		return fmt.Errorf("%d of %d holders sent their records, needed: %d", sources, len(epoch.PreviousHolders), need)
	}
	return s.runInOwner(ctx, func() error {
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

// fetchEntries returns all entries of the holder at address.
func (s *Server) fetchEntries(ctx context.Context, address string, epoch uint64) ([]*ledgerpb.EntriesReply, error) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var entries []*ledgerpb.EntriesReply
	err := s.options.Source.Entries(fetchCtx, address, epoch, func(entry *ledgerpb.EntriesReply) {
		entries = append(entries, entry)
	})
	return entries, err
}
