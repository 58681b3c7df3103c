package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"godwityoke.example/godwityoke/internal/callers"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// closeTimeout bounds the graceful shutdown of the servers for other VMs, backend
	// servers and operators, after the components have stopped.
	closeTimeout = 2 * time.Second
	// maxLoggedRequests is the maximum number of cut requests that the log names.
	maxLoggedRequests = 100
)

// Stop shuts the process down gracefully. The readiness check fails first, and the load
// balancer gets time to notice. Then no new caller requests are accepted, the requests in
// progress are finished, and the components are stopped. When ctx or the shutdown timeout
// of the settings ends earlier, the remaining work is cut off. Stop returns the caller
// requests that were cut off.
func (p *Process) Stop(ctx context.Context) []callers.InProgress {
	ctx, cancel := context.WithTimeout(ctx, p.host.Settings.Shutdown.Timeout.Std())
	defer cancel()
	started := time.Now()
	p.stopping.Store(true)
	observe.Log(p.host.Logger, observe.ProcessStopping).Str("vm", p.host.Settings.VM.Name).Send()
	p.waitForBalancer(ctx)
	cut := p.drainCallers(ctx)
	err := p.stopComponents(ctx)
	p.closeServers(ctx)
	p.releaseResources()
	event := observe.ProcessStopped
	if len(cut) > 0 || ctx.Err() != nil {
		event = observe.ProcessStopForced
	}
	observe.Log(p.host.Logger, event).Str("vm", p.host.Settings.VM.Name).Int("cut", len(cut)).
		Strs("cut_requests", requestIDs(cut)).Dur("elapsed_ms", time.Since(started)).Err(err).Send()
	return cut
}

func requestIDs(calls []callers.InProgress) []string {
	ids := make([]string, 0, min(len(calls), maxLoggedRequests))
	for _, call := range calls[:min(len(calls), maxLoggedRequests)] {
		ids = append(ids, call.ID)
	}
	return ids
}

// waitForBalancer waits for the configured time in which the load balancer notices that
// an entry VM is not ready.
func (p *Process) waitForBalancer(ctx context.Context) {
	if p.entry == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(p.host.Settings.Shutdown.BalancerWait.Std()):
	}
}

// drainCallers stops accepting caller connections and waits for the requests in progress,
// then for engines to confirm cancellations. When ctx ends before the requests do, it
// closes the connections and returns the requests that it cut off.
// The listener for announcements of backend servers stays open, because the remaining
// requests may still need those servers.
func (p *Process) drainCallers(ctx context.Context) []callers.InProgress {
	if p.callerServer == nil {
		return nil
	}
	if err := p.callerServer.Shutdown(ctx); err == nil {
		p.entry.drain(ctx)
		return nil
	}
	cut := p.entry.registry.List()
	_ = p.callerServer.Close()
	return cut
}

// closeServers shuts down all servers within closeTimeout and then closes them.
func (p *Process) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	for _, server := range p.httpServers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	stopGRPC(ctx, p.host.GRPCServer)
}

// Run starts a process, runs it until a signal arrives or ctx ends, and stops it
// gracefully. A second signal ends the graceful stop at once. Run returns an error if the
// process could not start or caller requests were cut off.
func Run(ctx context.Context, options Options, signals <-chan os.Signal) error {
	p, err := Start(ctx, options)
	if err != nil {
		return err
	}
	return p.RunUntilSignal(ctx, signals)
}

// RunUntilSignal waits for a signal or the end of ctx and stops the process gracefully. A
// further signal ends the graceful stop at once. It returns an error if caller requests
// were cut off.
func (p *Process) RunUntilSignal(ctx context.Context, signals <-chan os.Signal) error {
	select {
	case <-signals:
	case <-ctx.Done():
	}
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	if cut := p.Stop(ctx); len(cut) > 0 {
		return fmt.Errorf("the stop cut %d requests in progress", len(cut))
	}
	return nil
}

// WaitReady waits until the process is ready. If ctx ends first, it returns the error of
// ctx joined with the last error of CheckReady.
func (p *Process) WaitReady(ctx context.Context) error {
	const interval = 10 * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		err := p.CheckReady()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-ticker.C:
		}
	}
}
