package distribute

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"godwityoke.example/godwityoke/internal/distribute/distributepb"
	"godwityoke.example/godwityoke/internal/observe"
)

// Server implements the Distribution service of a node: it serves the watchers of this VM and the polls of other VMs.
type Server struct {
	distributepb.UnimplementedDistributionServer
	node *Node
	// watchers is the current number of watchers, without control VMs.
	watchers atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
}

// NewServer returns a Server for node.
func NewServer(node *Node) *Server {
	return &Server{node: node, stop: make(chan struct{})}
}

// Register registers the service with a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	distributepb.RegisterDistributionServer(registrar, s)
}

// Stop ends the streams of all watchers, so that they watch other VMs.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// WatcherCount returns the current number of watchers, without control VMs.
func (s *Server) WatcherCount() int { return int(s.watchers.Load()) }

// Newest implements distributepb.DistributionServer.
func (s *Server) Newest(_ context.Context, request *distributepb.NewestRequest) (*distributepb.NewestReply, error) {
	message, err := s.node.store.MessageFor(request.GetVersion(), "")
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &distributepb.NewestReply{
		Version: s.node.store.Newest().Version(),
		Bundle:  message,
		Path:    s.node.path(),
	}, nil
}

// Watch implements distributepb.DistributionServer. A watcher beyond MaxWatchers gets one message that says that this VM
// is busy.
func (s *Server) Watch(stream distributepb.Distribution_WatchServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello().GetVm() == "" {
		return status.Error(codes.InvalidArgument, "the first message has no hello")
	}
	if !first.GetHello().GetControl() {
		defer s.watchers.Add(-1)
		if s.watchers.Add(1) > int64(s.node.options.MaxWatchers) {
			return stream.Send(&distributepb.WatchDown{Busy: true})
		}
	}
	w := &watcherStream{node: s.node, stream: stream, hello: first.GetHello(), wantedVMs: make(chan []string, 1)}
	w.lastSeen.Store(time.Now().UnixNano())
	ended := make(chan error, 2)
	go func() { ended <- w.receiveReports(first) }()
	go func() { ended <- w.send() }()
	return s.supervise(w, ended)
}

// supervise waits until one direction of the stream ends, the watcher is unresponsive or the server stops. When it
// returns, gRPC ends the stream and so the goroutines of both directions.
func (s *Server) supervise(w *watcherStream, ended <-chan error) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-s.stop:
			return status.Error(codes.Unavailable, "this VM is stopping")
		case now := <-ticker.C:
			if now.Sub(time.Unix(0, w.lastSeen.Load())) < unresponsiveAfter {
				continue
			}
			observe.Log(s.node.options.Log, observe.WatcherSilent).Str("peer_vm", w.hello.GetVm()).Send()
			return status.Error(codes.DeadlineExceeded, "the watcher went silent")
		}
	}
}

// watcherStream is the stream of one watcher.
type watcherStream struct {
	node   *Node
	stream distributepb.Distribution_WatchServer
	hello  *distributepb.Hello
	// lastSeen is the Unix time in nanoseconds of the last message from the watcher.
	lastSeen atomic.Int64
	// wantedVMs passes, from receiveReports to send, the VMs whose report bodies are missing. A list is dropped while
	// the channel is full; the next confirmation of these reports requests their bodies again.
	wantedVMs chan []string
}

// receiveReports merges the reports of message and of all further messages, until the stream fails.
func (w *watcherStream) receiveReports(message *distributepb.WatchUp) error {
	for {
		now := time.Now()
		w.lastSeen.Store(now.UnixNano())
		if unknownVMs := w.node.reports.Merge(message.GetReports(), now); len(unknownVMs) > 0 {
			select {
			case w.wantedVMs <- unknownVMs:
			default:
			}
		}
		var err error
		if message, err = w.stream.Recv(); err != nil {
			return err
		}
	}
}

// send sends each newer bundle, later members of the control group and requests for report bodies, and heartbeats in
// between. The path is part of each message.
func (w *watcherStream) send() error {
	version, digest := w.hello.GetVersion(), w.hello.GetDigest()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var wantedVMs []string
	var revision uint64
	for {
		changed := w.node.store.Changed()
		message, err := w.node.store.MessageFor(version, digest)
		if err != nil {
			return status.Error(codes.Internal, err.Error())
		}
		if message != nil {
			version, digest = message.GetVersion(), message.GetDigest()
		}
		down := &distributepb.WatchDown{Bundle: message, Path: w.node.path(), Want: wantedVMs}
		if controlVMs := w.node.controlVMs(); controlVMs.GetRevision() > revision {
			down.ControlVms, revision = controlVMs, controlVMs.GetRevision()
		}
		if err := w.stream.Send(down); err != nil {
			return err
		}
		wantedVMs = nil
		select {
		case <-changed:
		case wantedVMs = <-w.wantedVMs:
		case <-ticker.C:
		case <-w.stream.Context().Done():
			return w.stream.Context().Err()
		}
	}
}
