package cluster

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
)

// submitAttempts bounds how often a bundle is submitted with the version that
// was the newest before.
const submitAttempts = 5

// Submit has a bundle signed by the cluster's operator and accepted, and
// returns its version.
func (c *Cluster) Submit(ctx context.Context, content *bundle.Bundle) (uint64, error) {
	text, err := bundle.Canonical(content)
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	client := c.operators()
	for range submitAttempts {
		version, accepted, err := c.submitOnce(ctx, client, text)
		if err != nil || accepted {
			return version, err
		}
	}
	return 0, fmt.Errorf("submit: other bundles were accepted %d times in between", submitAttempts)
}

func (c *Cluster) submitOnce(ctx context.Context, client *operatorapi.Client, text []byte) (uint64, bool, error) {
	newest, err := client.Newest(ctx)
	if err != nil {
		return 0, false, fmt.Errorf("submit: %w", err)
	}
	statement := bundle.Statement{Version: newest.Version + 1, Digest: bundle.Digest(text)}
	reply, err := client.Submit(ctx, &operatorapi.SubmitRequest{
		SubmissionID: fmt.Sprintf("%s-%d", statement.Digest, statement.Version), ExpectedVersion: newest.Version,
		Content: text, Signatures: []bundle.Signature{bundle.Sign(statement, operatorName, c.topology.operator)},
	})
	if err != nil {
		return 0, false, fmt.Errorf("submit: %w", err)
	}
	switch reply.Code {
	case registry.CodeAccepted:
		return reply.Version, true, nil
	case registry.CodeConflict:
		return 0, false, nil
	}
	return 0, false, fmt.Errorf("submit: refused: %v", reply.Findings)
}

func (c *Cluster) operators() *operatorapi.Client {
	var addresses []string
	for _, control := range c.topology.controls {
		addresses = append(addresses, control.peer.Operators)
	}
	return operatorapi.NewClient(addresses, nil)
}

// WaitInForce returns how long it takes until every running entry VM has the
// version, or a later one, in force.
func (c *Cluster) WaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	started := time.Now()
	for !c.inForce(version) {
		select {
		case <-ctx.Done():
			return time.Since(started), fmt.Errorf("version %d is not in force everywhere: %w", version, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return time.Since(started), nil
}

func (c *Cluster) inForce(version uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, entry := range c.EntryVMs {
		current := entry.Host().Bundles.Current()
		if !c.stopped[i] && (current == nil || current.Version < version) {
			return false
		}
	}
	return true
}
