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
	// maxInboxMessages is the maximum number of messages queued for the control
	// goroutine. Further ones are dropped; the consensus protocol sends them again.
	maxInboxMessages = 1024
	// maxInboxBytes is the maximum total size of the messages in the inbox.
	maxInboxBytes = 32 << 20
	// maxBatch is the maximum number of further inputs that the control goroutine takes
	// before it processes them, so that heartbeats are sent in time. It is also the
	// capacity of the queues of proposals and of read barriers.
	maxBatch = 256
	// successorPollsPerHeartbeat is how often per heartbeat interval a stopping leader
	// checks whether the next leader is known.
	successorPollsPerHeartbeat = 20
	// transferRetriesPerHeartbeat is how often per heartbeat interval a leader that waits for
	// a voter with all entries tries again to transfer leadership.
	transferRetriesPerHeartbeat = 20
	// refusalLogsPerSecond limits the log lines about refused messages, refused streams
	// and failed snapshots.
	refusalLogsPerSecond = 1
)

// Replica is one running member of the control group. Its exported methods are safe
// for concurrent use.
type Replica struct {
	settings *settings.Settings
	logger   zerolog.Logger
	machine  StateMachine
	network  network
	member   consensus.MemberID
	address  string

	// The control goroutine receives the inputs on the next channels. It sends writes to
	// the writer goroutine, which answers each of them on writeResults.
	inbox chan consensus.Message
	// inboxSizeBytes is the total size of the messages in inbox.
	inboxSizeBytes atomic.Int64
	proposals      chan *proposal
	barriers       chan *readBarrier
	changes        chan *changeRequest
	transfers      chan chan error
	groupPlans     chan groupPlan
	endedLeaders   chan endedLeader
	writes         chan *consensus.Write
	writeResults   chan error

	status     atomic.Pointer[consensus.Status]
	logLimiter *rate.Limiter

	// stopping is cancelled when the member is to stop; done is closed once it has stopped.
	// failure is set before done is closed, and not changed afterwards.
	stopping context.Context
	stop     context.CancelFunc
	done     chan struct{}
	failure  error

	loop controlLoop
}

// Start opens the data folder and starts a member. The other members reach it only
// once Register or Service has made it available on a gRPC server. If a file of the
// data folder is damaged, the error is a *storage.CorruptionError.
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
		go r.bootstrapGroup()
	} else {
		r.network.update(status.Membership)
	}
	if id, term := core.LastLeader(); id != 0 {
		go r.watchLastLeader(status.Membership, endedLeader{id: id, term: term})
	}
	go r.runWriter(store)
	go r.run()
	return r, nil
}

func newReplica(options *Options, member consensus.MemberID) *Replica {
	r := &Replica{
		settings:     options.Settings,
		logger:       options.Logger,
		machine:      options.StateMachine,
		network:      options.network,
		member:       member,
		address:      options.address(),
		inbox:        make(chan consensus.Message, maxInboxMessages),
		proposals:    make(chan *proposal, maxBatch),
		barriers:     make(chan *readBarrier, maxBatch),
		changes:      make(chan *changeRequest),
		transfers:    make(chan chan error),
		groupPlans:   make(chan groupPlan),
		endedLeaders: make(chan endedLeader),
		writes:       make(chan *consensus.Write, 1),
		writeResults: make(chan error, 1),
		logLimiter:   rate.NewLimiter(refusalLogsPerSecond, 1),
		done:         make(chan struct{}),
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

// runWriter saves one write at a time. It runs in a goroutine of its own, so that a
// slow disk delays neither heartbeats nor reads.
func (r *Replica) runWriter(store *storage.Store) {
	for write := range r.writes {
		r.writeResults <- store.Save(write)
	}
	_ = store.Close()
	close(r.writeResults)
}

// Stop stops the member and returns when its files are closed. If this member leads,
// Stop first transfers leadership as TransferLeadership does, and then waits up to an
// election timeout for the new leader. It returns the error with which the member failed, if any, or the error of
// ctx if that ends first.
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

// Abort stops the member without a transfer of leadership, as if its VM had failed,
// and returns when its files are closed.
func (r *Replica) Abort() {
	r.stop()
	<-r.done
}

// awaitSuccessor waits until this member knows the next leader, for at most an
// election timeout.
func (r *Replica) awaitSuccessor(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.settings.Control.ElectionTimeout))
	defer cancel()
	poll := time.NewTicker(time.Duration(r.settings.Control.HeartbeatInterval) / successorPollsPerHeartbeat)
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

// Done returns a channel that is closed when the member has stopped, by Stop, by Abort
// or by a failure.
func (r *Replica) Done() <-chan struct{} { return r.done }

// Err returns the error with which the member failed, nil if it was stopped. It may be
// called only after the channel of Done is closed.
func (r *Replica) Err() error { return r.failure }
