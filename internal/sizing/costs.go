package sizing

// Role is one of the functions that a VM can have.
type Role string

// The roles, in the order of the page.
const (
	RoleEntry     Role = "entry VM"
	RoleScheduler Role = "scheduler of a backend server"
	RoleLeader    Role = "control leader"
	RoleFollower  Role = "control follower"
	RoleRelay     Role = "relay"
)

// Resource is a kind of resource, written as its unit.
type Resource string

// The resources that a cost can be of.
const (
	CorePercent    Resource = "% of a core"
	MemoryBytes    Resource = "bytes of memory"
	BytesPerSecond Resource = "bytes/s"
	DiskBytes      Resource = "bytes on disk"
	InForceMillis  Resource = "ms to in force"
)

// Cost is one cost of a role at the target size.
type Cost struct {
	Role     Role
	Item     string
	Resource Resource
	Source   Source
	// Size is the size at which the fit is evaluated.
	Size float64
	// Multiplier scales the fitted value to Resource, for example by calls per second.
	Multiplier float64
	// Mechanism names the mechanism that causes the cost, with its package.
	Mechanism string
	// Assumption names the figures that are neither benchmark results nor part of the
	// target size; empty for none.
	Assumption string
	// ReplacedBy names the mechanism that replaces one whose cost exceeds the budget;
	// empty otherwise. A replaced cost does not count towards the budget.
	ReplacedBy string
}

// corePercentPerNanosecond converts nanoseconds of CPU time per second to percent of
// a core.
const corePercentPerNanosecond = 1e-7

var (
	placeSource       = Source{"BenchmarkPlace/two_choices", "servers", "ns/op"}
	prefixSource      = Source{"BenchmarkMatch", "servers", "ns/op"}
	admitSource       = Source{"BenchmarkAdmit/overload=false", "teams", "ns/op"}
	identifySource    = Source{"BenchmarkCapacityIdentify", "teams", "ns/op"}
	announceTime      = Source{"BenchmarkCapacityAnnouncement", "events", "ns/op"}
	announceBytes     = Source{"BenchmarkCapacityAnnouncement", "events", "wire-bytes"}
	histogramBytes    = Source{"BenchmarkCapacityTeamHistograms", "teams", "heap-bytes"}
	restBytes         = Source{"BenchmarkCapacityWatcherAtRest", "watchers", "bytes/s/watcher"}
	restCPU           = Source{"BenchmarkCapacityWatcherAtRest", "watchers", "core-percent/watcher"}
	inForceTime       = Source{"BenchmarkCapacityLargeBundleToInForce", "teams", "p99-ms"}
	grantTime         = Source{"BenchmarkGrant", "engines", "ns/op"}
	leaseBytes        = Source{"BenchmarkCapacityLease", "choices", "wire-bytes"}
	renewalBytes      = Source{"BenchmarkCapacityRenewals", "leases", "wire-bytes"}
	exchangeBytes     = Source{"BenchmarkCapacityExchange", "vms", "wire-bytes"}
	tickTime          = Source{"BenchmarkTick", "engines", "ns/op"}
	leaderRestBytes   = Source{"BenchmarkCapacityAtRest", "members", "leader-B/s"}
	followerRestBytes = Source{"BenchmarkCapacityAtRest", "members", "follower-B/s"}
	memberRestCPU     = Source{"BenchmarkCapacityAtRest", "members", "core-percent/VM"}
	claimTime         = Source{"BenchmarkCapacityClaims", "entries", "ns/claim"}
	claimMemoryBytes  = Source{"BenchmarkCapacityClaims", "entries", "heap-bytes"}
	claimLogBytes     = Source{"BenchmarkCapacityClaims", "entries", "log-bytes"}
)

// eventsPerHeartbeat is the assumed number of cache events in one heartbeat.
const eventsPerHeartbeat = 10

// relayChildren is the number of watchers that one VM serves.
const relayChildren = 8

// controlMembers is the size of the control group, which must survive the loss of one
// availability zone in each region.
const controlMembers = 5

// maxLeaseChoices is the maximum number of candidate servers in a lease request.
const maxLeaseChoices = 16

// requestSeconds is the assumed duration of a request.
const requestSeconds = 10

// cellVMs is the number of entry VMs that share schedulers.
const cellVMs = 8

// exchangesPerSecond is how often an entry VM renews its leases with a scheduler at a
// routing.lease_term of 4 s. The scheduler checks its leases at the same rate.
const exchangesPerSecond = 1

// Costs returns every cost of the page.
func Costs() []Cost {
	const (
		subsetHeartbeatsPerSecond = float64(serversPerZone) * subsetSize / vmsPerZone * heartbeatsPerSecond
		zoneHeartbeatsPerSecond   = float64(serversPerZone) * heartbeatsPerSecond
		eventsAssumption          = "10 cache events a heartbeat"
		enginesPerScheduler       = float64(serversPerZone) / targetModels
		grantsPerSecond           = float64(targetRequestsPerSecond) / targetZones / targetModels
		zoneExchanges             = (vmsPerZone - 1) * exchangesPerSecond * 2
		claimsPerSecond           = targetRequestsPerSecond * claimFraction
		retainedClaims            = claimsPerSecond * secondsPerDay * claimRetentionDays
		claimsAssumption          = "1 request in 50 is a keyed call, kept for a day"
	)
	perRequest := requestsPerSecondPerVM * corePercentPerNanosecond
	return []Cost{
		{Role: RoleEntry, Item: "placement decisions", Resource: CorePercent, Source: placeSource, Size: serversPerZone, Multiplier: perRequest, Mechanism: "one pass over the zone's servers (`place`)"},
		{Role: RoleEntry, Item: "prefix-cache matches", Resource: CorePercent, Source: prefixSource, Size: serversPerZone, Multiplier: perRequest, Mechanism: "bounded index from cache events (`prefix`)"},
		{Role: RoleEntry, Item: "team limits", Resource: CorePercent, Source: admitSource, Size: targetTeams, Multiplier: perRequest, Mechanism: "local buckets, usage exchanged in the zone (`limit`)"},
		{Role: RoleEntry, Item: "team by API key", Resource: CorePercent, Source: identifySource, Size: targetTeams, Multiplier: perRequest, Mechanism: "constant-time comparison with every key (`filter/identify`)"},
		{Role: RoleEntry, Item: "heartbeats of its subset, time", Resource: CorePercent, Source: announceTime, Size: eventsPerHeartbeat, Multiplier: subsetHeartbeatsPerSecond * corePercentPerNanosecond, Mechanism: "subset by rendezvous hash (`fleet.Subset`)", Assumption: eventsAssumption},
		{Role: RoleEntry, Item: "heartbeats of its subset, bytes", Resource: BytesPerSecond, Source: announceBytes, Size: eventsPerHeartbeat, Multiplier: subsetHeartbeatsPerSecond, Mechanism: "subset by rendezvous hash (`fleet.Subset`)", Assumption: eventsAssumption + ", without HTTP headers"},
		{Role: RoleEntry, Item: "heartbeats of the whole zone, bytes", Resource: BytesPerSecond, Source: announceBytes, Size: eventsPerHeartbeat, Multiplier: zoneHeartbeatsPerSecond, Mechanism: "every server to every entry VM of its zone", Assumption: eventsAssumption, ReplacedBy: "subset by rendezvous hash (`fleet.Subset`), a summary per model and zone for the rest"},
		{Role: RoleEntry, Item: "lease requests, grants and releases, bytes", Resource: BytesPerSecond, Source: leaseBytes, Size: maxLeaseChoices, Multiplier: requestsPerSecondPerVM, Mechanism: "one lease for each request (`capacity`)", Assumption: "without transport"},
		{Role: RoleEntry, Item: "renewals of leases in progress, bytes", Resource: BytesPerSecond, Source: renewalBytes, Size: requestsPerSecondPerVM * requestSeconds, Multiplier: exchangesPerSecond, Mechanism: "each lease in each exchange (`capacity`)", Assumption: "10 s in progress each", ReplacedBy: "renewal of a holder's session in place of each lease; the scheduler already keeps leases by holder (`capacity.State`)"},
		{Role: RoleEntry, Item: "histograms of all teams", Resource: MemoryBytes, Source: histogramBytes, Size: targetTeams, Multiplier: 1, Mechanism: "fixed buckets, teams and classes apart (`observe`)"},
		{Role: RoleEntry, Item: "watch at rest, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetVMs, Multiplier: 1, Mechanism: "one watch up the tree with heartbeats (`distribute`)"},
		{Role: RoleEntry, Item: "watch at rest, time", Resource: CorePercent, Source: restCPU, Size: targetVMs, Multiplier: 1, Mechanism: "one watch up the tree with heartbeats (`distribute`)"},
		{Role: RoleEntry, Item: "acceptance to in force at the last VM", Resource: InForceMillis, Source: inForceTime, Size: targetTeams, Multiplier: 1, Mechanism: "tree of watches, whole bundle or change against the last (`distribute`)"},
		{Role: RoleScheduler, Item: "lease grants", Resource: CorePercent, Source: grantTime, Size: enginesPerScheduler, Multiplier: grantsPerSecond * corePercentPerNanosecond, Mechanism: "one scheduler for each model of a zone (`capacity`)"},
		{Role: RoleScheduler, Item: "lease ticks", Resource: CorePercent, Source: tickTime, Size: enginesPerScheduler, Multiplier: exchangesPerSecond * corePercentPerNanosecond, Mechanism: "one goroutine for all servers that a VM schedules (`capacity`)", Assumption: "40 leases held on each server"},
		{Role: RoleScheduler, Item: "exchanges of all VMs of a zone, bytes", Resource: BytesPerSecond, Source: exchangeBytes, Size: vmsPerZone, Multiplier: zoneExchanges, Mechanism: "every entry VM with every other of its zone (`capacity`)", Assumption: "one lease each, without transport", ReplacedBy: "cells of up to 8 entry VMs with a part of the zone's engines each, by rendezvous hash, behind `capacity.Members`; within a cell only with schedulers that hold one's leases"},
		{Role: RoleScheduler, Item: "exchanges of a cell, bytes", Resource: BytesPerSecond, Source: exchangeBytes, Size: cellVMs, Multiplier: (cellVMs - 1) * exchangesPerSecond * 2, Mechanism: "cells of up to 8 entry VMs; not built, 6 to 9 entry VMs are one cell (`capacity`)", Assumption: "`routing.lease_term` of 4 s, one lease each, without transport"},
		{Role: RoleLeader, Item: "claims, time", Resource: CorePercent, Source: claimTime, Size: retainedClaims, Multiplier: claimsPerSecond * corePercentPerNanosecond, Mechanism: "records at a majority, shared syncs (`ledger`)", Assumption: claimsAssumption},
		{Role: RoleLeader, Item: "claims, memory", Resource: MemoryBytes, Source: claimMemoryBytes, Size: retainedClaims, Multiplier: 1, Mechanism: "all records in memory (`ledger.Core`)", Assumption: claimsAssumption, ReplacedBy: "records of the last minutes in memory, older ones in sorted files behind `ledger.Log`; the VM is one of those set aside"},
		{Role: RoleLeader, Item: "claims, disk", Resource: DiskBytes, Source: claimLogBytes, Size: retainedClaims, Multiplier: 1, Mechanism: "journal, rewritten when four times its entries (`storage.Journal`)", Assumption: claimsAssumption},
		{Role: RoleLeader, Item: "control group at rest, bytes", Resource: BytesPerSecond, Source: leaderRestBytes, Size: controlMembers, Multiplier: 1, Mechanism: "heartbeats to each member (`replica`)"},
		{Role: RoleLeader, Item: "control group at rest, time", Resource: CorePercent, Source: memberRestCPU, Size: controlMembers, Multiplier: 1, Mechanism: "one goroutine for control state (`replica`)"},
		{Role: RoleLeader, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetVMs, Multiplier: relayChildren, Mechanism: "bounded children, the others relay (`distribute`)"},
		{Role: RoleFollower, Item: "claims, time", Resource: CorePercent, Source: claimTime, Size: retainedClaims, Multiplier: claimsPerSecond * corePercentPerNanosecond, Mechanism: "as at the leader: the ledger has none (`ledger`)", Assumption: claimsAssumption},
		{Role: RoleFollower, Item: "control group at rest, bytes", Resource: BytesPerSecond, Source: followerRestBytes, Size: controlMembers, Multiplier: 1, Mechanism: "answers to heartbeats (`replica`)"},
		{Role: RoleFollower, Item: "control group at rest, time", Resource: CorePercent, Source: memberRestCPU, Size: controlMembers, Multiplier: 1, Mechanism: "one goroutine for control state (`replica`)"},
		{Role: RoleFollower, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetVMs, Multiplier: relayChildren, Mechanism: "bounded children, the others relay (`distribute`)"},
		{Role: RoleRelay, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetVMs, Multiplier: relayChildren, Mechanism: "bounded children (`distribute`)"},
		{Role: RoleRelay, Item: "watches of its children, time", Resource: CorePercent, Source: restCPU, Size: targetVMs, Multiplier: relayChildren, Mechanism: "bounded children (`distribute`)"},
	}
}
