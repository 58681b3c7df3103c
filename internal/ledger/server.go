package ledger

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// queueLength bounds the requests that wait for the next sync.
	queueLength = 1024
	// batchLength bounds the requests that share one sync.
	batchLength = 256
	// pruneInterval is the time between removals of old entries.
	pruneInterval = 10 * time.Minute
	// rewriteFactor is how many times longer than its entries the log may get.
	rewriteFactor = 4
	// rewriteMinimum is the log length below which it is never rewritten.
	rewriteMinimum = 10_000
)

// Log keeps the changes of a holder on disk.
type Log interface {
	// Replay calls apply with each synced change in order.
	Replay(apply func(change []byte) error) error
	// Append writes changes and returns after they are synced.
	Append(changes [][]byte) error
	// Rewrite replaces all changes and returns after they are synced.
	Rewrite(changes [][]byte) error
}

// EntrySource reads all entries of another holder, for a repair.
type EntrySource interface {
	// Entries calls each with every entry of the holder at address, which must
	// be in the given epoch and granting.
	Entries(ctx context.Context, address string, epoch uint64, each func(*ledgerpb.EntriesReply)) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	// MemberID is the identity of the data folder.
	MemberID uint64
	// Retention returns how long entries are kept.
	Retention func() time.Duration
	Log       Log
	Source    EntrySource
	Logger    zerolog.Logger
}

type pendingRequest struct {
	request *ledgerpb.Request
	reply   chan *ledgerpb.Reply
}

// Server is one holder of claim records. One goroutine owns its state; requests
// that wait together share one sync.
type Server struct {
	ledgerpb.UnimplementedLedgerServer
	options  ServerOptions
	core     *Core
	logged   int
	requests chan pendingRequest
	tasks    chan func()
	failed   chan error
}

// NewServer replays the log and returns a server that serves once Run is called.
func NewServer(options ServerOptions) (*Server, error) {
	s := &Server{
		options:  options,
		core:     NewCore(options.MemberID),
		requests: make(chan pendingRequest, queueLength),
		tasks:    make(chan func()),
		failed:   make(chan error, 1),
	}
	err := options.Log.Replay(func(raw []byte) error {
		change := &ledgerpb.Change{}
		if err := proto.Unmarshal(raw, change); err != nil {
			return fmt.Errorf("decode a change: %w", err)
		}
		s.core.Replay(change)
		s.logged++
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("replay the claim records: %w", err)
	}
	return s, nil
}

// Register adds the holder's service to a gRPC server.
func (s *Server) Register(server *grpc.Server) { ledgerpb.RegisterLedgerServer(server, s) }

// Run owns the holder's state until ctx ends or a write fails. After a failed
// write nothing is granted any more, since what is on disk is not known.
func (s *Server) Run(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.requests:
			if err := s.serve(s.batch(first)); err != nil {
				observe.Log(s.options.Logger, observe.LedgerWriteFailed).Err(err).Send()
				return err
			}
		case task := <-s.tasks:
			task()
		case err := <-s.failed:
			return err
		case <-prune.C:
			s.core.Prune(time.Now(), s.options.Retention())
		}
	}
}

func (s *Server) batch(first pendingRequest) []pendingRequest {
	batch := []pendingRequest{first}
	for len(batch) < batchLength {
		select {
		case next := <-s.requests:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// serve applies a batch, syncs its changes and only then replies.
func (s *Server) serve(batch []pendingRequest) error {
	now := time.Now()
	replies := make([]*ledgerpb.Reply, len(batch))
	var changes []*ledgerpb.Change
	for i, pending := range batch {
		reply, change := s.core.Apply(pending.request, now)
		replies[i] = reply
		if change != nil {
			changes = append(changes, change)
		}
	}
	if err := s.store(changes); err != nil {
		return err
	}
	for i, pending := range batch {
		pending.reply <- replies[i]
	}
	return nil
}

func (s *Server) store(changes []*ledgerpb.Change) error {
	if len(changes) == 0 {
		return nil
	}
	raw, err := encodeChanges(changes)
	if err != nil {
		return err
	}
	if err := s.options.Log.Append(raw); err != nil {
		return fmt.Errorf("append claim records: %w", err)
	}
	s.logged += len(changes)
	if s.logged < rewriteMinimum || s.logged < rewriteFactor*s.core.Len() {
		return nil
	}
	return s.rewrite()
}

func (s *Server) rewrite() error {
	raw, err := encodeChanges(s.core.CompactedChanges())
	if err != nil {
		return err
	}
	if err := s.options.Log.Rewrite(raw); err != nil {
		return fmt.Errorf("rewrite claim records: %w", err)
	}
	s.logged = len(raw)
	return nil
}

func encodeChanges(changes []*ledgerpb.Change) ([][]byte, error) {
	raw := make([][]byte, len(changes))
	for i, change := range changes {
		encoded, err := proto.Marshal(change)
		if err != nil {
			return nil, fmt.Errorf("encode a change: %w", err)
		}
		raw[i] = encoded
	}
	return raw, nil
}

// Do implements the gRPC service.
func (s *Server) Do(ctx context.Context, request *ledgerpb.Request) (*ledgerpb.Reply, error) {
	if err := checkRequest(request); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	pending := pendingRequest{request: request, reply: make(chan *ledgerpb.Reply, 1)}
	select {
	case s.requests <- pending:
	default:
		return nil, status.Error(codes.ResourceExhausted, "too many claims wait")
	}
	select {
	case reply := <-pending.reply:
		return reply, nil
	case <-ctx.Done():
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// Entries implements the gRPC service.
func (s *Server) Entries(request *ledgerpb.EntriesRequest, stream grpc.ServerStreamingServer[ledgerpb.EntriesReply]) error {
	var entries []*ledgerpb.EntriesReply
	err := s.inOwner(stream.Context(), func() error {
		if s.core.Epoch().Number != request.Epoch || !s.core.IsGranting() {
			return status.Error(codes.FailedPrecondition, "the holder does not grant in this epoch")
		}
		for key, entry := range s.core.entries {
			entries = append(entries, &ledgerpb.EntriesReply{Key: keyToProto(key), Entry: entry})
		}
		return nil
	})
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := stream.Send(entry); err != nil {
			return fmt.Errorf("send entries: %w", err)
		}
	}
	return nil
}

// inOwner runs task in the goroutine that owns the state.
func (s *Server) inOwner(ctx context.Context, task func() error) error {
	done := make(chan error, 1)
	select {
	case s.tasks <- func() { done <- task() }:
		return <-done
	case <-ctx.Done():
		return fmt.Errorf("claim records: %w", ctx.Err())
	}
}
