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

// replicaForwarder forwards the calls of the Replica service to the running
// member of the control group, so that the member can be restarted while the
// gRPC server keeps running.
type replicaForwarder struct {
	replicapb.UnimplementedReplicaServer
	// current is the service of the member started last; nil before the first start.
	current atomic.Pointer[replicapb.ReplicaServer]
}

var errNoMember = status.Error(codes.Unavailable, "no member of the control group runs here now")

func (f *replicaForwarder) register(registrar *grpc.Server) {
	replicapb.RegisterReplicaServer(registrar, f)
}

func (f *replicaForwarder) setMember(member *replica.Replica) {
	server := member.Service()
	f.current.Store(&server)
}

// Describe implements replicapb.ReplicaServer.
func (f *replicaForwarder) Describe(ctx context.Context, request *replicapb.DescribeRequest) (*replicapb.DescribeResponse, error) {
	if current := f.current.Load(); current != nil {
		return (*current).Describe(ctx, request)
	}
	return nil, errNoMember
}

// Exchange implements replicapb.ReplicaServer.
func (f *replicaForwarder) Exchange(stream grpc.BidiStreamingServer[replicapb.Frame, replicapb.Pulse]) error {
	if current := f.current.Load(); current != nil {
		return (*current).Exchange(stream)
	}
	return errNoMember
}
