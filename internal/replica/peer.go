package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/consensus"
	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/replica/replicapb"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// maxOutboxMessages is the maximum number of messages queued for one member. Further
	// ones are dropped; the consensus protocol sends them again.
	maxOutboxMessages = 256
	// streamHeartbeatsPerElectionTimeout is the number of heartbeats per election timeout
	// on a stream without messages.
	streamHeartbeatsPerElectionTimeout = 4
	// startupElectionTimeouts is the time from the start of a member, in election timeouts, in
	// which it reconnects quickly: after a loss of all VMs the members start within a few hundred
	// milliseconds of each other. A connection that is refused costs little.
	startupElectionTimeouts = 2
	// startupReconnectsPerHeartbeat is how often per heartbeat interval it reconnects in that time.
	startupReconnectsPerHeartbeat = 4
	// maxLearnedPeers is the maximum number of peers that are not in the known group,
	// whose addresses were learned from their streams.
	maxLearnedPeers = 32
)

var errUnresponsive = errors.New("no answer to heartbeats")

// streamTimeout is the time after which either end closes a stream on which it has
// received nothing.
func streamTimeout(s *settings.Settings) time.Duration {
	return time.Duration(s.Control.ElectionTimeout)
}

// streamHeartbeatInterval is the maximum interval between two frames on a stream.
func streamHeartbeatInterval(s *settings.Settings) time.Duration {
	return time.Duration(s.Control.ElectionTimeout) / streamHeartbeatsPerElectionTimeout
}

// grpcNetwork sends messages to each other member over one stream, which this member
// opens. Messages to this member arrive on the streams that the others open.
type grpcNetwork struct {
	settings *settings.Settings
	pool     *transport.Pool
	logger   zerolog.Logger
	self     consensus.MemberID
	address  string
	// startedAt is when this member started.
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup

	mu sync.Mutex
	// peers holds the other members to which streams are kept open, by member ID.
	peers map[consensus.MemberID]*peer
	// inGroup holds the members of the group. Peers that are not in it were learned from
	// their streams.
	inGroup map[consensus.MemberID]bool
}

func newGRPCNetwork(options *Options, self consensus.MemberID, address string) *grpcNetwork {
	n := &grpcNetwork{
		settings: options.Settings,
		pool:     options.Pool,
		logger:   options.Logger,
		self:     self,
		address:  address, startedAt: time.Now(),
		peers: map[consensus.MemberID]*peer{},
	}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	return n
}

func (n *grpcNetwork) send(m *consensus.Message) {
	n.mu.Lock()
	to := n.peers[m.To]
	n.mu.Unlock()
	if to == nil {
		return
	}
	select {
	case to.outbox <- m:
	default:
	}
}

func (n *grpcNetwork) update(membership consensus.Membership) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inGroup = map[consensus.MemberID]bool{}
	for _, member := range membership.Members {
		n.inGroup[member.ID] = true
		if member.ID != n.self {
			n.connect(member.ID, member.Address)
		}
	}
	for id, old := range n.peers {
		if !n.inGroup[id] {
			old.cancel()
			delete(n.peers, id)
		}
	}
}

// learnAddress adds a peer that is not in the group as known to this member, or updates
// its address. A new learner receives messages of the leader before it has the log with
// the membership, and must be able to respond.
func (n *grpcNetwork) learnAddress(id consensus.MemberID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" || id == n.self || n.inGroup[id] || n.ctx.Err() != nil {
		return
	}
	if n.peers[id] == nil && len(n.peers) >= len(n.inGroup)+maxLearnedPeers {
		return
	}
	n.connect(id, address)
}

// connect starts a peer, or replaces it if its address has changed. The caller must
// hold mu.
func (n *grpcNetwork) connect(id consensus.MemberID, address string) {
	if old := n.peers[id]; old != nil {
		if old.address == address {
			return
		}
		old.cancel()
	}
	p := &peer{network: n, id: id, address: address, outbox: make(chan *consensus.Message, maxOutboxMessages)}
	p.ctx, p.cancel = context.WithCancel(n.ctx)
	n.peers[id] = p
	n.running.Go(p.run)
}

func (n *grpcNetwork) describe(ctx context.Context, address string) (memberInfo, error) {
	conn, err := n.pool.Conn(address)
	if err != nil {
		return memberInfo{}, err
	}
	answer, err := replicapb.NewReplicaClient(conn).Describe(ctx, &replicapb.DescribeRequest{Cluster: n.settings.Cluster})
	if err != nil {
		return memberInfo{}, err
	}
	return memberInfo{
		name:       answer.GetName(),
		member:     consensus.MemberID(answer.GetMember()),
		group:      answer.GetGroup(),
		bootstrap:  answer.GetBootstrap(),
		controlVMs: answer.GetListed(),
	}, nil
}

func (n *grpcNetwork) close() {
	n.cancel()
	n.running.Wait()
}

// peer sends the messages to one other member.
type peer struct {
	network *grpcNetwork
	id      consensus.MemberID
	address string
	outbox  chan *consensus.Message
	ctx     context.Context
	cancel  context.CancelFunc
}

// reconnectDelay returns the delay before the next stream is opened. In the time after the
// start of this member it also ends the wait of gRPC after a refused connection.
func (p *peer) reconnectDelay() time.Duration {
	control := &p.network.settings.Control
	delay := time.Duration(control.HeartbeatInterval)
	if time.Since(p.network.startedAt) >= startupElectionTimeouts*time.Duration(control.ElectionTimeout) {
		return delay
	}
	if conn, err := p.network.pool.Conn(p.address); err == nil {
		conn.ResetConnectBackoff()
	}
	return delay / startupReconnectsPerHeartbeat
}

// run keeps a stream to the member open until p.ctx ends. It opens the next stream
// reconnectDelay after the end of the previous one. It logs the member as unreachable
// when a stream ends on which the member answered, or when the first stream fails.
func (p *peer) run() {
	reachable := true
	for p.ctx.Err() == nil {
		answered, err := p.exchange()
		if p.ctx.Err() != nil {
			return
		}
		if reachable || answered {
			observe.Log(p.network.logger, observe.MemberUnreachable).
				Uint64("member", uint64(p.id)).Str("address", p.address).Err(err).Send()
		}
		reachable = false
		select {
		case <-time.After(p.reconnectDelay()):
		case <-p.ctx.Done():
		}
	}
}

// exchange runs one stream until it ends, and reports whether the member answered on
// it. If the member became unresponsive, exchange also discards the connection, which
// may be broken without an error from TCP.
func (p *peer) exchange() (answered bool, err error) {
	conn, err := p.network.pool.Conn(p.address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(nil)
	heartbeats := make(chan struct{}, 1)
	watchDone := make(chan struct{})
	go func() {
		defer close(watchDone)
		answered = p.watchHeartbeats(ctx, heartbeats, cancel)
	}()
	err = p.runStream(ctx, conn, heartbeats, cancel)
	cancel(err)
	<-watchDone
	if cause := context.Cause(ctx); errors.Is(cause, errUnresponsive) {
		p.network.pool.Discard(p.address, conn)
		err = cause
	}
	return answered, err
}

// watchHeartbeats cancels the stream with errUnresponsive if no heartbeat has been
// received within streamTimeout. It reports whether any was received.
func (p *peer) watchHeartbeats(ctx context.Context, heartbeats <-chan struct{}, cancel context.CancelCauseFunc) (received bool) {
	timeout := streamTimeout(p.network.settings)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		select {
		case <-heartbeats:
			timer.Reset(timeout)
			if !received {
				received = true
				observe.Log(p.network.logger, observe.MemberReachable).
					Uint64("member", uint64(p.id)).Str("address", p.address).Send()
			}
		case <-timer.C:
			cancel(errUnresponsive)
			return received
		case <-ctx.Done():
			return received
		}
	}
}

// runStream sends frames until the stream ends, and passes on the heartbeats received.
func (p *peer) runStream(ctx context.Context, conn *grpc.ClientConn, heartbeats chan<- struct{},
	cancel context.CancelCauseFunc) error {
	stream, err := replicapb.NewReplicaClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	go func() {
		for {
			if _, err := stream.Recv(); err != nil {
				cancel(err)
				return
			}
			select {
			case heartbeats <- struct{}{}:
			default:
			}
		}
	}()
	return p.sendFrames(ctx, stream)
}

// sendFrames sends a first frame with the cluster and this member's address, then the
// queued messages, and a heartbeat if there is no message within
// streamHeartbeatInterval.
func (p *peer) sendFrames(ctx context.Context, stream grpc.BidiStreamingClient[replicapb.Frame, replicapb.Pulse]) error {
	first := &replicapb.Frame{Cluster: p.network.settings.Cluster, Address: p.network.address}
	if err := stream.Send(first); err != nil {
		return err
	}
	interval := streamHeartbeatInterval(p.network.settings)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	var header streamHeader
	for {
		frame := &replicapb.Frame{}
		select {
		case m := <-p.outbox:
			frame.Message = codec.MessageToProto(m)
			header.strip(frame.Message)
			ticker.Reset(interval)
		case <-ticker.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
}
