package transport

import (
	"context"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// clusterKey is the metadata key of the caller's cluster name.
	clusterKey = "x-godwityoke-cluster"
	// vmKey is the metadata key of the caller's VM name.
	vmKey = "x-godwityoke-vm"
)

func (i Identity) outgoing(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, clusterKey, i.Cluster, vmKey, i.VM)
}

func (i Identity) unaryClient(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	return invoke(i.outgoing(ctx), method, request, reply, conn, options...)
}

func (i Identity) streamClient(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
	return open(i.outgoing(ctx), desc, conn, method, options...)
}

// CallerVM returns the name that the calling VM gave, empty when it gave none.
func CallerVM(ctx context.Context) string {
	return incoming(ctx, vmKey)
}

func incoming(ctx context.Context, key string) string {
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// clusterCheck refuses calls of VMs that belong to another cluster.
type clusterCheck struct {
	cluster  string
	log      zerolog.Logger
	refusals *rate.Limiter
}

func (c clusterCheck) check(ctx context.Context) error {
	given := incoming(ctx, clusterKey)
	if c.cluster == "" || given == c.cluster {
		return nil
	}
	if c.refusals.Allow() {
		observe.Log(c.log, observe.PeerClusterRefused).
			Str("peer", peerAddress(ctx)).Str("peer_vm", CallerVM(ctx)).Str("peer_cluster", given).Send()
	}
	return status.Errorf(codes.PermissionDenied, "this VM belongs to cluster %q", c.cluster)
}

func (c clusterCheck) unary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := c.check(ctx); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

func (c clusterCheck) stream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := c.check(stream.Context()); err != nil {
		return err
	}
	return handle(server, stream)
}

func peerAddress(ctx context.Context) string {
	from, found := peer.FromContext(ctx)
	if !found {
		return ""
	}
	return from.Addr.String()
}
