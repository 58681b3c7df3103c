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
	// maxQueuedRequests is the maximum number of requests that wait to be applied.
	maxQueuedRequests = 1024
	// maxBatchRequests is the maximum number of requests that share one sync.
	maxBatchRequests = 256
	// pruneInterval is the time between two removals of expired entries.
	pruneInterval = 10 * time.Minute
	// rewriteFactor is the number of changes per entry at which the log is rewritten.
	rewriteFactor = 4
	// minRewriteChanges is the number of changes below which the log is not rewritten.
	minRewriteChanges = 10_000
)

// Log stores the changes of a holder on disk.
type Log interface {
	// Replay calls apply with each synced change, in the order of the log.
	Replay(apply func(change []byte) error) error
	// Append adds changes and returns after they are synced.
	Append(changes [][]byte) error
	// Rewrite replaces the whole log by changes and returns after they are synced.
	Rewrite(changes [][]byte) error
}

// EntrySource reads the entries of other holders for a repair.
type EntrySource interface {
	// Entries calls each for every entry of the holder at address. It returns an error
	// unless that holder is in the given epoch and grants claims.
	Entries(ctx context.Context, address string, epoch uint64, each func(*ledgerpb.EntriesReply)) error
}

// ServerOptions configures a Server.
type ServerOptions struct {
	// MemberID identifies the data folder.
	MemberID uint64
	// Retention returns how long an entry is kept after its creation and its expiry,
	// whichever is later.
	Retention func() time.Duration
	Log       Log
	Source    EntrySource
	Logger    zerolog.Logger
}

// pendingRequest is a request that waits for its reply.
type pendingRequest struct {
	request *ledgerpb.Request
	reply   chan *ledgerpb.Reply
}

// Server is one holder of claim records. The goroutine of Run owns core and
// loggedChanges. Requests that wait at the same time share one sync.
type Server struct {
	ledgerpb.UnimplementedLedgerServer
	options ServerOptions
	core    *Core
	// loggedChanges is the number of changes in the log.
	loggedChanges int
	requests      chan pendingRequest
	// tasks are functions that the goroutine of Run calls.
	tasks chan func()
	// writeErrors passes a failed write in a task to Run.
	writeErrors chan error
}

// NewServer replays the log and returns a server that answers once Run is called. It
// returns an error if the log can't be read or decoded.
func NewServer(options ServerOptions) (*Server, error) {
	s := &Server{
		options:     options,
		core:        NewCore(options.MemberID),
		requests:    make(chan pendingRequest, maxQueuedRequests),
		tasks:       make(chan func()),
		writeErrors: make(chan error, 1),
	}
	err := options.Log.Replay(func(raw []byte) error {
		change := &ledgerpb.Change{}
		if err := proto.Unmarshal(raw, change); err != nil {
			return fmt.Errorf("decode a change: %w", err)
		}
		s.core.Replay(change)
		s.loggedChanges++
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("replay the claim records: %w", err)
	}
	return s, nil
}

// Register adds the holder's service to a gRPC server.
func (s *Server) Register(server *grpc.Server) { ledgerpb.RegisterLedgerServer(server, s) }

// Run applies requests and tasks until ctx ends or a write fails. It returns nil or the
// error of the write. After a failed write it grants nothing more, since it is not known
// which changes are on disk.
func (s *Server) Run(ctx context.Context) error {
	prune := time.NewTicker(pruneInterval)
	defer prune.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case first := <-s.requests:
			if err := s.applyBatch(s.collectBatch(first)); err != nil {
				observe.Log(s.options.Logger, observe.LedgerWriteFailed).Err(err).Send()
				return err
			}
		case task := <-s.tasks:
			task()
		case err := <-s.writeErrors:
			return err
		case <-prune.C:
			s.core.Prune(time.Now(), s.options.Retention())
		}
	}
}

// collectBatch returns first and the requests that are queued already, up to
// maxBatchRequests.
func (s *Server) collectBatch(first pendingRequest) []pendingRequest {
	batch := []pendingRequest{first}
	for len(batch) < maxBatchRequests {
		select {
		case next := <-s.requests:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}

// applyBatch applies a batch, syncs its changes and only then replies.
func (s *Server) applyBatch(batch []pendingRequest) error {
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

// store syncs changes and rewrites the log if it has become too long for its entries.
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
	s.loggedChanges += len(changes)
	if s.loggedChanges < minRewriteChanges || s.loggedChanges < rewriteFactor*s.core.Len() {
		return nil
	}
	return s.rewrite()
}

// rewrite replaces the log by the shortest list of changes.
func (s *Server) rewrite() error {
	raw, err := encodeChanges(s.core.CompactedChanges())
	if err != nil {
		return err
	}
	if err := s.options.Log.Rewrite(raw); err != nil {
		return fmt.Errorf("rewrite claim records: %w", err)
	}
	s.loggedChanges = len(raw)
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

// Do implements the gRPC service. It returns codes.InvalidArgument for a malformed
// request and codes.ResourceExhausted if too many requests wait.
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

// Entries implements the gRPC service. It returns codes.FailedPrecondition if the holder
// is not in the epoch of request or does not grant claims in it.
func (s *Server) Entries(request *ledgerpb.EntriesRequest, stream grpc.ServerStreamingServer[ledgerpb.EntriesReply]) error {
	var entries []*ledgerpb.EntriesReply
	err := s.runInOwner(stream.Context(), func() error {
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

// runInOwner runs task in the goroutine that owns the state and returns the error of
// task. It returns an error without running task if ctx ends first.
func (s *Server) runInOwner(ctx context.Context, task func() error) error {
	done := make(chan error, 1)
	select {
	case s.tasks <- func() { done <- task() }:
		return <-done
	case <-ctx.Done():
		return fmt.Errorf("claim records: %w", ctx.Err())
	}
}
