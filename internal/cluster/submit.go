package cluster

import (
	"context"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/registry"
)

// maxSubmitAttempts is the maximum number of attempts to submit a bundle. An attempt is
// repeated when another bundle was accepted after the attempt read the newest version.
const maxSubmitAttempts = 5

// Submit signs content with the cluster's operator key, submits it to the control VMs, and
// returns the version that it was accepted as.
func (c *Cluster) Submit(ctx context.Context, content *bundle.Bundle) (uint64, error) {
	canonical, err := bundle.Canonical(content)
	if err != nil {
		return 0, fmt.Errorf("submit: %w", err)
	}
	client := c.operatorClient()
	for range maxSubmitAttempts {
		version, accepted, err := c.trySubmit(ctx, client, canonical)
		if err != nil || accepted {
			return version, err
		}
	}
	return 0, fmt.Errorf("submit: version conflict with other bundles in each of %d attempts", maxSubmitAttempts)
}

// trySubmit submits the bundle as the successor of the newest one. It returns false, without
// an error, if another bundle was accepted first.
func (c *Cluster) trySubmit(ctx context.Context, client *operatorapi.Client, canonical []byte) (uint64, bool, error) {
	newest, err := client.Newest(ctx)
	if err != nil {
		return 0, false, fmt.Errorf("submit: %w", err)
	}
	statement := bundle.Statement{Version: newest.Version + 1, Digest: bundle.Digest(canonical)}
	reply, err := client.Submit(ctx, &operatorapi.SubmitRequest{
		SubmissionID: fmt.Sprintf("%s-%d", statement.Digest, statement.Version), ExpectedVersion: newest.Version,
		Content: canonical, Signatures: []bundle.Signature{bundle.Sign(statement, operatorName, c.topology.operatorKey)},
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
	return 0, false, fmt.Errorf("submit: bundle refused: %v", reply.Findings)
}

func (c *Cluster) operatorClient() *operatorapi.Client {
	var addresses []string
	for _, control := range c.topology.controlVMs {
		addresses = append(addresses, control.peer.Operators)
	}
	return operatorapi.NewClient(addresses, nil)
}

// WaitInForce waits until every entry VM that was not stopped has the version, or a later
// one, in force. It returns how long that took, and an error if ctx ended first.
func (c *Cluster) WaitInForce(ctx context.Context, version uint64) (time.Duration, error) {
	started := time.Now()
	for !c.isInForce(version) {
		select {
		case <-ctx.Done():
			return time.Since(started), fmt.Errorf("version %d is not in force everywhere: %w", version, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return time.Since(started), nil
}

// isInForce reports whether every entry VM that was not stopped has the version, or a later
// one, in force.
func (c *Cluster) isInForce(version uint64) bool {
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
