package replica

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/storage"
)

const (
	// inboxMessages bounds the messages that wait for the control goroutine;
	// further ones are dropped and sent again by the protocol.
	inboxMessages = 1024
	// inboxBytes bounds the same messages by their size.
	inboxBytes = 32 << 20
	// maxBatch bounds what one turn of the control goroutine takes of each
	// kind, so that heartbeats are never late.
	maxBatch = 256
	// successorPolls is how often in a heartbeat a stopping leader looks for the
	// next one.
	successorPolls = 20
	// refusalsPerSecond bounds the log lines on refused messages.
	refusalsPerSecond = 1
)

// Replica is one running member of the control group. Its methods are safe for
// concurrent use.
type Replica struct {
	settings *settings.Settings
	logger   zerolog.Logger
	machine  StateMachine
	network  network
	member   consensus.MemberID
	address  string

	inbox chan consensus.Message
	// inboxSize is how many bytes wait in inbox.
	inboxSize atomic.Int64
	proposals chan *proposal
	barriers  chan *barrier
	changes   chan *change
	transfers chan chan error
	formed    chan formation
	writes    chan *consensus.Write
	written   chan error

	status   atomic.Pointer[consensus.Status]
	refusals *rate.Limiter

	stopping context.Context
	stop     context.CancelFunc
	done     chan struct{}
	failure  error

	loop controlLoop
}

// Start opens the data folder and runs a member. It returns when the member
// takes part; Register must make it reachable. Damage in the data folder is
// returned as a *storage.CorruptionError.
func Start(options Options) (*Replica, error) {
	if err := options.check(); err != nil {
		return nil, err
	}
	folder, err := options.openFolder()
	if err != nil {
		return nil, err
	}
	store, loaded, err := storage.Open(folder)
	if err != nil {
		return nil, err
	}
	core, err := consensus.New(options.coreConfig(loaded.Member), loaded.Stored, time.Now())
	if err != nil {
		_ = store.Close()
		return nil, err
	}
	r := newReplica(&options, loaded.Member)
	r.loop = newControlLoop(r, core)
	r.logStart(loaded, core.Status())
	status := r.publish()
	if status.Group == 0 {
		go r.awaitGroup()
	} else {
		r.network.update(status.Membership)
	}
	go r.runWriter(store)
	go r.run()
	return r, nil
}

func newReplica(options *Options, member consensus.MemberID) *Replica {
	r := &Replica{
		settings:  options.Settings,
		logger:    options.Logger,
		machine:   options.StateMachine,
		network:   options.network,
		member:    member,
		address:   options.address(),
		inbox:     make(chan consensus.Message, inboxMessages),
		proposals: make(chan *proposal, maxBatch),
		barriers:  make(chan *barrier, maxBatch),
		changes:   make(chan *change),
		transfers: make(chan chan error),
		formed:    make(chan formation),
		writes:    make(chan *consensus.Write, 1),
		written:   make(chan error, 1),
		refusals:  rate.NewLimiter(refusalsPerSecond, 1),
		done:      make(chan struct{}),
	}
	r.stopping, r.stop = context.WithCancel(context.Background())
	if r.network == nil {
		r.network = newGRPCNetwork(options, member, r.address)
	}
	return r
}

func (r *Replica) logStart(loaded *storage.LoadedState, status consensus.Status) {
	if loaded.IsNew {
		observe.Log(r.logger, observe.ReplicaFolderNew).Uint64("member", uint64(r.member)).Send()
	}
	if torn := loaded.TornRecord; torn != nil {
		observe.Log(r.logger, observe.ReplicaTornRecord).
			Str("file", torn.File).Int64("offset", torn.Offset).Int64("bytes", torn.Bytes).Send()
	}
	observe.Log(r.logger, observe.ReplicaStarted).
		Uint64("member", uint64(r.member)).Uint64("group", status.Group).
		Uint64("term", status.Term).Uint64("last", status.LastIndex).Send()
}

// runWriter saves one write at a time, so that a slow disk holds up neither
// heartbeats nor reads.
func (r *Replica) runWriter(store *storage.Store) {
	for write := range r.writes {
		r.written <- store.Save(write)
	}
	_ = store.Close()
	close(r.written)
}

// Stop hands leadership over when this member leads, ends the member and
// returns when its files are closed, or with the error of ctx.
func (r *Replica) Stop(ctx context.Context) error {
	if r.Leadership().IsLeader && r.TransferLeadership(ctx) == nil {
		r.awaitSuccessor(ctx)
	}
	r.stop()
	select {
	case <-r.done:
		return r.failure
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort ends the member without handing leadership over, as the death of its
// VM would, and returns when its files are closed.
func (r *Replica) Abort() {
	r.stop()
	<-r.done
}

// awaitSuccessor waits until another member leads, for an election timeout at
// most.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.settings.Control.ElectionTimeout))
	defer cancel()
	poll := time.NewTicker(time.Duration(r.settings.Control.Heartbeat) / successorPolls)
	defer poll.Stop()
	for r.Leadership().LeaderID == 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return
		case <-r.done:
			return
		}
	}
}

// Done is closed when the member has ended, by Stop or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns why the member ended, nil after Stop. It is valid after Done.
func (r *Replica) Err() error { return r.failure }
