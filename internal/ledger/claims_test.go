package ledger

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/request"
)

var (
	bookingKey = Key{Team: "families", Service: "booking", Value: "k1"}
	digestA    = sha256.Sum256([]byte("a"))
	digestB    = sha256.Sum256([]byte("b"))
)

// callCounter counts the runs of one key and the claimants that got request.NotRun.
type callCounter struct {
	mu     sync.Mutex
	runs   int
	notRun int
}

func (c *callCounter) countRun() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs++
}

func (c *callCounter) countOutcome(outcome request.Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if outcome == request.NotRun {
		c.notRun++
	}
}

// claimAndCall claims the key as an entry VM does. With crashPoint 0 the claimant crashes
// before the call, with 1 it abandons the claim, with 2 it crashes after the call, and
// above 2 it records the outcome.
func (c *callCounter) claimAndCall(n *network, crashPoint int) {
	client := NewClient(n, threeHolders, retainOneDay)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	claim, record, err := client.Claim(ctx, bookingKey, digestA)
	var refusal *RefusedError
	switch {
	case asRefusedError(err, &refusal):
		c.countOutcome(refusal.Outcome)
	case record != nil:
		c.countOutcome(record.Outcome)
	case crashPoint == 0: // crashed before the call is sent
	case crashPoint == 1:
		c.countOutcome(claim.Abandon(ctx))
	default:
		c.countRun()
		if crashPoint > 2 { // otherwise crashed before the outcome is recorded
			_ = claim.Resolve(ctx, Record{Outcome: request.Completed, Status: 200})
		}
	}
}

// TestKeyRunsAtMostOnce guards against a call that runs twice, and against a call that runs
// although a caller got request.NotRun. Four claimants meet lost, late and reordered
// messages, crashes, a holder that is down, and a lost disk with repair. The test fails if
// keys are not sealed or if a later claim may overwrite an entry; faults that it finds only
// in some runs have tests of their own below. The seed fixes the random numbers, not the
// order of goroutines.
func TestKeyRunsAtMostOnce(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := startGroup(t, seed)
				n.lossFraction, n.lateFraction = 0.25, 0.5
				var c callCounter
				var senders sync.WaitGroup
				for range 4 {
					crashPoint := n.randomInt(5)
					senders.Go(func() {
						time.Sleep(10 * n.randomDelay())
						c.claimAndCall(n, crashPoint)
					})
				}
				if seed%4 == 1 {
					n.setDown("b", true)
				}
				if seed%4 >= 2 {
					time.Sleep(10 * n.randomDelay())
					replaceHolder(t, n, int(seed%3))
				}
				senders.Wait()
				n.setLoss(0)
				c.claimAndCall(n, 0)
				time.Sleep(time.Minute)
				n.stopAll()
				require.LessOrEqual(t, c.runs, 1, "runs")
				if c.notRun > 0 {
					require.Zero(t, c.runs, "a caller was told not_run")
				}
			})
		})
	}
}

// replaceHolder stops the holder threeHolders[index], discards its records, and starts a
// holder with a new member ID at the same address in the next epoch.
func replaceHolder(t *testing.T, n *network, index int) {
	address := threeHolders[index].Address
	n.mu.Lock()
	n.holders[address].stop()
	n.mu.Unlock()
	holders := append([]HolderVM{}, threeHolders...)
	holders[index].MemberID = 9
	epoch := Epoch{Number: 2, Holders: holders, PreviousHolders: threeHolders}
	n.start(address, 9, &memoryLog{})
	for _, holder := range holders {
		n.mu.Lock()
		process := n.holders[holder.Address]
		n.mu.Unlock()
		n.running.Go(func() {
			time.Sleep(10 * n.randomDelay())
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			_ = process.server.StartEpoch(ctx, epoch)
			_ = process.server.Repair(ctx)
		})
	}
	_ = t
}

func withGroup(t *testing.T, test func(t *testing.T, n *network, client *Client)) {
	synctest.Test(t, func(t *testing.T) {
		n := startGroup(t, 1)
		defer n.stopAll()
		test(t, n, NewClient(n, threeHolders, retainOneDay))
		time.Sleep(time.Minute)
	})
}

func TestResendReturnsTheRecordedAnswer(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		claim, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		_, _, err = NewClient(n, threeHolders, retainOneDay).Claim(t.Context(), bookingKey, digestA)
		require.ErrorIs(t, err, ErrInProgress)
		_, err = client.Lookup(t.Context(), bookingKey)
		require.ErrorIs(t, err, ErrInProgress)

		done := Record{Outcome: request.Completed, Status: 201, ContentType: "text/plain", Body: []byte("voyage 7")}
		require.NoError(t, claim.Resolve(t.Context(), done))
		_, record, err := NewClient(n, threeHolders, retainOneDay).Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, &done, record)
		record, err = client.Lookup(t.Context(), bookingKey)
		require.NoError(t, err)
		require.Equal(t, &done, record)

		_, _, err = client.Claim(t.Context(), bookingKey, digestB)
		require.ErrorIs(t, err, ErrConflict)
		_, err = client.Lookup(t.Context(), Key{Value: "never used"})
		require.ErrorIs(t, err, ErrNotFound)
	})
}

func TestTooLargeAnswerIsRecordedByOutcomeOnly(t *testing.T) {
	withGroup(t, func(t *testing.T, _ *network, client *Client) {
		claim, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		large := Record{Outcome: request.Completed, Status: 200, Body: make([]byte, maxRecordBytes+1)}
		require.NoError(t, claim.Resolve(t.Context(), large))
		_, record, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, &Record{Outcome: request.Completed}, record)
	})
}

func TestClaimLeftByACrashedClaimantResolvesToUnknown(t *testing.T) {
	withGroup(t, func(t *testing.T, _ *network, client *Client) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, _, err := client.Claim(ctx, bookingKey, digestA)
		require.NoError(t, err)
		time.Sleep(time.Second + claimGrace)
		_, record, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, request.Unknown, record.Outcome)
	})
}

func TestAbandonedKeyNeverRuns(t *testing.T) {
	withGroup(t, func(t *testing.T, _ *network, client *Client) {
		claim, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, request.NotRun, claim.Abandon(t.Context()))
		_, record, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, request.NotRun, record.Outcome)
	})
}

func TestNoQuorumReportsNotSentInsteadOfNotRun(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		n.setDown("a", true)
		n.setDown("b", true)
		_, _, err := client.Claim(t.Context(), bookingKey, digestA)
		var refusal *RefusedError
		require.ErrorAs(t, err, &refusal)
		require.ErrorIs(t, err, ErrNoQuorum)
		require.Equal(t, request.NotSent, refusal.Outcome)
	})
}

func TestFailedSyncGrantsNothing(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		n.holders["a"].log.failAppends = true
		n.holders["b"].log.failAppends = true
		_, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.ErrorIs(t, err, ErrNoQuorum)
	})
}

func TestHolderKeepsRecordsAcrossRestart(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		_, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		for _, holder := range threeHolders {
			stopped := n.holders[holder.Address]
			stopped.stop()
			n.start(holder.Address, holder.MemberID, stopped.log)
		}
		_, _, err = client.Claim(t.Context(), bookingKey, digestA)
		require.ErrorIs(t, err, ErrInProgress)
	})
}

func TestSplitClaimYieldsToLowestAttempt(t *testing.T) {
	claimedReply := func(attempt string) *ledgerpb.Reply {
		entry := &ledgerpb.Entry{State: ledgerpb.State_STATE_CLAIMED, Attempt: attempt, Digest: digestA[:]}
		return &ledgerpb.Reply{Entry: entry, Live: true}
	}
	replies := []*ledgerpb.Reply{claimedReply("1"), claimedReply("2"), nil}
	low := tallyReplies("1", digestA[:], replies)
	decided, _ := low.decide("1")
	require.Equal(t, verdictSplit, decided, "the lower attempt waits")
	high := tallyReplies("2", digestA[:], replies)
	decided, rival := high.decide("2")
	require.Equal(t, verdictYield, decided, "the higher attempt yields")
	require.Equal(t, "1", rival)
}

func TestMergeOfContradictingEntriesIsNeverGranted(t *testing.T) {
	core := NewCore(9)
	core.Merge(bookingKey, &ledgerpb.Entry{State: ledgerpb.State_STATE_CLAIMED, Attempt: "1"})
	core.Merge(bookingKey, &ledgerpb.Entry{State: ledgerpb.State_STATE_CLAIMED, Attempt: "2"})
	require.Equal(t, ledgerpb.State_STATE_CONTESTED, core.entry(bookingKey).State)
}

func TestPruneKeepsEntriesForTheRetention(t *testing.T) {
	core := NewCore(1)
	start := time.Unix(1_000_000, 0)
	core.StartEpoch(Epoch{Number: 1, Holders: threeHolders})
	core.Apply(&ledgerpb.Request{Epoch: 1, Operation: ledgerpb.Operation_OPERATION_CLAIM, Key: keyToProto(bookingKey), Attempt: "1"}, start)
	require.Zero(t, core.Prune(start.Add(time.Hour), time.Hour))
	require.Equal(t, 1, core.Prune(start.Add(time.Hour+claimGrace+time.Second), time.Hour))
}

// BenchmarkCapacityClaims reports the holder's time for one claim without a disk, and
// the bytes of memory and log that all entries take.
func BenchmarkCapacityClaims(b *testing.B) {
	for _, entries := range []int{10_000, 50_000, 200_000} {
		b.Run(fmt.Sprintf("entries=%d", entries), func(b *testing.B) {
			for b.Loop() {
				fillHolder(b, entries)
			}
		})
	}
}

func fillHolder(b *testing.B, entries int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	core := NewCore(1)
	core.StartEpoch(Epoch{Number: 1, Holders: threeHolders})
	start := time.Now()
	logged := 0
	for i := range entries {
		key := &ledgerpb.Key{Team: "families", Service: "booking", Value: fmt.Sprintf("018f3a1c-0000-7000-8000-%012d", i)}
		_, change := core.Apply(&ledgerpb.Request{Epoch: 1, Operation: ledgerpb.Operation_OPERATION_CLAIM, Key: key, Digest: bytes.Clone(digestA[:]), Attempt: newAttemptID()}, start)
		logged += proto.Size(change)
	}
	elapsed := time.Since(start)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(elapsed.Nanoseconds())/float64(entries), "ns/claim")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-bytes")
	b.ReportMetric(float64(logged), "log-bytes")
	runtime.KeepAlive(core)
}

func TestHolderRefusesAnotherEpoch(t *testing.T) {
	core := NewCore(1)
	core.StartEpoch(Epoch{Number: 1, Holders: threeHolders})
	core.StartEpoch(Epoch{Number: 2, Holders: threeHolders, PreviousHolders: threeHolders})
	require.True(t, core.IsGranting())
	claim := &ledgerpb.Request{Epoch: 1, Operation: ledgerpb.Operation_OPERATION_CLAIM, Key: keyToProto(bookingKey), Attempt: "1"}
	reply, change := core.Apply(claim, time.Unix(0, 0))
	require.Equal(t, ledgerpb.Status_STATUS_WRONG_EPOCH, reply.Status)
	require.Nil(t, change)
	require.Nil(t, core.StartEpoch(Epoch{Number: 1, Holders: threeHolders}), "an epoch never goes back")
	core.StartEpoch(Epoch{Number: 4, Holders: threeHolders, PreviousHolders: threeHolders})
	require.False(t, core.IsGranting(), "epoch 3 was missed")
}

// TestRepairWaitsForAMajority loses the disk of one of the two holders that granted a
// claim while the other one is down. A repair from the third holder alone would miss the
// claim.
func TestRepairWaitsForAMajority(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		n.setDown("b", true)
		_, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err, "a and c grant the claim")
		n.setDown("b", false)
		n.setDown("a", true)
		replaceHolder(t, n, 2)
		time.Sleep(20 * time.Second)
		_, record, err := NewClient(n, threeHolders, retainOneDay).Claim(t.Context(), bookingKey, digestA)
		require.Nil(t, record)
		require.ErrorIs(t, err, ErrNoQuorum, "c holds no records and b alone is no majority")

		n.setDown("a", false)
		n.running.Go(func() { _ = n.holders["c"].server.Repair(t.Context()) })
		time.Sleep(5 * time.Second)
		_, record, err = NewClient(n, threeHolders, retainOneDay).Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err)
		require.Equal(t, request.Unknown, record.Outcome, "b was sealed meanwhile, so c holds a contested entry")
	})
}

func TestKeyOlderThanTheRetentionIsRefused(t *testing.T) {
	withGroup(t, func(t *testing.T, _ *network, client *Client) {
		now := time.Now() // synctest starts its clock at 2000-01-01
		key := func(createdAt time.Time) Key {
			return Key{Value: fmt.Sprintf("%012x", createdAt.UnixMilli())[:8] + "-" + fmt.Sprintf("%012x", createdAt.UnixMilli())[8:] + "-7abc-8def-0123456789ab"}
		}
		_, _, err := client.Claim(t.Context(), key(now.Add(-25*time.Hour)), digestA)
		require.ErrorIs(t, err, ErrExpired)
		claim, _, err := client.Claim(t.Context(), key(now.Add(-23*time.Hour)), digestA)
		require.NoError(t, err)
		require.NotNil(t, claim)
	})
}

// TestRepairedHolderKnowsEarlierClaims replaces one of the two holders that granted a
// claim, and then makes the other one unreachable. Without a merge of the entries, a
// second claimant would get a majority.
func TestRepairedHolderKnowsEarlierClaims(t *testing.T) {
	withGroup(t, func(t *testing.T, n *network, client *Client) {
		n.setDown("b", true)
		claim, _, err := client.Claim(t.Context(), bookingKey, digestA)
		require.NoError(t, err, "a and c grant the claim")
		require.NotNil(t, claim)
		n.setDown("b", false)
		replaceHolder(t, n, 2)
		time.Sleep(5 * time.Second)
		n.setDown("a", true)
		second, _, err := NewClient(n, threeHolders, retainOneDay).Claim(t.Context(), bookingKey, digestA)
		require.Error(t, err, "b is free, but c holds the claim that it merged")
		require.Nil(t, second)
	})
}

// cutSource is an EntrySource whose streams break off after their first entry.
type cutSource struct{}

// Entries implements EntrySource.
func (cutSource) Entries(_ context.Context, _ string, _ uint64, each func(*ledgerpb.EntriesReply)) error {
	each(&ledgerpb.EntriesReply{Key: keyToProto(bookingKey), Entry: &ledgerpb.Entry{State: ledgerpb.State_STATE_CLAIMED, Attempt: "a"}})
	return io.ErrUnexpectedEOF
}

func TestRepairWithAPartOfTheRecordsIsNotFinished(t *testing.T) {
	server, err := NewServer(ServerOptions{MemberID: 9, Retention: retainOneDay, Log: &memoryLog{}, Source: cutSource{}, Logger: zerolog.Nop()})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Run(ctx) }()
	epoch := Epoch{Number: 2, Holders: []HolderVM{{MemberID: 9, Address: "d"}}, PreviousHolders: threeHolders}
	require.NoError(t, server.StartEpoch(ctx, epoch))
	require.Error(t, server.repairOnce(ctx, epoch))
	cancel()
	require.NoError(t, <-stopped)
	require.False(t, server.core.IsGranting())
	require.Zero(t, server.core.Len())
}
