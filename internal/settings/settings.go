// Package settings reads the settings file of one process: JSON with
// comments, checked as a whole when the process starts.
package settings

import (
	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/observe"
)

// Role is a part that a process plays.
type Role string

// Roles of a process.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Settings are the settings of one process on one VM.
type Settings struct {
	// Cluster names the system. VMs of another cluster are refused.
	Cluster string `json:"cluster"`
	VM      VM     `json:"vm"`
	Roles   []Role `json:"roles"`
	Listen  Listen `json:"listen"`
	// EntryVMs lists all entry VMs of the system, this one included.
	EntryVMs []Peer `json:"entry_vms,omitempty"`
	// ControlVMs lists the control VMs that formed the group. Later members
	// are learnt from the group.
	ControlVMs []Peer `json:"control_vms"`
	DataDir    string `json:"data_dir,omitempty"`
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
	// Operators takes the operators' HTTP JSON.
	Operators string `json:"operators,omitempty"`
}

// Peer is another VM of the system.
type Peer struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Internal is the "ip:port" of its gRPC listener.
	Internal string `json:"internal"`
	// Backends is the "ip:port" of its announce listener; entry VMs only.
	Backends string `json:"backends,omitempty"`
	// Operators is the "ip:port" of its operators' listener; control VMs only.
	Operators string `json:"operators,omitempty"`
}

// Control tunes the control group.
type Control struct {
	// Bootstrap lets the listed control VMs form the group once, when none of
	// them holds state.
	Bootstrap         bool           `json:"bootstrap"`
	HeartbeatInterval jsonc.Duration `json:"heartbeat"`
	ElectionTimeout   jsonc.Duration `json:"election_timeout"`
	// MaxClockDrift bounds how much faster one VM's clock runs than another's
	// over one lease, in percent.
	MaxClockDriftPercent float64 `json:"max_clock_drift_percent"`
	// SnapshotEntries is the log length that triggers a snapshot.
	SnapshotEntries int `json:"snapshot_entries"`
}

// Operators names the keys that sign bundles.
type Operators struct {
	RequiredSignatures int           `json:"required_signatures"`
	Keys               []OperatorKey `json:"keys"`
}

// OperatorKey is an operator's public key.
type OperatorKey struct {
	Name string `json:"name"`
	// Ed25519 is the public key in base64.
	Ed25519 string `json:"ed25519"`
}

// TLS names the files for mutual authentication between VMs.
type TLS struct {
	// Plaintext turns TLS off. Without it, files are required unless every
	// address is on loopback.
	Plaintext bool   `json:"plaintext,omitempty"`
	CertFile  string `json:"cert_file,omitempty"`
	KeyFile   string `json:"key_file,omitempty"`
	CAFile    string `json:"ca_file,omitempty"`
}

// Entry bounds the callers' side and the liveness of backend servers.
type Entry struct {
	HeaderTimeout jsonc.Duration `json:"header_timeout"`
	BodyTimeout   jsonc.Duration `json:"body_timeout"`
	MaxInFlight   int            `json:"max_in_flight"`
	// MaxBodyMemory bounds the memory for request bodies in progress.
	MaxBodyMemory jsonc.Bytes `json:"max_body_memory"`
	// HeartbeatInterval is how often backend servers announce themselves.
	HeartbeatInterval jsonc.Duration `json:"heartbeat_interval"`
	// UnresponsiveAfter is the silence after which a backend server gets no new work.
	UnresponsiveAfter jsonc.Duration `json:"silent_after"`
	// ReadyWait bounds how long a starting VM asks peers for the newest bundle
	// before it turns ready with what it has.
	ReadyWait jsonc.Duration `json:"ready_wait"`
	// ConnectTimeout bounds a TCP connect to a backend server.
	ConnectTimeout jsonc.Duration `json:"connect_timeout"`
}

// Policy names a placement policy.
type Policy string

// Placement policies. All but PolicyLeases are baselines.
const (
	PolicyRoundRobin    Policy = "round_robin"
	PolicyLeastInFlight Policy = "least_inflight"
	PolicyTwoChoices    Policy = "two_choices"
	PolicyLeases        Policy = "leases"
)

// Routing chooses how requests are placed.
type Routing struct {
	Policy Policy `json:"policy"`
	// LeaseTimeout bounds the round trip to a scheduler before the entry VM
	// falls back to two_choices.
	LeaseTimeout jsonc.Duration `json:"lease_timeout"`
	// LeaseTerm is the time after which a lease that is not renewed expires.
	LeaseTerm jsonc.Duration `json:"lease_term"`
}

// Shutdown bounds a planned stop.
type Shutdown struct {
	// BalancerWait is the time between failing readiness and refusing new
	// connections.
	BalancerWait jsonc.Duration `json:"balancer_wait"`
	// Timeout is the longest time that a planned stop may take.
	Timeout jsonc.Duration `json:"limit"`
}

// LogSettings chooses form and level of the log.
type LogSettings struct {
	Format observe.LogFormat `json:"format"`
	Level  string            `json:"level"`
}
