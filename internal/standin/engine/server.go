package engine

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/standin/announce"
	"godwityoke.example/godwityoke/internal/standin/control"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// Server is a running stand-in engine.
type Server struct {
	config    Config
	logger    zerolog.Logger
	listener  net.Listener
	http      *http.Server
	runner    *runner
	faults    *fault.Set
	announcer *announce.Announcer
	reporter  *reporter
	orders    *orders
	exports   *exports
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	// drainingSince is the time at which Drain began, in Unix nanoseconds, 0 before.
	drainingSince atomic.Int64
}

// Start listens and begins to announce the engine.
func Start(config Config, logger zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in engine %s: %w", config.ServerID, err)
	}
	s := &Server{
		config: config, logger: logger.With().Str("server", config.ServerID).Logger(), listener: listener,
		runner: newRunner(NewCore(config.Limits, config.Speed)),
		faults: fault.NewSet(), reporter: newReporter(config.Reports), exports: newExports(),
	}
	s.announcer = announce.New(config.Seeds, s.announcement, s.isMuted, s.logger)
	s.orders = newOrders(config, s.announcer.Incarnation(), s.clearCache)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(s.runner.run)
	s.wg.Go(func() { s.announcer.Run(ctx) })
	s.wg.Go(func() { s.sampleLoad(ctx) })
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	observe.Log(s.logger, observe.StandinStarted).Str("address", s.Address()).Send()
	return s, nil
}

// Address returns the "ip:port" of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server identifier.
func (s *Server) ID() string { return s.config.ServerID }

// Counters returns the counters of the engine.
func (s *Server) Counters() Counters {
	var counters Counters
	s.runner.withCore(func(core *Core) { counters = core.Counters() })
	return counters
}

// Runs returns the number of attempts that entered the batch for each answer, by
// answer.Generator.Seed.
func (s *Server) Runs() map[uint64]int64 {
	var runs map[uint64]int64
	s.runner.withCore(func(core *Core) { runs = maps.Clone(core.runs) })
	return runs
}

// Faults lists the active faults.
func (s *Server) Faults() []fault.Fault { return s.faults.Active() }

func (s *Server) routes() http.Handler {
	router := echo.New()
	router.POST(backendapi.PathCompletions, s.handleCompletion)
	router.POST(backendapi.PathChat, s.handleCompletion)
	router.POST(backendapi.PathCancel, s.handleCancel)
	router.GET(backendapi.PathAttempts, s.handleAttempts)
	router.POST(backendapi.PathKVExport, s.handleExport)
	router.POST(backendapi.PathKVImport, s.handleImport)
	router.GET(pathKVFetch, s.handleFetch)
	router.POST(backendapi.PathOrder, s.handleOrder)
	router.GET(backendapi.PathState, s.handleState)
	router.GET(control.PathCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counters()) })
	router.GET(control.PathRuns, func(c echo.Context) error {
		return c.JSON(http.StatusOK, control.RunList{Runs: s.Runs()})
	})
	control.RegisterFaults(router, s.faults, s.SetFault)
	return router
}

// Drain announces that the engine is draining, waits for at least Config.MinDrainTime and until
// all answers have ended, and closes the engine. If ctx ends first, it closes the engine with
// answers in flight and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	observe.Log(s.logger, observe.StandinLeaving).Send()
	s.drainingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.announcer.AnnounceDraining()
	err := s.waitIdle(ctx)
	s.flush(ctx)
	s.Close()
	return err
}

// flush waits until the generated tokens are written to the callers, for at most flushTimeout.
func (s *Server) flush(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx) // Close ends the connections that are still open
}

// waitIdle waits for Config.MinDrainTime and until all answers have ended.
func (s *Server) waitIdle(ctx context.Context) error {
	earliest := time.Now().Add(s.config.MinDrainTime)
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for time.Now().Before(earliest) || !s.runner.isIdle() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("stand-in engine %s: drain: attempts left: %w", s.config.ServerID, ctx.Err())
		case <-ticker.C:
		}
	}
	return nil
}

// flushTimeout is the timeout for writing the last tokens of a draining engine.
const flushTimeout = 2 * time.Second

// Close stops the engine at once, without an announcement, as a crash would.
func (s *Server) Close() {
	s.stop()
	s.wg.Wait()
	observe.Log(s.logger, observe.StandinStopped).Send()
}

func (s *Server) stop() {
	s.cancel()
	s.runner.close()
	_ = s.http.Close()
}

// SetFault activates or clears a fault, as POST on control.PathFaults does. It fails if the
// kind is unknown.
func (s *Server) SetFault(injected fault.Fault) error {
	if err := s.faults.Apply(injected); err != nil {
		return err
	}
	observe.Log(s.logger, observe.StandinFaultSwitched).Str("fault", string(injected.Kind)).Int("count", injected.Count).Send()
	s.runner.setPaused(s.faults.IsActive(fault.Hang) || s.faults.IsActive(fault.Silent))
	if injected.Kind == fault.Die && injected.Count != 0 {
		if s.config.ExitOnDie {
			os.Exit(1)
		}
		go s.stop()
	}
	return nil
}

// isMuted reports whether the engine must not announce.
func (s *Server) isMuted() bool { return s.faults.IsActive(fault.Silent) }

// clearCache clears the prefix cache. The hashes of its blocks do not include the version of the
// model, so the blocks of a replaced version must be removed.
func (s *Server) clearCache() {
	s.runner.withCore(func(core *Core) { core.cache.clear() })
}
