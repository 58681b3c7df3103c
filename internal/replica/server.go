package replica

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/consensus/codec"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/replica/replicapb"
)

// server is the gRPC service that the other control VMs call.
type server struct {
	replicapb.UnimplementedReplicaServer
	replica *Replica
}

// Register adds the gRPC service of this member to a server.
func (r *Replica) Register(registrar *grpc.Server) {
	replicapb.RegisterReplicaServer(registrar, r.Service())
}

// Service returns the gRPC service of this member, for a server that outlives the
// member.
func (r *Replica) Service() replicapb.ReplicaServer { return &server{replica: r} }

// Describe implements replicapb.ReplicaServer.
func (s *server) Describe(_ context.Context, request *replicapb.DescribeRequest) (*replicapb.DescribeResponse, error) {
	if err := s.checkCluster(request.GetCluster()); err != nil {
		return nil, err
	}
	self := s.replica.describeSelf()
	return &replicapb.DescribeResponse{
		Name:      self.name,
		Member:    uint64(self.member),
		Group:     self.group,
		Bootstrap: self.bootstrap,
		Listed:    self.controlVMs,
	}, nil
}

// Exchange implements replicapb.ReplicaServer. It receives the messages of one other
// member until the stream ends or no frame has arrived within streamTimeout. It answers
// frames with heartbeats, but at most one per half of streamHeartbeatInterval.
func (s *server) Exchange(stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse]) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if err := s.checkCluster(first.GetCluster()); err != nil {
		return err
	}
	frames := make(chan *replicapb.Frame)
	ctx, cancel := context.WithCancel(stream.Context())
	defer cancel()
	go receiveFrames(ctx, stream, frames)
	return s.serveFrames(ctx, stream, first, frames)
}

// receiveFrames passes on the frames of a stream, and closes frames when the stream ends.
func receiveFrames(ctx context.Context, stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse],
	frames chan<- *replicapb.Frame) {
	defer close(frames)
	for {
		frame, err := stream.Recv()
		if err != nil {
			return
		}
		select {
		case frames <- frame:
		case <-ctx.Done():
			return
		}
	}
}

// serveFrames handles first and the frames that follow until the stream ends.
func (s *server) serveFrames(ctx context.Context, stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse],
	first *replicapb.Frame, frames <-chan *replicapb.Frame) error {
	timeout := streamTimeout(s.replica.settings)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	var lastHeartbeat time.Time
	var header streamHeader
	for frame := first; ; {
		s.handleFrame(frame, &header, first.GetAddress())
		if time.Since(lastHeartbeat) >= streamHeartbeatInterval(s.replica.settings)/2 {
			lastHeartbeat = time.Now()
			if err := stream.Send(&replicapb.Pulse{}); err != nil {
				return err
			}
		}
		var open bool
		select {
		case frame, open = <-frames:
			if !open {
				return nil
			}
			timer.Reset(timeout)
		case <-timer.C:
			return status.Error(codes.DeadlineExceeded, "the stream went silent")
		case <-ctx.Done():
			return ctx.Err()
		case <-s.replica.stopping.Done():
			return status.Error(codes.Unavailable, "the member stops")
		}
	}
}

// handleFrame passes the message of a frame, if it has one, to the control goroutine.
// The address is that of the sender.
func (s *server) handleFrame(frame *replicapb.Frame, header *streamHeader, address string) {
	if frame.GetMessage() == nil {
		return
	}
	header.restore(frame.GetMessage())
	m, err := codec.MessageFromProto(frame.GetMessage())
	if err != nil {
		s.replica.logRefused(err)
		return
	}
	if network, ok := s.replica.network.(*grpcNetwork); ok && m.To == s.replica.member {
		network.learnAddress(m.From, address)
	}
	s.replica.receive(m)
}

// checkCluster refuses callers of another cluster.
func (s *server) checkCluster(cluster string) error {
	if cluster == s.replica.settings.Cluster {
		return nil
	}
	if s.replica.logLimiter.Allow() {
		observe.Log(s.replica.logger, observe.StreamRefused).Str("cluster", cluster).Send()
	}
	return status.Error(codes.PermissionDenied, "this VM belongs to another cluster")
}
