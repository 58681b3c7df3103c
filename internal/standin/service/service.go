// Package service is a stand-in for a plain service, for tests and experiments. It counts the
// runs of each idempotency key, so that a checker can detect a call that ran twice. It does not
// deduplicate calls itself.
package service

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/request"
	"godwityoke.example/godwityoke/internal/standin/announce"
	"godwityoke.example/godwityoke/internal/standin/control"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

const (
	// maxBodyBytes is the maximum length of the body of a call.
	maxBodyBytes = 1 << 20
	// maxConcurrent is the maximum number of concurrent calls. Further calls are refused.
	maxConcurrent = 1024
)

// Config describes one stand-in service.
type Config struct {
	ServerID string
	Zone     string
	// Service is the name of the plain service in the bundle.
	Service string
	// Listen is the "ip:port" to listen on. Port 0 selects a free port.
	Listen string
	// Seeds are the "ip:port" announce addresses of the entry VMs to announce to at first.
	Seeds []string
	// WorkTime is the simulated duration of a call.
	WorkTime time.Duration
	// MinDrainTime is the minimum time from the announcement of draining to the stop. Entry
	// VMs may still send requests until they have received the announcement.
	MinDrainTime time.Duration
	// RecordFile, if not empty, is a file to which the service appends a line with the key of
	// each run, so that the runs can be counted after the process has ended.
	RecordFile string
	// ExitOnDie makes the fault "die" exit the whole process. Without it, the service closes
	// its listener and all its connections.
	ExitOnDie bool
}

// DefaultConfig returns the configuration of a service whose calls take 5 ms.
func DefaultConfig() Config {
	return Config{Listen: "127.0.0.1:0", WorkTime: 5 * time.Millisecond, MinDrainTime: 3 * time.Second}
}

// Counters count the calls of a service since its start.
type Counters struct {
	// Runs counts the runs of each idempotency key.
	Runs map[string]int64 `json:"runs"`
	// WithoutKey counts the runs of calls without an idempotency key.
	WithoutKey int64 `json:"without_key"`
	// Refused counts the calls that a fault or the limit of concurrent calls refused.
	Refused int64 `json:"refused"`
	// MaxConcurrent is the highest number of concurrent calls that was reached.
	MaxConcurrent int64 `json:"max_concurrent"`
	// AfterLeaving counts the calls that arrived after Drain began. LastAfterLeavingMillis is
	// the time from the begin of Drain to the last of these calls, in milliseconds.
	AfterLeaving           int64 `json:"after_leaving"`
	LastAfterLeavingMillis int64 `json:"last_after_leaving_ms"`
}

// Answer is the body of a successful call.
type Answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Key     string `json:"key,omitempty"`
	// Run numbers the runs of the key from 1. It is 0 without a key.
	Run int64 `json:"run"`
	// RequestSHA256 is the SHA-256 digest of the request body, in hexadecimal.
	RequestSHA256 string `json:"request_sha256"`
}

// Server is a running stand-in service.
type Server struct {
	config    Config
	logger    zerolog.Logger
	listener  net.Listener
	http      *http.Server
	faults    *fault.Set
	announcer *announce.Announcer
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	// drainingSince is the time at which Drain began, in Unix nanoseconds, 0 before.
	drainingSince atomic.Int64
	// running is the number of calls in progress, without refused ones.
	running atomic.Int64

	mu       sync.Mutex
	counters Counters
	record   *os.File
}

// Start listens and begins to announce the service.
func Start(config Config, logger zerolog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", config.Listen)
	if err != nil {
		return nil, fmt.Errorf("stand-in service %s: %w", config.ServerID, err)
	}
	s := &Server{
		config: config, logger: logger.With().Str("server", config.ServerID).Logger(),
		listener: listener, faults: fault.NewSet(), counters: Counters{Runs: map[string]int64{}},
	}
	if err := s.openRecord(); err != nil {
		_ = listener.Close()
		return nil, err
	}
	s.announcer = announce.New(config.Seeds, s.announcement, func() bool { return s.faults.IsActive(fault.Silent) }, s.logger)
	s.http = &http.Server{Handler: s.routes(), ReadHeaderTimeout: 5 * time.Second}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wg.Go(func() { s.announcer.Run(ctx) })
	s.wg.Go(func() { _ = s.http.Serve(listener) })
	observe.Log(s.logger, observe.StandinStarted).Str("address", s.Address()).Send()
	return s, nil
}

// Address returns the "ip:port" of the listener.
func (s *Server) Address() string { return s.listener.Addr().String() }

// ID returns the server identifier.
func (s *Server) ID() string { return s.config.ServerID }

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	counters := s.counters
	counters.Runs = make(map[string]int64, len(s.counters.Runs))
	for key, runs := range s.counters.Runs {
		counters.Runs[key] = runs
	}
	return counters
}

func (s *Server) routes() http.Handler {
	router := echo.New()
	router.GET(control.PathCounters, func(c echo.Context) error { return c.JSON(http.StatusOK, s.Counters()) })
	control.RegisterFaults(router, s.faults, s.SetFault)
	router.Any("/*", s.handleCall)
	return router
}

func (s *Server) announcement(time.Time) backendapi.Announcement {
	return backendapi.Announcement{
		ServerID: s.config.ServerID, Kind: backendapi.KindService, Zone: s.config.Zone, Address: s.Address(),
		Service: s.config.Service, Load: backendapi.LoadReport{RunningRequests: s.running.Load()},
	}
}

// Drain announces that the service is draining, waits for Config.MinDrainTime and for the calls
// in flight, and closes the service. If ctx ends while calls are in flight, it closes the service
// and returns an error.
func (s *Server) Drain(ctx context.Context) error {
	observe.Log(s.logger, observe.StandinLeaving).Send()
	s.drainingSince.CompareAndSwap(0, time.Now().UnixNano())
	s.announcer.AnnounceDraining()
	select {
	case <-ctx.Done():
	case <-time.After(s.config.MinDrainTime):
	}
	err := s.http.Shutdown(ctx)
	s.Close()
	if err != nil {
		return fmt.Errorf("stand-in service %s: drain: calls left: %w", s.config.ServerID, err)
	}
	return nil
}

// Close stops the service at once, without an announcement, as a crash would.
func (s *Server) Close() {
	s.stop()
	s.wg.Wait()
	observe.Log(s.logger, observe.StandinStopped).Int64("cut", s.running.Load()).Send()
}

func (s *Server) stop() {
	s.cancel()
	_ = s.http.Close()
}

// SetFault activates or clears a fault, as POST on control.PathFaults does. It fails if the
// kind is unknown.
func (s *Server) SetFault(injected fault.Fault) error {
	if err := s.faults.Apply(injected); err != nil {
		return err
	}
	observe.Log(s.logger, observe.StandinFaultSwitched).Str("fault", string(injected.Kind)).Int("count", injected.Count).Send()
	if injected.Kind == fault.Die && injected.Count != 0 {
		if s.config.ExitOnDie {
			os.Exit(1)
		}
		go s.stop()
	}
	return nil
}

// handleCall counts and answers one call, with the faults that hit it.
func (s *Server) handleCall(c echo.Context) error {
	s.countCall(time.Now())
	if s.waitWhileHung(c) {
		return nil
	}
	if _, hit := s.faults.Take(fault.Refuse); hit || s.running.Load() >= maxConcurrent {
		s.countRefusal()
		c.Response().Header().Set(backendapi.HeaderNotRun, "1")
		c.Response().Header().Set(backendapi.HeaderAttempt, c.Request().Header.Get(backendapi.HeaderAttempt))
		return c.JSON(http.StatusServiceUnavailable, control.ErrorReply{Error: "refused"})
	}
	s.countConcurrent(s.running.Add(1))
	defer s.running.Add(-1)
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		c.Response().Header().Set(backendapi.HeaderNotRun, "1")
		c.Response().Header().Set(backendapi.HeaderAttempt, c.Request().Header.Get(backendapi.HeaderAttempt))
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	answer, err := s.run(c.Request(), body)
	if err != nil {
		return c.JSON(http.StatusInternalServerError, control.ErrorReply{Error: err.Error()})
	}
	time.Sleep(s.config.WorkTime)
	if late, hit := s.faults.Take(fault.Late); hit {
		time.Sleep(late.Delay())
	}
	if s.waitWhileHung(c) {
		return nil
	}
	return s.reply(c, answer)
}

// run counts a run of the call under its idempotency key, appends the key to the record file and
// returns the answer. A call without a key is counted in Counters.WithoutKey and not recorded.
func (s *Server) run(r *http.Request, body []byte) (Answer, error) {
	key := r.Header.Get(request.IdempotencyKeyHeader)
	digest := sha256.Sum256(body)
	answer := Answer{Service: s.config.Service, Path: r.URL.Path, Key: key, RequestSHA256: hex.EncodeToString(digest[:])}
	s.mu.Lock()
	defer s.mu.Unlock()
	if key == "" {
		s.counters.WithoutKey++
		return answer, nil
	}
	s.counters.Runs[key]++
	answer.Run = s.counters.Runs[key]
	return answer, s.writeRecord(key)
}

// reply sends the answer, with the attempt and the digest of the answer's body in the headers. Faults
// that hit the call change the reply or replace it by an error.
func (s *Server) reply(c echo.Context, answer Answer) error {
	attempt := c.Request().Header.Get(backendapi.HeaderAttempt)
	if _, hit := s.faults.Take(fault.Error); hit {
		return c.JSON(http.StatusInternalServerError, control.ErrorReply{Error: "failed by a fault after the run"})
	}
	if _, hit := s.faults.Take(fault.Crossed); hit {
		attempt, answer.Key = "another-attempt", "another-key"
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	digest := sha256.Sum256(body)
	header := c.Response().Header()
	header.Set(backendapi.HeaderAttempt, attempt)
	header.Set(backendapi.HeaderBodyDigest, hex.EncodeToString(digest[:]))
	if _, hit := s.faults.Take(fault.Repeat); hit {
		body = bytes.Repeat(body, 2)
	}
	if _, hit := s.faults.Take(fault.Cut); hit {
		header.Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = c.Response().Write(body[:len(body)/2])
		c.Response().Flush()
		panic(http.ErrAbortHandler)
	}
	return c.Blob(http.StatusOK, "application/json", body)
}

// countCall counts a call in Counters.AfterLeaving if it arrives after Drain began.
func (s *Server) countCall(now time.Time) {
	drainingSince := s.drainingSince.Load()
	if drainingSince == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.AfterLeaving++
	s.counters.LastAfterLeavingMillis = now.Sub(time.Unix(0, drainingSince)).Milliseconds()
}

func (s *Server) countRefusal() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Refused++
}

func (s *Server) countConcurrent(running int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.MaxConcurrent = max(s.counters.MaxConcurrent, running)
}

// waitWhileHung blocks a call while the fault "hang" or "silent" is active, and reports
// whether the caller disconnected in the meantime.
func (s *Server) waitWhileHung(c echo.Context) bool {
	for s.faults.IsActive(fault.Hang) || s.faults.IsActive(fault.Silent) {
		select {
		case <-c.Request().Context().Done():
			return true
		case <-s.faults.Changed():
		}
	}
	return false
}
