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

var errUnbounded = errors.New("the answer carries neither its length nor a digest")

// verifyService reads the whole answer of a plain service before it hands it
// on.
func verifyService(ctx context.Context, call *filter.Call, next filter.Next) error {
	response := call.Attempt.Response
	if response.Header.Get(backendapi.HeaderAttempt) != call.Attempt.ID {
		return broken(request.StepAnswer, errOtherAttempt)
	}
	if failure := refusal(call); failure != nil {
		return failure
	}
	body, err := readAnswer(response, int64(call.Bundle.Bundle.Limits.MaxBody))
	if err != nil {
		return answerError(err)
	}
	if call.Idempotent() && unavailable(response.StatusCode) {
		return broken(request.StepWait, fmt.Errorf("the service answered status %d", response.StatusCode))
	}
	call.Attempt.Answer = &filter.Answer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}
	return next(ctx, call)
}

// unavailable reports whether an idempotent call is worth another attempt.
func unavailable(status int) bool {
	return slices.Contains([]int{
		http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
	}, status)
}

func answerError(err error) *request.AttemptError {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return broken(request.StepEnd, fmt.Errorf("%w: %w", errNoEnd, err))
	}
	return broken(request.StepAnswer, err)
}

// readAnswer returns the whole body of response. An answer that ends with its
// connection must carry a digest.
func readAnswer(response *http.Response, limit int64) ([]byte, error) {
	digest := response.Header.Get(backendapi.HeaderBodyDigest)
	chunked := slices.Contains(response.TransferEncoding, "chunked")
	if response.ContentLength < 0 && digest == "" && !chunked {
		return nil, errUnbounded
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("read the answer: %w", err)
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("the answer is longer than %d bytes", limit)
	}
	if response.ContentLength >= 0 && response.ContentLength != int64(len(body)) {
		return nil, errLength
	}
	sum := sha256.Sum256(body)
	if digest != "" && digest != hex.EncodeToString(sum[:]) {
		return nil, errors.New("the digest of the answer is not the announced one")
	}
	return body, nil
}
