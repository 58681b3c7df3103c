package eject

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"godwityoke.example/godwityoke/internal/bundle"
)

var start = time.Unix(1_000_000, 0)

func name(i int) string { return fmt.Sprintf("e%d", i) }

func kept(e *Ejector, count int, percent float64, now time.Time) []int {
	return e.AppendAvailable(nil, count, name, percent, now)
}

func observe(e *Ejector, server string, times int, r Result, now time.Time) {
	r.Server, r.Incarnation = server, 1
	for range times {
		e.RecordResult(r, now)
	}
}

func TestUnhealthyServersAreEjected(t *testing.T) {
	cases := map[string]struct {
		results func(e *Ejector)
		ejected bool
	}{
		"failures in a row":                  {func(e *Ejector) { observe(e, "e0", 5, Result{Failed: true}, start) }, true},
		"four failures in a row":             {func(e *Ejector) { observe(e, "e0", 4, Result{Failed: true}, start) }, false},
		"slow, or reporting too little load": {func(e *Ejector) { observe(e, "e0", 10, Result{LatencyRatio: 8}, start) }, true},
		"as fast as expected":                {func(e *Ejector) { observe(e, "e0", 100, Result{LatencyRatio: 1.5}, start) }, false},
		"a single stall": {func(e *Ejector) {
			observe(e, "e0", 50, Result{LatencyRatio: 1}, start)
			observe(e, "e0", 1, Result{LatencyRatio: 1000}, start)
		}, false},
		"most requests fail": {func(e *Ejector) {
			for range 30 {
				observe(e, "e0", 3, Result{Failed: true}, start)
				observe(e, "e0", 1, Result{}, start)
			}
		}, true},
	}
	for title, c := range cases {
		t.Run(title, func(t *testing.T) {
			e := New()
			c.results(e)
			if c.ejected {
				assert.Equal(t, []int{1, 2, 3}, kept(e, 4, 50, start))
			} else {
				assert.Equal(t, []int{0, 1, 2, 3}, kept(e, 4, 50, start))
			}
		})
	}
}

// After its ejection time a server must get one probe at a time. A failed probe must
// double the ejection time, a successful one must clear all recorded failures.
func TestEjectedServerIsReadmittedByProbe(t *testing.T) {
	e := New()
	observe(e, "e0", 5, Result{Failed: true}, start)
	now := start.Add(minEjectionTime)
	assert.Equal(t, []int{0, 1}, kept(e, 2, 50, now))
	e.RecordSend("e0", now)
	assert.Equal(t, []int{1}, kept(e, 2, 50, now), "one probe at a time")
	observe(e, "e0", 1, Result{Failed: true}, now)
	assert.Equal(t, []int{1}, kept(e, 2, 50, now.Add(2*minEjectionTime-1)), "a failed probe doubles the time")
	now = now.Add(2 * minEjectionTime)
	e.RecordSend("e0", now)
	observe(e, "e0", 1, Result{LatencyRatio: 1}, now)
	assert.Equal(t, []int{0, 1}, kept(e, 2, 50, now))
	observe(e, "e0", 4, Result{Failed: true}, now)
	assert.Equal(t, []int{0, 1}, kept(e, 2, 50, now), "failures before the probe no longer count")
}

func TestEjectedServersAreLimitedToMaxPercent(t *testing.T) {
	e := New()
	for i := range 10 {
		observe(e, name(i), 5, Result{Failed: true}, start.Add(time.Duration(i)*time.Millisecond))
	}
	assert.Equal(t, []int{0, 1, 2, 3, 4, 5, 6}, kept(e, 10, 30, start.Add(time.Second)))
	assert.Len(t, kept(e, 10, 0, start.Add(time.Second)), 10)
	assert.Equal(t, []int{0}, kept(e, 1, 50, start.Add(time.Second)), "the only server remains available")
}

// In a zone of five engines, two may fail every call. The default maximum must allow the
// ejection of both: an engine that remains available keeps failing calls, and each of them
// costs a retry.
func TestDefaultMaxPercentEjectsTwoOfFive(t *testing.T) {
	e := New()
	observe(e, "e0", 5, Result{Failed: true}, start)
	observe(e, "e1", 5, Result{Failed: true}, start)
	assert.Equal(t, []int{2, 3, 4}, kept(e, 5, bundle.Defaults().Limits.MaxEjectedPercent, start.Add(time.Second)))
}

func TestRestartedServerStartsHealthy(t *testing.T) {
	e := New()
	observe(e, "e0", 5, Result{Failed: true}, start)
	e.RecordResult(Result{Server: "e0", Incarnation: 2}, start)
	assert.Equal(t, []int{0, 1}, kept(e, 2, 50, start))
	for range 5 {
		e.RecordResult(Result{Server: "e0", Incarnation: 1, Failed: true}, start)
	}
	assert.Equal(t, []int{0, 1}, kept(e, 2, 50, start), "late failures of the replaced incarnation do not count")
}
