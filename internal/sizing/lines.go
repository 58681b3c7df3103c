package sizing

// Role is a part of a node.
type Role string

// Roles, in the order of the page.
const (
	RoleEntry     Role = "entry VM"
	RoleScheduler Role = "scheduler of a backend server"
	RoleLeader    Role = "control leader"
	RoleFollower  Role = "control follower"
	RoleRelay     Role = "relay"
)

// Resource is what a line costs.
type Resource string

// Resources.
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
	// Size is where the fit is read off.
	Size float64
	// Multiplier multiplies the value, such as calls a second.
	Multiplier float64
	// Mechanism names what carries the cost, with its package.
	Mechanism string
	// Assumption says which figure is neither measured nor given.
	Assumption string
	// ReplacedBy marks the cost of a mechanism that breaks the budget and names
	// the one that replaces it. It does not count towards the budget.
	ReplacedBy string
}

// corePercentPerNanosecond turns nanoseconds a second into percent of a core.
const corePercentPerNanosecond = 1e-7

var (
	placeSource    = Source{"BenchmarkPlace/two_choices", "servers", "ns/op"}
	prefixSource   = Source{"BenchmarkMatch", "servers", "ns/op"}
	admitSource    = Source{"BenchmarkAdmit/overload=false", "teams", "ns/op"}
	identifySource = Source{"BenchmarkCapacityIdentify", "teams", "ns/op"}
	announceTime   = Source{"BenchmarkCapacityAnnouncement", "events", "ns/op"}
	announceBytes  = Source{"BenchmarkCapacityAnnouncement", "events", "wire-bytes"}
	histogramBytes = Source{"BenchmarkCapacityTeamHistograms", "teams", "heap-bytes"}
	restBytes      = Source{"BenchmarkCapacityWatcherAtRest", "watchers", "bytes/s/watcher"}
	restProcessor  = Source{"BenchmarkCapacityWatcherAtRest", "watchers", "core-percent/watcher"}
	inForce        = Source{"BenchmarkCapacityLargeBundleToInForce", "teams", "p99-ms"}
	grantTime      = Source{"BenchmarkGrant", "engines", "ns/op"}
	leaseBytes     = Source{"BenchmarkCapacityLease", "choices", "wire-bytes"}
	renewalBytes   = Source{"BenchmarkCapacityRenewals", "leases", "wire-bytes"}
	exchangeBytes  = Source{"BenchmarkCapacityExchange", "vms", "wire-bytes"}
	tickTime       = Source{"BenchmarkTick", "engines", "ns/op"}
	leaderRest     = Source{"BenchmarkCapacityAtRest", "members", "leader-B/s"}
	followerRest   = Source{"BenchmarkCapacityAtRest", "members", "follower-B/s"}
	memberRest     = Source{"BenchmarkCapacityAtRest", "members", "core-percent/VM"}
	claimTime      = Source{"BenchmarkCapacityClaims", "entries", "ns/claim"}
	claimMemory    = Source{"BenchmarkCapacityClaims", "entries", "heap-bytes"}
	claimLog       = Source{"BenchmarkCapacityClaims", "entries", "log-bytes"}
)

// eventsPerHeartbeat is the assumed number of cache events in a heartbeat.
const eventsPerHeartbeat = 10

// relayChildren is the number of watchers that a relay serves.
const relayChildren = 8

// controlMembers is the size of the control group: one more than a zone loss in
// each region takes.
const controlMembers = 5

// leaseChoices is the largest number of servers that a lease request names.
const leaseChoices = 16

// secondsInProgress is the assumed length of a request.
const secondsInProgress = 10

// cellVMs is the number of entry VMs that share schedulers.
const cellVMs = 8

// exchangesPerSecond is how often entry VMs renew leases with a scheduler, which
// looks at its leases as often, with a routing.lease_term of 4 s.
const exchangesPerSecond = 1

// Costs returns every cost of the page.
func Costs() []Cost {
	const (
		toSubset    = float64(workersPerZone) * subsetSize / nodesPerZone * heartbeatsPerSecond
		toAll       = float64(workersPerZone) * heartbeatsPerSecond
		events      = "10 cache events a heartbeat"
		enginesEach = float64(workersPerZone) / targetModels
		grants      = float64(targetRequestsPerSecond) / targetZones / targetModels
		exchanges   = (nodesPerZone - 1) * exchangesPerSecond * 2
		claims      = targetRequestsPerSecond * claimShare
		claimsKept  = claims * secondsPerDay * claimRetentionDays
		claimsSaid  = "1 request in 50 is a keyed call, kept for a day"
	)
	perRequest := nodeRequestsPerSecond * corePercentPerNanosecond
	return []Cost{
		{Role: RoleEntry, Item: "placement decisions", Resource: CorePercent, Source: placeSource, Size: workersPerZone, Multiplier: perRequest, Mechanism: "one pass over the zone's servers (`place`)"},
		{Role: RoleEntry, Item: "prefix-cache matches", Resource: CorePercent, Source: prefixSource, Size: workersPerZone, Multiplier: perRequest, Mechanism: "bounded index from cache events (`prefix`)"},
		{Role: RoleEntry, Item: "team limits", Resource: CorePercent, Source: admitSource, Size: targetTeams, Multiplier: perRequest, Mechanism: "local buckets, usage exchanged in the zone (`limit`)"},
		{Role: RoleEntry, Item: "team by API key", Resource: CorePercent, Source: identifySource, Size: targetTeams, Multiplier: perRequest, Mechanism: "constant-time comparison with every key (`filter/identify`)"},
		{Role: RoleEntry, Item: "heartbeats of its subset, time", Resource: CorePercent, Source: announceTime, Size: eventsPerHeartbeat, Multiplier: toSubset * corePercentPerNanosecond, Mechanism: "subset by rendezvous hash (`fleet.Subset`)", Assumption: events},
		{Role: RoleEntry, Item: "heartbeats of its subset, bytes", Resource: BytesPerSecond, Source: announceBytes, Size: eventsPerHeartbeat, Multiplier: toSubset, Mechanism: "subset by rendezvous hash (`fleet.Subset`)", Assumption: events + ", without HTTP headers"},
		{Role: RoleEntry, Item: "heartbeats of the whole zone, bytes", Resource: BytesPerSecond, Source: announceBytes, Size: eventsPerHeartbeat, Multiplier: toAll, Mechanism: "every server to every entry VM of its zone", Assumption: events, ReplacedBy: "subset by rendezvous hash (`fleet.Subset`), a summary per model and zone for the rest"},
		{Role: RoleEntry, Item: "lease requests, grants and releases, bytes", Resource: BytesPerSecond, Source: leaseBytes, Size: leaseChoices, Multiplier: nodeRequestsPerSecond, Mechanism: "one lease for each request (`capacity`)", Assumption: "without transport"},
		{Role: RoleEntry, Item: "renewals of leases in progress, bytes", Resource: BytesPerSecond, Source: renewalBytes, Size: nodeRequestsPerSecond * secondsInProgress, Multiplier: exchangesPerSecond, Mechanism: "each lease in each exchange (`capacity`)", Assumption: "10 s in progress each", ReplacedBy: "renewal of a holder's session in place of each lease; the scheduler already keeps leases by holder (`capacity.State`)"},
		{Role: RoleEntry, Item: "histograms of all teams", Resource: MemoryBytes, Source: histogramBytes, Size: targetTeams, Multiplier: 1, Mechanism: "fixed buckets, teams and classes apart (`observe`)"},
		{Role: RoleEntry, Item: "watch at rest, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetNodes, Multiplier: 1, Mechanism: "one watch up the tree with heartbeats (`distribute`)"},
		{Role: RoleEntry, Item: "watch at rest, time", Resource: CorePercent, Source: restProcessor, Size: targetNodes, Multiplier: 1, Mechanism: "one watch up the tree with heartbeats (`distribute`)"},
		{Role: RoleEntry, Item: "acceptance to in force at the last VM", Resource: InForceMillis, Source: inForce, Size: targetTeams, Multiplier: 1, Mechanism: "tree of watches, whole bundle or change against the last (`distribute`)"},
		{Role: RoleScheduler, Item: "lease grants", Resource: CorePercent, Source: grantTime, Size: enginesEach, Multiplier: grants * corePercentPerNanosecond, Mechanism: "one scheduler for each model of a zone (`capacity`)"},
		{Role: RoleScheduler, Item: "lease ticks", Resource: CorePercent, Source: tickTime, Size: enginesEach, Multiplier: exchangesPerSecond * corePercentPerNanosecond, Mechanism: "one goroutine for all servers that a VM schedules (`capacity`)", Assumption: "40 leases held on each server"},
		{Role: RoleScheduler, Item: "exchanges of all VMs of a zone, bytes", Resource: BytesPerSecond, Source: exchangeBytes, Size: nodesPerZone, Multiplier: exchanges, Mechanism: "every entry VM with every other of its zone (`capacity`)", Assumption: "one lease each, without transport", ReplacedBy: "cells of up to 8 entry VMs with a part of the zone's engines each, by rendezvous hash, behind `capacity.Members`; within a cell only with schedulers that hold one's leases"},
		{Role: RoleScheduler, Item: "exchanges of a cell, bytes", Resource: BytesPerSecond, Source: exchangeBytes, Size: cellVMs, Multiplier: (cellVMs - 1) * exchangesPerSecond * 2, Mechanism: "cells of up to 8 entry VMs; not built, 6 to 9 entry VMs are one cell (`capacity`)", Assumption: "`routing.lease_term` of 4 s, one lease each, without transport"},
		{Role: RoleLeader, Item: "claims, time", Resource: CorePercent, Source: claimTime, Size: claimsKept, Multiplier: claims * corePercentPerNanosecond, Mechanism: "records at a majority, shared syncs (`ledger`)", Assumption: claimsSaid},
		{Role: RoleLeader, Item: "claims, memory", Resource: MemoryBytes, Source: claimMemory, Size: claimsKept, Multiplier: 1, Mechanism: "all records in memory (`ledger.Core`)", Assumption: claimsSaid, ReplacedBy: "records of the last minutes in memory, older ones in sorted files behind `ledger.Log`; the VM is one of those set aside"},
		{Role: RoleLeader, Item: "claims, disk", Resource: DiskBytes, Source: claimLog, Size: claimsKept, Multiplier: 1, Mechanism: "journal, rewritten when four times its entries (`storage.Journal`)", Assumption: claimsSaid},
		{Role: RoleLeader, Item: "control group at rest, bytes", Resource: BytesPerSecond, Source: leaderRest, Size: controlMembers, Multiplier: 1, Mechanism: "heartbeats to each member (`replica`)"},
		{Role: RoleLeader, Item: "control group at rest, time", Resource: CorePercent, Source: memberRest, Size: controlMembers, Multiplier: 1, Mechanism: "one goroutine for control state (`replica`)"},
		{Role: RoleLeader, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetNodes, Multiplier: relayChildren, Mechanism: "bounded children, the others relay (`distribute`)"},
		{Role: RoleFollower, Item: "claims, time", Resource: CorePercent, Source: claimTime, Size: claimsKept, Multiplier: claims * corePercentPerNanosecond, Mechanism: "as at the leader: the ledger has none (`ledger`)", Assumption: claimsSaid},
		{Role: RoleFollower, Item: "control group at rest, bytes", Resource: BytesPerSecond, Source: followerRest, Size: controlMembers, Multiplier: 1, Mechanism: "answers to heartbeats (`replica`)"},
		{Role: RoleFollower, Item: "control group at rest, time", Resource: CorePercent, Source: memberRest, Size: controlMembers, Multiplier: 1, Mechanism: "one goroutine for control state (`replica`)"},
		{Role: RoleFollower, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetNodes, Multiplier: relayChildren, Mechanism: "bounded children, the others relay (`distribute`)"},
		{Role: RoleRelay, Item: "watches of its children, bytes", Resource: BytesPerSecond, Source: restBytes, Size: targetNodes, Multiplier: relayChildren, Mechanism: "bounded children (`distribute`)"},
		{Role: RoleRelay, Item: "watches of its children, time", Resource: CorePercent, Source: restProcessor, Size: targetNodes, Multiplier: relayChildren, Mechanism: "bounded children (`distribute`)"},
	}
}
