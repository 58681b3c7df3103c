package ledger

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// callTimeout bounds one call to one holder; a silent connection costs no
	// more than this.
	callTimeout = 400 * time.Millisecond
	// claimTimeout bounds all rounds of one claim.
	claimTimeout = 2 * time.Second
	// sealTimeout bounds the sealing of a key that is given up.
	sealTimeout = 1 * time.Second
	// roundPause is the wait before holders are asked again.
	roundPause = 20 * time.Millisecond
	// resolveTimeout bounds the recording of an outcome at slow holders.
	resolveTimeout = 30 * time.Second
	// defaultTimeLimit is claimed for a call without a deadline.
	defaultTimeLimit = 10 * time.Minute
)

// HolderClient sends one request to one holder.
type HolderClient interface {
	// Do sends request to the holder at address.
	Do(ctx context.Context, address string, request *ledgerpb.Request) (*ledgerpb.Reply, error)
}

// Client claims keys at the holders of the current epoch. It implements Claimer
// and is safe for concurrent use.
type Client struct {
	caller    HolderClient
	retention func() time.Duration

	mu    sync.Mutex
	epoch Epoch
}

// NewClient returns a client that starts with the given holders and learns the
// epoch from their replies. Retention returns how long records are kept.
func NewClient(caller HolderClient, holders []HolderVM, retention func() time.Duration) *Client {
	return &Client{caller: caller, retention: retention, epoch: Epoch{Holders: holders}}
}

func (c *Client) currentEpoch() Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// learn adopts a later epoch from a reply and reports whether it did.
func (c *Client) learn(reply *ledgerpb.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Status != ledgerpb.Status_STATUS_WRONG_EPOCH || reply.Epoch <= c.epoch.Number {
		return false
	}
	c.epoch = Epoch{Number: reply.Epoch, Holders: holdersFromProto(reply.Holders)}
	return true
}

// round sends message to all holders of the epoch and returns their replies in
// the order of the holders; nil where a holder did not answer in this epoch. It
// returns early once enough is true of the replies so far.
func (c *Client) round(ctx context.Context, message *ledgerpb.Request, enough func([]*ledgerpb.Reply) bool) []*ledgerpb.Reply {
	epoch := c.currentEpoch()
	message = proto.Clone(message).(*ledgerpb.Request)
	message.Epoch = epoch.Number
	type answer struct {
		holder int
		reply  *ledgerpb.Reply
	}
	answers := make(chan answer, len(epoch.Holders))
	for i, holder := range epoch.Holders {
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			reply, err := c.caller.Do(callCtx, holder.Address, message)
			if err != nil {
				reply = nil
			}
			answers <- answer{holder: i, reply: reply}
		}()
	}
	replies := make([]*ledgerpb.Reply, len(epoch.Holders))
	for range epoch.Holders {
		select {
		case got := <-answers:
			if got.reply != nil && !c.learn(got.reply) && got.reply.Epoch == epoch.Number {
				replies[got.holder] = got.reply
			}
		case <-ctx.Done():
			return replies
		}
		if enough(replies) {
			return replies
		}
	}
	return replies
}

func newAttempt() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails, see crypto/rand
	return hex.EncodeToString(id[:])
}

func timeLimit(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return defaultTimeLimit
	}
	return time.Until(deadline)
}

// Claim implements Claimer.
func (c *Client) Claim(ctx context.Context, key Key, digest [32]byte) (Claim, *Record, error) {
	message := &ledgerpb.Request{
		Operation:   ledgerpb.Operation_OPERATION_CLAIM,
		Key:         keyToProto(key),
		Digest:      digest[:],
		Attempt:     newAttempt(),
		TimeLimitMs: timeLimit(ctx).Milliseconds(),
	}
	if err := checkRequest(message); err != nil {
		return nil, nil, refused(err, request.NotSent)
	}
	if made, known := keyTime(key.Value); known && time.Since(made) >= c.retention() {
		return nil, nil, refused(ErrExpired, request.NotSent)
	}
	roundCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for roundCtx.Err() == nil {
		t := c.claimRound(roundCtx, message)
		decided, preferred := t.decide(message.Attempt)
		switch decided {
		case verdictGranted:
			return &heldClaim{client: c, message: message}, nil, nil
		case verdictYield:
			c.yield(ctx, message, preferred, t.rivals[preferred].digest)
			return nil, nil, refused(reasonOf(t, ErrInProgress), request.Unknown)
		case verdictPending, verdictSplit:
			pause.For(roundCtx, roundPause)
		default:
			record, err := recordOf(t, decided)
			return nil, record, err
		}
	}
	return nil, nil, c.giveUp(ctx, message)
}

func (c *Client) claimRound(ctx context.Context, message *ledgerpb.Request) tally {
	enough := func(replies []*ledgerpb.Reply) bool {
		t := count(message.Attempt, message.Digest, replies)
		return t.own >= majority(t.holders) || t.resolved != nil
	}
	return count(message.Attempt, message.Digest, c.round(ctx, message, enough))
}

// recordOf gives the answer for a key that another send has decided.
func recordOf(t tally, decided verdict) (*Record, error) {
	if t.conflict {
		return nil, refused(ErrConflict, request.NotSent)
	}
	switch decided {
	case verdictResolved:
		return recordFromProto(t.resolved.Record), nil
	case verdictSealed:
		return &Record{Outcome: request.NotRun}, nil
	case verdictUnknown:
		return &Record{Outcome: request.Unknown}, nil
	}
	return nil, refused(ErrInProgress, request.Unknown)
}

func reasonOf(t tally, reason error) error {
	if t.conflict {
		return ErrConflict
	}
	return reason
}

// yield hands the claimant's own entries to a rival. The claimant has sent
// nothing and sends nothing afterwards.
func (c *Client) yield(ctx context.Context, claim *ledgerpb.Request, rival string, digest []byte) {
	message := proto.Clone(claim).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_YIELD
	message.YieldTo = rival
	message.Digest = digest
	yieldCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	c.round(yieldCtx, message, func([]*ledgerpb.Reply) bool { return false })
}

// giveUp seals the key and tells whether it can never run.
func (c *Client) giveUp(ctx context.Context, claim *ledgerpb.Request) error {
	message := proto.Clone(claim).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_SEAL
	sealCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sealTimeout)
	defer cancel()
	for sealCtx.Err() == nil {
		t := count(claim.Attempt, claim.Digest, c.round(sealCtx, message, func([]*ledgerpb.Reply) bool { return false }))
		if t.sealed >= majority(t.holders) {
			return refused(reasonOf(t, ErrNoQuorum), request.NotRun)
		}
		if t.answered == t.holders {
			break
		}
		pause.For(sealCtx, roundPause)
	}
	return refused(ErrNoQuorum, request.NotSent)
}

// Lookup implements Claimer.
func (c *Client) Lookup(ctx context.Context, key Key) (*Record, error) {
	message := &ledgerpb.Request{Operation: ledgerpb.Operation_OPERATION_READ, Key: keyToProto(key)}
	lookupCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for lookupCtx.Err() == nil {
		t := count("", nil, c.round(lookupCtx, message, func([]*ledgerpb.Reply) bool { return false }))
		if t.answered < majority(t.holders) {
			pause.For(lookupCtx, roundPause)
			continue
		}
		if t.free == t.answered {
			return nil, ErrNotFound
		}
		decided, _ := t.decide("")
		if decided == verdictSplit {
			return nil, refused(ErrInProgress, request.Unknown)
		}
		return recordOf(t, decided)
	}
	return nil, refused(ErrNoQuorum, request.Unknown)
}

// heldClaim is a granted claim.
type heldClaim struct {
	client  *Client
	message *ledgerpb.Request
}

// Resolve implements Claim. It returns once a majority has recorded the end;
// the other holders are told in the background. Of an answer that is too large
// to keep only the outcome is recorded, so that no resend gets a part of it.
func (h *heldClaim) Resolve(ctx context.Context, record Record) error {
	if len(record.Body) > maxRecordBytes {
		record = Record{Outcome: record.Outcome}
	}
	message := proto.Clone(h.message).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_RESOLVE
	message.Record = recordToProto(record)
	recorded := make(chan struct{})
	go h.record(context.WithoutCancel(ctx), message, recorded)
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record the outcome: %w", ctx.Err())
	}
}

// record repeats message until all holders have recorded it or resolveTimeout
// has passed, and closes recorded when a majority has.
func (h *heldClaim) record(ctx context.Context, message *ledgerpb.Request, recorded chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	told := false
	tell := func(done, holders int) {
		if !told && done >= majority(holders) {
			told = true
			close(recorded)
		}
	}
	for ctx.Err() == nil {
		replies := h.client.round(ctx, message, func(replies []*ledgerpb.Reply) bool {
			tell(countDone(replies), len(replies))
			return false
		})
		if countDone(replies) == len(replies) {
			return
		}
		pause.For(ctx, callTimeout)
	}
}

func countDone(replies []*ledgerpb.Reply) int {
	done := 0
	for _, reply := range replies {
		if reply != nil && reply.Status == ledgerpb.Status_STATUS_DONE {
			done++
		}
	}
	return done
}

// Abandon implements Claim.
func (h *heldClaim) Abandon(ctx context.Context) request.Outcome {
	var refusal *RefusedError
	err := h.client.giveUp(ctx, h.message)
	if asRefused(err, &refusal) && refusal.Outcome == request.NotRun {
		return request.NotRun
	}
	return request.NotSent
}
