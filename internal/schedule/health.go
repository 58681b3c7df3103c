package schedule

import (
	"time"
)

const (
	// errorSampleWeight is the weight of one request in a server's moving error
	// rate.
	errorSampleWeight = 0.12
	// suspectErrorRate is the error rate, 0 to 1, from which a server is compared
	// with the others of its service.
	suspectErrorRate = 0.3
	// suspectErrorFactor times the average error rate of the other servers is the
	// error rate from which a server is ejected.
	suspectErrorFactor = 2.5
	// errorEjection is how long a server is ejected because of its error rate.
	errorEjection = 3 * time.Second
	// minUnreachableInZone is the number of servers with unreachable VMs in an
	// availability zone from which the whole zone is considered partitioned.
	minUnreachableInZone = 2
)

// ReachableZoneFraction returns the fraction, 0 to 1, of the availability zones
// with servers in which at least one server is not considered unreachable. It
// returns 1 if that holds for no zone or if there are no servers.
func (s *Scheduler) ReachableZoneFraction() float64 {
	reachable := map[string]bool{}
	for _, srv := range s.sortedServers {
		reachable[srv.Zone] = reachable[srv.Zone] || !srv.unreachable
	}
	count := 0
	for _, isReachable := range reachable {
		if isReachable {
			count++
		}
	}
	if count == 0 {
		return 1
	}
	return float64(count) / float64(len(reachable))
}

// updateErrorRate updates the error rate of a server. It ejects the server if the
// rate is high and much higher than the average of the other servers of its
// service: requests that are themselves at fault raise the rate of all servers.
// It ejects no server if more than half of the service's servers would then be
// ejected, for whatever reason.
func (s *Scheduler) updateErrorRate(now time.Time, srv *server, isError bool) {
	sample := 0.0
	if isError {
		sample = 1
	}
	srv.errorRate += errorSampleWeight * (sample - srv.errorRate)
	if srv.errorRate < suspectErrorRate {
		return
	}
	otherRates, count, ejected := 0.0, 0, 0
	for _, other := range s.sortedServers {
		if other.Service != srv.Service {
			continue
		}
		count++
		if other.isOut(now) {
			ejected++
		}
		if other != srv {
			otherRates += other.errorRate
		}
	}
	if count < 2 || 2*(ejected+1) > count || srv.errorRate < suspectErrorFactor*otherRates/float64(count-1) {
		return
	}
	srv.ejectedUntil = now.Add(errorEjection)
	srv.errorRate = suspectErrorRate / 2
}

// checkZone takes all servers of a zone out if the VMs of minUnreachableInZone of them
// are unreachable: the zone is most likely partitioned, unless the report comes from an
// entry VM in it.
func (s *Scheduler) checkZone(now time.Time, zone, reporterZone string) {
	if zone == reporterZone || s.unreachableInZones()[zone] < minUnreachableInZone {
		return
	}
	for _, srv := range s.sortedServers {
		if srv.Zone == zone && !srv.vmUnreachable {
			srv.recordFailure(now, OutcomeUnreachable)
			srv.outByZone = true
		}
	}
}

// recheckZones brings back the servers of zones that are not considered partitioned any
// more because evidence was withdrawn.
func (s *Scheduler) recheckZones() {
	unreachable := s.unreachableInZones()
	for _, srv := range s.sortedServers {
		if srv.outByZone && unreachable[srv.Zone] < minUnreachableInZone {
			srv.outByZone = false
			srv.resetFailures()
		}
	}
}

// unreachableInZones returns the number of servers with unreachable VMs in each zone.
func (s *Scheduler) unreachableInZones() map[string]int {
	unreachable := map[string]int{}
	for _, srv := range s.sortedServers {
		if srv.vmUnreachable {
			unreachable[srv.Zone]++
		}
	}
	return unreachable
}
