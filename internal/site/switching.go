package site

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/replica"
	"godwityoke.example/godwityoke/internal/replica/replicapb"
)

// switchingServer serves the member of the control group that runs now, which
// may be started again under a running gRPC server.
type switchingServer struct {
	replicapb.UnimplementedReplicaServer
	current atomic.Pointer[replicapb.ReplicaServer]
}

var errNoMember = status.Error(codes.Unavailable, "no member of the control group runs here now")

func (s *switchingServer) register(registrar *grpc.Server) {
	replicapb.RegisterReplicaServer(registrar, s)
}

func (s *switchingServer) set(member *replica.Replica) {
	service := member.Service()
	s.current.Store(&service)
}

// Describe implements replicapb.ReplicaServer.
func (s *switchingServer) Describe(ctx context.Context, request *replicapb.DescribeRequest) (*replicapb.DescribeResponse, error) {
	if current := s.current.Load(); current != nil {
		return (*current).Describe(ctx, request)
	}
	return nil, errNoMember
}

// Exchange implements replicapb.ReplicaServer.
func (s *switchingServer) Exchange(stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse]) error {
	if current := s.current.Load(); current != nil {
		return (*current).Exchange(stream)
	}
	return errNoMember
}
