package transport

import (
	"context"
	"fmt"
	"net"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// ServerOptions configures the gRPC server of a VM. The zero value gives a
// plaintext server that takes calls of every cluster.
type ServerOptions struct {
	Identity Identity
	// Certificates gives the files for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// Log receives refused peers.
	Log zerolog.Logger
}

// NewServer returns a gRPC server for the internal listener of a VM.
func NewServer(options ServerOptions) *grpc.Server {
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if options.Certificates != nil {
		creds = options.Certificates.serverCredentials(options.Log)
	}
	check := clusterCheck{cluster: options.Identity.Cluster, log: options.Log}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingMinInterval, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(check.unary),
		grpc.StreamInterceptor(check.stream),
	)
}

// Listen opens a TCP listener whose connections are probed while idle.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}
