package dispatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/place"
	"godwityoke.example/godwityoke/internal/request"
)

// maxHandleBytes bounds an engine's answer to an export or import.
const maxHandleBytes = 64 << 10

var errPrefill = errors.New("the engine ended the prefill of a segment early")

// prepareGroup computes all segments of a prompt but the last, and makes them
// the context of those after them. The returned function ends the segments on
// their engines; it is called in any case.
func (f *Filter) prepareGroup(ctx context.Context, call *filter.Call) (end func(), err error) {
	grouped, ok := call.Attempt.Placement.(place.GroupPlacement)
	if !ok {
		return func() {}, nil
	}
	segments := grouped.Segments()
	others := segments[:len(segments)-1]
	call.Attempt.Sent = len(others) > 0
	for _, segment := range others {
		f.Reclaimer.Begin(segment.Server, segment.Attempt)
	}
	end = func() {
		for _, segment := range others {
			f.Reclaimer.End(segment.Server, segment.Attempt, false)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := f.watchGroup(ctx, cancel, segments)
	defer stop()
	for _, step := range place.GroupSteps(len(segments)) {
		if err := f.runStep(ctx, call, grouped, step); err != nil {
			return end, &request.AttemptError{Step: request.StepWait, Sent: true, Cause: cause(ctx, err)}
		}
	}
	grouped.BeginPrefill(len(others))
	return end, nil
}

// watchGroup cancels when an engine of the group is gone.
func (f *Filter) watchGroup(ctx context.Context, cancel context.CancelCauseFunc, segments []place.GroupSegment) (stop func()) {
	ctx, stop = context.WithCancel(ctx)
	go func() {
		ticker := time.NewTicker(watchInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case now := <-ticker.C:
				for _, segment := range segments {
					if !f.Liveness.IsAlive(segment.Server.ID, segment.Server.Incarnation, now) {
						cancel(errServerGone)
						return
					}
				}
			}
		}
	}()
	return stop
}

func (f *Filter) runStep(ctx context.Context, call *filter.Call, grouped place.GroupPlacement, step place.GroupStep) error {
	segments := grouped.Segments()
	segment := segments[step.Segment]
	switch step.Kind {
	case place.GroupPrefill:
		grouped.BeginPrefill(step.Segment)
		defer grouped.EndPrefill(step.Segment)
		return f.prefill(ctx, call, segment, imports(segment, step.Segment))
	case place.GroupTransfer:
		return f.transfer(ctx, segments[step.Source], segment, step.Source)
	}
	return fmt.Errorf("unknown step %d of a group", step.Kind)
}

// imports returns the value of backendapi.HeaderKVHandle for a segment with
// this number of segments before it.
func imports(segment place.GroupSegment, before int) string {
	names := make([]string, before)
	for i := range names {
		names[i] = segment.ImportName(i)
	}
	return strings.Join(names, ",")
}

// prefill computes one segment and waits for its end.
func (f *Filter) prefill(ctx context.Context, call *filter.Call, segment place.GroupSegment, handles string) error {
	url := "http://" + segment.Server.Address + path(call)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, call.Body.Reader())
	if err != nil {
		return fmt.Errorf("build the prefill of a segment: %w", err)
	}
	outgoing.ContentLength = call.Body.Len()
	setHeaders(outgoing.Header, call, time.Now())
	outgoing.Header.Set(backendapi.HeaderAttempt, segment.Attempt)
	outgoing.Header.Set(backendapi.HeaderPrefillOnly, "1")
	outgoing.Header.Set(backendapi.HeaderResumeFrom, "0")
	setSegment(outgoing.Header, segment, handles)
	response, err := f.PooledTransport.RoundTrip(outgoing)
	if err != nil {
		return fmt.Errorf("prefill of the segment %s on %s: %w", segment.Header(), segment.Server.ID, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("prefill of the segment %s on %s: status %d", segment.Header(), segment.Server.ID, response.StatusCode)
	}
	return awaitEnd(response.Body, segment.Attempt)
}

func setSegment(header http.Header, segment place.GroupSegment, handles string) {
	header.Set(backendapi.HeaderSegment, segment.Header())
	header.Set(backendapi.HeaderMemoryTokens, fmt.Sprint(segment.Tokens))
	header.Del(backendapi.HeaderKVHandle)
	if handles != "" {
		header.Set(backendapi.HeaderKVHandle, handles)
	}
}

// awaitEnd reads the stream of a prefill up to its end mark.
func awaitEnd(body io.Reader, attempt string) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		var chunk backendapi.Chunk
		if err := json.Unmarshal([]byte(text), &chunk); err != nil {
			return fmt.Errorf("read the end of a prefill: %w", err)
		}
		if chunk.Attempt != attempt || chunk.Error != "" || !chunk.End {
			return errPrefill
		}
		return nil
	}
	return errors.Join(errPrefill, lines.Err())
}

// transfer exports the KV cache of source and imports it for target without
// moving it.
func (f *Filter) transfer(ctx context.Context, source, target place.GroupSegment, index int) error {
	var exported, imported backendapi.KVHandle
	export := backendapi.KVExportRequest{Attempt: source.Attempt}
	if err := f.post(ctx, source.Server.Address+backendapi.PathKVExport, export, &exported); err != nil {
		return fmt.Errorf("export from %s: %w", source.Server.ID, err)
	}
	wanted := backendapi.KVImportRequest{Attempt: target.ImportName(index), Source: source.Server.Address, Handle: exported.Handle, Remote: true}
	if err := f.post(ctx, target.Server.Address+backendapi.PathKVImport, wanted, &imported); err != nil {
		return fmt.Errorf("import to %s: %w", target.Server.ID, err)
	}
	return nil
}

func (f *Filter) post(ctx context.Context, url string, question, answer any) error {
	body, err := json.Marshal(question)
	if err != nil {
		return err
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	outgoing.Header.Set("Content-Type", "application/json")
	response, err := f.PooledTransport.RoundTrip(outgoing)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maxHandleBytes)).Decode(answer)
}
