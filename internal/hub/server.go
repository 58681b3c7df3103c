package hub

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/registry"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

const (
	// proposeTimeout limits the wait until a majority has a route table on disk.
	proposeTimeout = 2500 * time.Millisecond
	// readTimeout limits the check that this VM still leads.
	readTimeout = 1500 * time.Millisecond
	// outboxFrames is the capacity of an outbox, in frames, on both sides of a
	// stream.
	outboxFrames = 256
	// entryTimeout is the time without a frame from an entry VM after which its
	// stream is ended.
	entryTimeout = 3 * time.Second
)

// Reasons for which a control VM ends the stream of an entry VM.
var (
	errSuperseded   = errors.New("the entry VM attached again")
	errOutboxFull   = errors.New("the entry VM does not receive its frames fast enough")
	errEntryTimeout = errors.New("no frame from the entry VM within the timeout")
	errStopping     = errors.New("the control VM stops")
	errStarting     = errors.New("the control group is being formed")
	errRedirected   = errors.New("the entry VM is sent to another control VM")
)

// PutRoutes implements the gRPC service. It succeeds on the leader only.
func (h *Hub) PutRoutes(ctx context.Context, request *hubpb.PutRoutesRequest) (*hubpb.PutRoutesReply, error) {
	group := h.options.Group()
	if group == nil {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	table := &registrypb.RouteTable{Version: request.GetTable().GetVersion(), Content: request.GetTable().GetContent()}
	command, err := registry.Encode(&registrypb.Command{Kind: &registrypb.Command_PutRoutes{PutRoutes: &registrypb.PutRoutes{Table: table}}})
	if err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	encoded, err := group.Propose(ctx, command)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	result, err := registry.DecodeResult(encoded)
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &hubpb.PutRoutesReply{Version: result.Version}, nil
}

// GetRoutes implements the gRPC service. It succeeds on the leader only, unless the request asks for the table in force here.
func (h *Hub) GetRoutes(ctx context.Context, request *hubpb.GetRoutesRequest) (*hubpb.GetRoutesReply, error) {
	if request.GetInForce() {
		return h.tableInForce(ctx, request.GetKnownVersion())
	}
	group := h.options.Group()
	if group == nil {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := group.ReadBarrier(ctx); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &hubpb.GetRoutesReply{Table: storedTable(h.options.Registry)}, nil
}

// Join implements the gRPC service. A VM that does not lead forwards the request
// to the leader that it knows.
func (h *Hub) Join(ctx context.Context, request *hubpb.JoinRequest) (*hubpb.JoinReply, error) {
	group := h.options.Group()
	if group == nil {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	if group.Leadership().IsLeader {
		h.options.OnJoin(Joiner{Member: request.GetMember(), Name: request.GetName(), Address: request.GetAddress()})
		return &hubpb.JoinReply{}, nil
	}
	client, err := h.leaderClient()
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return client.Join(ctx, request)
}

// Leave implements the gRPC service. It succeeds on the leader only.
func (h *Hub) Leave(ctx context.Context, request *hubpb.LeaveRequest) (*hubpb.LeaveReply, error) {
	group := h.options.Group()
	if group == nil || !group.Leadership().IsLeader {
		return nil, status.Error(codes.Unavailable, ErrNoLeader.Error())
	}
	leaver := Joiner{Member: request.GetMember(), Name: request.GetName(), Address: request.GetAddress()}
	if err := h.options.OnLeave(ctx, leaver); err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &hubpb.LeaveReply{}, nil
}

// Spread implements the gRPC service.
func (h *Hub) Spread(ctx context.Context, request *hubpb.SpreadRequest) (*hubpb.SpreadReply, error) {
	now := time.Now()
	reply := make(chan struct{})
	m := serversAnnounced{servers: serversFromProto(request.GetServers(), now), reply: reply, entries: request.GetEntryVms(), relays: relaysFromProto(request.GetRelays()), evidence: evidenceFromProto(request.GetEvidence(), now), limits: limitsFromProto(request.GetLimits(), now),
		sender: request.GetSender(), control: controlVM{zone: request.GetSenderZone(), forwards: request.GetForwards(), knowsLeader: request.GetKnowsLeader()},
		tableVersion: request.GetTableVersion()}
	if err := h.send(ctx, m); err != nil {
		return nil, err
	}
	if err := await(ctx, reply); err != nil {
		return nil, err
	}
	return &hubpb.SpreadReply{TableVersion: h.core.tableVersion.Load()}, nil
}

// FindLeader implements the gRPC service. It answers also while the hub's goroutine is busy.
func (h *Hub) FindLeader(context.Context, *hubpb.FindLeaderRequest) (*hubpb.FindLeaderReply, error) {
	group := h.options.Group()
	if group == nil {
		return &hubpb.FindLeaderReply{}, nil
	}
	leadership := group.Leadership()
	return &hubpb.FindLeaderReply{Leader: leadership.LeaderName, Term: leadership.Term}, nil
}

// Attach implements the gRPC service. It serves the stream of one entry VM until
// the stream or the hub ends.
func (h *Hub) Attach(stream grpc.BidiStreamingServer[hubpb.EntryFrame, hubpb.HubFrame]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	hello := first.GetHello()
	if hello == nil {
		return status.Error(codes.InvalidArgument, "the first frame must open the stream")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	defer cancel(nil)
	s := newSession(hello, cancel)
	if err := h.send(ctx, entryAttached{session: s, frame: first}); err != nil {
		return err
	}
	go h.receive(ctx, cancel, stream, s)
	err = h.sendFrames(ctx, stream, s)
	_ = h.send(context.WithoutCancel(ctx), entryDetached{session: s, cause: err})
	return status.Errorf(codes.Unavailable, "stream of entry VM %s ended: %v", s.vm, err)
}

// sendFrames sends the frames of a session until its stream or the hub ends, or the entry VM
// is sent to another control VM. It returns the reason.
func (h *Hub) sendFrames(ctx context.Context, stream grpc.BidiStreamingServer[hubpb.EntryFrame, hubpb.HubFrame], s *session) error {
	return sendQueued(ctx, h.done, s.outbox, func(frame *hubpb.HubFrame) error {
		if err := stream.Send(frame); err != nil {
			return err
		}
		if frame.GetRedirect() != "" {
			return errRedirected
		}
		return nil
	})
}

// sendQueued calls send with each message in outbox until that fails, ctx ends or stopping is
// closed, and returns the reason.
func sendQueued[M any](ctx context.Context, stopping <-chan struct{}, outbox <-chan M, send func(M) error) error {
	for {
		select {
		case message := <-outbox:
			if err := send(message); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-stopping:
			return errStopping
		}
	}
}

// receive forwards the frames of one entry VM to the hub's goroutine until the
// stream ends or no frame has arrived for entryTimeout.
func (h *Hub) receive(ctx context.Context, cancel context.CancelCauseFunc, stream grpc.BidiStreamingServer[hubpb.EntryFrame, hubpb.HubFrame], s *session) {
	idleTimer := time.AfterFunc(entryTimeout, func() { cancel(errEntryTimeout) })
	defer idleTimer.Stop()
	for {
		frame, err := stream.Recv()
		if err != nil {
			cancel(err)
			return
		}
		idleTimer.Reset(entryTimeout)
		if err := h.send(ctx, entryFrameReceived{session: s, frame: frame}); err != nil {
			cancel(err)
			return
		}
	}
}
