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
	// clusterKey is the metadata key for the cluster name of the calling VM.
	clusterKey = "x-godwityoke-cluster"
	// vmKey is the metadata key for the name of the calling VM.
	vmKey = "x-godwityoke-vm"
)

// outgoingContext returns ctx with the identity as metadata for an outgoing call.
func (i Identity) outgoingContext(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, clusterKey, i.Cluster, vmKey, i.VM)
}

func (i Identity) unaryClient(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
	return invoke(i.outgoingContext(ctx), method, request, reply, conn, options...)
}

func (i Identity) streamClient(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, options ...grpc.CallOption) (grpc.ClientStream, error) {
	return open(i.outgoingContext(ctx), desc, conn, method, options...)
}

// CallerVM returns the name of the calling VM from the metadata of an incoming call, empty if there is none. The name
// is not checked against the certificate.
func CallerVM(ctx context.Context) string {
	return incomingValue(ctx, vmKey)
}

// incomingValue returns the metadata value for key of an incoming call, empty unless there is exactly one.
func incomingValue(ctx context.Context, key string) string {
	values := metadata.ValueFromIncomingContext(ctx, key)
	if len(values) != 1 {
		return ""
	}
	return values[0]
}

// clusterChecker provides server interceptors that refuse calls with a cluster name other than cluster, unless cluster
// is empty.
type clusterChecker struct {
	cluster string
	log     zerolog.Logger
	// refusals limits the log lines about refused calls.
	refusals *rate.Limiter
}

func (c clusterChecker) check(ctx context.Context) error {
	callerCluster := incomingValue(ctx, clusterKey)
	if c.cluster == "" || callerCluster == c.cluster {
		return nil
	}
	if c.refusals.Allow() {
		observe.Log(c.log, observe.PeerClusterRefused).
			Str("peer", peerAddress(ctx)).Str("peer_vm", CallerVM(ctx)).Str("peer_cluster", callerCluster).Send()
	}
	return status.Errorf(codes.PermissionDenied, "this VM belongs to cluster %q", c.cluster)
}

func (c clusterChecker) unary(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	if err := c.check(ctx); err != nil {
		return nil, err
	}
	return handle(ctx, request)
}

func (c clusterChecker) stream(server any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	if err := c.check(stream.Context()); err != nil {
		return err
	}
	return handle(server, stream)
}

// peerAddress returns the network address of the calling VM, empty if unknown.
func peerAddress(ctx context.Context) string {
	caller, found := peer.FromContext(ctx)
	if !found {
		return ""
	}
	return caller.Addr.String()
}
