package observe

import "github.com/rs/zerolog"

// Events 4000 to 4199: stand-ins for backend servers.
var (
	StandinStarted = newEvent(4000, "standin_started", zerolog.InfoLevel,
		"A stand-in for a backend server has started and listens on its address. No action.")
	StandinLeaving = newEvent(4001, "standin_leaving", zerolog.InfoLevel,
		"A stand-in announces that it is draining and finishes its requests. No action.")
	StandinStopped = newEvent(4002, "standin_stopped", zerolog.InfoLevel,
		"A stand-in has stopped. For a plain service, the line counts the interrupted calls (cut). No action.")
	StandinAnnounceFailed = newEvent(4003, "standin_announce_failed", zerolog.DebugLevel,
		"An entry VM did not accept an announcement of a stand-in; the next heartbeat tries again. If it lasts, check the addresses given with --entry.")
	StandinFaultSwitched = newEvent(4004, "standin_fault_switched", zerolog.WarnLevel,
		"A fault was switched on or off in a stand-in. Switch it off after the experiment.")
)
