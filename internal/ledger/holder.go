package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

const (
	// claimGrace is added to a call's time limit before its claimant counts as
	// gone: it covers clock drift and the way of the last messages.
	claimGrace = 10 * time.Second
	// maxKeyBytes bounds an idempotency key.
	maxKeyBytes = 255
	// maxRecordBytes bounds the answer that is kept for resends.
	maxRecordBytes = 64 << 10
)

// HolderVM is a control VM that holds claim records.
type HolderVM struct {
	// MemberID is the identity of its data folder, new after a loss.
	MemberID uint64
	// Address is the "ip:port" of its internal listener.
	Address string
}

// Epoch states which control VMs hold claim records. Numbers start with 1.
type Epoch struct {
	Number  uint64
	Holders []HolderVM
	// PreviousHolders holds the holders of the epoch before.
	PreviousHolders []HolderVM
}

func hasMember(holders []HolderVM, id uint64) bool {
	return slices.ContainsFunc(holders, func(holder HolderVM) bool { return holder.MemberID == id })
}

// Core is the state of one holder of claim records. It is pure: it returns the
// changes that must be synced before the reply is sent. An entry that is not
// free never becomes free before it is pruned.
type Core struct {
	self      uint64
	epoch     Epoch
	recovered bool
	entries   map[Key]*ledgerpb.Entry
}

// NewCore returns the empty holder with member id self. It grants nothing until
// its epoch is set.
func NewCore(self uint64) *Core {
	return &Core{self: self, entries: map[Key]*ledgerpb.Entry{}}
}

// Epoch returns the holder's epoch.
func (c *Core) Epoch() Epoch { return c.epoch }

// IsRecovering reports whether the holder is a member of its epoch that must
// merge the records of the others before it grants anything.
func (c *Core) IsRecovering() bool { return !c.recovered && hasMember(c.epoch.Holders, c.self) }

// IsGranting reports whether the holder may grant claims.
func (c *Core) IsGranting() bool { return c.recovered && hasMember(c.epoch.Holders, c.self) }

// Len returns the number of entries.
func (c *Core) Len() int { return len(c.entries) }

// StartEpoch moves to a later epoch and returns the change, or nil when the
// epoch is not later. A holder that was not granting in the epoch just before
// must recover, except in the first epoch of all, before which nothing was
// granted.
func (c *Core) StartEpoch(epoch Epoch) *ledgerpb.Change {
	if epoch.Number <= c.epoch.Number {
		return nil
	}
	follows := epoch.Number == c.epoch.Number+1
	recovered := epoch.Number == 1 || (follows && c.IsGranting())
	return c.setEpoch(epoch, recovered)
}

// FinishRecovery lets a repaired holder grant claims again. The caller has
// merged the entries of a majority of the holders of the epoch before.
func (c *Core) FinishRecovery() *ledgerpb.Change { return c.setEpoch(c.epoch, true) }

func (c *Core) setEpoch(epoch Epoch, recovered bool) *ledgerpb.Change {
	change := &ledgerpb.Change{
		Epoch:     epoch.Number,
		Holders:   holdersToProto(epoch.Holders),
		Previous:  holdersToProto(epoch.PreviousHolders),
		Recovered: recovered,
	}
	c.Replay(change)
	return change
}

// Merge takes over an entry of another holder during recovery and returns the
// change, or nil when nothing changed. Entries that contradict each other make
// a contested entry, which nobody can claim.
func (c *Core) Merge(key Key, other *ledgerpb.Entry) *ledgerpb.Change {
	mine, found := c.entries[key]
	merged := other
	if found {
		merged = mergeEntries(mine, other)
		if merged == mine {
			return nil
		}
	}
	return c.set(key, merged)
}

func mergeEntries(a, b *ledgerpb.Entry) *ledgerpb.Entry {
	switch {
	case a.State == ledgerpb.State_STATE_RESOLVED:
		return a
	case b.State == ledgerpb.State_STATE_RESOLVED:
		return b
	case a.State == b.State && a.Attempt == b.Attempt:
		return a
	case a.State == ledgerpb.State_STATE_CONTESTED:
		return a
	}
	return &ledgerpb.Entry{
		State:         ledgerpb.State_STATE_CONTESTED,
		Digest:        a.Digest,
		ExpiresUnixMs: max(a.ExpiresUnixMs, b.ExpiresUnixMs),
		CreatedUnixMs: max(a.CreatedUnixMs, b.CreatedUnixMs),
	}
}

// Replay applies a change from the holder's log.
func (c *Core) Replay(change *ledgerpb.Change) {
	if change.Epoch > 0 {
		c.epoch = Epoch{
			Number:          change.Epoch,
			Holders:         holdersFromProto(change.Holders),
			PreviousHolders: holdersFromProto(change.Previous),
		}
		c.recovered = change.Recovered
		return
	}
	c.entries[keyFromProto(change.Key)] = change.Entry
}

// Apply applies one operation at now. The change, when not nil, must be synced
// before the reply is sent.
func (c *Core) Apply(request *ledgerpb.Request, now time.Time) (*ledgerpb.Reply, *ledgerpb.Change) {
	reply := &ledgerpb.Reply{Epoch: c.epoch.Number}
	if request.Epoch != c.epoch.Number {
		reply.Status = ledgerpb.Status_STATUS_WRONG_EPOCH
		reply.Holders = holdersToProto(c.epoch.Holders)
		return reply, nil
	}
	if !c.IsGranting() {
		reply.Status = ledgerpb.Status_STATUS_RECOVERING
		return reply, nil
	}
	key := keyFromProto(request.Key)
	next := c.next(key, request, now)
	var change *ledgerpb.Change
	if next != nil {
		change = c.set(key, next)
	}
	reply.Entry = c.entry(key)
	reply.Live = now.UnixMilli() < reply.Entry.ExpiresUnixMs
	reply.Status = ledgerpb.Status_STATUS_HELD
	if satisfies(request, reply.Entry) {
		reply.Status = ledgerpb.Status_STATUS_DONE
	}
	return reply, change
}

// next returns the entry that request makes of the present one, or nil when it
// changes nothing.
func (c *Core) next(key Key, request *ledgerpb.Request, now time.Time) *ledgerpb.Entry {
	entry := c.entry(key)
	free := entry.State == ledgerpb.State_STATE_FREE
	own := entry.State == ledgerpb.State_STATE_CLAIMED && entry.Attempt == request.Attempt
	switch request.Operation {
	case ledgerpb.Operation_OPERATION_CLAIM:
		if free {
			return claimed(request, now)
		}
	case ledgerpb.Operation_OPERATION_SEAL:
		if free || own {
			return &ledgerpb.Entry{State: ledgerpb.State_STATE_SEALED, Digest: request.Digest, CreatedUnixMs: now.UnixMilli()}
		}
	case ledgerpb.Operation_OPERATION_YIELD:
		if own {
			yielded := claimed(request, now)
			yielded.Attempt = request.YieldTo
			yielded.ExpiresUnixMs = entry.ExpiresUnixMs
			return yielded
		}
	case ledgerpb.Operation_OPERATION_RESOLVE:
		// The claimant had a majority, so its record is the truth also where
		// another claimant holds the entry.
		if entry.State != ledgerpb.State_STATE_RESOLVED && request.Record != nil {
			resolved := claimed(request, now)
			resolved.State = ledgerpb.State_STATE_RESOLVED
			resolved.Record = request.Record
			return resolved
		}
	}
	return nil
}

func claimed(request *ledgerpb.Request, now time.Time) *ledgerpb.Entry {
	limit := time.Duration(request.TimeLimitMs)*time.Millisecond + claimGrace
	return &ledgerpb.Entry{
		State:         ledgerpb.State_STATE_CLAIMED,
		Digest:        request.Digest,
		Attempt:       request.Attempt,
		CreatedUnixMs: now.UnixMilli(),
		ExpiresUnixMs: now.Add(limit).UnixMilli(),
	}
}

// satisfies reports whether entry is what the request wanted, be it by this
// request or an earlier one.
func satisfies(request *ledgerpb.Request, entry *ledgerpb.Entry) bool {
	switch request.Operation {
	case ledgerpb.Operation_OPERATION_CLAIM:
		return entry.State == ledgerpb.State_STATE_CLAIMED && entry.Attempt == request.Attempt &&
			bytes.Equal(entry.Digest, request.Digest)
	case ledgerpb.Operation_OPERATION_SEAL:
		return entry.State == ledgerpb.State_STATE_SEALED
	case ledgerpb.Operation_OPERATION_YIELD:
		return entry.Attempt == request.YieldTo
	case ledgerpb.Operation_OPERATION_RESOLVE:
		return entry.State == ledgerpb.State_STATE_RESOLVED && entry.Attempt == request.Attempt
	}
	return true
}

// Prune removes entries older than retention and returns how many. The log is
// shortened when it is rewritten next.
func (c *Core) Prune(now time.Time, retention time.Duration) int {
	oldest := now.Add(-retention).UnixMilli()
	pruned := 0
	for key, entry := range c.entries {
		if entry.CreatedUnixMs < oldest && entry.ExpiresUnixMs < oldest {
			delete(c.entries, key)
			pruned++
		}
	}
	return pruned
}

// CompactedChanges returns the whole state as the shortest log.
func (c *Core) CompactedChanges() []*ledgerpb.Change {
	changes := make([]*ledgerpb.Change, 0, len(c.entries)+1)
	if c.epoch.Number > 0 {
		changes = append(changes, c.setEpoch(c.epoch, c.recovered))
	}
	for key, entry := range c.entries {
		changes = append(changes, &ledgerpb.Change{Key: keyToProto(key), Entry: entry})
	}
	return changes
}

func (c *Core) entry(key Key) *ledgerpb.Entry {
	if entry, found := c.entries[key]; found {
		return entry
	}
	return &ledgerpb.Entry{State: ledgerpb.State_STATE_FREE}
}

func (c *Core) set(key Key, entry *ledgerpb.Entry) *ledgerpb.Change {
	c.entries[key] = entry
	return &ledgerpb.Change{Key: keyToProto(key), Entry: entry}
}

// checkRequest refuses requests that no correct claimant sends.
func checkRequest(request *ledgerpb.Request) error {
	key := request.GetKey()
	switch {
	case key.GetValue() == "" || len(key.GetValue()) > maxKeyBytes:
		return fmt.Errorf("the key has %d bytes, allowed: 1 to %d", len(key.GetValue()), maxKeyBytes)
	case len(request.GetRecord().GetBody()) > maxRecordBytes:
		return fmt.Errorf("the record has %d bytes, allowed: up to %d", len(request.Record.Body), maxRecordBytes)
	case request.Operation != ledgerpb.Operation_OPERATION_READ && request.Attempt == "":
		return fmt.Errorf("the attempt is missing")
	case request.Operation == ledgerpb.Operation_OPERATION_YIELD && request.YieldTo == "":
		return fmt.Errorf("the attempt to yield to is missing")
	}
	return nil
}
