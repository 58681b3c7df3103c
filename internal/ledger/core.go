package ledger

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

const (
	// claimGrace is added to a call's time limit: the claimant counts as live until
	// both have passed. It covers clock drift and the transit of the last messages.
	claimGrace = 10 * time.Second
	// maxKeyBytes is the maximum length of an idempotency key.
	maxKeyBytes = 255
	// maxRecordBytes is the maximum length of a recorded answer.
	maxRecordBytes = 64 << 10
)

// HolderVM is a control VM that holds claim records.
type HolderVM struct {
	// MemberID identifies the data folder. A VM that lost its data folder gets a new
	// member ID.
	MemberID uint64
	// Address is the "ip:port" of its internal listener.
	Address string
}

// Epoch is a numbered set of control VMs that hold claim records.
type Epoch struct {
	// Number is 1 for the first epoch and 0 if no epoch is known.
	Number  uint64
	Holders []HolderVM
	// PreviousHolders are the holders of the preceding epoch.
	PreviousHolders []HolderVM
}

func hasMember(holders []HolderVM, id uint64) bool {
	return slices.ContainsFunc(holders, func(holder HolderVM) bool { return holder.MemberID == id })
}

// Core is the state of one holder of claim records. It does no I/O and reads no
// clock: each operation returns the change that must be synced before the reply is
// sent. Core is not safe for concurrent use.
//
// Invariant: an entry that is not free never becomes free again before it is pruned.
// Otherwise two claimants could get the entries of a majority one after the other.
type Core struct {
	memberID uint64
	epoch    Epoch
	// recovered is true unless the holder must merge the entries of other holders before
	// it grants claims.
	recovered bool
	entries   map[Key]*ledgerpb.Entry
}

// NewCore returns the empty state of the holder memberID. It grants nothing until an
// epoch is started or replayed.
func NewCore(memberID uint64) *Core {
	return &Core{memberID: memberID, entries: map[Key]*ledgerpb.Entry{}}
}

// Epoch returns the epoch that the holder has reached.
func (c *Core) Epoch() Epoch { return c.epoch }

// IsRecovering reports whether the holder belongs to its epoch but must merge the
// records of other holders before it grants claims.
func (c *Core) IsRecovering() bool { return !c.recovered && hasMember(c.epoch.Holders, c.memberID) }

// IsGranting reports whether the holder may grant claims.
func (c *Core) IsGranting() bool { return c.recovered && hasMember(c.epoch.Holders, c.memberID) }

// Len returns the number of entries that are not free.
func (c *Core) Len() int { return len(c.entries) }

// StartEpoch moves to a later epoch and returns the change, or nil if the epoch is
// not later. A holder that did not grant claims in the directly preceding epoch must
// recover first, since it may lack claims that were granted without it. Epoch 1 needs
// no recovery: nothing was granted before it.
func (c *Core) StartEpoch(epoch Epoch) *ledgerpb.Change {
	if epoch.Number <= c.epoch.Number {
		return nil
	}
	follows := epoch.Number == c.epoch.Number+1
	recovered := epoch.Number == 1 || (follows && c.IsGranting())
	return c.setEpoch(epoch, recovered)
}

// FinishRecovery lets a repaired holder grant claims again. The caller must have
// merged the entries of a majority of the holders of the preceding epoch.
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

// Merge adds an entry of another holder during recovery and returns the change, or
// nil if nothing changed. Entries that contradict each other become a contested
// entry, which no attempt can claim.
func (c *Core) Merge(key Key, other *ledgerpb.Entry) *ledgerpb.Change {
	own, found := c.entries[key]
	merged := other
	if found {
		merged = mergeEntries(own, other)
		if merged == own {
			return nil
		}
	}
	return c.putEntry(key, merged)
}

// mergeEntries returns a resolved entry if there is one, the common entry if both
// agree, and else a contested entry.
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

// Replay applies a change that was read from the holder's log.
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

// Apply applies the operation of request at the time now. The change, if not nil,
// must be synced before the reply is sent. A request of another epoch is refused, so
// that a claim that was sent in an earlier epoch can't take effect after a repair has
// collected the entries.
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
	next := c.nextEntry(key, request, now)
	var change *ledgerpb.Change
	if next != nil {
		change = c.putEntry(key, next)
	}
	reply.Entry = c.entry(key)
	reply.Live = now.UnixMilli() < reply.Entry.ExpiresUnixMs
	reply.Status = ledgerpb.Status_STATUS_HELD
	if hasTakenEffect(request, reply.Entry) {
		reply.Status = ledgerpb.Status_STATUS_DONE
	}
	return reply, change
}

// nextEntry returns the entry of key after request, or nil if request does not change
// the entry.
func (c *Core) nextEntry(key Key, request *ledgerpb.Request, now time.Time) *ledgerpb.Entry {
	entry := c.entry(key)
	isFree := entry.State == ledgerpb.State_STATE_FREE
	isOwn := entry.State == ledgerpb.State_STATE_CLAIMED && entry.Attempt == request.Attempt
	switch request.Operation {
	case ledgerpb.Operation_OPERATION_CLAIM:
		if isFree {
			return newClaimedEntry(request, now)
		}
	case ledgerpb.Operation_OPERATION_SEAL:
		if isFree || isOwn {
			return &ledgerpb.Entry{State: ledgerpb.State_STATE_SEALED, Digest: request.Digest, CreatedUnixMs: now.UnixMilli()}
		}
	case ledgerpb.Operation_OPERATION_YIELD:
		if isOwn {
			yielded := newClaimedEntry(request, now)
			yielded.Attempt = request.YieldTo
			yielded.ExpiresUnixMs = entry.ExpiresUnixMs
			return yielded
		}
	case ledgerpb.Operation_OPERATION_RESOLVE:
		// Only the claimant that had a majority and sent the call resolves it, so its
		// record also replaces an entry that another attempt claimed or sealed.
		if entry.State != ledgerpb.State_STATE_RESOLVED && request.Record != nil {
			resolved := newClaimedEntry(request, now)
			resolved.State = ledgerpb.State_STATE_RESOLVED
			resolved.Record = request.Record
			return resolved
		}
	}
	return nil
}

// newClaimedEntry returns an entry that is claimed by the attempt of request until
// the time limit of the call and claimGrace have passed.
func newClaimedEntry(request *ledgerpb.Request, now time.Time) *ledgerpb.Entry {
	limit := time.Duration(request.TimeLimitMs)*time.Millisecond + claimGrace
	return &ledgerpb.Entry{
		State:         ledgerpb.State_STATE_CLAIMED,
		Digest:        request.Digest,
		Attempt:       request.Attempt,
		CreatedUnixMs: now.UnixMilli(),
		ExpiresUnixMs: now.Add(limit).UnixMilli(),
	}
}

// hasTakenEffect reports whether entry is in the state that request asks for, because of
// this request or of an earlier copy of it.
func hasTakenEffect(request *ledgerpb.Request, entry *ledgerpb.Entry) bool {
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

// Prune removes entries that were created and expired more than retention ago, and
// returns their number. The log keeps them until it is next rewritten.
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

// CompactedChanges returns the shortest list of changes whose replay results in the
// present state.
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

func (c *Core) putEntry(key Key, entry *ledgerpb.Entry) *ledgerpb.Change {
	c.entries[key] = entry
	return &ledgerpb.Change{Key: keyToProto(key), Entry: entry}
}

// checkRequest returns an error for a request that no correct claimant sends.
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
