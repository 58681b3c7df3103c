package observe

import "github.com/rs/zerolog"

// Events 5000-5199: placement, engine-memory leases and limits.
var (
	EngineEjected = newEvent(5000, "engine_ejected", zerolog.WarnLevel,
		"An engine failed, was slow or reported less load than it has, and gets no requests for a while; it is tried again by itself. Look at the engine if this repeats.")
	AttemptsCancelled = newEvent(5001, "attempts_cancelled", zerolog.WarnLevel,
		"The scheduler of an engine cancels attempts whose holder has gone, so that their memory comes back. No action, unless it goes on for long: then the engine does not confirm.")
	EngineListFailed = newEvent(5002, "engine_list_failed", zerolog.WarnLevel,
		"The scheduler of an engine could not read what holds its memory, and does not raise what it may grant. Look at the engine and the network if this repeats.")
	LeaseLimitChanged = newEvent(5003, "lease_limit_changed", zerolog.InfoLevel,
		"The engine memory that this VM's schedulers may grant changed: engines or entry VMs of the zone came, went or were not heard of. If it repeats in a quiet zone, look for VMs that are too busy to answer within the lease term.")
)
