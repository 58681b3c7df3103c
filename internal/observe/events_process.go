package observe

import "github.com/rs/zerolog"

// Events 1000-1099: start and stop of a process.
var (
	ProcessStarted = newEvent(1000, "process_started", zerolog.InfoLevel,
		"The process listens on all its addresses. No action.")
	ProcessStopping = newEvent(1001, "process_stopping", zerolog.InfoLevel,
		"A planned stop began: readiness fails from now on. No action.")
	ProcessStopped = newEvent(1002, "process_stopped", zerolog.InfoLevel,
		"The process ended after all its work. No action.")
	ProcessStopForced = newEvent(1003, "process_stop_forced", zerolog.WarnLevel,
		"A second signal or the time limit ended the process with work in progress; the line counts what was cut.")
	MetricsUnavailable = newEvent(1005, "metrics_unavailable", zerolog.WarnLevel,
		"Metrics can't be served at the given address; all else works. Find out what else listens there.")
	LogLinesLeftOut = newEvent(1006, "log_lines_left_out", zerolog.WarnLevel,
		"Log lines were left out because their reader was too slow or one event came too often; the line counts them by event. Look at what reads standard output; the metrics are complete.")
	SettingsRefused = newEvent(1004, "settings_refused", zerolog.ErrorLevel,
		"The settings file has mistakes; each is printed with its place. Correct the file and start again.")
)
