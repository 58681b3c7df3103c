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
	// outboxMessages bounds the messages that wait for one member; further ones
	// are dropped and sent again by the protocol.
	outboxMessages = 256
	// pulsesPerElectionTimeout is how often a stream without messages is probed.
	pulsesPerElectionTimeout = 4
	// maxLearnt bounds the addresses learnt from members outside the group.
	maxLearnt = 32
)

var errSilent = errors.New("no answer to heartbeats")

func silenceLimit(s *settings.Settings) time.Duration {
	return time.Duration(s.Control.ElectionTimeout)
}

// pulseInterval is the longest time between two frames of a stream.
func pulseInterval(s *settings.Settings) time.Duration {
	return time.Duration(s.Control.ElectionTimeout) / pulsesPerElectionTimeout
}

// grpcNetwork sends messages over one stream to each other member.
type grpcNetwork struct {
	settings *settings.Settings
	pool     *transport.Pool
	logger   zerolog.Logger
	self     consensus.MemberID
	address  string
	ctx      context.Context
	cancel   context.CancelFunc
	running  sync.WaitGroup

	mu    sync.Mutex
	peers map[consensus.MemberID]*peer
	// group are the members of the group; others were learnt from messages.
	group map[consensus.MemberID]bool
}

func newGRPCNetwork(options *Options, self consensus.MemberID, address string) *grpcNetwork {
	n := &grpcNetwork{
		settings: options.Settings,
		pool:     options.Pool,
		logger:   options.Logger,
		self:     self,
		address:  address,
		peers:    map[consensus.MemberID]*peer{},
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
	n.group = map[consensus.MemberID]bool{}
	for _, member := range membership.Members {
		n.group[member.ID] = true
		if member.ID != n.self {
			n.connect(member.ID, member.Address)
		}
	}
	for id, old := range n.peers {
		if !n.group[id] {
			old.cancel()
			delete(n.peers, id)
		}
	}
}

// learn notes the address of a member that is not in this member's view of the
// group: a new learner hears from a leader before it has the log.
func (n *grpcNetwork) learn(id consensus.MemberID, address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if address == "" || id == n.self || n.group[id] || n.ctx.Err() != nil {
		return
	}
	if n.peers[id] == nil && len(n.peers) >= len(n.group)+maxLearnt {
		return
	}
	n.connect(id, address)
}

// connect makes the peer, or replaces it when its address changed. The caller
// holds mu.
func (n *grpcNetwork) connect(id consensus.MemberID, address string) {
	if old := n.peers[id]; old != nil {
		if old.address == address {
			return
		}
		old.cancel()
	}
	p := &peer{network: n, id: id, address: address, outbox: make(chan *consensus.Message, outboxMessages)}
	p.ctx, p.cancel = context.WithCancel(n.ctx)
	n.peers[id] = p
	n.running.Go(p.run)
}

func (n *grpcNetwork) describe(ctx context.Context, address string) (description, error) {
	conn, err := n.pool.Conn(address)
	if err != nil {
		return description{}, err
	}
	answer, err := replicapb.NewReplicaClient(conn).Describe(ctx, &replicapb.DescribeRequest{Cluster: n.settings.Cluster})
	if err != nil {
		return description{}, err
	}
	return description{
		name:      answer.GetName(),
		member:    consensus.MemberID(answer.GetMember()),
		group:     answer.GetGroup(),
		bootstrap: answer.GetBootstrap(),
		listed:    answer.GetListed(),
	}, nil
}

func (n *grpcNetwork) close() {
	n.cancel()
	n.running.Wait()
}

// peer feeds the stream to one other member.
type peer struct {
	network *grpcNetwork
	id      consensus.MemberID
	address string
	outbox  chan *consensus.Message
	ctx     context.Context
	cancel  context.CancelFunc
}

// run keeps a stream open. One that ended or went silent is abandoned with its
// connection, and a new one is opened.
func (p *peer) run() {
	pause := time.Duration(p.network.settings.Control.HeartbeatInterval)
	reachable := true
	for p.ctx.Err() == nil {
		up, err := p.exchange()
		if p.ctx.Err() != nil {
			return
		}
		if reachable || up {
			observe.Log(p.network.logger, observe.MemberUnreachable).
				Uint64("member", uint64(p.id)).Str("address", p.address).Err(err).Send()
		}
		reachable = false
		select {
		case <-time.After(pause):
		case <-p.ctx.Done():
		}
	}
}

// exchange runs one stream to its end and tells whether it ever was up.
func (p *peer) exchange() (up bool, err error) {
	conn, err := p.network.pool.Conn(p.address)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancelCause(p.ctx)
	defer cancel(nil)
	pulses := make(chan struct{}, 1)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		up = p.watch(ctx, pulses, cancel)
	}()
	err = p.runStream(ctx, conn, pulses, cancel)
	cancel(err)
	<-watched
	if cause := context.Cause(ctx); errors.Is(cause, errSilent) {
		p.network.pool.Discard(p.address, conn)
		err = cause
	}
	return up, err
}

// watch ends the stream when no pulse came for the silence limit.
func (p *peer) watch(ctx context.Context, pulses <-chan struct{}, cancel context.CancelCauseFunc) (up bool) {
	limit := silenceLimit(p.network.settings)
	silence := time.NewTimer(limit)
	defer silence.Stop()
	for {
		select {
		case <-pulses:
			silence.Reset(limit)
			if !up {
				up = true
				observe.Log(p.network.logger, observe.MemberReachable).
					Uint64("member", uint64(p.id)).Str("address", p.address).Send()
			}
		case <-silence.C:
			cancel(errSilent)
			return up
		case <-ctx.Done():
			return up
		}
	}
}

func (p *peer) runStream(ctx context.Context, conn *grpc.ClientConn, pulses chan<- struct{}, cancel context.CancelCauseFunc) error {
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
			case pulses <- struct{}{}:
			default:
			}
		}
	}()
	return p.sendFrames(ctx, stream)
}

func (p *peer) sendFrames(ctx context.Context, stream grpc.BidiStreamingClient[replicapb.Frame, replicapb.Pulse]) error {
	first := &replicapb.Frame{Cluster: p.network.settings.Cluster, Address: p.network.address}
	if err := stream.Send(first); err != nil {
		return err
	}
	interval := pulseInterval(p.network.settings)
	probe := time.NewTicker(interval)
	defer probe.Stop()
	var header streamHeader
	for {
		frame := &replicapb.Frame{}
		select {
		case m := <-p.outbox:
			frame.Message = codec.MessageToProto(m)
			header.strip(frame.Message)
			probe.Reset(interval)
		case <-probe.C:
		case <-ctx.Done():
			return context.Cause(ctx)
		}
		if err := stream.Send(frame); err != nil {
			return err
		}
	}
}
