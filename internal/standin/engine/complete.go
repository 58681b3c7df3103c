package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/standin/answer"
	"godwityoke.example/godwityoke/internal/standin/control"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

// parsedCall is a call for generation whose headers and body have been read.
type parsedCall struct {
	job       Job
	generator answer.Generator
}

// handleCompletion generates an answer and streams it as server-sent events.
func (s *Server) handleCompletion(c echo.Context) error {
	s.countCall(time.Now())
	if s.waitWhileHung(c) {
		return nil
	}
	if _, hit := s.faults.Take(fault.Refuse); hit {
		return replyNotRun(c, http.StatusServiceUnavailable, errors.New("refused by a fault"))
	}
	if _, hit := s.faults.Take(fault.Error); hit {
		return c.JSON(http.StatusInternalServerError, control.ErrorReply{Error: "failed by a fault"})
	}
	call, err := s.parse(c.Request())
	if err != nil {
		return replyNotRun(c, http.StatusBadRequest, err)
	}
	_, call.job.Leak = s.faults.Take(fault.Leak)
	out, err := s.runner.submit(call.job)
	if err != nil {
		return replyNotRun(c, http.StatusServiceUnavailable, err)
	}
	defer s.runner.abandon(call.job.Attempt)
	if remotes := s.exports.takeRemotes(call.job.Imported); len(remotes) > 0 {
		ctx, stop := context.WithCancel(c.Request().Context())
		defer stop()
		go s.watchRemotes(ctx, call.job.Attempt, remotes)
	}
	writer := s.newChunkWriter(c, call)
	if late, hit := s.faults.Take(fault.Late); hit {
		time.Sleep(late.Delay())
	}
	return s.streamEmissions(c, out, writer)
}

// replyNotRun answers with an error and the header that states that nothing of the call was
// run.
func replyNotRun(c echo.Context, status int, err error) error {
	c.Response().Header().Set(backendapi.HeaderNotRun, "1")
	c.Response().Header().Set(backendapi.HeaderAttempt, c.Request().Header.Get(backendapi.HeaderAttempt))
	return c.JSON(status, control.ErrorReply{Error: err.Error()})
}

// countCall counts a call. If the engine is draining, it counts the call in Counters.AfterLeaving, too.
func (s *Server) countCall(now time.Time) {
	drainingSince := s.drainingSince.Load()
	s.runner.withCore(func(core *Core) {
		core.counters.Calls++
		if drainingSince == 0 {
			return
		}
		core.counters.AfterLeaving++
		core.counters.LastAfterLeavingMillis = now.Sub(time.Unix(0, drainingSince)).Milliseconds()
	})
}

// parse reads the job and the answer to generate from the headers and the body of a call. It fails if
// the body or the segment is invalid, the model or the adapter is not loaded, or the attempt ID is
// missing.
func (s *Server) parse(r *http.Request) (parsedCall, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return parsedCall{}, fmt.Errorf("read body: %w", err)
	}
	body, err := answer.ParseBody(text)
	if err != nil {
		return parsedCall{}, err
	}
	adapter := r.Header.Get(backendapi.HeaderAdapter)
	version, found := s.orders.servedVersion(body.Model, adapter)
	if !found {
		return parsedCall{}, fmt.Errorf("model %q with adapter %q is not loaded", body.Model, adapter)
	}
	prompt := body.PromptText()
	job := Job{
		Attempt:      r.Header.Get(backendapi.HeaderAttempt),
		Priority:     int(parseIntHeader(r, backendapi.HeaderPriority)),
		PromptTokens: max(1, int64(len(prompt)/s.config.BytesPerToken)),
		AnswerTokens: body.MaxTokens,
		ResumeFrom:   parseIntHeader(r, backendapi.HeaderResumeFrom),
		Imported:     splitList(r.Header.Get(backendapi.HeaderKVHandle)),
		Blocks:       backendapi.PrefixBlocks(body.Model, []byte(prompt), s.config.BytesPerToken),
	}
	if job.Attempt == "" {
		return parsedCall{}, fmt.Errorf("header %s is missing", backendapi.HeaderAttempt)
	}
	if err := applySegment(r, &job); err != nil {
		return parsedCall{}, err
	}
	source := answer.Source{Model: body.Model, Version: version, Adapter: adapter, Prompt: prompt}
	generator := answer.NewGenerator(source)
	job.Seed = generator.Seed()
	return parsedCall{job: job, generator: generator}, nil
}

// applySegment limits job to the segment "START-END" of the prompt, in tokens, that the
// header names. END is exclusive.
func applySegment(r *http.Request, job *Job) error {
	if r.Header.Get(backendapi.HeaderPrefillOnly) == "1" {
		job.AnswerTokens = 0
	}
	segment := r.Header.Get(backendapi.HeaderSegment)
	if segment == "" {
		return nil
	}
	from, to, _ := strings.Cut(segment, "-")
	start, startErr := strconv.ParseInt(from, 10, 64)
	end, endErr := strconv.ParseInt(to, 10, 64)
	if startErr != nil || endErr != nil || start < 0 || end <= start || end > job.PromptTokens {
		return fmt.Errorf("segment %q is outside the prompt of %d tokens", segment, job.PromptTokens)
	}
	job.PromptTokens, job.ContextTokens = end-start, start
	job.Blocks = nil
	return nil
}

func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}

// parseIntHeader returns the value of a header, or 0 if it is missing, invalid or negative.
func parseIntHeader(r *http.Request, name string) int64 {
	number, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, number)
}

// chunkWriter writes the chunks of one attempt as server-sent events and applies the faults
// that hit the attempt.
type chunkWriter struct {
	response *echo.Response
	call     parsedCall
	// Faults that hit the attempt, nil otherwise.
	cut     *fault.Fault
	crossed *fault.Fault
	repeat  *fault.Fault
	// written counts the chunks written. A chunk that was written twice is not counted.
	written int64
}

var errCut = errors.New("the stream is cut by a fault")

func (s *Server) newChunkWriter(c echo.Context, call parsedCall) *chunkWriter {
	writer := &chunkWriter{response: c.Response(), call: call}
	for kind, target := range map[fault.Kind]**fault.Fault{
		fault.Cut: &writer.cut, fault.Crossed: &writer.crossed, fault.Repeat: &writer.repeat,
	} {
		if hit, found := s.faults.Take(kind); found {
			*target = &hit
		}
	}
	writer.response.Header().Set("Content-Type", "text/event-stream")
	writer.response.Header().Set(backendapi.HeaderAttempt, call.job.Attempt)
	return writer
}

// streamEmissions writes emissions until the answer ends, the attempt is cancelled or the
// caller disconnects. It aborts the connection if a write fails or the fault "cut" hits.
func (s *Server) streamEmissions(c echo.Context, out *stream, writer *chunkWriter) error {
	for {
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-out.cancelled:
			return writer.write(backendapi.Chunk{Attempt: writer.call.job.Attempt, End: true, Error: "cancelled"})
		case emission := <-out.emissions:
			if s.waitWhileHung(c) {
				return nil
			}
			if err := writer.emit(emission); err != nil {
				panic(http.ErrAbortHandler)
			}
			if emission.End {
				return nil
			}
		}
	}
}

// emit writes the chunk of an emission. It returns errCut once the fault "cut" hits.
func (w *chunkWriter) emit(emission Emission) error {
	chunk := backendapi.Chunk{Attempt: w.call.job.Attempt, Index: emission.Index, End: emission.End}
	if emission.End {
		chunk.Count = emission.Index
		chunk.FinishReason = "length"
		chunk.PromptTokens = emission.PromptTokens
		chunk.CachedTokens = emission.CachedTokens
	} else {
		chunk.Text = w.call.generator.Token(emission.Index)
	}
	if w.cut != nil && w.written >= w.cut.AfterTokens {
		return errCut
	}
	if w.crossed != nil && w.written >= w.crossed.AfterTokens {
		chunk.Attempt, chunk.Text, w.crossed = "another-attempt", " crossed", nil
	}
	if err := w.write(chunk); err != nil {
		return err
	}
	if w.repeat != nil && w.written >= w.repeat.AfterTokens {
		w.repeat = nil
		return w.write(chunk)
	}
	w.written++
	return nil
}

func (w *chunkWriter) write(chunk backendapi.Chunk) error {
	text, err := json.Marshal(chunk)
	if err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	if _, err := fmt.Fprintf(w.response, "data: %s\n\n", text); err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	w.response.Flush()
	return nil
}
