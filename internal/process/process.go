package process

import (
	"context"
	"errors"
	"fmt"
	"log"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/transport"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 32 << 10
	// idleTimeout closes a caller's connection that asks nothing.
	idleTimeout = 90 * time.Second
)

var errStopping = errors.New("a planned stop is in progress")

// Process is a running process of one VM.
type Process struct {
	host      *Host
	listeners Listeners
	parts     []Component
	entry     *entryRole
	// callers is the server of the callers' side, one of servers.
	callers  *http.Server
	servers  []*http.Server
	cancel   context.CancelFunc
	serving  sync.WaitGroup
	stopping atomic.Bool
	stopOnce sync.Once
}

// Start opens the listeners and starts the roles. The returned process runs
// until Stop or Kill.
func Start(ctx context.Context, options Options) (*Process, error) {
	listeners := options.Listeners
	if err := listeners.open(ctx, options.Settings.Listen); err != nil {
		return nil, err
	}
	host, err := newHost(options, listeners.addresses())
	if err != nil {
		listeners.close()
		return nil, err
	}
	p := &Process{listeners: listeners, host: host}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	p.cancel = cancel
	if err := p.assemble(background, options.Builders); err != nil {
		p.Kill()
		return nil, err
	}
	p.serve()
	observe.Log(p.host.Logger, observe.ProcessStarted).Str("vm", p.host.Settings.VM.Name).
		Str("callers", p.Addresses().Callers).Str("backends", p.Addresses().Backends).
		Str("internal", p.Addresses().Internal).Str("operators", p.Addresses().Operators).Send()
	return p, nil
}

func newHost(options Options, addresses Addresses) (*Host, error) {
	certificates, err := transport.CertificatesFromSettings(options.Settings.TLS)
	if err != nil {
		return nil, err
	}
	bundles := options.Bundles
	if bundles == nil {
		bundles = bundle.NewHolder()
	}
	identity := transport.Identity{Cluster: options.Settings.Cluster, VM: options.Settings.VM.Name}
	return &Host{
		Settings: options.Settings, Logger: options.Logger, Metrics: observe.NewMetrics(),
		Bundles: bundles,
		GRPCServer: transport.NewServer(transport.ServerOptions{
			Identity: identity, Certificates: certificates, Log: options.Logger,
		}),
		OperatorMux:  http.NewServeMux(),
		Certificates: certificates,
		PeerPool:     transport.NewPool(transport.PoolOptions{Identity: identity, Certificates: certificates}),
		Addresses:    addresses,
	}, nil
}

// assemble builds and starts the parts, then the callers' side over them.
func (p *Process) assemble(ctx context.Context, builders []Builder) error {
	isEntry := p.host.Settings.HasRole(settings.RoleEntry)
	if isEntry {
		prepareEntry(p.host)
	}
	for _, build := range builders {
		part, err := build(p.host)
		if err != nil {
			return fmt.Errorf("assemble the process: %w", err)
		}
		if part != nil {
			p.parts = append(p.parts, part)
		}
	}
	for _, part := range p.parts {
		if err := part.Start(ctx); err != nil {
			return fmt.Errorf("start the process: %w", err)
		}
	}
	if !isEntry {
		return nil
	}
	p.entry = newEntry(p.host, p.CheckReady)
	return p.entry.start(ctx)
}

// serve begins to answer on all listeners.
func (p *Process) serve() {
	if p.entry != nil {
		p.callers = p.serveHTTP(p.listeners.Callers, p.entry.callers)
		p.serveHTTP(p.listeners.Backends, p.entry.backends)
	}
	if p.listeners.Operators != nil {
		p.addDebugRoutes()
		p.serveHTTP(p.host.Certificates.Listener(p.listeners.Operators), p.host.OperatorMux)
	}
	if p.listeners.Internal != nil {
		p.serving.Go(func() { _ = p.host.GRPCServer.Serve(p.listeners.Internal) }) // ends with the server
	}
}

// serveHTTP returns the server that answers on listener, or nil without one.
func (p *Process) serveHTTP(listener net.Listener, handler http.Handler) *http.Server {
	if listener == nil {
		return nil
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: p.host.Settings.Entry.HeaderTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(libraryLog{p.host.Logger}, "", 0),
	}
	p.servers = append(p.servers, server)
	p.serving.Go(func() { _ = server.Serve(listener) }) // ends with the server
	return server
}

// Addresses returns the bound addresses.
func (p *Process) Addresses() Addresses { return p.host.Addresses }

// Host returns what the parts share.
func (p *Process) Host() *Host { return p.host }

// CheckReady returns nil while callers may be sent to this VM.
func (p *Process) CheckReady() error {
	if p.stopping.Load() {
		return errStopping
	}
	var failures []error
	for _, part := range p.parts {
		failures = append(failures, part.CheckReady())
	}
	if p.entry != nil {
		failures = append(failures, p.entry.ready())
	}
	return errors.Join(failures...)
}

// Kill ends the process at once, as the death of its VM would.
func (p *Process) Kill() {
	p.stopping.Store(true)
	p.cancel()
	for _, server := range p.servers {
		_ = server.Close()
	}
	p.host.GRPCServer.Stop()
	for _, part := range slices.Backward(p.parts) {
		if killer, ok := part.(Killer); ok {
			killer.Kill()
		}
	}
	p.release()
}

// release frees what remains once nothing is served any more.
func (p *Process) release() {
	p.stopOnce.Do(func() {
		p.cancel()
		p.listeners.close()
		p.serving.Wait()
		p.host.PeerPool.Close()
		if p.entry != nil {
			p.entry.close()
		}
	})
}

// stopParts stops the parts in the reverse order of their start.
func (p *Process) stopParts(ctx context.Context) error {
	var failures []error
	for _, part := range slices.Backward(p.parts) {
		failures = append(failures, part.Stop(ctx))
	}
	return errors.Join(failures...)
}

// stopGRPC ends the internal server once its calls have ended, or with ctx.
func stopGRPC(ctx context.Context, server *grpc.Server) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		server.GracefulStop()
	}()
	select {
	case <-done:
	case <-ctx.Done():
		server.Stop()
		<-done
	}
}
