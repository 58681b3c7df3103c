package observe

import "github.com/rs/zerolog"

// Events 3000 to 3009: requests and their attempts.
var (
	AttemptFailed = newEvent(3000, "attempt_failed", zerolog.InfoLevel,
		"An attempt to send a request to a backend server failed; it may be retried on another server. The line names the server and the step that failed. If one server causes many of these lines, check that server.")
	RequestEnded = newEvent(3001, "request_ended", zerolog.DebugLevel,
		"A request ended. The line gives its outcome and, if it failed, the error code. No action.")
	RequestFailed = newEvent(3002, "request_failed", zerolog.InfoLevel,
		"A request ended with a server error (5xx). The line gives its outcome, error code and cause. Read the attempt_failed lines with the same request id.")
	ClaimNotRecorded = newEvent(3003, "claim_not_recorded", zerolog.WarnLevel,
		"The answer of a request with an idempotency key could not be recorded, although the caller gets it. A repeated request with the same key is told that the outcome is unknown. Check the control VMs that store claim records.")
)

// Events 3010 to 3019: HTTP servers.
var (
	HTTPServerError = newEvent(3010, "http_server_error", zerolog.WarnLevel,
		"The HTTP library reported an error of a connection or a handler. If the text contains panic, it is a bug: report it with the whole line. Otherwise no action.")
)

// Events 3100 to 3199: backend servers as seen by this VM.
var (
	ServerJoined = newEvent(3100, "server_joined", zerolog.InfoLevel,
		"A backend server announced itself for the first time or after a restart. No action.")
	ServerLeaving = newEvent(3101, "server_leaving", zerolog.InfoLevel,
		"A backend server announced that it is draining; it gets no new requests. No action.")
	ServerSilent = newEvent(3102, "server_silent", zerolog.WarnLevel,
		"A backend server sent no heartbeat within entry.silent_after, so it gets no new requests. Check the server and the network between it and this VM.")
	AnnouncementRefused = newEvent(3103, "announcement_refused", zerolog.WarnLevel,
		"An announcement of a backend server was refused, because it was malformed or came from a server of another availability zone. Correct the settings of the server that the line names.")
	CancelUnconfirmed = newEvent(3110, "cancel_unconfirmed", zerolog.WarnLevel,
		"A model engine has not confirmed for at least 5 s that it cancelled the attempts it was told to cancel; this VM keeps asking. If it lasts, restart the engine.")
	AttemptsReclaimed = newEvent(3111, "attempts_reclaimed", zerolog.WarnLevel,
		"A model engine still held attempts that this VM had finished; they are being cancelled. If one engine causes many of these lines, check how it handles cancellation.")
)
