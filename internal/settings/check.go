package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/jsonc"
	"godwityoke.example/godwityoke/internal/observe"
)

const (
	// maxControlVMs is the largest size of the control group.
	maxControlVMs = 7
	// minElectionHeartbeats is the least number of heartbeats in an election
	// timeout; fewer would let one lost heartbeat start an election.
	minElectionHeartbeats = 3
	// longestSilence bounds Entry.UnresponsiveAfter: a silent backend server must get
	// no new work later than 3 s after its last heartbeat.
	longestSilence = 2500 * time.Millisecond
)

// checker reports mistakes that the decoder cannot see: values out of range
// and values that do not fit each other.
type checker struct {
	doc      *jsonc.Document
	settings *Settings
}

func check(doc *jsonc.Document, s *Settings) {
	c := &checker{doc: doc, settings: s}
	c.required("cluster", s.Cluster)
	c.required("vm.name", s.VM.Name)
	c.required("vm.zone", s.VM.Zone)
	c.roles()
	c.listen()
	c.peers("entry_vms", s.EntryVMs)
	c.peers("control_vms", s.ControlVMs)
	c.self()
	c.control()
	c.operators()
	c.tls()
	c.entry()
	c.routing()
	c.shutdown()
	c.log()
}

func (c *checker) required(path, value string) {
	if value == "" {
		c.doc.Report(path, "is empty", "a name")
	}
}

func (c *checker) roles() {
	if len(c.settings.Roles) == 0 {
		c.doc.Report("roles", "names no role", "one or more of entry, control")
	}
	seen := map[Role]bool{}
	for i, role := range c.settings.Roles {
		path := index("roles", i)
		if role != RoleEntry && role != RoleControl {
			c.doc.Report(path, strconv.Quote(string(role))+" is no role", "entry, control")
		}
		if seen[role] {
			c.doc.Report(path, "the role is repeated", "each role once")
		}
		seen[role] = true
	}
	if seen[RoleControl] && c.settings.DataDir == "" {
		c.doc.Report("data_dir", "is needed by the role control", "a folder on a disk")
	}
}

// HasRole reports whether the process plays role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.Roles, role) }

func (c *checker) listen() {
	listen := c.settings.Listen
	c.address("listen.internal", listen.Internal)
	if c.settings.HasRole(RoleEntry) {
		c.address("listen.callers", listen.Callers)
		c.address("listen.backends", listen.Backends)
	}
	if c.settings.HasRole(RoleControl) {
		c.address("listen.operators", listen.Operators)
	}
}

// address checks an "ip:port"; host names are not used between VMs.
func (c *checker) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.doc.Report(path, strconv.Quote(value)+" is no address", "an IP number and a port, such as 10.0.0.5:7000")
	}
}

func (c *checker) peers(path string, peers []Peer) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, peer := range peers {
		at := index(path, i)
		c.required(at+".name", peer.Name)
		c.required(at+".zone", peer.Zone)
		c.address(at+".internal", peer.Internal)
		if names[peer.Name] {
			c.doc.Report(at+".name", strconv.Quote(peer.Name)+" is repeated", "each VM once")
		}
		if addresses[peer.Internal] {
			c.doc.Report(at+".internal", peer.Internal+" is repeated", "each address once")
		}
		names[peer.Name] = true
		addresses[peer.Internal] = true
	}
	if path == "control_vms" && len(peers) > 0 && (len(peers)%2 == 0 || len(peers) > maxControlVMs) {
		c.doc.Report(path, fmt.Sprintf("names %d VMs", len(peers)), "1, 3, 5 or 7")
	}
	for i, peer := range peers {
		at := index(path, i)
		if path == "control_vms" {
			c.address(at+".operators", peer.Operators)
		} else {
			c.address(at+".backends", peer.Backends)
		}
	}
}

// self checks that this VM stands in the lists of its roles, in its own zone.
func (c *checker) self() {
	if c.settings.HasRole(RoleControl) {
		c.selfIn("control_vms", c.settings.ControlVMs)
	}
	if c.settings.HasRole(RoleEntry) {
		c.selfIn("entry_vms", c.settings.EntryVMs)
	}
}

func (c *checker) selfIn(path string, peers []Peer) {
	for i, peer := range peers {
		if peer.Name != c.settings.VM.Name {
			continue
		}
		if peer.Zone != c.settings.VM.Zone {
			problem := fmt.Sprintf("%q differs from vm.zone %q", peer.Zone, c.settings.VM.Zone)
			c.doc.Report(index(path, i)+".zone", problem, c.settings.VM.Zone)
		}
		return
	}
	c.doc.Report(path, fmt.Sprintf("does not name this VM, %q", c.settings.VM.Name), "a list with every VM of the role")
}

func (c *checker) control() {
	control := c.settings.Control
	c.between("control.heartbeat", control.HeartbeatInterval, 10*time.Millisecond, 10*time.Second)
	c.between("control.election_timeout", control.ElectionTimeout, 100*time.Millisecond, time.Minute)
	if control.ElectionTimeout < minElectionHeartbeats*control.HeartbeatInterval {
		problem := control.ElectionTimeout.Std().String() + " is too short for the heartbeat"
		allowed := fmt.Sprintf("at least %d heartbeats", minElectionHeartbeats)
		c.doc.Report("control.election_timeout", problem, allowed)
	}
	if control.MaxClockDriftPercent < 0 || control.MaxClockDriftPercent > 50 {
		c.doc.Report("control.max_clock_drift_percent", "is out of range", "0 to 50")
	}
	if control.SnapshotEntries < 10 {
		c.doc.Report("control.snapshot_entries", "is out of range", "10 or more")
	}
}

func (c *checker) operators() {
	operators := c.settings.Operators
	names := map[string]bool{}
	for i, key := range operators.Keys {
		at := index("operators.keys", i)
		c.required(at+".name", key.Name)
		if names[key.Name] {
			c.doc.Report(at+".name", strconv.Quote(key.Name)+" is repeated", "each key once")
		}
		names[key.Name] = true
		raw, err := base64.StdEncoding.DecodeString(key.Ed25519)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			c.doc.Report(at+".ed25519", "is no public key", "32 bytes in base64")
		}
	}
	needsKeys := len(c.settings.ControlVMs) > 0
	if needsKeys && (operators.RequiredSignatures < 1 || operators.RequiredSignatures > len(operators.Keys)) {
		allowed := fmt.Sprintf("1 to %d, the number of keys", len(operators.Keys))
		c.doc.Report("operators.required_signatures", "is out of range", allowed)
	}
}

func (c *checker) tls() {
	tls := c.settings.TLS
	if tls.Plaintext || (tls == TLS{} && c.onLoopback()) {
		return
	}
	files := []struct{ path, value string }{
		{"tls.cert_file", tls.CertFile}, {"tls.key_file", tls.KeyFile}, {"tls.ca_file", tls.CAFile},
	}
	for _, file := range files {
		if file.value == "" {
			c.doc.Report(file.path, "is missing", "a file, or plaintext: true, or loopback addresses only")
		}
	}
}

// onLoopback reports whether all addresses between VMs are on loopback.
func (c *checker) onLoopback() bool {
	addresses := []string{c.settings.Listen.Internal}
	for _, peer := range append(slices.Clone(c.settings.EntryVMs), c.settings.ControlVMs...) {
		addresses = append(addresses, peer.Internal)
	}
	for _, address := range addresses {
		parsed, err := netip.ParseAddrPort(address)
		if err != nil || !parsed.Addr().IsLoopback() {
			return false
		}
	}
	return true
}

func (c *checker) entry() {
	entry := c.settings.Entry
	c.between("entry.header_timeout", entry.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.between("entry.body_timeout", entry.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	c.between("entry.heartbeat_interval", entry.HeartbeatInterval, 50*time.Millisecond, time.Second)
	c.between("entry.silent_after", entry.UnresponsiveAfter, 2*entry.HeartbeatInterval.Std(), longestSilence)
	c.between("entry.ready_wait", entry.ReadyWait, 0, time.Minute)
	c.between("entry.connect_timeout", entry.ConnectTimeout, 10*time.Millisecond, 10*time.Second)
	if entry.MaxBodyMemory < 1<<20 {
		c.doc.Report("entry.max_body_memory", "is out of range", "1MiB or more")
	}
	if entry.MaxInFlight < 1 {
		c.doc.Report("entry.max_in_flight", "is out of range", "1 or more")
	}
}

func (c *checker) routing() {
	routing := c.settings.Routing
	policies := []Policy{PolicyRoundRobin, PolicyLeastInFlight, PolicyTwoChoices, PolicyLeases}
	if !slices.Contains(policies, routing.Policy) {
		problem := strconv.Quote(string(routing.Policy)) + " is no policy"
		c.doc.Report("routing.policy", problem, "round_robin, least_inflight, two_choices, leases")
	}
	c.between("routing.lease_timeout", routing.LeaseTimeout, time.Millisecond, time.Second)
	c.between("routing.lease_term", routing.LeaseTerm, 500*time.Millisecond, time.Minute)
}

func (c *checker) shutdown() {
	c.between("shutdown.balancer_wait", c.settings.Shutdown.BalancerWait, 0, time.Minute)
	c.between("shutdown.limit", c.settings.Shutdown.Timeout, time.Second, time.Hour)
}

func (c *checker) log() {
	format := c.settings.Log.Format
	if format != observe.LogJSON && format != observe.LogConsole {
		c.doc.Report("log.format", strconv.Quote(string(format))+" is no format", "json, console")
	}
	if _, err := zerolog.ParseLevel(c.settings.Log.Level); err != nil || c.settings.Log.Level == "" {
		c.doc.Report("log.level", strconv.Quote(c.settings.Log.Level)+" is no level", "debug, info, warn, error")
	}
}

func (c *checker) between(path string, value jsonc.Duration, least, most time.Duration) {
	if value.Std() < least || value.Std() > most {
		c.doc.Report(path, value.Std().String()+" is out of range", least.String()+" to "+most.String())
	}
}

func index(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
