package routing

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/capacity"
	"godwityoke.example/godwityoke/internal/capacity/capacitypb"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/place"
)

const (
	// attemptMargin is added to the maximum time limit of all classes. An attempt
	// without a lease that is older than the sum belongs to no request and is
	// cancelled.
	attemptMargin = 10 * time.Second
	// defaultMaxTimeLimit is the maximum attempt age before the first bundle.
	defaultMaxTimeLimit = time.Hour
	// usageInterval is the export interval of the engine memory metrics.
	usageInterval = time.Second
)

// leaseConfig returns the lease configuration for the current bundle.
func (r *Routing) leaseConfig() capacity.Config {
	term := r.host.Settings.Routing.LeaseTerm.Std()
	accepted := r.host.Bundles.Current()
	if accepted == nil {
		return capacity.DefaultConfig(term, 0, defaultMaxTimeLimit)
	}
	maxTimeLimit := time.Duration(0)
	for i := range accepted.Bundle.Classes {
		maxTimeLimit = max(maxTimeLimit, accepted.Bundle.Classes[i].TimeLimit.Std())
	}
	return capacity.DefaultConfig(term, accepted.Bundle.Limits.ShortReservePercent, maxTimeLimit+attemptMargin)
}

// liveEngines returns the live engines of the zone.
func (r *Routing) liveEngines(now time.Time) []capacity.Engine {
	var engines []capacity.Engine
	for _, server := range r.host.Fleet.All(now) {
		if server.Kind != backendapi.KindEngine {
			continue
		}
		engines = append(engines, capacity.Engine{
			Server: server.ID, Incarnation: server.Incarnation, Address: server.Address,
			Memory: server.MemoryTokens, Group: place.LeaseGroup(&server),
		})
	}
	return engines
}

// internalAddress returns the internal gRPC address of an entry VM of the zone. It
// fails if the VM is not in the zone or has no internal address.
func (r *Routing) internalAddress(vm string) (string, error) {
	for _, peer := range r.zonePeers {
		if peer.Name == vm && peer.Internal != "" {
			return peer.Internal, nil
		}
	}
	return "", fmt.Errorf("no internal address configured for entry VM %q", vm)
}

func (r *Routing) dialCapacity(vm string) (capacitypb.CapacityClient, error) {
	address, err := r.internalAddress(vm)
	if err != nil {
		return nil, err
	}
	conn, err := r.host.PeerPool.Conn(address)
	if err != nil {
		return nil, err
	}
	return capacitypb.NewCapacityClient(conn), nil
}

// runUsageExport calls exportUsage periodically until ctx is cancelled.
func (r *Routing) runUsageExport(ctx context.Context) {
	ticker := time.NewTicker(usageInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.exportUsage()
		}
	}
}

// exportUsage sets the lease metrics to the totals over the engines that this VM
// schedules, and logs changes of the lease limit.
func (r *Routing) exportUsage() {
	var sum capacity.Usage
	for _, usage := range r.service.Usage() {
		sum.Limit += usage.Limit
		sum.Memory += usage.Memory
		sum.Long += usage.Long
		sum.Short += usage.Short
		sum.Unleased += usage.Unleased
		sum.Queued += usage.Queued
		sum.Orphans += usage.Orphans
	}
	if sum.Limit != r.lastLimitTokens {
		observe.Log(r.host.Logger, observe.LeaseLimitChanged).Str("vm", r.host.Settings.VM.Name).
			Int64("limit_tokens", sum.Limit).Int64("memory_tokens", sum.Memory).Strs("alive", r.service.View()).Send()
		r.lastLimitTokens = sum.Limit
	}
	metrics := r.host.Metrics
	metrics.Gauge("godwityoke_lease_limit_tokens").Update(sum.Limit)
	metrics.Gauge("godwityoke_leased_tokens", observe.Label{Name: "length", Value: "short"}).Update(sum.Short)
	metrics.Gauge("godwityoke_leased_tokens", observe.Label{Name: "length", Value: "long"}).Update(sum.Long)
	metrics.Gauge("godwityoke_unleased_tokens").Update(sum.Unleased)
	metrics.Gauge("godwityoke_lease_waiting").Update(int64(sum.Queued))
	metrics.Gauge("godwityoke_lease_orphans").Update(int64(sum.Orphans))
	metrics.Gauge("godwityoke_leases_held").Update(int64(r.holder.HeldCount()))
}

// countingLeaseHolder counts lease requests by result.
type countingLeaseHolder struct {
	holder  *capacity.Holder
	metrics *observe.Metrics
}

// Acquire implements place.LeaseHolder.
func (c *countingLeaseHolder) Acquire(ctx context.Context, group string, request capacity.Request, choices []capacity.Choice) (*capacity.Lease, error) {
	lease, err := c.holder.Acquire(ctx, group, request, choices)
	result := "granted"
	var refused *capacity.RefusedError
	switch {
	case errors.Is(err, capacity.ErrNoScheduler):
		result = "no_scheduler"
	case errors.As(err, &refused):
		result = "refused"
	case err != nil:
		result = "withdrawn"
	}
	c.metrics.Counter("godwityoke_lease_requests_total", resultLabel(result)).Inc(1)
	return lease, err
}

func resultLabel(result string) observe.Label { return observe.Label{Name: "result", Value: result} }

// Adopt implements place.LeaseHolder.
func (c *countingLeaseHolder) Adopt(group, server string, request capacity.Request) *capacity.Lease {
	return c.holder.Adopt(group, server, request)
}

// loggingEngineClient logs failed List calls and all Cancel calls of a scheduler.
type loggingEngineClient struct {
	engines capacity.EngineClient
	logger  zerolog.Logger
}

// List implements capacity.EngineClient.
func (l *loggingEngineClient) List(ctx context.Context, engine capacity.Engine) ([]capacity.HeldAttempt, error) {
	held, err := l.engines.List(ctx, engine)
	if err != nil && ctx.Err() == nil {
		observe.Log(l.logger, observe.EngineListFailed).Str("server", engine.Server).Err(err).Send()
	}
	return held, err
}

// Cancel implements capacity.EngineClient.
func (l *loggingEngineClient) Cancel(ctx context.Context, engine capacity.Engine, attempts []string) ([]string, error) {
	freed, err := l.engines.Cancel(ctx, engine, attempts)
	observe.Log(l.logger, observe.AttemptsCancelled).Str("server", engine.Server).
		Int("attempts", len(attempts)).Int("freed", len(freed)).Err(err).Send()
	return freed, err
}
