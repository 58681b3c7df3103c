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

// attempt is a parsed call for generation.
type attempt struct {
	job       Job
	generator answer.Generator
}

// complete generates an answer as server-sent events.
func (s *Server) complete(c echo.Context) error {
	s.countCall(time.Now())
	if s.blocked(c) {
		return nil
	}
	if _, hit := s.faults.Take(fault.Refuse); hit {
		return notRun(c, http.StatusServiceUnavailable, errors.New("refused by a fault"))
	}
	if _, hit := s.faults.Take(fault.Error); hit {
		return c.JSON(http.StatusInternalServerError, control.ErrorReply{Error: "failed by a fault"})
	}
	call, err := s.parse(c.Request())
	if err != nil {
		return notRun(c, http.StatusBadRequest, err)
	}
	_, call.job.Leak = s.faults.Take(fault.Leak)
	out, err := s.runner.submit(call.job)
	if err != nil {
		return notRun(c, http.StatusServiceUnavailable, err)
	}
	defer s.runner.abandon(call.job.Attempt)
	if remotes := s.exports.takeRemotes(call.job.Imported); len(remotes) > 0 {
		ctx, stop := context.WithCancel(c.Request().Context())
		defer stop()
		go s.watchRemotes(ctx, call.job.Attempt, remotes)
	}
	writer := s.newWriter(c, call)
	if late, hit := s.faults.Take(fault.Late); hit {
		time.Sleep(late.Delay())
	}
	return s.relay(c, out, writer)
}

// notRun answers that nothing of the call was run.
func notRun(c echo.Context, status int, err error) error {
	c.Response().Header().Set(backendapi.HeaderNotRun, "1")
	c.Response().Header().Set(backendapi.HeaderAttempt, c.Request().Header.Get(backendapi.HeaderAttempt))
	return c.JSON(status, control.ErrorReply{Error: err.Error()})
}

func (s *Server) countCall(now time.Time) {
	began := s.leavingAt.Load()
	s.runner.with(func(core *Core) {
		core.counters.Calls++
		if began == 0 {
			return
		}
		core.counters.AfterLeaving++
		core.counters.LastAfterLeavingMillis = now.Sub(time.Unix(0, began)).Milliseconds()
	})
}

func (s *Server) parse(r *http.Request) (attempt, error) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return attempt{}, fmt.Errorf("read body: %w", err)
	}
	body, err := answer.ParseBody(text)
	if err != nil {
		return attempt{}, err
	}
	adapter := r.Header.Get(backendapi.HeaderAdapter)
	version, found := s.orders.served(body.Model, adapter)
	if !found {
		return attempt{}, fmt.Errorf("model %q with adapter %q is not loaded", body.Model, adapter)
	}
	prompt := body.PromptText()
	job := Job{
		Attempt:      r.Header.Get(backendapi.HeaderAttempt),
		Priority:     int(headerNumber(r, backendapi.HeaderPriority)),
		PromptTokens: max(1, int64(len(prompt)/s.config.BytesPerToken)),
		AnswerTokens: body.MaxTokens,
		ResumeFrom:   headerNumber(r, backendapi.HeaderResumeFrom),
		Imported:     splitList(r.Header.Get(backendapi.HeaderKVHandle)),
		Blocks:       backendapi.PrefixBlocks(body.Model, []byte(prompt), s.config.BytesPerToken),
	}
	if job.Attempt == "" {
		return attempt{}, fmt.Errorf("header %s is missing", backendapi.HeaderAttempt)
	}
	if err := applySegment(r, &job); err != nil {
		return attempt{}, err
	}
	source := answer.Source{Model: body.Model, Version: version, Adapter: adapter, Prompt: prompt}
	generator := answer.NewGenerator(source)
	job.Seed = generator.Seed()
	return attempt{job: job, generator: generator}, nil
}

// applySegment narrows job to the segment of the prompt that is asked for.
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

func headerNumber(r *http.Request, name string) int64 {
	number, err := strconv.ParseInt(r.Header.Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, number)
}

// chunkWriter writes chunks as server-sent events, with the faults that hit
// this attempt.
type chunkWriter struct {
	response *echo.Response
	call     attempt
	cut      *fault.Fault
	crossed  *fault.Fault
	repeat   *fault.Fault
	written  int64
}

var errCut = errors.New("the stream is cut by a fault")

func (s *Server) newWriter(c echo.Context, call attempt) *chunkWriter {
	writer := &chunkWriter{response: c.Response(), call: call}
	for kind, slot := range map[fault.Kind]**fault.Fault{
		fault.Cut: &writer.cut, fault.Crossed: &writer.crossed, fault.Repeat: &writer.repeat,
	} {
		if hit, found := s.faults.Take(kind); found {
			*slot = &hit
		}
	}
	writer.response.Header().Set("Content-Type", "text/event-stream")
	writer.response.Header().Set(backendapi.HeaderAttempt, call.job.Attempt)
	return writer
}

// relay passes emissions on until the end of the answer.
func (s *Server) relay(c echo.Context, out *stream, writer *chunkWriter) error {
	for {
		select {
		case <-c.Request().Context().Done():
			return nil
		case <-out.ended:
			return writer.write(backendapi.Chunk{Attempt: writer.call.job.Attempt, End: true, Error: "cancelled"})
		case emission := <-out.tokens:
			if s.blocked(c) {
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
