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
	// maxControlVMs is the maximum size of the control group.
	maxControlVMs = 7
	// minElectionHeartbeats is the minimum number of heartbeat intervals in an
	// election timeout. With fewer, one lost heartbeat could start an election.
	minElectionHeartbeats = 3
	// maxUnresponsiveAfter is the upper bound of Entry.UnresponsiveAfter. A
	// backend server must get no new work later than 3 s after its last
	// heartbeat.
	maxUnresponsiveAfter = 2500 * time.Millisecond
)

// checker reports mistakes that the decoder can't detect: values out of range,
// and values that contradict each other.
type checker struct {
	doc      *jsonc.Document
	settings *Settings
}

func check(doc *jsonc.Document, s *Settings) {
	c := &checker{doc: doc, settings: s}
	c.checkNotEmpty("cluster", s.Cluster)
	c.checkNotEmpty("vm.name", s.VM.Name)
	c.checkNotEmpty("vm.zone", s.VM.Zone)
	c.roles()
	c.listen()
	c.peers("entry_vms", s.EntryVMs)
	c.peers("control_vms", s.ControlVMs)
	c.checkSelfListed()
	c.control()
	c.operators()
	c.tls()
	c.entry()
	c.routing()
	c.shutdown()
	c.log()
}

func (c *checker) checkNotEmpty(path, value string) {
	if value == "" {
		c.doc.Report(path, "is empty", "a name")
	}
}

func (c *checker) roles() {
	if len(c.settings.Roles) == 0 {
		c.doc.Report("roles", "contains no role", "one or more of entry, control")
	}
	seen := map[Role]bool{}
	for i, role := range c.settings.Roles {
		path := indexedPath("roles", i)
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

// HasRole reports whether the process has role.
func (s *Settings) HasRole(role Role) bool { return slices.Contains(s.Roles, role) }

func (c *checker) listen() {
	listen := c.settings.Listen
	c.checkAddress("listen.internal", listen.Internal)
	if c.settings.HasRole(RoleEntry) {
		c.checkAddress("listen.callers", listen.Callers)
		c.checkAddress("listen.backends", listen.Backends)
	}
	if c.settings.HasRole(RoleControl) {
		c.checkAddress("listen.operators", listen.Operators)
	}
}

// checkAddress checks that value is an "ip:port". Host names are not allowed.
func (c *checker) checkAddress(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.doc.Report(path, strconv.Quote(value)+" is no address", "an IP number and a port, such as 10.0.0.5:7000")
	}
}

func (c *checker) peers(path string, peers []Peer) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, peer := range peers {
		peerPath := indexedPath(path, i)
		c.checkNotEmpty(peerPath+".name", peer.Name)
		c.checkNotEmpty(peerPath+".zone", peer.Zone)
		c.checkAddress(peerPath+".internal", peer.Internal)
		if names[peer.Name] {
			c.doc.Report(peerPath+".name", strconv.Quote(peer.Name)+" is repeated", "each VM once")
		}
		if addresses[peer.Internal] {
			c.doc.Report(peerPath+".internal", peer.Internal+" is repeated", "each address once")
		}
		names[peer.Name] = true
		addresses[peer.Internal] = true
	}
	if path == "control_vms" && len(peers) > 0 && (len(peers)%2 == 0 || len(peers) > maxControlVMs) {
		c.doc.Report(path, fmt.Sprintf("names %d VMs", len(peers)), "1, 3, 5 or 7")
	}
	for i, peer := range peers {
		peerPath := indexedPath(path, i)
		if path == "control_vms" {
			c.checkAddress(peerPath+".operators", peer.Operators)
		} else {
			c.checkAddress(peerPath+".backends", peer.Backends)
		}
	}
}

// checkSelfListed checks that the VM lists of this VM's roles contain this VM, with
// its own zone.
func (c *checker) checkSelfListed() {
	if c.settings.HasRole(RoleControl) {
		c.checkSelfListedIn("control_vms", c.settings.ControlVMs)
	}
	if c.settings.HasRole(RoleEntry) {
		c.checkSelfListedIn("entry_vms", c.settings.EntryVMs)
	}
}

func (c *checker) checkSelfListedIn(path string, peers []Peer) {
	for i, peer := range peers {
		if peer.Name != c.settings.VM.Name {
			continue
		}
		if peer.Zone != c.settings.VM.Zone {
			problem := fmt.Sprintf("%q differs from vm.zone %q", peer.Zone, c.settings.VM.Zone)
			c.doc.Report(indexedPath(path, i)+".zone", problem, c.settings.VM.Zone)
		}
		return
	}
	c.doc.Report(path, fmt.Sprintf("does not name this VM, %q", c.settings.VM.Name), "a list with every VM of the role")
}

func (c *checker) control() {
	control := c.settings.Control
	c.checkDuration("control.heartbeat", control.HeartbeatInterval, 10*time.Millisecond, 10*time.Second)
	c.checkDuration("control.election_timeout", control.ElectionTimeout, 100*time.Millisecond, time.Minute)
	if control.ElectionTimeout < minElectionHeartbeats*control.HeartbeatInterval {
		problem := control.ElectionTimeout.Std().String() + " is too short for the heartbeat interval"
		allowed := fmt.Sprintf("at least %d heartbeat intervals", minElectionHeartbeats)
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
		keyPath := indexedPath("operators.keys", i)
		c.checkNotEmpty(keyPath+".name", key.Name)
		if names[key.Name] {
			c.doc.Report(keyPath+".name", strconv.Quote(key.Name)+" is repeated", "each key once")
		}
		names[key.Name] = true
		raw, err := base64.StdEncoding.DecodeString(key.Ed25519)
		if err != nil || len(raw) != ed25519.PublicKeySize {
			c.doc.Report(keyPath+".ed25519", "is not an Ed25519 public key", "32 bytes in base64")
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
	if tls.Plaintext || (tls == TLS{} && c.allOnLoopback()) {
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

// allOnLoopback reports whether all addresses that VMs use between each other
// are loopback addresses.
func (c *checker) allOnLoopback() bool {
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
	c.checkDuration("entry.header_timeout", entry.HeaderTimeout, 100*time.Millisecond, time.Minute)
	c.checkDuration("entry.body_timeout", entry.BodyTimeout, 100*time.Millisecond, 10*time.Minute)
	c.checkDuration("entry.heartbeat_interval", entry.HeartbeatInterval, 50*time.Millisecond, time.Second)
	c.checkDuration("entry.silent_after", entry.UnresponsiveAfter, 2*entry.HeartbeatInterval.Std(), maxUnresponsiveAfter)
	c.checkDuration("entry.ready_wait", entry.ReadyWait, 0, time.Minute)
	c.checkDuration("entry.connect_timeout", entry.ConnectTimeout, 10*time.Millisecond, 10*time.Second)
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
		problem := strconv.Quote(string(routing.Policy)) + " is not a placement policy"
		c.doc.Report("routing.policy", problem, "round_robin, least_inflight, two_choices, leases")
	}
	c.checkDuration("routing.lease_timeout", routing.LeaseTimeout, time.Millisecond, time.Second)
	c.checkDuration("routing.lease_term", routing.LeaseTerm, 500*time.Millisecond, time.Minute)
}

func (c *checker) shutdown() {
	c.checkDuration("shutdown.balancer_wait", c.settings.Shutdown.BalancerWait, 0, time.Minute)
	c.checkDuration("shutdown.limit", c.settings.Shutdown.Timeout, time.Second, time.Hour)
}

func (c *checker) log() {
	format := c.settings.Log.Format
	if format != observe.LogJSON && format != observe.LogConsole {
		c.doc.Report("log.format", strconv.Quote(string(format))+" is not a log format", "json, console")
	}
	if _, err := zerolog.ParseLevel(c.settings.Log.Level); err != nil || c.settings.Log.Level == "" {
		c.doc.Report("log.level", strconv.Quote(c.settings.Log.Level)+" is not a log level", "debug, info, warn, error")
	}
}

func (c *checker) checkDuration(path string, value jsonc.Duration, minimum, maximum time.Duration) {
	if value.Std() < minimum || value.Std() > maximum {
		c.doc.Report(path, value.Std().String()+" is out of range", minimum.String()+" to "+maximum.String())
	}
}

func indexedPath(path string, i int) string { return path + "[" + strconv.Itoa(i) + "]" }
