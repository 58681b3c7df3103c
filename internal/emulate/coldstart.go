package emulate

import (
	"time"

	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
)

// ColdStart lets each Every-th server start at At, measured since the start of the run, as after the return of a zone. It
// is cold for Duration and then takes PerSecond requests a second within Bounds. An Every of 0 lets all servers run from
// the start.
type ColdStart struct {
	Every     int
	At        time.Duration
	Duration  time.Duration
	PerSecond float64
	Bounds    schedule.WarmUpBounds
}

func (c *ColdStart) includes(server int) bool { return c.Every > 0 && server%c.Every == 0 }

// table returns the route table of a fleet.
func (f *Fleet) table() *routes.Table {
	return &routes.Table{Services: []routes.Service{{Name: "model", Engine: &f.Engine, ColdPerSecond: f.Cold.PerSecond, ColdTime: f.Cold.Duration}}}
}

// startCold starts a server of Fleet.Cold when it is due.
func (e *emulation) startCold(s *server) {
	e.runAt(e.start.Add(e.fleet.Cold.At), func(now time.Time) {
		for _, d := range e.dispatchers {
			d.SetServer(now, schedule.Server{
				ID: s.id, Service: "model", Slots: e.fleet.Engine.Slots, AcceptsNew: true, StartedAt: now, ColdUntil: now.Add(e.fleet.Cold.Duration),
			})
		}
	})
}

// countCold counts a request that arrives at a server.
func (e *emulation) countCold(now time.Time, s *server) {
	cold := &e.fleet.Cold
	if started := e.start.Add(cold.At); !s.startsCold || now.Before(started) || !now.Before(started.Add(cold.Duration)) {
		return
	}
	e.result.ColdRequests++
	s.coldArrivals = append(s.coldArrivals, now)
	recent := 0
	for _, at := range s.coldArrivals {
		if now.Sub(at) <= time.Second {
			recent++
		}
	}
	e.result.MaxColdPerSecond = max(e.result.MaxColdPerSecond, recent)
}
