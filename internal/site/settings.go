// Package site runs the process of one VM on a platform that supplies routes
// and announces backend servers: an entry VM or a control VM. What the
// platform speaks is behind the interfaces of this package.
package site

import (
	"fmt"
	"net"
	"strconv"
	"time"
)

// Settings are what a process is told at its start.
type Settings struct {
	// VM names this VM in logs.
	VM   string
	Zone string
	// Address is the IP number by which others reach this VM.
	Address string
	// Bind is the IP number of its own listeners between VMs and of its outgoing
	// connections where that differs from Address, as behind a proxy.
	Bind string
	// Callers and Readiness are the "ip:port" listeners of an entry VM.
	Callers   string
	Readiness string
	// Control is the "ip:port" listener of a control VM for operators and
	// backend servers.
	Control string
	// FirstPort and LastPort bound the ports between VMs.
	FirstPort int
	LastPort  int
	// Seeds are control listeners of control VMs.
	Seeds []string
	// Bootstrap is true when the whole system starts for the first time.
	Bootstrap bool
	// DataDir is the folder that lasts, empty without a disk.
	DataDir     string
	MemoryBytes int64
	// AnnounceInterval is how often backend servers announce themselves.
	AnnounceInterval time.Duration
	// StopLimit is how long a planned stop may take.
	StopLimit time.Duration
	// RetryRatio, RetryAllowance and RetryWindow bound repeated sends over the
	// whole system.
	RetryRatio     float64
	RetryAllowance float64
	RetryWindow    time.Duration
}

// InternalAddress returns this VM's listener for other VMs.
func (s *Settings) InternalAddress() string {
	return net.JoinHostPort(s.Address, strconv.Itoa(s.FirstPort))
}

// internalListener returns where this VM listens for other VMs.
func (s *Settings) internalListener() string { return s.bound(s.FirstPort) }

func (s *Settings) bound(port int) string {
	if s.Bind != "" {
		return net.JoinHostPort(s.Bind, strconv.Itoa(port))
	}
	return net.JoinHostPort(s.Address, strconv.Itoa(port))
}

// MetricsPort is where every process serves its metrics, at MetricsPath.
const (
	MetricsPort = 9464
	MetricsPath = "/metrics"
)

// MetricsAddress returns this VM's listener for metrics.
func (s *Settings) MetricsAddress() string { return s.bound(MetricsPort) }

// SeedAddresses returns the internal listeners of the seeds: all VMs use the
// same ports.
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
	// announcesMissed is the announcements in a row whose loss takes a server
	// out, with half an interval for delays on the way.
	announcesMissed = 3.5
	// announcesForgotten is those after which it is forgotten.
	announcesForgotten = 12
)

func (s *Settings) silentAfter() time.Duration {
	return time.Duration(announcesMissed * float64(s.AnnounceInterval))
}

func (s *Settings) forgetAfter() time.Duration { return announcesForgotten * s.AnnounceInterval }
