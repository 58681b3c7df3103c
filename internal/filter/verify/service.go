package verify

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

var errNoLengthOrDigest = errors.New("the answer has neither a length nor a digest")

// verifyService reads and verifies the complete answer of a plain service before it
// calls next.
func verifyService(ctx context.Context, call *filter.Call, next filter.Next) error {
	response := call.Attempt.Response
	if response.Header.Get(backendapi.HeaderAttempt) != call.Attempt.ID {
		return sentFailure(request.StepAnswer, errOtherAttempt)
	}
	if failure := refusalFailure(call); failure != nil {
		return failure
	}
	body, err := readAnswer(response, int64(call.Bundle.Bundle.Limits.MaxBody))
	if err != nil {
		return answerError(err)
	}
	if call.Idempotent() && isRetryableStatus(response.StatusCode) {
		return sentFailure(request.StepWait, fmt.Errorf("the service answered status %d", response.StatusCode))
	}
	call.Attempt.Answer = &filter.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	return next(ctx, call)
}

// isRetryableStatus reports whether an idempotent call is retried after status: 500,
// 502, 503 or 504.
func isRetryableStatus(status int) bool {
	return slices.Contains([]int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}, status)
}

// answerError returns the failure of an attempt for an error of readAnswer.
func answerError(err error) *request.AttemptError {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return sentFailure(request.StepEnd, fmt.Errorf("%w: %w", errNoEndMark, err))
	}
	return sentFailure(request.StepAnswer, err)
}

// readAnswer returns the complete body of response, of at most maxBytes bytes. A body
// that ends with the connection, without a length or chunks, must have a digest. An
// answer to a HEAD request has no body; its length and digest are those of a GET.
func readAnswer(response *http.Response, maxBytes int64) ([]byte, error) {
	if response.Request != nil && response.Request.Method == http.MethodHead {
		return nil, nil
	}
	digest := response.Header.Get(backendapi.HeaderBodyDigest)
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	if response.ContentLength < 0 && digest == "" && !chunked {
		return nil, errNoLengthOrDigest
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if int64(len(body)) > maxBytes {
		return nil, fmt.Errorf("the answer is longer than %d bytes", maxBytes)
	}
	if response.ContentLength >= 0 && response.ContentLength != int64(len(body)) {
		return nil, errLengthMismatch
	}
	sum := sha256.Sum256(body)
	if digest != "" && digest != hex.EncodeToString(sum[:]) {
		return nil, errors.New("the digest of the answer differs from the announced digest")
	}
	return body, nil
}
