// Package eject ejects model engines that fail or are slow, also because they report less
// load than they have, from the rotation of one entry VM. It decides by the results of
// requests, readmits a server after a cooldown with single probe requests, and never
// removes more than a given percentage of a model's servers. It sends no health checks.
package eject

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a server.
	maxConsecutiveFailures = 5
	// maxFailureFraction is the fraction of failed requests above which a server is
	// ejected.
	maxFailureFraction = 0.5
	// maxLatencyRatio is the geometric mean of actual over expected time to the first token
	// above which a server is ejected.
	maxLatencyRatio = 5
	// minSamples is the number of results before maxFailureFraction and maxLatencyRatio
	// apply.
	minSamples = 10
	// resultWeight is the weight of the newest result in the running means.
	resultWeight = 0.1
	// minEjectionTime is the duration of the first ejection. It doubles with each further
	// one up to maxEjectionTime.
	minEjectionTime = 5 * time.Second
	maxEjectionTime = 2 * time.Minute
	// expireAfter is the time without results after which a sweep drops a server.
	expireAfter = 10 * time.Minute
	// maxServersBeforeSweep is the number of servers from which on a new one triggers a
	// sweep.
	maxServersBeforeSweep = 1024
)

// Ejector tracks the health of servers. It is not safe for concurrent use.
type Ejector struct {
	servers map[string]*health
}

type health struct {
	incarnation         uint64
	samples             int
	consecutiveFailures int
	failureFraction     float64
	meanLogLatencyRatio float64
	// ejections is the number of ejections since the server was last healthy.
	ejections int
	// ejectedUntil is the end of the ejection time. It remains set until a probe succeeds
	// and is zero for a server in normal use.
	ejectedUntil time.Time
	// probing is true while a probe is in flight.
	probing    bool
	lastResult time.Time
}

// New returns an Ejector to which all servers are healthy.
func New() *Ejector { return &Ejector{servers: map[string]*health{}} }

// Result is the outcome of one request.
type Result struct {
	Server      string
	Incarnation uint64
	Failed      bool
	// LatencyRatio is the time to the first token divided by the time expected for the
	// load of the server, or 0 if it is unknown.
	LatencyRatio float64
}

// RecordResult updates the health of the server and reports whether it ejected the server.
// Results of replaced incarnations are ignored.
func (e *Ejector) RecordResult(r Result, now time.Time) bool {
	h := e.health(r.Server, r.Incarnation, now)
	if h == nil {
		return false
	}
	wasProbe := h.probing
	h.probing = false
	h.record(r)
	switch {
	case wasProbe && (r.Failed || r.LatencyRatio > maxLatencyRatio):
		h.eject(now)
		return true
	case wasProbe:
		*h = health{incarnation: r.Incarnation, lastResult: now}
	case h.ejectedUntil.IsZero() && h.isUnhealthy():
		h.eject(now)
		return true
	}
	return false
}

func (h *health) record(r Result) {
	h.samples++
	failed := 0.0
	h.consecutiveFailures++
	if r.Failed {
		failed = 1
	} else {
		h.consecutiveFailures = 0
	}
	weight := max(resultWeight, 1/float64(h.samples))
	h.failureFraction += (failed - h.failureFraction) * weight
	if r.LatencyRatio > 0 {
		// The mean of logarithms keeps a single stall from ejecting the server.
		h.meanLogLatencyRatio += (math.Log(r.LatencyRatio) - h.meanLogLatencyRatio) * weight
	}
}

func (h *health) isUnhealthy() bool {
	if h.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	return h.samples >= minSamples && (h.failureFraction > maxFailureFraction || h.meanLogLatencyRatio > math.Log(maxLatencyRatio))
}

func (h *health) eject(now time.Time) {
	h.ejections++
	ejectionTime := min(minEjectionTime<<min(h.ejections-1, 10), maxEjectionTime)
	h.ejectedUntil = now.Add(ejectionTime)
}

// health returns the health of a server. A new incarnation starts healthy; for a replaced
// one the result is nil.
func (e *Ejector) health(server string, incarnation uint64, now time.Time) *health {
	h, found := e.servers[server]
	if found && h.incarnation > incarnation {
		return nil
	}
	if !found || h.incarnation < incarnation {
		e.sweep(now)
		h = &health{incarnation: incarnation}
		e.servers[server] = h
	}
	h.lastResult = now
	return h
}

func (e *Ejector) sweep(now time.Time) {
	if len(e.servers) < maxServersBeforeSweep {
		return
	}
	for server, h := range e.servers {
		if now.Sub(h.lastResult) > expireAfter {
			delete(e.servers, server)
		}
	}
}

// RecordSend records that a request is sent to server. If the ejection time of the server
// is over, the request is a probe, and the server is unavailable until its result.
func (e *Ejector) RecordSend(server string, now time.Time) {
	if h, found := e.servers[server]; found && !h.ejectedUntil.IsZero() && !now.Before(h.ejectedUntil) {
		h.probing = true
	}
}

// unavailableUntil returns the time until which server gets no request, or the zero time
// if it is available. During a probe, whose end is unknown, it returns now.
func (e *Ejector) unavailableUntil(server string, now time.Time) time.Time {
	h, found := e.servers[server]
	switch {
	case !found || h.ejectedUntil.IsZero():
		return time.Time{}
	case now.Before(h.ejectedUntil):
		return h.ejectedUntil
	case h.probing:
		return now
	}
	return time.Time{}
}

// AppendAvailable appends to buffer the indexes of the available servers among count ones,
// in ascending order; id returns the ID of a server by index. At most maxPercent of the
// servers are left out, those with the latest end of ejection first.
func (e *Ejector) AppendAvailable(buffer []int, count int, id func(int) string, maxPercent float64, now time.Time) []int {
	first := len(buffer)
	var unavailable []ejectedServer
	for i := range count {
		if ejectedUntil := e.unavailableUntil(id(i), now); !ejectedUntil.IsZero() {
			unavailable = append(unavailable, ejectedServer{index: i, ejectedUntil: ejectedUntil})
			continue
		}
		buffer = append(buffer, i)
	}
	maxUnavailable := int(float64(count) * maxPercent / 100)
	if len(unavailable) <= maxUnavailable {
		return buffer
	}
	slices.SortFunc(unavailable, func(a, b ejectedServer) int { return b.ejectedUntil.Compare(a.ejectedUntil) })
	for _, readmitted := range unavailable[maxUnavailable:] {
		buffer = append(buffer, readmitted.index)
	}
	slices.Sort(buffer[first:])
	return buffer
}

type ejectedServer struct {
	index        int
	ejectedUntil time.Time
}
