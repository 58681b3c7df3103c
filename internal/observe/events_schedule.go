package observe

import "github.com/rs/zerolog"

// SchedulerRefusals is event 2178, of the scheduler on the leader.
var SchedulerRefusals = newEvent(2178, "scheduler_refusals", zerolog.InfoLevel,
	"The scheduler has refused requests since the last line, while the route table has teams; logged at most once a second by the leader. The line gives their number (refused), how many of them were of callers that had been refused before (again), and the teams with the most (teams). The reason of each is in request_refused. If it repeats, add backend servers, or ask the teams that are named to send less.")
