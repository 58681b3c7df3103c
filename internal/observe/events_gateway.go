package observe

import "github.com/rs/zerolog"

// Events 3200-3299: requests by routes.
var (
	RequestRefused = newEvent(3200, "request_refused", zerolog.WarnLevel,
		"A request was refused before it ran; the line gives the reason and when it may come back. Many lines: look at the waiting requests of the scheduler.")
	RequestPlaced = newEvent(3205, "request_placed", zerolog.InfoLevel,
		"A request got a place on a backend server, by the scheduler or by this VM itself (local); the line gives the wait and the version of the route table. No action.")
	RequestBroken = newEvent(3201, "request_broken", zerolog.WarnLevel,
		"A request failed after it may have run, or its stream broke off. Compare with the server_attempt_failed lines of the same request.")
	ServerAttemptFailed = newEvent(3202, "server_attempt_failed", zerolog.WarnLevel,
		"A sending to a backend server failed; the line says how far it got. Many lines for one server: look at that server.")
	RequestAnswered = newEvent(3203, "request_answered", zerolog.InfoLevel,
		"A request has its answer. No action.")
	RequestAnsweredLate = newEvent(3206, "request_answered_late", zerolog.WarnLevel,
		"A request has its answer, but later than its route aims at, with a longer pause, or after more than one sending; the fields are those of request_answered. Compare waited, first and longest with the aims.")
	RequestPlacedAgain = newEvent(3207, "request_placed_again", zerolog.WarnLevel,
		"A request got a further place after a sending that failed; the fields are those of request_placed. No action.")
	MemoryOrderFailed = newEvent(3204, "memory_order_failed", zerolog.InfoLevel,
		"An order to reserve, renew or release memory for a part of a prompt failed; the line names server and ticket. The memory is given back after its hold. Many lines for one server: look at that server.")
)
