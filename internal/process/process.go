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
	// maxHeaderBytes is the maximum size of a request header.
	maxHeaderBytes = 32 << 10
	// idleTimeout is the time without a request after which an HTTP connection is closed.
	idleTimeout = 90 * time.Second
)

var errStopping = errors.New("a planned stop is in progress")

// Process is a running process of one VM.
type Process struct {
	host       *Host
	listeners  Listeners
	components []Component
	entry      *entryRole
	// callerServer serves the callers' listener; nil without the role entry. It is one of
	// httpServers.
	callerServer *http.Server
	httpServers  []*http.Server
	cancel       context.CancelFunc
	serving      sync.WaitGroup
	stopping     atomic.Bool
	stopOnce     sync.Once
}

// Start opens the listeners, builds and starts the components, and begins to serve. The
// returned process runs until Stop or Kill; the end of ctx does not stop it.
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

// assemble builds all components, starts them, and with the role entry builds and starts
// the request path of callers on top of them.
func (p *Process) assemble(ctx context.Context, builders []Builder) error {
	isEntry := p.host.Settings.HasRole(settings.RoleEntry)
	if isEntry {
		prepareEntryRole(p.host)
	}
	for _, build := range builders {
		component, err := build(p.host)
		if err != nil {
			return fmt.Errorf("build a component of the process: %w", err)
		}
		if component != nil {
			p.components = append(p.components, component)
		}
	}
	for _, component := range p.components {
		if err := component.Start(ctx); err != nil {
			return fmt.Errorf("start a component of the process: %w", err)
		}
	}
	if !isEntry {
		return nil
	}
	p.entry = newEntryRole(p.host, p.CheckReady)
	return p.entry.start(ctx)
}

// serve starts a server on each listener. Each ends when its server is closed.
func (p *Process) serve() {
	if p.entry != nil {
		p.callerServer = p.serveHTTP(p.listeners.Callers, p.entry.callerHandler)
		p.serveHTTP(p.listeners.Backends, p.entry.backendHandler)
	}
	if p.listeners.Operators != nil {
		p.addDebugRoutes()
		p.serveHTTP(p.host.Certificates.Listener(p.listeners.Operators), p.host.OperatorMux)
	}
	if p.listeners.Internal != nil {
		p.serving.Go(func() { _ = p.host.GRPCServer.Serve(p.listeners.Internal) }) // returns once the server is stopped
	}
}

// serveHTTP starts an HTTP server on listener and returns it. It returns nil if listener
// is nil.
func (p *Process) serveHTTP(listener net.Listener, handler http.Handler) *http.Server {
	if listener == nil {
		return nil
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: p.host.Settings.Entry.HeaderTimeout.Std(),
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(httpServerLog{p.host.Logger}, "", 0),
	}
	p.httpServers = append(p.httpServers, server)
	p.serving.Go(func() { _ = server.Serve(listener) }) // returns once the server is closed
	return server
}

// Addresses returns the bound addresses.
func (p *Process) Addresses() Addresses { return p.host.Addresses }

// Host returns the resources that the components share.
func (p *Process) Host() *Host { return p.host }

// CheckReady returns nil if the load balancer may send callers to this VM. Otherwise it
// returns the reasons of all components that are not ready.
func (p *Process) CheckReady() error {
	if p.stopping.Load() {
		return errStopping
	}
	var errs []error
	for _, component := range p.components {
		errs = append(errs, component.CheckReady())
	}
	if p.entry != nil {
		errs = append(errs, p.entry.checkReady())
	}
	return errors.Join(errs...)
}

// Kill ends the process at once, without a graceful stop, as if its VM had failed.
func (p *Process) Kill() {
	p.stopping.Store(true)
	p.cancel()
	for _, server := range p.httpServers {
		_ = server.Close()
	}
	p.host.GRPCServer.Stop()
	for _, component := range slices.Backward(p.components) {
		if killer, ok := component.(Killer); ok {
			killer.Kill()
		}
	}
	p.releaseResources()
}

// releaseResources ends the background work and closes the listeners and the connections
// to other VMs. The servers must be closed. Only the first call has an effect.
func (p *Process) releaseResources() {
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

// stopComponents stops the components in the reverse order of their start.
func (p *Process) stopComponents(ctx context.Context) error {
	var errs []error
	for _, component := range slices.Backward(p.components) {
		errs = append(errs, component.Stop(ctx))
	}
	return errors.Join(errs...)
}

// stopGRPC stops server once its calls have ended. When ctx ends first, it cancels the
// remaining calls.
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
