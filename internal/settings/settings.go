// Package settings reads and checks the settings file of one process, which is
// JSON with comments. It reports all mistakes of a file at once, each with its
// position. Bundles are the concern of package bundle.
package settings

import (
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/observe"
)

// Role is a function that a process has in the system. One process may have
// several.
type Role string

// Roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings are the settings of one process on one VM.
type Settings struct {
	// Cluster names the system. Connections from VMs of another cluster are refused.
	Cluster string `json:"cluster"`
	VM      VM     `json:"vm"`
	Roles   []Role `json:"roles"`
	Listen  Listen `json:"listen"`
	// EntryVMs lists all entry VMs of the system, this one included.
	EntryVMs []Peer `json:"entry_vms,omitempty"`
	// ControlVMs lists the control VMs that formed the control group. Members
	// that joined later become known from the group itself.
	ControlVMs []Peer `json:"control_vms"`
	// DataDir is the folder of a control VM's stored state.
	DataDir string `json:"data_dir,omitempty"`
	// BundleFile is the bundle that an entry VM serves as version 1 when there
	// are no control VMs.
	BundleFile string      `json:"bundle_file,omitempty"`
	Control    Control     `json:"control"`
	Operators  Operators   `json:"operators"`
	TLS        TLS         `json:"tls,omitempty"`
	Entry      Entry       `json:"entry"`
	Routing    Routing     `json:"routing"`
	Shutdown   Shutdown    `json:"shutdown"`
	Log        LogSettings `json:"log"`
}

// VM identifies this VM.
type VM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

// Listen holds the "ip:port" addresses that the process listens on.
type Listen struct {
	// Callers takes callers' HTTP requests, /healthz, /readyz and /metrics.
	Callers string `json:"callers,omitempty"`
	// Backends takes announcements of backend servers.
	Backends string `json:"backends,omitempty"`
	// Internal takes gRPC from other VMs.
	Internal string `json:"internal"`
	// Operators takes the operators' HTTP requests.
	Operators string `json:"operators,omitempty"`
}

// Peer describes a VM in the lists of all entry VMs and control VMs. One of them
// may be this VM.
type Peer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Internal is the "ip:port" of the VM's listener for gRPC from other VMs.
	Internal string `json:"internal"`
	// Backends is the "ip:port" to which backend servers announce themselves;
	// entry VMs only.
	Backends string `json:"backends,omitempty"`
	// Operators is the "ip:port" of the VM's listener for operators; control VMs
	// only.
	Operators string `json:"operators,omitempty"`
}

// Control configures the control group.
type Control struct {
	// Bootstrap lets the listed control VMs form the group, once, while none of
	// them holds state.
	Bootstrap bool `json:"bootstrap"`
	// HeartbeatInterval is the time between heartbeats of the leader.
	HeartbeatInterval jsonc.Duration `json:"heartbeat"`
	// ElectionTimeout is the time without a heartbeat after which a follower may
	// start an election.
	ElectionTimeout jsonc.Duration `json:"election_timeout"`
	// MaxClockDriftPercent bounds by how many percent one VM's clock may run
	// faster than another's over the length of a leader lease.
	MaxClockDriftPercent float64 `json:"max_clock_drift_percent"`
	// SnapshotEntries is the number of log entries since the last snapshot after
	// which the next one is taken.
	SnapshotEntries int `json:"snapshot_entries"`
}

// Operators holds the operators' keys that sign bundles.
type Operators struct {
	// RequiredSignatures is the number of different keys that must sign a bundle.
	RequiredSignatures int           `json:"required_signatures"`
	Keys               []OperatorKey `json:"keys"`
}

// OperatorKey is an operator's public key.
type OperatorKey struct {
	Name string `json:"name"`
	// Ed25519 is the public key in base64.
	Ed25519 string `json:"ed25519"`
}

// TLS configures mutual authentication between VMs.
type TLS struct {
	// Plaintext turns TLS off. Otherwise the files are required, unless every
	// address between VMs is a loopback address.
	Plaintext bool   `json:"plaintext,omitempty"`
	CertFile  string `json:"cert_file,omitempty"`
	KeyFile   string `json:"key_file,omitempty"`
	CAFile    string `json:"ca_file,omitempty"`
}

// Entry configures how an entry VM serves callers and detects unresponsive
// backend servers.
type Entry struct {
	// HeaderTimeout bounds the time to read a request's header.
	HeaderTimeout jsonc.Duration `json:"header_timeout"`
	// BodyTimeout bounds the time to read a request's body.
	BodyTimeout jsonc.Duration `json:"body_timeout"`
	// MaxInFlight bounds the number of requests in progress.
	MaxInFlight int `json:"max_in_flight"`
	// MaxBodyMemory bounds the memory for the bodies of requests in progress.
	MaxBodyMemory jsonc.Bytes `json:"max_body_memory"`
	// HeartbeatInterval is how often backend servers announce themselves.
	HeartbeatInterval jsonc.Duration `json:"heartbeat_interval"`
	// UnresponsiveAfter is the time since the last heartbeat of a backend server
	// after which the server counts as unresponsive and gets no new work.
	UnresponsiveAfter jsonc.Duration `json:"silent_after"`
	// ReadyWait bounds how long a starting VM asks peers for the newest bundle
	// before it becomes ready with the bundle that it has.
	ReadyWait jsonc.Duration `json:"ready_wait"`
	// ConnectTimeout bounds a TCP connect to a backend server.
	ConnectTimeout jsonc.Duration `json:"connect_timeout"`
}

// Policy names a placement policy.
type Policy string

// Placement policies. All but PolicyLeases are baselines to compare it with.
const (
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_inflight"
	PolicyTwoChoices    Policy = "two_choices"
	PolicyLeases        Policy = "leases"
)

// Routing configures how requests are placed.
type Routing struct {
	Policy Policy `json:"policy"`
	// LeaseTimeout bounds the round trip to a scheduler before the entry VM
	// falls back to two_choices.
	LeaseTimeout jsonc.Duration `json:"lease_timeout"`
	// LeaseTerm is the time after which a lease that a scheduler granted expires
	// unless it is renewed.
	LeaseTerm jsonc.Duration `json:"lease_term"`
}

// Shutdown configures a planned stop.
type Shutdown struct {
	// BalancerWait is the time between reporting not ready and refusing new
	// connections, in which load balancers take this VM out of rotation.
	BalancerWait jsonc.Duration `json:"balancer_wait"`
	// Timeout bounds the duration of a planned stop.
	Timeout jsonc.Duration `json:"limit"`
}

// LogSettings sets the format and the minimum level of log lines.
type LogSettings struct {
	Format observe.LogFormat `json:"format"`
	Level  string            `json:"level"`
}
