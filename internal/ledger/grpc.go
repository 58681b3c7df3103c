package ledger

import (
	"context"
	"errors"
	"fmt"
	"io"

	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/ledger/ledgerpb"
)

// Connections provides the gRPC connections to other VMs.
type Connections interface {
	// Conn returns the connection to address without waiting until it is established.
	Conn(address string) (*grpc.ClientConn, error)
}

// probeKey is the key that a check of a holder reads. It has no team, so that no
// call uses it.
var probeKey = Key{Value: "probe"}

// GRPCClient calls holders over gRPC. It implements HolderClient and EntrySource.
type GRPCClient struct {
	Connections Connections
}

// Do implements HolderClient.
func (g GRPCClient) Do(ctx context.Context, address string, request *ledgerpb.Request) (*ledgerpb.Reply, error) {
	conn, err := g.Connections.Conn(address)
	if err != nil {
		return nil, fmt.Errorf("claim records of %s: %w", address, err)
	}
	reply, err := ledgerpb.NewLedgerClient(conn).Do(ctx, request)
	if err != nil {
		return nil, fmt.Errorf("claim records of %s: %w", address, err)
	}
	return reply, nil
}

// CheckGranting returns nil if the holder at address grants claims in epoch.
func (g GRPCClient) CheckGranting(ctx context.Context, address string, epoch uint64) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	probe := &ledgerpb.Request{Epoch: epoch, Operation: ledgerpb.Operation_OPERATION_READ, Key: keyToProto(probeKey)}
	reply, err := g.Do(ctx, address, probe)
	if err != nil {
		return err
	}
	if reply.Status != ledgerpb.Status_STATUS_DONE {
		return fmt.Errorf("claim records of %s: the holder answers %v", address, reply.Status)
	}
	return nil
}

// Entries implements EntrySource.
func (g GRPCClient) Entries(ctx context.Context, address string, epoch uint64, each func(*ledgerpb.EntriesReply)) error {
	conn, err := g.Connections.Conn(address)
	if err != nil {
		return fmt.Errorf("entries of %s: %w", address, err)
	}
	stream, err := ledgerpb.NewLedgerClient(conn).Entries(ctx, &ledgerpb.EntriesRequest{Epoch: epoch})
	if err != nil {
		return fmt.Errorf("entries of %s: %w", address, err)
	}
	for {
		entry, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("entries of %s: %w", address, err)
		}
		each(entry)
	}
}
