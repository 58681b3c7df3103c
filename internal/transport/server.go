package transport

import (
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// ServerOptions configures the gRPC server of a VM. The zero value means a plaintext server that accepts calls from
// every cluster.
type ServerOptions struct {
	Identity Identity
	// Certificates provides the certificates for mutual TLS; nil means plaintext.
	Certificates *Certificates
	// Log receives the events about refused peers.
	Log zerolog.Logger
}

// NewServer returns a gRPC server for the internal listener of a VM.
func NewServer(options ServerOptions) *grpc.Server {
	var creds credentials.TransportCredentials = insecure.NewCredentials()
	if options.Certificates != nil {
		creds = options.Certificates.serverCredentials(options.Log)
	}
	checker := clusterChecker{
		cluster: options.Identity.Cluster, log: options.Log,
		refusals: rate.NewLimiter(refusalLinesPerSecond, refusalLinesBurst),
	}
	return grpc.NewServer(
		grpc.Creds(creds),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(streamWindowBytes),
		grpc.InitialConnWindowSize(connWindowBytes),
		grpc.StaticStreamWindowSize(streamWindowBytes),
		grpc.StaticConnWindowSize(connWindowBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingInterval, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.UnaryInterceptor(checker.unary),
		grpc.StreamInterceptor(checker.stream),
	)
}
