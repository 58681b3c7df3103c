package request

import "net/http"

// Code is the error code in the body of an error response, which has the format of the
// OpenAI API.
type Code string

// Error codes. A published code keeps its meaning. In the names, Key is the idempotency
// key and APIKey the key that identifies the team.
const (
	CodeInvalidRequest     Code = "invalid_request"
	CodeMissingAPIKey      Code = "missing_api_key"
	CodeInvalidAPIKey      Code = "invalid_api_key"
	CodeModelNotFound      Code = "model_not_found"
	CodeServiceNotFound    Code = "service_not_found"
	CodeForbidden          Code = "forbidden"
	CodePromptTooLong      Code = "prompt_too_long"
	CodeBodyTooLarge       Code = "body_too_large"
	CodeBodyTimeout        Code = "body_timeout"
	CodeDeadlineOutOfRange Code = "deadline_out_of_range"
	CodeRateLimited        Code = "rate_limited"
	CodeOverloaded         Code = "overloaded"
	CodeNoBackendServer    Code = "no_backend_server"
	CodeShuttingDown       Code = "shutting_down"
	CodeDeadlineExceeded   Code = "deadline_exceeded"
	CodeBackendFailed      Code = "backend_failed"
	CodeBackendIncomplete  Code = "backend_incomplete_answer"
	CodeKeyConflict        Code = "idempotency_key_conflict"
	CodeKeyInProgress      Code = "idempotency_key_in_progress"
	CodeKeyExpired         Code = "idempotency_key_expired"
	CodeKeyNotRun          Code = "idempotency_key_not_run"
	CodeAnswerNotKept      Code = "idempotency_key_answer_not_kept"
	CodeKeyNotFound        Code = "idempotency_key_not_found"
	CodeClaimsUnreachable  Code = "claims_unreachable"
	CodeOutcomeUnknown     Code = "outcome_unknown"
	CodeCallerGone         Code = "caller_gone"
	CodeInternal           Code = "internal_error"
)

// Status returns the HTTP status of an error response with code c. It is 500 for
// unknown codes.
func (c Code) Status() int {
	switch c {
	case CodeInvalidRequest, CodePromptTooLong, CodeDeadlineOutOfRange:
		return http.StatusBadRequest
	case CodeMissingAPIKey, CodeInvalidAPIKey:
		return http.StatusUnauthorized
	case CodeForbidden:
		return http.StatusForbidden
	case CodeModelNotFound, CodeServiceNotFound, CodeKeyNotFound:
		return http.StatusNotFound
	case CodeBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeBodyTimeout:
		return http.StatusRequestTimeout
	case CodeRateLimited:
		return http.StatusTooManyRequests
	case CodeKeyConflict:
		return http.StatusUnprocessableEntity
	case CodeKeyInProgress, CodeKeyNotRun:
		return http.StatusConflict
	case CodeKeyExpired, CodeAnswerNotKept:
		return http.StatusGone
	case CodeOverloaded, CodeNoBackendServer, CodeShuttingDown, CodeClaimsUnreachable:
		return http.StatusServiceUnavailable
	case CodeDeadlineExceeded:
		return http.StatusGatewayTimeout
	case CodeBackendFailed, CodeBackendIncomplete, CodeOutcomeUnknown:
		return http.StatusBadGateway
	}
	return http.StatusInternalServerError
}
