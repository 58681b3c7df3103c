package schedule

import (
	"math"
	"time"
)

const (
	// lossWindow is the averaging window of the late events between two availability zones.
	lossWindow = 2 * time.Second
	// minLossEvents is the decayed number of single late events from which on a path counts as lossy,
	// and minLossPerStream the number for each stream on it: sound paths have about one in a hundred
	// streams within the window.
	minLossEvents    = 4
	minLossPerStream = 0.1
	// lossPenalty is the delay that is accepted to avoid a lossy path. A lost packet of a stream is
	// retransmitted after 200 ms, which is longer than strict streams may pause.
	lossPenalty = time.Second
	// lossLoadPenalty is the fraction of its slots by which a plain server behind a lossy path seems busier. A lost packet
	// delays whole answers by 200 ms as well. The evidence comes from streams of model engines, which share the path.
	lossLoadPenalty = 0.5
	// maxZonePaths bounds the paths that are kept.
	maxZonePaths = 1024
)

// zonePath is the path from the entry VMs of an availability zone to the servers of one, which may be the same.
type zonePath struct{ from, to string }

// pathLoss is the evidence on lost packets on a path.
type pathLoss struct {
	// lateEvents is the exponentially decaying number of single late events, as of updatedAt.
	lateEvents float64
	updatedAt  time.Time
	// lossy is set by refreshLoss.
	lossy bool
}

func (p *pathLoss) decayTo(now time.Time) {
	if elapsed := now.Sub(p.updatedAt); elapsed > 0 {
		p.lateEvents *= math.Exp(-elapsed.Seconds() / lossWindow.Seconds())
		p.updatedAt = now
	}
}

func pathOf(j *job) zonePath { return zonePath{from: j.request.Zone, to: j.first.Zone} }

// remainder returns what is left now of an event that was counted at the given time.
func remainder(now, countedAt time.Time) float64 {
	return math.Exp(-now.Sub(countedAt).Seconds() / lossWindow.Seconds())
}

// recordLoss counts a late event for the path that it took. It reports whether the path is kept.
func (s *Scheduler) recordLoss(now time.Time, key zonePath) bool {
	path := s.paths[key]
	if path == nil {
		if len(s.paths) >= maxZonePaths {
			return false
		}
		path = &pathLoss{updatedAt: now}
		s.paths[key] = path
	}
	path.decayTo(now)
	path.lateEvents++
	return true
}

// withdrawLoss takes back the recent late events of a server that turned out to be slow.
func (s *Scheduler) withdrawLoss(now time.Time, srv *server) {
	for i := range srv.lateEvents {
		e := &srv.lateEvents[i]
		if path := s.paths[e.path]; path != nil && !e.countedAt.IsZero() {
			path.decayTo(now)
			path.lateEvents = max(0, path.lateEvents-remainder(now, e.countedAt))
		}
		e.countedAt = time.Time{}
	}
}

// hasOtherLoss reports whether a path of the recent late events of a server has late events of other servers as well.
func (s *Scheduler) hasOtherLoss(now time.Time, srv *server) bool {
	for _, e := range srv.lateEvents {
		path := s.paths[e.path]
		if path == nil {
			continue
		}
		path.decayTo(now)
		others := path.lateEvents
		for _, own := range srv.lateEvents {
			if own.path == e.path && !own.countedAt.IsZero() {
				others -= remainder(now, own.countedAt)
			}
		}
		if others >= maxOtherLoss {
			return true
		}
	}
	return false
}

// refreshLoss determines which paths are lossy, for the decision in progress. A path is not lossy unless another one from the
// same zone is sound: otherwise there is nothing to prefer.
func (s *Scheduler) refreshLoss(now time.Time) {
	clear(s.lossyFrom)
	if len(s.paths) == 0 {
		return
	}
	suspects := false
	for key, path := range s.paths {
		path.decayTo(now)
		path.lossy = path.lateEvents >= minLossEvents
		suspects = suspects || path.lossy
		if path.lateEvents < 0.01 {
			delete(s.paths, key)
		}
	}
	if !suspects {
		return
	}
	streams := map[zonePath]int{}
	for _, j := range s.placed {
		if j.decoding {
			streams[pathOf(j)]++
		}
	}
	for key, path := range s.paths {
		path.lossy = path.lossy && path.lateEvents >= minLossPerStream*float64(streams[key])
	}
	zones := map[string]bool{}
	for _, srv := range s.sortedServers {
		if srv.isAvailable(now) {
			zones[srv.Zone] = true
		}
	}
	for key, path := range s.paths {
		if path.lossy && s.hasSoundPath(key.from, zones) {
			s.lossyFrom[key.from] = true
		}
	}
	for key, path := range s.paths {
		path.lossy = path.lossy && s.lossyFrom[key.from]
	}
}

// hasSoundPath reports whether the path from a zone to one of the given zones is not lossy.
func (s *Scheduler) hasSoundPath(from string, zones map[string]bool) bool {
	for zone := range zones {
		if path := s.paths[zonePath{from: from, to: zone}]; path == nil || !path.lossy {
			return true
		}
	}
	return false
}

// isLossy reports whether the path from the entry VMs of a zone to a server loses packets, as of the decision in progress.
func (s *Scheduler) isLossy(from string, srv *server) bool {
	if !s.lossyFrom[from] {
		return false
	}
	path := s.paths[zonePath{from: from, to: srv.Zone}]
	return path != nil && path.lossy
}

// LossyPaths returns the number of paths between availability zones that lose packets, as of the last decision.
func (s *Scheduler) LossyPaths() int {
	count := 0
	for _, path := range s.paths {
		if path.lossy {
			count++
		}
	}
	return count
}
