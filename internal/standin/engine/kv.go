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
	// pathKVFetch returns the KVHandle of an export. Importing engines request it; it is not
	// part of the published backend protocol.
	pathKVFetch = "/engine/v1/kv/:handle"
	// exportLifetime is the time for which a handle can be fetched. A handle whose attempt still
	// holds the memory can be fetched longer, until the next export removes the handle.
	exportLifetime = 30 * time.Second
	// fetchTimeout is the timeout of a request from one engine to another.
	fetchTimeout = 2 * time.Second
	// watchInterval is the time between checks that remote KV cache still exists.
	watchInterval = 200 * time.Millisecond
)

// exports holds the handles of KV cache that other engines may fetch, and the sources of the
// remote imports of this engine. The memory of the engine is accounted for in Core.
type exports struct {
	mu      sync.Mutex
	next    uint64
	handles map[string]kvExport
	// remotes holds the remote imports of this engine that no attempt has taken over, by name.
	remotes map[string]backendapi.KVImportRequest
}

type kvExport struct {
	// attempt holds the memory. It is empty if the memory was released at the export.
	attempt string
	tokens  int64
	expires time.Time
}

func newExports() *exports {
	return &exports{handles: map[string]kvExport{}, remotes: map[string]backendapi.KVImportRequest{}}
}

// add returns a new handle for KV cache of an attempt, and removes the expired handles.
func (e *exports) add(attempt string, tokens int64, now time.Time) backendapi.KVHandle {
	e.mu.Lock()
	defer e.mu.Unlock()
	for handle, kv := range e.handles {
		if now.After(kv.expires) {
			delete(e.handles, handle)
		}
	}
	e.next++
	handle := "kv-" + strconv.FormatUint(e.next, 10)
	e.handles[handle] = kvExport{attempt: attempt, tokens: tokens, expires: now.Add(exportLifetime)}
	return backendapi.KVHandle{Handle: handle, Tokens: tokens}
}

// get returns the export of a handle and whether it can still be fetched. If the export has an
// attempt, the caller has to check that the attempt still holds the memory.
func (e *exports) get(handle string, now time.Time) (kvExport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kv, ok := e.handles[handle]
	return kv, ok && (kv.attempt != "" || now.Before(kv.expires))
}

// addRemote stores the request of a remote import, which names the source.
func (e *exports) addRemote(req backendapi.KVImportRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.remotes[req.Attempt] = req
}

// takeRemotes removes and returns the requests of the remote imports among the named ones. Other
// names are ignored.
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
	var req backendapi.CancelRequest
	if err := c.Bind(&req); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.waitWhileHung(c) {
		return nil
	}
	s.runner.cancel(req.Attempts)
	return c.JSON(http.StatusOK, backendapi.CancelReply{Released: req.Attempts})
}

func (s *Server) handleAttempts(c echo.Context) error {
	if s.waitWhileHung(c) {
		return nil
	}
	var list backendapi.AttemptList
	s.runner.withCore(func(core *Core) { list.Attempts = core.Attempts(time.Now()) })
	return c.JSON(http.StatusOK, list)
}

func (s *Server) handleExport(c echo.Context) error {
	var req backendapi.KVExportRequest
	if err := c.Bind(&req); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.waitWhileHung(c) {
		return nil
	}
	var tokens int64
	var err error
	s.runner.withCore(func(core *Core) { tokens, err = core.HeldTokens(req.Attempt) })
	if err != nil {
		return c.JSON(http.StatusNotFound, control.ErrorReply{Error: err.Error()})
	}
	holder := req.Attempt
	if req.Release {
		holder = ""
		s.runner.cancel([]string{req.Attempt})
	}
	return c.JSON(http.StatusOK, s.exports.add(holder, tokens, time.Now()))
}

func (s *Server) handleFetch(c echo.Context) error {
	if s.waitWhileHung(c) {
		return nil
	}
	kv, found := s.exports.get(c.Param("handle"), time.Now())
	if found && kv.attempt != "" {
		var err error
		s.runner.withCore(func(core *Core) { _, err = core.HeldTokens(kv.attempt) })
		found = err == nil
	}
	if !found {
		return c.JSON(http.StatusNotFound, control.ErrorReply{Error: "unknown or expired handle"})
	}
	return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: c.Param("handle"), Tokens: kv.tokens})
}

// handleImport allocates memory for the KV cache and waits for the simulated duration of the
// transfer. A remote import needs neither.
func (s *Server) handleImport(c echo.Context) error {
	var req backendapi.KVImportRequest
	if err := c.Bind(&req); err != nil {
		return c.JSON(http.StatusBadRequest, control.ErrorReply{Error: err.Error()})
	}
	if s.waitWhileHung(c) {
		return nil
	}
	handle, err := fetch(c.Request().Context(), req)
	if err != nil {
		return c.JSON(http.StatusBadGateway, control.ErrorReply{Error: err.Error()})
	}
	s.runner.withCore(func(core *Core) { err = core.Reserve(req.Attempt, handle.Tokens, req.Remote, time.Now()) })
	if err != nil {
		return c.JSON(http.StatusInsufficientStorage, control.ErrorReply{Error: err.Error()})
	}
	if req.Remote {
		s.exports.addRemote(req)
		return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: req.Attempt, Tokens: handle.Tokens})
	}
	select {
	case <-c.Request().Context().Done():
		s.runner.cancel([]string{req.Attempt})
		return nil
	case <-time.After(time.Duration(handle.Tokens) * s.config.Speed.TransferTimePerToken):
	}
	return c.JSON(http.StatusOK, backendapi.KVHandle{Handle: req.Attempt, Tokens: handle.Tokens})
}

// fetch requests the handle and the length of exported KV cache from its source. It fails if the source
// does not answer within fetchTimeout or does not know the handle.
func fetch(ctx context.Context, req backendapi.KVImportRequest) (backendapi.KVHandle, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	var handle backendapi.KVHandle
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+req.Source+"/engine/v1/kv/"+req.Handle, nil)
	if err != nil {
		return handle, fmt.Errorf("fetch KV cache: %w", err)
	}
	response, err := http.DefaultClient.Do(httpReq)
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

// watchRemotes checks the remote KV cache that attempt uses until ctx ends, and cancels the
// attempt when one of the checks fails.
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
