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
	// maxEventBytes is the maximum length of an event, which is one line. It is checked
	// before each read, so lines that exceed it by less than a read buffer may pass.
	maxEventBytes = 64 << 10
	eventField    = "data:"
	eventStream   = "text/event-stream"
)

var errTooManyTokens = errors.New("the engine sent more tokens than the answer may have")

// verifyEngine sets Attempt.Chunks to the verified chunks of an engine's stream and
// calls next. In an AttemptError of next, it sets MadeProgress.
func verifyEngine(ctx context.Context, call *filter.Call, next filter.Next) error {
	if err := checkStream(call); err != nil {
		return err
	}
	verifiedBefore := call.VerifiedTokens
	call.Attempt.Chunks = verifiedChunks(call)
	err := next(ctx, call)
	var failure *request.AttemptError
	if errors.As(err, &failure) {
		failure.MadeProgress = call.VerifiedTokens > verifiedBefore
	}
	return err
}

// checkStream checks the header of an engine's response.
func checkStream(call *filter.Call) error {
	response := call.Attempt.Response
	if failure := refusalFailure(call); failure != nil {
		return failure
	}
	if response.StatusCode != http.StatusOK {
		failure := sentFailure(request.StepWait, fmt.Errorf("the engine answered status %d", response.StatusCode))
		failure.Permanent = isPermanentStatus(response.StatusCode)
		return failure
	}
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	if err != nil || mediaType != eventStream {
		return sentFailure(request.StepAnswer, fmt.Errorf("the engine answered the content type %q", mediaType))
	}
	return nil
}

// verifiedChunks yields each chunk after it was verified as the next one of this
// attempt, and counts it in call.VerifiedTokens. The last chunk is the end mark. An
// error, which ends the sequence, is a *request.AttemptError.
func verifiedChunks(call *filter.Call) iter.Seq2[backendapi.Chunk, error] {
	return func(yield func(backendapi.Chunk, error) bool) {
		reader := bufio.NewReader(call.Attempt.Response.Body)
		for {
			chunk, err := readChunk(reader)
			if err == nil {
				err = checkChunk(call, chunk)
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

// streamError returns the failure of an attempt for an error of reading its stream.
func streamError(err error) *request.AttemptError {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return sentFailure(request.StepEnd, fmt.Errorf("%w: %w", errNoEndMark, err))
	}
	return sentFailure(request.StepAnswer, err)
}

// checkChunk returns an error unless chunk is the next one of the answer. For a valid
// end mark, it sets the prompt token counts of the attempt.
func checkChunk(call *filter.Call, chunk backendapi.Chunk) error {
	if chunk.Attempt != call.Attempt.ID {
		return errOtherAttempt
	}
	expected := call.VerifiedTokens
	if !chunk.End || chunk.Text != "" {
		if chunk.Index != expected {
			return fmt.Errorf("token %d arrived instead of token %d", chunk.Index, expected)
		}
		expected++
	}
	if expected > call.Inference.AnswerTokens {
		return errTooManyTokens
	}
	if !chunk.End {
		return nil
	}
	if chunk.Error != "" {
		return fmt.Errorf("the engine stopped early: %q", chunk.Error)
	}
	if chunk.Count != expected {
		return fmt.Errorf("%w: %d tokens arrived, the end mark states %d", errLengthMismatch, expected, chunk.Count)
	}
	call.Attempt.PromptTokens, call.Attempt.CachedTokens = chunk.PromptTokens, chunk.CachedTokens
	return nil
}

// readChunk reads the next chunk from the event stream. Lines without a data field are
// skipped.
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

// readLine returns the next line, which is valid until the next read.
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
