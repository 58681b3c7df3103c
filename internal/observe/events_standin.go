package observe

import "github.com/rs/zerolog"

// Events 4000-4199: stand-ins, load and demo.
var (
	StandinStarted = newEvent(4000, "standin_started", zerolog.InfoLevel,
		"A stand-in listens on its address. No action.")
	StandinLeaving = newEvent(4001, "standin_leaving", zerolog.InfoLevel,
		"A stand-in announces that it is leaving and finishes its work. No action.")
	StandinStopped = newEvent(4002, "standin_stopped", zerolog.InfoLevel,
		"A stand-in ended; the line counts the calls that were cut. No action.")
	StandinAnnounceFailed = newEvent(4003, "standin_announce_failed", zerolog.DebugLevel,
		"An entry VM did not take an announcement; the next heartbeat tries again. Check the seed addresses if it lasts.")
	StandinFaultSwitched = newEvent(4004, "standin_fault_switched", zerolog.WarnLevel,
		"A fault was switched on or off in a stand-in. No action; clear it after the experiment.")
)
