// Package sizing estimates the cost of each role at the target size of the system.
// It fits straight lines to the output of the capacity benchmarks, evaluates them at
// the target size, and writes the tables of docs/CAPACITY.md. It does not run the
// benchmarks.
package sizing

// The target size of the system.
const (
	targetVMs               = 390
	targetZones             = 6
	targetServers           = 600
	targetTeams             = 1700
	targetModels            = 9
	targetRequestsPerSecond = 2300

	secondsPerDay  = 86400
	serversPerZone = targetServers / targetZones
	vmsPerZone     = targetVMs / targetZones
	// requestsPerSecondPerVM is the request rate of one entry VM at the peak.
	requestsPerSecondPerVM = float64(targetRequestsPerSecond) / targetVMs
	// heartbeatsPerSecond is the number of announcements that one backend server sends
	// in a second at the maximum of entry.heartbeat_interval.
	heartbeatsPerSecond = 1
	// subsetSize is the number of entry VMs that a backend server announces itself to.
	subsetSize = 2
	// claimFraction is the assumed fraction of requests that are keyed calls.
	claimFraction = 0.02
	// claimRetentionDays is the default retention of claim records, in days.
	claimRetentionDays = 1
)

// The budget of one VM in one role for control work, per resource.
const (
	budgetCorePercent    = 2.6
	budgetMemoryBytes    = 64 << 20
	budgetBytesPerSecond = 4 << 10
	budgetInForceMillis  = 6000
)
