package verify

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"iter"
	"mime"
	"net/http"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 64 << 10
	eventField    = "data:"
	eventStream   = "text/event-stream"
)

var errAfterEnd = errors.New("the engine sent more than the answer may hold")

// verifyEngine offers the verified chunks of an engine's stream to the rest of
// the pipeline.
func verifyEngine(ctx context.Context, call *filter.Call, next filter.Next) error {
	if err := checkStream(call); err != nil {
		return err
	}
	before := call.VerifiedTokens
	call.Attempt.Chunks = chunks(call)
	err := next(ctx, call)
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		failure.MadeProgress = call.VerifiedTokens > before
	}
	return err
}

func checkStream(call *filter.Call) error {
	response := call.Attempt.Response
	if failure := refusal(call); failure != nil {
		return failure
	}
	if response.StatusCode != http.StatusOK {
		failure := broken(request.StepWait, fmt.Errorf("the engine answered status %d", response.StatusCode))
		failure.Permanent = finalStatus(response.StatusCode)
		return failure
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != eventStream {
		return broken(request.StepAnswer, fmt.Errorf("the engine answered the content type %q", mediaType))
	}
	return nil
}

// chunks yields each chunk once it is known to be the next one of this
// attempt. The last one is the end mark; any error is an AttemptError.
func chunks(call *filter.Call) iter.Seq2[backendapi.Chunk, error] {
	return func(yield func(backendapi.Chunk, error) bool) {
		reader := bufio.NewReader(call.Attempt.Response.Body)
		for {
			chunk, err := readChunk(reader)
			if err == nil {
				err = check(call, chunk)
			}
			if err != nil {
				yield(backendapi.Chunk{}, streamError(err))
				return
			}
			if !chunk.End || chunk.Text != "" {
				call.VerifiedTokens++
			}
			call.Attempt.ResetStallTimer()
			if !yield(chunk, nil) || chunk.End {
				return
			}
		}
	}
}

func streamError(err error) *request.AttemptError {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return broken(request.StepEnd, fmt.Errorf("%w: %w", errNoEnd, err))
	}
	return broken(request.StepAnswer, err)
}

// check reports any deviation of chunk from the next one expected.
func check(call *filter.Call, chunk backendapi.Chunk) error {
	if chunk.Attempt != call.Attempt.ID {
		return errOtherAttempt
	}
	expected := call.VerifiedTokens
	if !chunk.End || chunk.Text != "" {
		if chunk.Index != expected {
			return fmt.Errorf("token %d arrived in place of token %d", chunk.Index, expected)
		}
		expected++
	}
	if expected > call.Inference.AnswerTokens {
		return errAfterEnd
	}
	if !chunk.End {
		return nil
	}
	if chunk.Error != "" {
		return fmt.Errorf("the engine stopped early: %q", chunk.Error)
	}
	if chunk.Count != expected {
		return fmt.Errorf("%w: %d tokens arrived, %d were counted", errLength, expected, chunk.Count)
	}
	call.Attempt.PromptTokens, call.Attempt.CachedTokens = chunk.PromptTokens, chunk.CachedTokens
	return nil
}

// readChunk reads the next server-sent event. Lines of other fields are
// passed over.
func readChunk(reader *bufio.Reader) (backendapi.Chunk, error) {
	var chunk backendapi.Chunk
	for {
		line, err := readLine(reader)
		if err != nil {
			return chunk, err
		}
		data, found := bytes.CutPrefix(line, []byte(eventField))
		if !found {
			continue
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return chunk, fmt.Errorf("the event is not a chunk: %w", err)
		}
		return chunk, nil
	}
}

// readLine returns the next line. It is valid until the next read.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(long) > maxEventBytes {
			return nil, fmt.Errorf("the event is longer than %d bytes", maxEventBytes)
		}
		line, err = reader.ReadSlice('\n')
		long = append(long, line...)
	}
	return long, err
}
