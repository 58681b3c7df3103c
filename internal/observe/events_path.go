package observe

import "github.com/rs/zerolog"

// Events 3000-3099: the request path.
var (
	AttemptFailed = newEvent(3000, "attempt_failed", zerolog.InfoLevel,
		"An attempt on a backend server failed; the line names server and step. Many lines for one server: look at that server.")
	RequestEnded = newEvent(3001, "request_ended", zerolog.DebugLevel,
		"A request ended; the line gives outcome and code. No action.")
	RequestFailed = newEvent(3002, "request_failed", zerolog.InfoLevel,
		"An admitted request ended without a whole answer; the line gives outcome, code and cause. Compare with the attempt_failed lines of the same request.")
	ClaimNotRecorded = newEvent(3003, "claim_not_recorded", zerolog.WarnLevel,
		"The answer of a claimed call was delivered but could not be recorded; a resend of the key reads unknown. Look at the control VMs.")
)

// Events 3010-3019: HTTP servers.
var (
	HTTPServerError = newEvent(3010, "http_server_error", zerolog.WarnLevel,
		"The HTTP library reports a fault of a connection or of a handler. With the text panic it is a defect: report it with the line.")
)

// Events 3100-3199: backend servers as this VM knows them.
var (
	ServerJoined = newEvent(3100, "server_joined", zerolog.InfoLevel,
		"A backend server or a new incarnation of it announced itself. No action.")
	ServerLeaving = newEvent(3101, "server_leaving", zerolog.InfoLevel,
		"A backend server announced that it leaves; it gets no new work. No action.")
	ServerSilent = newEvent(3102, "server_silent", zerolog.WarnLevel,
		"A backend server sent no heartbeat for the silence limit; it gets no new work. Look at the server and the network between.")
	AnnouncementRefused = newEvent(3103, "announcement_refused", zerolog.WarnLevel,
		"An announcement was malformed, of another zone, or of an older incarnation. Correct the settings of the server that the line names.")
	CancelUnconfirmed = newEvent(3110, "cancel_unconfirmed", zerolog.WarnLevel,
		"An engine has not confirmed for some time that it freed cancelled attempts; it is asked again. If it lasts, restart the engine.")
	AttemptsReclaimed = newEvent(3111, "attempts_reclaimed", zerolog.WarnLevel,
		"An engine held attempts of this VM that had ended; they are cancelled. Repeated lines for one engine: look at its cancel handling.")
)
