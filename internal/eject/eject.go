// Package eject takes engines out of use that fail, are slow or report less
// load than they have. It judges them by what became of requests, lets them
// prove themselves again after a while, and never takes more than a stated
// share of a model's servers.
package eject

import (
	"math"
	"slices"
	"time"
)

const (
	// maxConsecutive failures eject a server at once.
	maxConsecutive = 5
	// maxFailureRatio is the share of failures that ejects a server.
	maxFailureRatio = 0.5
	// maxSlowness is the ratio of the time to the first token to the expected
	// one that ejects a server.
	maxSlowness = 5
	// minSamples are needed before a ratio counts.
	minSamples = 10
	// resultWeight is the weight of the newest result in the ratios.
	resultWeight = 0.1
	// firstEjection is the time for which a server is taken out first; it
	// doubles with each further one up to longestEjection.
	firstEjection   = 5 * time.Second
	longestEjection = 2 * time.Minute
	// forgetAfter is the time without results after which nothing is kept.
	forgetAfter = 10 * time.Minute
	// sweepSize is the number of servers above which old ones are forgotten.
	sweepSize = 1024
)

// Ejector keeps the health of servers. It is not safe for concurrent use.
type Ejector struct {
	servers map[string]*health
}

type health struct {
	incarnation uint64
	samples     int
	consecutive int
	failures    float64
	slowness    float64
	// ejections counts the ejections since the server was last healthy.
	ejections int
	until     time.Time
	probing   bool
	seen      time.Time
}

// New returns an Ejector that takes all servers for healthy.
func New() *Ejector { return &Ejector{servers: map[string]*health{}} }

// Result is what became of one request.
type Result struct {
	Server      string
	Incarnation uint64
	Failed      bool
	// LatencyRatio is the time to the first token over the time that the state of
	// the server let expect, 0 when unknown.
	LatencyRatio float64
}

// RecordResult takes a result into account and reports whether it ejected the
// server.
func (e *Ejector) RecordResult(r Result, now time.Time) bool {
	h := e.health(r.Server, r.Incarnation, now)
	if h == nil {
		return false
	}
	wasProbe := h.probing
	h.probing = false
	h.record(r)
	switch {
	case wasProbe && (r.Failed || r.LatencyRatio > maxSlowness):
		h.eject(now)
		return true
	case wasProbe:
		*h = health{incarnation: r.Incarnation, seen: now}
	case h.until.IsZero() && h.sick():
		h.eject(now)
		return true
	}
	return false
}

func (h *health) record(r Result) {
	h.samples++
	failed := 0.0
	h.consecutive++
	if r.Failed {
		failed = 1
	} else {
		h.consecutive = 0
	}
	weight := max(resultWeight, 1/float64(h.samples))
	h.failures += (failed - h.failures) * weight
	if r.LatencyRatio > 0 {
		// The logarithm keeps a single stall from deciding alone.
		h.slowness += (math.Log(r.LatencyRatio) - h.slowness) * weight
	}
}

func (h *health) sick() bool {
	if h.consecutive >= maxConsecutive {
		return true
	}
	return h.samples >= minSamples && (h.failures > maxFailureRatio || h.slowness > math.Log(maxSlowness))
}

func (h *health) eject(now time.Time) {
	h.ejections++
	span := min(firstEjection<<min(h.ejections-1, 10), longestEjection)
	h.until = now.Add(span)
}

// health returns the entry of an incarnation. A restarted server starts
// healthy; nil stands for an older incarnation.
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
	h.seen = now
	return h
}

func (e *Ejector) sweep(now time.Time) {
	if len(e.servers) < sweepSize {
		return
	}
	for server, h := range e.servers {
		if now.Sub(h.seen) > forgetAfter {
			delete(e.servers, server)
		}
	}
}

// RecordSend notes that a request is sent to server. After its time out of use a
// server gets one request at a time until one succeeds.
func (e *Ejector) RecordSend(server string, now time.Time) {
	if h, found := e.servers[server]; found && !h.until.IsZero() && !now.Before(h.until) {
		h.probing = true
	}
}

// out returns until when server gets no request, or zero.
func (e *Ejector) out(server string, now time.Time) time.Time {
	h, found := e.servers[server]
	switch {
	case !found || h.until.IsZero():
		return time.Time{}
	case now.Before(h.until):
		return h.until
	case h.probing:
		return now
	}
	return time.Time{}
}

// AppendAvailable returns the indexes of the servers that may get a request, appended to
// buffer. It leaves out at most maxPercent of them: those ejected longest.
func (e *Ejector) AppendAvailable(buffer []int, count int, id func(int) string, maxPercent float64, now time.Time) []int {
	first := len(buffer)
	var out []ejected
	for i := range count {
		if until := e.out(id(i), now); !until.IsZero() {
			out = append(out, ejected{index: i, until: until})
			continue
		}
		buffer = append(buffer, i)
	}
	allowed := int(float64(count) * maxPercent / 100)
	if len(out) <= allowed {
		return buffer
	}
	slices.SortFunc(out, func(a, b ejected) int { return b.until.Compare(a.until) })
	for _, back := range out[allowed:] {
		buffer = append(buffer, back.index)
	}
	slices.Sort(buffer[first:])
	return buffer
}

type ejected struct {
	index int
	until time.Time
}
