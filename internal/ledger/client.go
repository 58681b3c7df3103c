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
	// callTimeout is the timeout of one call to one holder, so that an unresponsive
	// connection delays a round by no more than this.
	callTimeout = 400 * time.Millisecond
	// claimTimeout is the timeout of all rounds of one claim or lookup.
	claimTimeout = 2 * time.Second
	// sealTimeout is the timeout for sealing a key whose claim is abandoned.
	sealTimeout = 1 * time.Second
	// roundRetryDelay is the delay between two rounds.
	roundRetryDelay = 20 * time.Millisecond
	// resolveTimeout is the timeout for recording an outcome at all holders.
	resolveTimeout = 30 * time.Second
	// defaultTimeLimit is the time limit of a call without a deadline.
	defaultTimeLimit = 10 * time.Minute
)

// HolderClient sends requests to holders.
type HolderClient interface {
	// Do sends request to the holder at address and returns its reply.
	Do(ctx context.Context, address string, request *ledgerpb.Request) (*ledgerpb.Reply, error)
}

// Client claims keys at the holders of the current epoch. It implements Claimer
// and is safe for concurrent use.
type Client struct {
	holderClient HolderClient
	retention    func() time.Duration

	mu    sync.Mutex
	epoch Epoch
}

// NewClient returns a client that starts with the given holders and adopts the later
// epochs that their replies name. retention returns how long records are kept.
func NewClient(holderClient HolderClient, holders []HolderVM, retention func() time.Duration) *Client {
	return &Client{holderClient: holderClient, retention: retention, epoch: Epoch{Holders: holders}}
}

func (c *Client) currentEpoch() Epoch {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch
}

// adoptEpoch adopts the epoch of a reply if it is later than the current one, and
// reports whether it did.
func (c *Client) adoptEpoch(reply *ledgerpb.Reply) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply.Status != ledgerpb.Status_STATUS_WRONG_EPOCH || reply.Epoch <= c.epoch.Number {
		return false
	}
	c.epoch = Epoch{Number: reply.Epoch, Holders: holdersFromProto(reply.Holders)}
	return true
}

// round sends message to all holders of the epoch and returns their replies in the
// order of the holders, with nil for a holder that did not answer in this epoch. It
// returns early once stopEarly returns true for the replies received until then. The calls
// to the other holders go on, so that these holders receive the message, too.
func (c *Client) round(ctx context.Context, message *ledgerpb.Request, stopEarly func([]*ledgerpb.Reply) bool) []*ledgerpb.Reply {
	epoch := c.currentEpoch()
	message = proto.Clone(message).(*ledgerpb.Request)
	message.Epoch = epoch.Number
	type holderReply struct {
		holder int // index in epoch.Holders
		reply  *ledgerpb.Reply
	}
	received := make(chan holderReply, len(epoch.Holders))
	for i, holder := range epoch.Holders {
		go func() {
			callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			reply, err := c.holderClient.Do(callCtx, holder.Address, message)
			if err != nil {
				reply = nil
			}
			received <- holderReply{holder: i, reply: reply}
		}()
	}
	replies := make([]*ledgerpb.Reply, len(epoch.Holders))
	for range epoch.Holders {
		select {
		case next := <-received:
			if next.reply != nil && !c.adoptEpoch(next.reply) && next.reply.Epoch == epoch.Number {
				replies[next.holder] = next.reply
			}
		case <-ctx.Done():
			return replies
		}
		if stopEarly(replies) {
			return replies
		}
	}
	return replies
}

func newAttemptID() string {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never returns an error, see crypto/rand
	return hex.EncodeToString(id[:])
}

// timeLimit returns the time until the deadline of ctx, or defaultTimeLimit without
// a deadline.
func timeLimit(ctx context.Context) time.Duration {
	deadline, found := ctx.Deadline()
	if !found {
		return defaultTimeLimit
	}
	return time.Until(deadline)
}

// Claim implements Claimer. After claimTimeout without a decision it seals the key, so
// that later calls with the key learn that this one did not run.
func (c *Client) Claim(ctx context.Context, key Key, digest [32]byte) (Claim, *Record, error) {
	message := &ledgerpb.Request{
		Operation:   ledgerpb.Operation_OPERATION_CLAIM,
		Key:         keyToProto(key),
		Digest:      digest[:],
		Attempt:     newAttemptID(),
		TimeLimitMs: timeLimit(ctx).Milliseconds(),
	}
	if err := checkRequest(message); err != nil {
		return nil, nil, newRefusedError(err, request.NotSent)
	}
	if createdAt, found := keyCreatedAt(key.Value); found && time.Since(createdAt) >= c.retention() {
		return nil, nil, newRefusedError(ErrExpired, request.NotSent)
	}
	roundCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for roundCtx.Err() == nil {
		t := c.claimRound(roundCtx, message)
		decided, preferred := t.decide(message.Attempt)
		switch decided {
		case verdictGranted:
			return &grantedClaim{client: c, message: message}, nil, nil
		case verdictYield:
			c.yield(ctx, message, preferred, t.rivals[preferred].digest)
			return nil, nil, newRefusedError(conflictOr(t, ErrInProgress), request.Unknown)
		case verdictPending, verdictSplit:
			pause.For(roundCtx, roundRetryDelay)
		default:
			record, err := recordOf(t, decided)
			return nil, record, err
		}
	}
	return nil, nil, c.seal(ctx, message)
}

// claimRound sends the claim to the holders once. It stops early when the claim is
// granted or the outcome of the call is known.
func (c *Client) claimRound(ctx context.Context, message *ledgerpb.Request) tally {
	stopEarly := func(replies []*ledgerpb.Reply) bool {
		t := tallyReplies(message.Attempt, message.Digest, replies)
		return t.own >= majority(t.holders) || t.resolved != nil
	}
	return tallyReplies(message.Attempt, message.Digest, c.round(ctx, message, stopEarly))
}

// recordOf returns the result of a claim or a lookup for a verdict about an earlier or a
// rival attempt: its record, or a *RefusedError with ErrConflict or ErrInProgress.
func recordOf(t tally, decided verdict) (*Record, error) {
	if t.digestConflict {
		return nil, newRefusedError(ErrConflict, request.NotSent)
	}
	switch decided {
	case verdictResolved:
		return recordFromProto(t.resolved.Record), nil
	case verdictSealed:
		return &Record{Outcome: request.NotRun}, nil
	case verdictUnknown:
		return &Record{Outcome: request.Unknown}, nil
	}
	return nil, newRefusedError(ErrInProgress, request.Unknown)
}

// conflictOr returns ErrConflict if the key was claimed with another digest, and
// reason otherwise.
func conflictOr(t tally, reason error) error {
	if t.digestConflict {
		return ErrConflict
	}
	return reason
}

// yield hands the claimant's own entries to a rival. The claimant has not sent the
// call and must not send it afterwards.
func (c *Client) yield(ctx context.Context, claim *ledgerpb.Request, rival string, digest []byte) {
	message := proto.Clone(claim).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_YIELD
	message.YieldTo = rival
	message.Digest = digest
	yieldCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	c.round(yieldCtx, message, func([]*ledgerpb.Reply) bool { return false })
}

// seal seals the key. The error it returns has the outcome request.NotRun if a majority
// is sealed, so that no call with the key can ever run, and request.NotSent otherwise.
func (c *Client) seal(ctx context.Context, claim *ledgerpb.Request) error {
	message := proto.Clone(claim).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_SEAL
	sealCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), sealTimeout)
	defer cancel()
	for sealCtx.Err() == nil {
		t := tallyReplies(claim.Attempt, claim.Digest, c.round(sealCtx, message, func([]*ledgerpb.Reply) bool { return false }))
		if t.sealed >= majority(t.holders) {
			return newRefusedError(conflictOr(t, ErrNoQuorum), request.NotRun)
		}
		if t.answered == t.holders {
			break
		}
		pause.For(sealCtx, roundRetryDelay)
	}
	return newRefusedError(ErrNoQuorum, request.NotSent)
}

// Lookup implements Claimer.
func (c *Client) Lookup(ctx context.Context, key Key) (*Record, error) {
	message := &ledgerpb.Request{Operation: ledgerpb.Operation_OPERATION_READ, Key: keyToProto(key)}
	lookupCtx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for lookupCtx.Err() == nil {
		t := tallyReplies("", nil, c.round(lookupCtx, message, func([]*ledgerpb.Reply) bool { return false }))
		if t.answered < majority(t.holders) {
			pause.For(lookupCtx, roundRetryDelay)
			continue
		}
		if t.free == t.answered {
			return nil, ErrNotFound
		}
		decided, _ := t.decide("")
		if decided == verdictSplit {
			return nil, newRefusedError(ErrInProgress, request.Unknown)
		}
		return recordOf(t, decided)
	}
	return nil, newRefusedError(ErrNoQuorum, request.Unknown)
}

// grantedClaim is the Claim of an attempt that has the entries of a majority.
type grantedClaim struct {
	client  *Client
	message *ledgerpb.Request
}

// Resolve implements Claim. It returns once a majority has recorded the outcome; the
// record is sent to the other holders in the background. If the answer is longer than
// maxRecordBytes, only the outcome is recorded, so that no later call with the key gets a
// truncated answer.
func (g *grantedClaim) Resolve(ctx context.Context, record Record) error {
	if len(record.Body) > maxRecordBytes {
		record = Record{Outcome: record.Outcome}
	}
	message := proto.Clone(g.message).(*ledgerpb.Request)
	message.Operation = ledgerpb.Operation_OPERATION_RESOLVE
	message.Record = recordToProto(record)
	recorded := make(chan struct{})
	go g.record(context.WithoutCancel(ctx), message, recorded)
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("record the outcome: %w", ctx.Err())
	}
}

// record sends message repeatedly until all holders have recorded it or resolveTimeout
// has passed. It closes recorded once a majority has recorded it.
func (g *grantedClaim) record(ctx context.Context, message *ledgerpb.Request, recorded chan struct{}) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	closed := false
	closeOnMajority := func(done, holders int) {
		if !closed && done >= majority(holders) {
			closed = true
			close(recorded)
		}
	}
	for ctx.Err() == nil {
		replies := g.client.round(ctx, message, func(replies []*ledgerpb.Reply) bool {
			closeOnMajority(countDone(replies), len(replies))
			return false
		})
		if countDone(replies) == len(replies) {
			return
		}
		pause.For(ctx, callTimeout)
	}
}

// countDone returns the number of holders at which the operation took effect.
func countDone(replies []*ledgerpb.Reply) int {
	done := 0
	for _, reply := range replies {
		if reply != nil && reply.Status == ledgerpb.Status_STATUS_DONE {
			done++
		}
	}
	return done
}

// Abandon implements Claim by sealing the key.
func (g *grantedClaim) Abandon(ctx context.Context) request.Outcome {
	var refusal *RefusedError
	err := g.client.seal(ctx, g.message)
	if asRefusedError(err, &refusal) && refusal.Outcome == request.NotRun {
		return request.NotRun
	}
	return request.NotSent
}
