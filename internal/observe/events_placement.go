package observe

import "github.com/rs/zerolog"

// Events 5000 to 5199: placement, engine-memory leases and limits.
var (
	EngineEjected = newEvent(5000, "engine_ejected", zerolog.WarnLevel,
		"A model engine failed several requests, was slow, or reported less load than it has, so this VM sends it no requests for a while and then tries it again with single requests. If it repeats, check the engine.")
	AttemptsCancelled = newEvent(5001, "attempts_cancelled", zerolog.WarnLevel,
		"The scheduler of a model engine cancels attempts that hold engine memory although their VM has gone or no longer needs them. The line counts the attempts and those that the engine confirmed (freed). If it goes on and freed stays below attempts, check how the engine handles cancellation.")
	EngineListFailed = newEvent(5002, "engine_list_failed", zerolog.WarnLevel,
		"The scheduler of a model engine could not read which attempts hold memory on it. Until it can, it does not raise the limit of the memory that it grants. If it repeats, check the engine and the network.")
	LeaseLimitChanged = newEvent(5003, "lease_limit_changed", zerolog.InfoLevel,
		"The amount of engine memory that the schedulers on this VM may grant has changed, because model engines or entry VMs of the availability zone joined, left or became unresponsive. If it repeats while nothing is started or stopped, look for VMs that are too busy to answer within routing.lease_term.")
)
