// Package sizing works out what each role costs at the size that the system
// is built towards, from slopes that the capacity benchmarks measure, and
// writes the tables of docs/CAPACITY.md.
package sizing

// The size that the system is built towards.
const (
	targetNodes             = 390
	targetZones             = 6
	targetWorkers           = 600
	targetTeams             = 1700
	targetModels            = 9
	targetRequestsPerSecond = 2300

	secondsPerDay  = 86400
	workersPerZone = targetWorkers / targetZones
	nodesPerZone   = targetNodes / targetZones
	// nodeRequestsPerSecond is the share of one entry VM at the peak.
	nodeRequestsPerSecond = float64(targetRequestsPerSecond) / targetNodes
	// heartbeatsPerSecond is how often one worker announces itself with
	// entry.heartbeat_interval at its longest.
	heartbeatsPerSecond = 1
	// subsetSize is the number of entry VMs that a worker reports to.
	subsetSize = 2
	// claimShare is the assumed share of requests that are keyed calls.
	claimShare = 0.02
	// claimRetentionDays is the default retention of claim records.
	claimRetentionDays = 1
)

// Budget bounds what control may cost at each node.
const (
	budgetCorePercent    = 2.6
	budgetMemoryBytes    = 64 << 20
	budgetBytesPerSecond = 4 << 10
	budgetInForceMillis  = 6000
)
