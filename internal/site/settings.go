// Package site runs the process of one VM, an entry VM or a control VM, on a
// platform that supplies the routes and whose backend servers announce themselves.
// It opens the listeners, connects the parts of the process and stops them in
// order. It does not contain the platform's formats and protocols; the platform
// supplies them by Codec, EntryAdapter and ControlHandlerFactory.
package site

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"godwityoke.example/godwityoke/internal/schedule"
)

// Settings is the start-up configuration of a process.
type Settings struct {
	// VM names this VM in logs and, for an entry VM, in messages to other VMs.
	VM   string
	Zone string
	// Address is the IP address at which other VMs reach this VM.
	Address string
	// Bind is the local IP address of the internal and metrics listeners and of
	// outgoing connections if it differs from Address, for example behind a proxy;
	// empty otherwise.
	Bind string
	// Callers and Readiness are the "ip:port" listeners of an entry VM.
	Callers   string
	Readiness string
	// Control is the "ip:port" listener of a control VM for operators and
	// backend servers.
	Control string
	// FirstPort and LastPort bound the range of ports for connections between VMs.
	// The internal listener uses FirstPort.
	FirstPort int
	LastPort  int
	// Seeds are the "ip:port" control listeners of some control VMs.
	Seeds []string
	// Bootstrap is true if the whole system starts for the first time.
	Bootstrap bool
	// DataDir is the directory that survives a restart; empty on a VM without a disk.
	DataDir string
	// ToleratedDiskLosses is the number of control VMs that may lose their disks at the
	// same time without a loss of accepted state.
	ToleratedDiskLosses int
	// MemoryBytes is the memory limit that the platform sets for this process.
	MemoryBytes int64
	// SlowPeers is set where callers may read slowly for long, so that streams are read ahead and writes to callers are limited.
	SlowPeers bool
	// AnnounceInterval is the interval between announcements of a backend server.
	AnnounceInterval time.Duration
	// StopLimit is the maximum duration of a planned stop.
	StopLimit time.Duration
	// RetryRatio, RetryAllowance and RetryWindow bound the retries of each service
	// over the whole system: in any RetryWindow, RetryRatio retries for each first
	// attempt, plus RetryAllowance retries.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
	// ZoneRegions maps the availability zones of the system to their regions.
	ZoneRegions map[string]string
	// ColdRatio and ColdAllowance bound what all VMs together send to a cold server in any
	// second: ColdRatio times the rate that its service states, plus ColdAllowance requests.
	// Both are 0 where the platform sets no bound.
	ColdRatio     float64
	ColdAllowance float64
	// HedgeShare is the extra server time that hedged requests may use, as a share of the server
	// time of all requests; 0 turns hedging off. Operators may change it while the process runs (HedgeLimitsPath).
	HedgeShare float64
	// HedgeRoutes limits the extra server time of single routes in the same way, by the name of the route and within
	// HedgeShare.
	HedgeRoutes map[string]float64
}

// InternalAddress returns the address at which other VMs reach this VM.
func (s *Settings) InternalAddress() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort))
}

// internalBindAddress returns the local address of the listener for other VMs.
func (s *Settings) internalBindAddress() string { return s.bindAddress(s.FirstPort) }

func (s *Settings) bindAddress(port int) string {
	if s.Bind != "" {
		return net.JoinHostPort(s.Bind, strconv.Itoa(port))
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(port))
}

// MetricsPort and MetricsPath are the port and the HTTP path at which every process
// serves its metrics.
const (
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// MetricsAddress returns the local address of the metrics listener.
func (s *Settings) MetricsAddress() string { return s.bindAddress(MetricsPort) }

// SeedAddresses returns the internal addresses of the seeds, with this VM's own
// FirstPort, since all VMs use the same ports.
func (s *Settings) SeedAddresses() ([]string, error) {
	addresses := make([]string, 0, len(s.Seeds))
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			return nil, fmt.Errorf("seed %q: %w", seed, err)
		}
		addresses = append(addresses, net.JoinHostPort(host, strconv.Itoa(s.FirstPort)))
	}
	return addresses, nil
}

const (
	// unresponsiveIntervals is the number of announce intervals without an
	// announcement after which a backend server gets no new work: three lost
	// announcements in a row, and half an interval for delays on the network.
	unresponsiveIntervals = 3.5
	// expireIntervals is the number of announce intervals without an announcement
	// after which a backend server is removed.
	expireIntervals = 12
)

func (s *Settings) warmUpBounds() schedule.WarmUpBounds {
	return schedule.WarmUpBounds{Ratio: s.ColdRatio, Allowance: s.ColdAllowance}
}

func (s *Settings) unresponsiveAfter() time.Duration {
	return time.Duration(unresponsiveIntervals * float64(s.AnnounceInterval))
}

func (s *Settings) expireAfter() time.Duration { return expireIntervals * s.AnnounceInterval }
