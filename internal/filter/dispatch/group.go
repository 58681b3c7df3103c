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

// maxKVReplyBytes is the maximum size of an engine's reply to an export or import
// of KV cache.
const maxKVReplyBytes = 64 << 10

var errPrefillIncomplete = errors.New("the prefill of a segment ended without a valid end mark")

// prepareGroup prefills all segments of a prompt but the last on the helpers of a
// group placement, and links the KV cache of each segment to the engines of the
// segments after it. For other placements it does nothing. The caller must call
// endHelpers in any case, also after an error: it has the helpers' attempts
// cancelled, which frees their memory.
func (f *Filter) prepareGroup(ctx context.Context, call *filter.Call) (endHelpers func(), err error) {
	grouped, ok := call.Attempt.Placement.(place.GroupPlacement)
	if !ok {
		return func() {}, nil
	}
	segments := grouped.Segments()
	helperSegments := segments[:len(segments)-1]
	call.Attempt.Sent = len(helperSegments) > 0
	for _, segment := range helperSegments {
		f.Reclaimer.Begin(segment.Server, segment.Attempt)
	}
	endHelpers = func() {
		for _, segment := range helperSegments {
			f.Reclaimer.End(segment.Server, segment.Attempt, false)
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := f.watchGroup(ctx, cancel, segments)
	defer stop()
	for _, step := range place.GroupSteps(len(segments)) {
		if err := f.runStep(ctx, call, grouped, step); err != nil {
			return endHelpers, &request.AttemptError{Step: request.StepWait, Sent: true, Cause: attemptCause(ctx, err)}
		}
	}
	grouped.BeginPrefill(len(helperSegments))
	return endHelpers, nil
}

// watchGroup calls cancel with errServerGone when a server of the group is no
// longer alive. The caller must call stop.
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

// runStep runs one step of a group: the prefill of a segment, or the transfer of a
// finished segment to an engine that needs it.
func (f *Filter) runStep(ctx context.Context, call *filter.Call, grouped place.GroupPlacement, step place.GroupStep) error {
	segments := grouped.Segments()
	segment := segments[step.Segment]
	switch step.Kind {
	case place.GroupPrefill:
		grouped.BeginPrefill(step.Segment)
		defer grouped.EndPrefill(step.Segment)
		return f.prefill(ctx, call, segment, kvHandles(segment, step.Segment))
	case place.GroupTransfer:
		return f.transfer(ctx, segments[step.Source], segment, step.Source)
	}
	return fmt.Errorf("unknown kind %d of a group step", step.Kind)
}

// kvHandles returns the value of backendapi.HeaderKVHandle for a segment that has
// the given number of segments before it.
func kvHandles(segment place.GroupSegment, before int) string {
	names := make([]string, before)
	for i := range names {
		names[i] = segment.ImportName(i)
	}
	return strings.Join(names, ",")
}

// prefill has the engine of segment prefill it, and returns when the prefill is
// complete. The handles name the KV cache of the segments before it.
func (f *Filter) prefill(ctx context.Context, call *filter.Call, segment place.GroupSegment, handles string) error {
	url := "http://" + segment.Server.Address + serverPath(call)
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, call.Body.Reader())
	if err != nil {
		return fmt.Errorf("build the prefill request of a segment: %w", err)
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
	return awaitPrefillEnd(response.Body, segment.Attempt)
}

// setSegment sets the headers that describe a segment to its engine.
func setSegment(header http.Header, segment place.GroupSegment, handles string) {
	header.Set(backendapi.HeaderSegment, segment.Header())
	header.Set(backendapi.HeaderMemoryTokens, fmt.Sprint(segment.Tokens))
	header.Del(backendapi.HeaderKVHandle)
	if handles != "" {
		header.Set(backendapi.HeaderKVHandle, handles)
	}
}

// awaitPrefillEnd reads the event stream of a prefill, whose only event is the end
// mark. Any other event, and an end mark with an error, is an error.
func awaitPrefillEnd(body io.Reader, attempt string) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		text, found := strings.CutPrefix(lines.Text(), "data:")
		if !found {
			continue
		}
		var chunk backendapi.Chunk
		if err := json.Unmarshal([]byte(text), &chunk); err != nil {
			return fmt.Errorf("decode the end mark of a prefill: %w", err)
		}
		if chunk.Attempt != attempt || chunk.Error != "" || !chunk.End {
			return errPrefillIncomplete
		}
		return nil
	}
	return errors.Join(errPrefillIncomplete, lines.Err())
}

// transfer makes the KV cache of source available to the engine of target. The
// cache stays on the engine of source; index is the position of source in the group.
func (f *Filter) transfer(ctx context.Context, source, target place.GroupSegment, index int) error {
	var exported, imported backendapi.KVHandle
	exportRequest := backendapi.KVExportRequest{Attempt: source.Attempt}
	if err := f.post(ctx, source.Server.Address+backendapi.PathKVExport, exportRequest, &exported); err != nil {
		return fmt.Errorf("export KV cache from %s: %w", source.Server.ID, err)
	}
	importRequest := backendapi.KVImportRequest{Attempt: target.ImportName(index), Source: source.Server.Address, Handle: exported.Handle, Remote: true}
	if err := f.post(ctx, target.Server.Address+backendapi.PathKVImport, importRequest, &imported); err != nil {
		return fmt.Errorf("import KV cache on %s: %w", target.Server.ID, err)
	}
	return nil
}

// post sends requestBody as JSON to url, which has no scheme, and decodes the JSON
// reply into replyBody.
func (f *Filter) post(ctx context.Context, url string, requestBody, replyBody any) error {
	body, err := json.Marshal(requestBody)
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
	return json.NewDecoder(io.LimitReader(response.Body, maxKVReplyBytes)).Decode(replyBody)
}
