package schedule

import (
	"time"
)

const (
	// witnessUnreached is how many servers in a row an entry VM may not reach
	// before it is taken for cut off itself.
	witnessUnreached = 4
	// errorWeight is the weight of one request in the error rate of a server.
	errorWeight = 0.12
	// errorsSuspect is the error rate from which a server is compared with the
	// others, errorsFactor how much higher than theirs it must be.
	errorsSuspect = 0.3
	errorsFactor  = 2.5
	// errorsOut is how long such a server gets nothing new.
	errorsOut = 3 * time.Second
	// zoneUnreached is how many servers of a zone must be out of reach before
	// the others are taken for it, too.
	zoneUnreached = 2
)

// ReachableZoneFraction returns the part of the zones with servers that is not taken for
// cut off as a whole, and 1 without servers.
func (s *Scheduler) ReachableZoneFraction() float64 {
	inReach := map[string]bool{}
	for _, one := range s.order {
		inReach[one.Zone] = inReach[one.Zone] || !one.unreached
	}
	reached := 0
	for _, reach := range inReach {
		if reach {
			reached++
		}
	}
	if reached == 0 {
		return 1
	}
	return float64(reached) / float64(len(inReach))
}

// judgeErrors takes a server out for a while that errs much more often than the
// others of its service: requests that fail by nature fail everywhere. Half of
// the servers of a service always stay.
func (s *Scheduler) judgeErrors(now time.Time, v *server, erred bool) {
	sample := 0.0
	if erred {
		sample = 1
	}
	v.errors += errorWeight * (sample - v.errors)
	if v.errors < errorsSuspect {
		return
	}
	others, count, out := 0.0, 0, 0
	for _, one := range s.order {
		if one.Service != v.Service {
			continue
		}
		count++
		if now.Before(one.outUntil) {
			out++
		}
		if one != v {
			others += one.errors
		}
	}
	if count < 2 || 2*(out+1) > count || v.errors < errorsFactor*others/float64(count-1) {
		return
	}
	v.outUntil = now.Add(errorsOut)
	v.errors = errorsSuspect / 2
}

// noteUnreached takes a server out that could not be reached, and with the
// second one of a zone all servers of that zone, since the zone is most likely
// cut off. An entry VM that reaches no server at all is no witness.
func (s *Scheduler) noteUnreached(now time.Time, j *job) {
	s.unreached[j.ask.ID.VM]++
	if s.unreached[j.ask.ID.VM] > witnessUnreached {
		return
	}
	j.first.noteEnd(now, OutcomeUnreachable)
	j.first.cutOff = true
	zone, out := j.first.Zone, 0
	for _, one := range s.order {
		if one.Zone == zone && one.cutOff {
			out++
		}
	}
	if out < zoneUnreached || zone == j.ask.Zone {
		return
	}
	for _, one := range s.order {
		if one.Zone == zone && !one.cutOff {
			one.noteEnd(now, OutcomeUnreachable)
		}
	}
}
