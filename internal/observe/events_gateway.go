package observe

import "github.com/rs/zerolog"

// Events 3200 to 3299: requests that are matched by the route table.
var (
	RequestRefused = newEvent(3200, "request_refused", zerolog.WarnLevel,
		"A request was refused and did not run. The line gives the reason and the time after which the caller may retry (retry_after). If there are many, read the scheduler_load lines for queued requests. A refusal by the route table gives its version, how long it has been in force (table_age), the attached control VM, empty for none, and the time since its last frame (silent): compare the version with routes_applied of the control VMs.")
	RequestPlaced = newEvent(3205, "request_placed", zerolog.InfoLevel,
		"A request was placed on a backend server by the scheduler, or by this VM itself (local). The line gives the time in the queue (waited) and the version of the route table. No action.")
	RequestBroken = newEvent(3201, "request_broken", zerolog.WarnLevel,
		"A request failed after a server may have run it, or its response broke off. The line gives the cause. The field end is that of request_answered, and present if a server has ended its response. Read the server_attempt_failed lines with the same request id.")
	ServerAttemptFailed = newEvent(3202, "server_attempt_failed", zerolog.WarnLevel,
		"An attempt to run a request on a backend server failed. The error tells whether the server may have run it. The line gives the time until the attempt failed (after) and the time that a check of its server took then (checked), the events of the attempt (received) and of the whole response (events), the time left until the deadline, the state of the server, and in end what was known when the server ended its response, if it did. If one server causes many of these lines, check that server.")
	RequestAnswered = newEvent(3203, "request_answered", zerolog.InfoLevel,
		"The response of a request was sent to the caller within the targets of its route. end tells what was known when the server ended its response: how the response showed its end (framing), the id of the last event, the time left until the deadline, the time since the last event and the expected time between two (event_gap), the state of the server, whether it closed the connection right after the response (closed) and answered a probe after the end (probe), and how many reservations on prefill helpers were lost by then (lost_holders); unconfirmed is why a stream that was in doubt was taken for complete although no other server has confirmed it. No action.")
	RequestAnsweredLate = newEvent(3206, "request_answered_late", zerolog.WarnLevel,
		"The response of a request was sent to the caller, but it missed the targets of its route: it exceeded the target latency or the target gap between events, needed a retry, or is a server error. The fields are those of request_answered: compare first with aim, longest with pause_aim, and waited for the time in the queue. If there are many, read the scheduler_load lines.")
	RequestPlacedAgain = newEvent(3207, "request_placed_again", zerolog.WarnLevel,
		"A request was placed again after a failed attempt. The fields are those of request_placed. No action.")
	ConnectionLostBeforeAnswer = newEvent(3210, "connection_lost_before_answer", zerolog.InfoLevel,
		"A backend server closed or reset the connection of a request before it had answered it, as in a crash. The line gives the run of the server, the events of the attempt (events), the number of the parts of the prompt that others may share (parts), and the largest number of servers that crashed under the request or one of these parts (crashed); requests of one team with the same method, host, path and body have the same identity. Suspected means that several servers crashed, and the request is not sent again. suspects counts what this VM has evidence on, evicted what it has dropped for want of space. With server_up the server has answered since on another connection, so that this is no evidence of a crash. If there are many for one server, check that server, otherwise the network.")
	MemoryOrderUnanswered = newEvent(3208, "memory_order_unanswered", zerolog.InfoLevel,
		"A prefill helper did not answer an order to reserve, renew or release memory in time; the order is sent again, but the server may still carry out the first one. The line gives the step, the reservation (ticket) and the attempt. If one server causes many of these lines, check that server.")
	MemoryReleased = newEvent(3209, "memory_released", zerolog.InfoLevel,
		"The memory of a prompt on a prefill helper was released. The line gives how long it was reserved (held) and how many orders on it were not answered (unanswered). No action.")
	RequestAbandoned = newEvent(3220, "request_abandoned", zerolog.InfoLevel,
		"A request ended because its caller disconnected while the response was sent. The line gives the error and the number of events that were sent. No action.")
	RequestPanicked = newEvent(3221, "request_panicked", zerolog.ErrorLevel,
		"The code that served a request panicked, and the caller's connection was closed. The line gives the cause and the stack. Report the line.")
	RequestUnreadable = newEvent(3222, "request_unreadable", zerolog.InfoLevel,
		"The body of a request was too large or did not arrive in time, so the request was answered with the status in the line and not run. If there are many, check the callers and the limits of the route table.")
	CallerServerError = newEvent(3223, "caller_server_error", zerolog.WarnLevel,
		"The HTTP server for callers reported an error, such as a malformed header or a panic. The line gives it. If it follows a request_panicked line, it has the same cause.")
	BackendServerSilent = newEvent(3224, "backend_server_silent", zerolog.InfoLevel,
		"A backend server sent nothing within the stall timeout of a request that may be retried. The request is sent to another server while the attempt goes on. The line gives the time since the last event or the start of the attempt (silent) and the number of events sent to the caller. If one server causes many of these lines, check that server.")
	MoveRefused = newEvent(3225, "move_refused", zerolog.InfoLevel,
		"No other server was found for a request whose server is silent, so its attempt goes on. The line gives the reason and the time until the next placement request. If there are many, read the scheduler_load lines.")
	SilenceEnded = newEvent(3226, "silence_ended", zerolog.InfoLevel,
		"The wait for a silent server ended before another server had begun its response: the server sent something, or the attempt or the request ended; then the next line of the request tells how. No action.")
	RequestMoved = newEvent(3227, "request_moved", zerolog.InfoLevel,
		"An attempt whose server is silent was given up, because another server (to) has begun its response. The line gives the time in the queue (waited). The retry is counted in the retry budget. No action.")
	HedgeSent = newEvent(3228, "hedge_sent", zerolog.InfoLevel,
		"A request that may be repeated was sent to a second server (to) of another zone, because the first server has not answered within the time in which nearly all requests of its route and size are answered (delay). The line gives the time since the first send (elapsed), the time in the queue (waited), and the server time that is counted in the limit (cost). No action.")
	HedgeNotSent = newEvent(3229, "hedge_not_sent", zerolog.InfoLevel,
		"A request was due to be sent to a second server and was not. The line gives the reason. If most are refused for want of free servers, the fleet is too full for hedging.")
	HedgeWon = newEvent(3230, "hedge_won", zerolog.InfoLevel,
		"The second server (to) of a request answered before the first one (server), whose attempt was cancelled. The line gives the time since the first send (elapsed) and since the second one (took). With slow set, the first server took at least twice as long as the second one. If one server loses often, check that server.")
	HedgeLost = newEvent(3231, "hedge_lost", zerolog.InfoLevel,
		"The first server of a request answered, or the request ended, before the second server (to) had answered, whose attempt was cancelled. If most hedges lose, lower the limit. No action.")
	HedgeLimitsChanged = newEvent(3232, "hedge_limits_changed", zerolog.InfoLevel,
		"An operator (by) has set the limits of hedged requests of this VM. The line gives the limit for all routes (share, 0 for no hedges) and those of single routes (routes), as shares of the server time, and the earlier ones (previous, previous_routes). It holds until the VM ends; the next start uses the options of its command line. No action.")
	MemoryOrderFailed = newEvent(3204, "memory_order_failed", zerolog.InfoLevel,
		"Memory for a part of a prompt could not be reserved, renewed or released on a prefill helper. The line names the server and the reservation (ticket). The server frees the memory when the reservation expires. If one server causes many of these lines, check that server.")
	ServerStatedDraining = newEvent(3240, "server_stated_draining", zerolog.InfoLevel,
		"A backend server stated in an answer to this VM that it is draining. This VM sends it no new requests and tells the other VMs. No action.")
	ServerStatedLimit = newEvent(3245, "server_stated_limit", zerolog.InfoLevel,
		"A backend server stated in an answer to this VM how many requests a second it takes from all VMs together (per_second), or no longer states a limit (limited false), and that is new to this VM, which tells the others. See server_limit_changed. Find out why the server is in need.")
	LimitUnreadable = newEvent(3246, "limit_unreadable", zerolog.WarnLevel,
		"A backend server stated a limit that is no number, negative, or above 1,000,000 requests a second. The line gives the value. One that is too large counts as 1,000,000; any other is ignored, so that an earlier limit stays as it is. Correct the server.")
	ServerStatedBackoff = newEvent(3241, "server_stated_backoff", zerolog.InfoLevel,
		"A backend server rejected a request and stated how long it wants no requests from this VM (backoff). This VM sends it none until then, and few at first after that. If there are many, the servers of the service are overloaded.")
	ServersPassedOver = newEvent(3242, "servers_passed_over", zerolog.InfoLevel,
		"A placement was requested for a request without the servers that want no requests from this VM. The line lists the first of them, each with the reason and the age of its statement, and counts all of them (count). No action.")
	PlacementTurnedDown = newEvent(3243, "placement_turned_down", zerolog.InfoLevel,
		"A request was not sent to the server on which it was placed, because that server or a prefill helper wants no requests from this VM, is in an evacuated availability zone (reason evacuated), or is not in a home region of the route or team (zone, allowed_zones). The line gives the reason and the age of the server's statement, or the zone; the request is placed again. No action, unless not in a home region repeats after an upgrade of all VMs: then report it.")
	CutOffChanged = newEvent(3250, "cut_off_changed", zerolog.WarnLevel,
		"This entry VM began (cut_off true) or ceased to consider itself unable to reach backend servers directly. Meanwhile it opens connections to them through other entry VMs. If it lasts, check the network between this VM and the backend servers.")
	RelayRefused = newEvent(3251, "relay_refused", zerolog.InfoLevel,
		"Another entry VM (from) asked this one for a connection to the backend server at the address, and did not get it. The line gives the cause. No action, unless many lines name servers that run: check the network between this VM and them.")
	StatementNotForwarded = newEvent(3252, "statement_not_forwarded", zerolog.InfoLevel,
		"A backend server stated in an answer that another entry VM relayed that it is draining, or wants no requests from that VM for a time, and that VM could not be told. It learns it from the next answer. No action.")
	SlowReaderEnded = newEvent(3247, "slow_reader_ended", zerolog.InfoLevel,
		"A stream was broken off because its caller reads more slowly than the server sends, and this VM can keep no more of it. The line gives what was kept (kept), the limit that was reached (error), the server and the age of the request (held). If many name the limit for all buffers, callers read slowly at the same time: check the network to them, or add entry VMs.")
	BackoffUnreadable = newEvent(3244, "backoff_unreadable", zerolog.WarnLevel,
		"A backend server stated a backoff that is no number, negative or beyond an hour. The line gives the value as sent and the backoff that is used instead. Check the server.")
)
