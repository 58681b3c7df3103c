package pipeline_test

import (
	"context"
	"sync"

	"godwityoke.example/godwityoke/internal/ledger"
	"godwityoke.example/godwityoke/internal/request"
)

// memoryClaims is a ledger.Claimer in memory that injects faults.
type memoryClaims struct {
	// claimError, when set, is returned by Claim.
	claimError error
	// claimHangs makes Claim block until its context ends.
	claimHangs bool
	// resolveHangs makes Resolve block until its context ends and then fail.
	resolveHangs bool
	// sealFails makes Abandon return without sealing the claim, as without a
	// majority.
	sealFails bool

	mu      sync.Mutex
	entries map[ledger.Key]*memoryClaim
}

type memoryClaim struct {
	owner  *memoryClaims
	digest [32]byte
	record *ledger.Record
}

func newMemoryClaims() *memoryClaims {
	return &memoryClaims{entries: map[ledger.Key]*memoryClaim{}}
}

// Claim implements ledger.Claimer.
func (m *memoryClaims) Claim(ctx context.Context, key ledger.Key, digest [32]byte) (ledger.Claim, *ledger.Record, error) {
	if m.claimHangs {
		<-ctx.Done()
		return nil, nil, ctx.Err()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.claimError != nil {
		return nil, nil, m.claimError
	}
	existing := m.entries[key]
	if existing == nil {
		existing = &memoryClaim{owner: m, digest: digest}
		m.entries[key] = existing
		return existing, nil, nil
	}
	switch {
	case existing.digest != digest:
		return nil, nil, ledger.ErrConflict
	case existing.record == nil:
		return nil, nil, ledger.ErrInProgress
	}
	return nil, existing.record, nil
}

// Lookup implements ledger.Claimer.
func (m *memoryClaims) Lookup(_ context.Context, key ledger.Key) (*ledger.Record, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	existing := m.entries[key]
	switch {
	case existing == nil:
		return nil, ledger.ErrNotFound
	case existing.record == nil:
		return nil, ledger.ErrInProgress
	}
	return existing.record, nil
}

// Resolve implements ledger.Claim.
func (c *memoryClaim) Resolve(ctx context.Context, record ledger.Record) error {
	if c.owner.resolveHangs {
		<-ctx.Done()
		return ctx.Err()
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.record = &record
	return nil
}

// Abandon implements ledger.Claim.
func (c *memoryClaim) Abandon(context.Context) request.Outcome {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.owner.sealFails {
		return request.NotSent
	}
	c.record = &ledger.Record{Outcome: request.NotRun}
	return request.NotRun
}
