package hub

import (
	"context"
	"time"

	"godwityoke.example/godwityoke/internal/hub/hubpb"
	"godwityoke.example/godwityoke/internal/observe"
)

// IsEvacuated tells whether servers of an availability zone get no new requests.
func (l *Link) IsEvacuated(zone string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.evacuations.has(zone)
}

// EvacuatedZones returns the number of evacuated zones.
func (l *Link) EvacuatedZones() int {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return len(l.evacuations.zones)
}

// applyEvacuations puts the evacuations of a route table of the control VM at address from in force.
func (l *Link) applyEvacuations(message *hubpb.RouteTable, from string) {
	previous, current := l.evacuations, evacuationsOf(message)
	if current.revision == previous.revision {
		return
	}
	l.mu.Lock()
	l.evacuations = current
	for _, server := range l.servers.All() {
		if current.differsIn(server.Zone, previous) {
			l.state.setServer(server, time.Now())
		}
	}
	l.mu.Unlock()
	observe.Log(l.options.Logger, observe.EvacuationsApplied).Uint64("revision", current.revision).Strs("zones", current.names()).
		Strs("previous", previous.names()).Str("source", from).Uint64("term", l.state.knownTerm()).Send()
}

// ConfirmEvacuations waits, if this VM was suspended for so long that its evacuations may be outdated, until they were read
// from a control VM again, for freshTableTimeout at most: if no control VM answers within it, this VM is cut off. What the
// attached control VM sent may be from before the suspension.
func (l *Link) ConfirmEvacuations(ctx context.Context) {
	if !l.suspension.isUnconfirmed(time.Now()) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, freshTableTimeout)
	defer cancel()
	m := evacuationsDoubted{ended: make(chan struct{})}
	if l.send(ctx, m) == nil {
		select {
		case <-m.ended:
		case <-ctx.Done():
		}
	}
}

// evacuationsDoubted asks for a read of the route table that begins after the last suspension. ended is closed at its end.
type evacuationsDoubted struct{ ended chan struct{} }

func (m evacuationsDoubted) handle(s *linkState, now time.Time) {
	s.feed.confirming = append(s.feed.confirming, m.ended)
	s.confirmEvacuations(now)
}

// confirmEvacuations releases the requests that wait for a read of the route table after a suspension if one was answered, or
// none was for freshTableTimeout. Otherwise it starts one, and a further one feedReadInterval after one without an answer.
func (s *linkState) confirmEvacuations(now time.Time) {
	suspension := &s.link.suspension
	suspension.tick(now)
	if suspension.isUnconfirmed(now) {
		wokeAt := suspension.lastLongWake()
		if now.Sub(wokeAt) < freshTableTimeout {
			if s.feed.readAt.Before(wokeAt) || now.Sub(s.feed.readAt) >= feedReadInterval {
				s.startTableRead(now)
			}
			return
		}
		suspension.confirm(now) // this VM is cut off
	}
	for _, ended := range s.feed.confirming {
		close(ended)
	}
	s.feed.confirming = nil
}

// isUnconfirmed reports whether the process was suspended for suspendedAfter or longer and the route table has not been read
// from a control VM since.
func (c *suspensionClock) isUnconfirmed(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmedAt.Before(c.longWokeAt) || timeBetween(c.tickedAt, now) >= suspendedAfter
}

// lastLongWake returns when the last suspension of suspendedAfter or longer ended, zero before the first one.
func (c *suspensionClock) lastLongWake() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.longWokeAt
}

// confirm records that the route table is as up to date as that of a read that began at readAt.
func (c *suspensionClock) confirm(readAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if readAt.After(c.confirmedAt) {
		c.confirmedAt = readAt
	}
}
