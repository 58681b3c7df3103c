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

// Server serves the watchers of this VM.
type Server struct {
	distributepb.UnimplementedDistributionServer
	node     *Node
	watchers atomic.Int64
	stop     chan struct{}
	stopOnce sync.Once
}

// NewServer returns the service of node.
func NewServer(node *Node) *Server {
	return &Server{node: node, stop: make(chan struct{})}
}

// Register adds the service to a gRPC server.
func (s *Server) Register(registrar grpc.ServiceRegistrar) {
	distributepb.RegisterDistributionServer(registrar, s)
}

// Stop ends all watches, so that watchers go elsewhere.
func (s *Server) Stop() { s.stopOnce.Do(func() { close(s.stop) }) }

// WatcherCount returns the number of watchers served now.
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

// Watch implements distributepb.DistributionServer.
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
	w := &watch{node: s.node, stream: stream, hello: first.GetHello(), want: make(chan []string, 1)}
	w.heardAt.Store(time.Now().UnixNano())
	ended := make(chan error, 2)
	go func() { ended <- w.receive(first) }()
	go func() { ended <- w.send() }()
	return s.supervise(w, ended)
}

// supervise waits until a watch fails, goes silent or the server stops. Its
// return ends the stream and with it both directions.
func (s *Server) supervise(w *watch, ended <-chan error) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case err := <-ended:
			return err
		case <-s.stop:
			return status.Error(codes.Unavailable, "this VM is stopping")
		case now := <-ticker.C:
			if now.Sub(time.Unix(0, w.heardAt.Load())) < silentAfter {
				continue
			}
			observe.Log(s.node.options.Log, observe.WatcherSilent).Str("peer_vm", w.hello.GetVm()).Send()
			return status.Error(codes.DeadlineExceeded, "the watcher went silent")
		}
	}
}

// watch is one watcher's stream at the serving side.
type watch struct {
	node    *Node
	stream  distributepb.Distribution_WatchServer
	hello   *distributepb.Hello
	heardAt atomic.Int64
	want    chan []string
}

func (w *watch) receive(message *distributepb.WatchUp) error {
	for {
		now := time.Now()
		w.heardAt.Store(now.UnixNano())
		if unknown := w.node.reports.Merge(message.GetReports(), now); len(unknown) > 0 {
			select {
			case w.want <- unknown:
			default:
			}
		}
		var err error
		if message, err = w.stream.Recv(); err != nil {
			return err
		}
	}
}

// send passes on each newer bundle and fills the pauses with heartbeats.
func (w *watch) send() error {
	version, digest := w.hello.GetVersion(), w.hello.GetDigest()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	var want []string
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
		down := &distributepb.WatchDown{Bundle: message, Path: w.node.path(), Want: want}
		if control := w.node.controlVMs(); control.GetRevision() > revision {
			down.ControlVms, revision = control, control.GetRevision()
		}
		if err := w.stream.Send(down); err != nil {
			return err
		}
		want = nil
		select {
		case <-changed:
		case want = <-w.want:
		case <-ticker.C:
		case <-w.stream.Context().Done():
			return w.stream.Context().Err()
		}
	}
}
