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
	// closeLimit bounds the end of the listeners for other VMs, backend
	// servers and operators.
	closeLimit = 2 * time.Second
	// maxListed bounds the cut calls that are named in the log.
	maxListed = 100
)

// Stop ends the process in order: readiness fails, the balancer is given time,
// nothing new is accepted, everything in progress is finished, then the parts
// end. When ctx or the limit of the settings ends first, the rest is cut. It
// returns the calls that were cut.
func (p *Process) Stop(ctx context.Context) []callers.InProgress {
	ctx, cancel := context.WithTimeout(ctx, p.host.Settings.Shutdown.Timeout.Std())
	defer cancel()
	started := time.Now()
	p.stopping.Store(true)
	observe.Log(p.host.Logger, observe.ProcessStopping).Str("vm", p.host.Settings.VM.Name).Send()
	p.waitForBalancer(ctx)
	cut := p.finishCalls(ctx)
	err := p.stopParts(ctx)
	p.closeServers(ctx)
	p.release()
	event := observe.ProcessStopped
	if len(cut) > 0 || ctx.Err() != nil {
		event = observe.ProcessStopForced
	}
	observe.Log(p.host.Logger, event).Str("vm", p.host.Settings.VM.Name).Int("cut", len(cut)).
		Strs("cut_requests", identifiersOf(cut)).Dur("elapsed_ms", time.Since(started)).Err(err).Send()
	return cut
}

func identifiersOf(calls []callers.InProgress) []string {
	names := make([]string, 0, min(len(calls), maxListed))
	for _, call := range calls[:min(len(calls), maxListed)] {
		names = append(names, call.ID)
	}
	return names
}

func (p *Process) waitForBalancer(ctx context.Context) {
	if p.entry == nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(p.host.Settings.Shutdown.BalancerWait.Std()):
	}
}

// finishCalls stops accepting callers and waits for their requests. Backend
// servers are heard until the end, since requests may still need them.
func (p *Process) finishCalls(ctx context.Context) []callers.InProgress {
	if p.callers == nil {
		return nil
	}
	if err := p.callers.Shutdown(ctx); err == nil {
		p.entry.drain(ctx)
		return nil
	}
	cut := p.entry.registry.List()
	_ = p.callers.Close()
	return cut
}

func (p *Process) closeServers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, closeLimit)
	defer cancel()
	for _, server := range p.servers {
		if server.Shutdown(ctx) != nil {
			_ = server.Close()
		}
	}
	stopGRPC(ctx, p.host.GRPCServer)
}

// Run runs a process until a signal, then stops it in order. A second signal
// ends it at once. It returns an error when the process could not start or
// work was cut.
func Run(ctx context.Context, options Options, signals <-chan os.Signal) error {
	p, err := Start(ctx, options)
	if err != nil {
		return err
	}
	return p.RunUntilSignal(ctx, signals)
}

// RunUntilSignal waits for a signal or the end of ctx and stops the process in
// order. A further signal ends it at once, which is an error if work was cut.
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

// WaitReady returns once the process is ready, or the last reason against it
// when ctx ends.
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
