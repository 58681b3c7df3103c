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

// server takes the calls of other control VMs.
type server struct {
	replicapb.UnimplementedReplicaServer
	replica *Replica
}

// Register serves this member on a gRPC server.
func (r *Replica) Register(registrar *grpc.Server) {
	replicapb.RegisterReplicaServer(registrar, r.Service())
}

// Service returns the gRPC service of this member, for a server that outlives it.
func (r *Replica) Service() replicapb.ReplicaServer { return &server{replica: r} }

// Describe tells which member serves this address.
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
		Listed:    self.listed,
	}, nil
}

// Exchange takes the messages of one other member until the stream ends or
// falls silent. Frames are answered with pulses, but not each of them.
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

func receiveFrames(ctx context.Context, stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse], frames chan<- *replicapb.Frame) {
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

func (s *server) serveFrames(ctx context.Context, stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse],
	first *replicapb.Frame, frames <-chan *replicapb.Frame) error {
	limit := silenceLimit(s.replica.settings)
	silence := time.NewTimer(limit)
	defer silence.Stop()
	var pulsed time.Time
	var header streamHeader
	for frame := first; ; {
		s.takeFrame(frame, &header, first.GetAddress())
		if time.Since(pulsed) >= pulseInterval(s.replica.settings)/2 {
			pulsed = time.Now()
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
			silence.Reset(limit)
		case <-silence.C:
			return status.Error(codes.DeadlineExceeded, "the stream went silent")
		case <-ctx.Done():
			return ctx.Err()
		case <-s.replica.stopping.Done():
			return status.Error(codes.Unavailable, "the member stops")
		}
	}
}

// takeFrame hands over the message of a frame, if it has one.
func (s *server) takeFrame(frame *replicapb.Frame, header *streamHeader, address string) {
	if frame.GetMessage() == nil {
		return
	}
	header.restore(frame.GetMessage())
	m, err := codec.MessageFromProto(frame.GetMessage())
	if err != nil {
		s.replica.logRefusal(err)
		return
	}
	if network, ok := s.replica.network.(*grpcNetwork); ok && m.To == s.replica.member {
		network.learn(m.From, address)
	}
	s.replica.receive(m)
}

func (s *server) checkCluster(cluster string) error {
	if cluster == s.replica.settings.Cluster {
		return nil
	}
	if s.replica.refusals.Allow() {
		observe.Log(s.replica.logger, observe.StreamRefused).Str("cluster", cluster).Send()
	}
	return status.Error(codes.PermissionDenied, "this VM belongs to another cluster")
}
