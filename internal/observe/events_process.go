package observe

import "github.com/rs/zerolog"

// Events 1000 to 1099: the start and stop of a process, its log and its metrics.
var (
	ProcessStarted = newEvent(1000, "process_started", zerolog.InfoLevel,
		"The process listens on all its addresses and has started. No action.")
	ProcessStopping = newEvent(1001, "process_stopping", zerolog.InfoLevel,
		"A planned stop has begun; the readiness check fails from now on, so that load balancers send no new requests. No action.")
	ProcessStopped = newEvent(1002, "process_stopped", zerolog.InfoLevel,
		"The process has finished its requests and stopped. No action.")
	ProcessStopForced = newEvent(1003, "process_stop_forced", zerolog.WarnLevel,
		"A planned stop ended early, because the shutdown time limit was reached or a second signal arrived. The line gives the number of interrupted requests (cut) and the ids of up to 100 of them. If it repeats, raise shutdown.limit in the settings.")
	MetricsUnavailable = newEvent(1005, "metrics_unavailable", zerolog.WarnLevel,
		"Metrics could not be served at the given address, mostly because another process uses the port; everything else works. Find that process, or change the address. A single line can also mean that the reader of the metrics disconnected.")
	LogLinesLeftOut = newEvent(1006, "log_lines_left_out", zerolog.WarnLevel,
		"Log lines were dropped, because the reader of the log was too slow or because one event was logged too often. The line counts them by event number. Check what reads the output of the process; the metrics are complete.")
	SettingsRefused = newEvent(1004, "settings_refused", zerolog.ErrorLevel,
		"The settings file has mistakes, so the process did not start. Each mistake is printed with its place in the file. Correct the file and start the process again.")
)
