package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/standin/control"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

const (
	// pathKVFetch answers a KVHandle to an importing engine.
	pathKVFetch = "/engine/v1/kv/:handle"
	// exportLifetime is how long exported KV cache can be fetched.
	exportLifetime = 30 * time.Second
	// fetchTimeout bounds the request from one engine to another.
	fetchTimeout = 2 * time.Second
	// watchInterval is the time between checks of remote KV cache.
	watchInterval = 200 * time.Millisecond
)

// exports holds the KV cache that other engines may fetch. It lies outside
// the engine's memory.
type exports struct {
	mu      sync.Mutex
	next    uint64
	handles map[string]exported
	// remotes are the remote imports of this engine by their name.
	remotes map[string]backendapi.KVImportRequest
}

type exported struct {
	// attempt holds the memory, empty when it was released at the export.
	attempt string
	tokens  int64
	expires time.Time
}

func newExports() *exports {
	return &exports{handles: map[string]exported{}, remotes: map[string]backendapi.KVImportRequest{}}
}

func (e *exports) add(attempt string, tokens int64, now time.Time) backendapi.KVHandle {
	e.mu.Lock()
	defer e.mu.Unlock()
	for handle, old := range e.handles {
		if now.After(old.expires) {
			delete(e.handles, handle)
		}
	}
	e.next++
	handle := "kv-" + strconv.FormatUint(e.next, 10)
	e.handles[handle] = exported{attempt: attempt, tokens: tokens, expires: now.Add(exportLifetime)}
	return backendapi.KVHandle{Handle: handle, Tokens: tokens}
}

func (e *exports) get(handle string, now time.Time) (exported, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	found, ok := e.handles[handle]
	return found, ok && (found.attempt != "" || now.Before(found.expires))
}

// addRemote remembers where a remote import came from.
func (e *exports) addRemote(wanted backendapi.KVImportRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remotes[wanted.Attempt] = wanted
}

// takeRemotes returns and forgets the sources of remote imports.
func (e *exports) takeRemotes(names []string) []backendapi.KVImportRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	var taken []backendapi.KVImportRequest
	for _, name := range names {
		if remote, found := e.remotes[name]; found {
			taken = append(taken, remote)
			delete(e.remotes, name)
		}
	}
	return taken
}

func (s *Server) handleCancel(c echo.Context) error {
	var wanted backendapi.CancelRequest
	if err := c.Bind(&wanted); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.blocked(c) {
		return nil
	}
	s.runner.cancel(wanted.Attempts)
	return c.JSON(http.StatusOK, backendapi.CancelReply{Released: wanted.Attempts})
}

func (s *Server) handleAttempts(c echo.Context) error {
	if s.blocked(c) {
		return nil
	}
	var list backendapi.AttemptList
	s.runner.with(func(core *Core) { list.Attempts = core.Attempts(time.Now()) })
	return c.JSON(http.StatusOK, list)
}

func (s *Server) handleExport(c echo.Context) error {
	var wanted backendapi.KVExportRequest
	if err := c.Bind(&wanted); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.blocked(c) {
		return nil
	}
	var tokens int64
	var err error
	s.runner.with(func(core *Core) { tokens, err = core.HeldTokens(wanted.Attempt) })
	if err != nil {
		return c.JSON(http.StatusNotFound, control.ErrorReply{Error: err.Error()})
	}
	holder := wanted.Attempt
	if wanted.Release {
		holder = ""
		s.runner.cancel([]string{wanted.Attempt})
	}
	return c.JSON(http.StatusOK, s.exports.add(holder, tokens, time.Now()))
}

func (s *Server) handleFetch(c echo.Context) error {
	if s.blocked(c) {
		return nil
	}
	kv, found := s.exports.get(c.Param("handle"), time.Now())
	if found && kv.attempt != "" {
		var err error
		s.runner.with(func(core *Core) { _, err = core.HeldTokens(kv.attempt) })
		found = err == nil
	}
	if !found {
		return c.JSON(http.StatusNotFound, control.ErrorReply{Error: "unknown or expired handle"})
	}
	return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: c.Param("handle"), Tokens: kv.tokens})
}

// handleImport holds memory for the KV cache, then waits for the time that its
// transfer takes.
func (s *Server) handleImport(c echo.Context) error {
	var wanted backendapi.KVImportRequest
	if err := c.Bind(&wanted); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.blocked(c) {
		return nil
	}
	handle, err := fetch(c.Request().Context(), wanted)
	if err != nil {
		return c.JSON(http.StatusBadGateway, control.ErrorReply{Error: err.Error()})
	}
	s.runner.with(func(core *Core) { err = core.Reserve(wanted.Attempt, handle.Tokens, wanted.Remote, time.Now()) })
	if err != nil {
		return c.JSON(http.StatusInsufficientStorage, control.ErrorReply{Error: err.Error()})
	}
	if wanted.Remote {
		s.exports.addRemote(wanted)
		return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: wanted.Attempt, Tokens: handle.Tokens})
	}
	select {
	case <-c.Request().Context().Done():
		s.runner.cancel([]string{wanted.Attempt})
		return nil
	case <-time.After(time.Duration(handle.Tokens) * s.config.Speed.TransferTimePerToken):
	}
	return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: wanted.Attempt, Tokens: handle.Tokens})
}

func fetch(ctx context.Context, wanted backendapi.KVImportRequest) (backendapi.KVHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var handle backendapi.KVHandle
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+wanted.Source+"/engine/v1/kv/"+wanted.Handle, nil)
	if err != nil {
		return handle, fmt.Errorf("fetch KV cache: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return handle, fmt.Errorf("fetch KV cache: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return handle, fmt.Errorf("fetch KV cache: status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&handle); err != nil {
		return handle, fmt.Errorf("fetch KV cache: %w", err)
	}
	return handle, nil
}

// watchRemotes cancels an attempt when a source of its context is lost.
func (s *Server) watchRemotes(ctx context.Context, attempt string, remotes []backendapi.KVImportRequest) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, remote := range remotes {
			if _, err := fetch(ctx, remote); err != nil {
				s.runner.cancel([]string{attempt})
				return
			}
		}
	}
}

// blocked holds a call for as long as the engine hangs or is silent, and
// reports whether the caller went away meanwhile.
func (s *Server) blocked(c echo.Context) bool {
	for s.faults.IsActive(fault.Hang) || s.faults.IsActive(fault.Silent) {
		select {
		case <-c.Request().Context().Done():
			return true
		case <-s.faults.Changed():
		}
	}
	return false
}
