package ledger

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

var errMessageLost = errors.New("the message was lost")

// memoryLog is a Log in memory that outlives a restart of its holder.
type memoryLog struct {
	changes     [][]byte
	failAppends bool
}

func (l *memoryLog) Replay(apply func([]byte) error) error {
	for _, change := range l.changes {
		if err := apply(change); err != nil {
			return err
		}
	}
	return nil
}

func (l *memoryLog) Append(changes [][]byte) error {
	if l.failAppends {
		return errors.New("disk full")
	}
	l.changes = append(l.changes, changes...)
	return nil
}

func (l *memoryLog) Rewrite(changes [][]byte) error {
	l.changes = changes
	return nil
}

// holderProcess is a running holder. While down is true, no message reaches it.
type holderProcess struct {
	server *Server
	log    *memoryLog
	stop   context.CancelFunc
	down   bool
}

// network connects claimants with holders, and delays or loses messages at random. A
// fraction of the lost requests, lateFraction, is delivered when the sender no longer
// waits for the reply.
type network struct {
	t            *testing.T
	mu           sync.Mutex
	random       *rand.Rand
	lossFraction float64
	lateFraction float64
	holders      map[string]*holderProcess
	running      sync.WaitGroup
}

func newNetwork(t *testing.T, seed uint64) *network {
	return &network{t: t, random: rand.New(rand.NewPCG(seed, 1)), holders: map[string]*holderProcess{}}
}

// start runs a holder at address with the changes of log.
func (n *network) start(address string, member uint64, log *memoryLog) *holderProcess {
	server, err := NewServer(ServerOptions{
		MemberID: member, Retention: retainOneDay, Log: log, Source: n, Logger: zerolog.Nop(),
	})
	require.NoError(n.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	process := &holderProcess{server: server, log: log, stop: cancel}
	n.running.Go(func() { _ = server.Run(ctx) })
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holders[address] = process
	return process
}

func (n *network) stopAll() {
	n.mu.Lock()
	for _, process := range n.holders {
		process.stop()
	}
	n.mu.Unlock()
	n.running.Wait()
}

func (n *network) chance(p float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < p
}

// drawLoss reports whether the next message is lost.
func (n *network) drawLoss() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.Float64() < n.lossFraction
}

// randomDelay returns a delay of 0 to 29 ms.
func (n *network) randomDelay() time.Duration {
	return time.Duration(n.randomInt(30)) * time.Millisecond
}

// setLoss sets the fraction of messages that are lost.
func (n *network) setLoss(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossFraction = fraction
}

// randomInt returns a random number from 0 to limit-1.
func (n *network) randomInt(limit int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.random.IntN(limit)
}

// setDown makes the holder at address unreachable or reachable again.
func (n *network) setDown(address string, down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.holders[address].down = down
}

func (n *network) runningHolder(address string) (*holderProcess, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	process, found := n.holders[address]
	if !found || process.down {
		return nil, errMessageLost
	}
	return process, nil
}

// Do implements HolderClient.
func (n *network) Do(ctx context.Context, address string, request *ledgerpb.Request) (*ledgerpb.Reply, error) {
	request = proto.Clone(request).(*ledgerpb.Request)
	if n.drawLoss() {
		if n.chance(n.lateFraction) {
			n.running.Go(func() {
				time.Sleep(time.Duration(2+n.randomDelay()/time.Millisecond) * 100 * time.Millisecond)
				_, _ = n.deliver(context.Background(), address, request)
			})
		}
		<-ctx.Done()
		return nil, errMessageLost
	}
	time.Sleep(n.randomDelay())
	reply, err := n.deliver(ctx, address, request)
	if n.drawLoss() {
		<-ctx.Done()
		return nil, errMessageLost
	}
	return reply, err
}

func (n *network) deliver(ctx context.Context, address string, request *ledgerpb.Request) (*ledgerpb.Reply, error) {
	process, err := n.runningHolder(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return process.server.Do(ctx, request)
}

// Entries implements EntrySource.
func (n *network) Entries(ctx context.Context, address string, epoch uint64, each func(*ledgerpb.EntriesReply)) error {
	process, err := n.runningHolder(address)
	if err != nil {
		return err
	}
	return process.server.runInOwner(ctx, func() error {
		core := process.server.core
		if core.Epoch().Number != epoch || !core.IsGranting() {
			return errMessageLost
		}
		for key, entry := range core.entries {
			each(&ledgerpb.EntriesReply{Key: keyToProto(key), Entry: entry})
		}
		return nil
	})
}

func retainOneDay() time.Duration { return 24 * time.Hour }

var threeHolders = []HolderVM{{MemberID: 1, Address: "a"}, {MemberID: 2, Address: "b"}, {MemberID: 3, Address: "c"}}

// startGroup runs three holders in their first epoch.
func startGroup(t *testing.T, seed uint64) *network {
	n := newNetwork(t, seed)
	for _, holder := range threeHolders {
		process := n.start(holder.Address, holder.MemberID, &memoryLog{})
		require.NoError(t, process.server.StartEpoch(t.Context(), Epoch{Number: 1, Holders: threeHolders}))
	}
	return n
}
