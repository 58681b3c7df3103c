package soak

import (
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/platform/standin"
)

var begun = time.Unix(1000, 0)

// sound returns records of one request of each kind that went well, long after
// the last disturbance.
func sound() *Records {
	r := newRecorder().Records
	for id, stream := range map[string]bool{"plain": false, "stream": true} {
		q := &Request{Call: newCall(id, "/x/a", steadyKey, stream, 0), Unsafe: !stream, Team: steadyTeam, VM: "entry-1", StartedAt: begun, Done: true}
		q.Call.Timeout = callDeadline
		q.Reply = standin.Reply{
			SentAt: begun, Status: servedStatus, Seal: sealOf(id, "w"), AnsweredID: id, Complete: true, EndedAt: begun.Add(time.Second),
			Body: plainAnswer(id, q.Call.Body),
		}
		if stream {
			q.Reply.Body = streamAnswer(id)
		}
		r.Requests[id] = q
		r.Attempts[id] = []*Attempt{arrivalOf(q, begun)}
	}
	r.Changes = []*ConfigChange{{Version: 1, SentAt: begun, AckedAt: begun}, {Version: 2, SentAt: begun, AckedAt: begun.Add(time.Millisecond)}}
	r.Reads = []ConfigRead{{SentAt: begun.Add(time.Second), Version: 2}}
	return &r
}

func arrivalOf(q *Request, at time.Time) *Attempt {
	return &Attempt{
		ReceivedRequest: standin.ReceivedRequest{
			RequestID: q.Call.ID, Path: q.Call.Path, Body: q.Call.Body, Team: steadyTeam, Remaining: callDeadline, ReceivedAt: at,
		},
		Server: "w", Service: "s", EndedAt: at.Add(time.Second), Completed: true,
	}
}

func probeOf(r *Records, id string, generation uint64, status int, at time.Time) {
	q := &Request{Call: newCall(id, "/x/a", steadyKey, false, 0), Team: steadyTeam, VM: "entry-1", StartedAt: at, Done: true, ProbedVersion: generation}
	q.Call.Timeout = callDeadline
	q.Reply = standin.Reply{SentAt: at, Status: status, AnsweredID: id, Complete: true, EndedAt: at, Seal: sealOf(id, "w"), Body: plainAnswer(id, q.Call.Body)}
	if status != servedStatus {
		q.Reply.Seal = ""
	}
	r.Requests[id] = q
	r.Attempts[id] = []*Attempt{arrivalOf(q, at)}
}

// TestEachJudgeFindsWhatItIsFor breaks one promise at a time.
func TestEachJudgeFindsWhatItIsFor(t *testing.T) {
	now := begun.Add(time.Minute)
	require.Empty(t, judge(sound(), now))
	for name, c := range map[string]struct {
		rule  string
		spoil func(r *Records)
	}{
		"other body":         {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Body = "x" }},
		"other request":      {"MIXED", func(r *Records) { r.Requests["plain"].Reply.AnsweredID = "stream" }},
		"seal of nobody":     {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Seal = "x" }},
		"seal on a failure":  {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Status = 502 }},
		"short but complete": {"MIXED", func(r *Records) { r.Requests["stream"].Reply.Body = streamEvent("stream", 1) }},
		"event is missing": {"ORDER", func(r *Records) {
			r.Requests["stream"].Reply.Body, r.Requests["stream"].Reply.Complete = streamEvent("stream", 2), false
		}},
		"unknown request":   {"UNASKED", func(r *Records) { r.Attempts["made up"] = r.Attempts["plain"] }},
		"other path":        {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Path = "/y" }},
		"key passed on":     {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Key = steadyKey }},
		"other team":        {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Team = movingTeam }},
		"two runs":          {"TWICE", func(r *Records) { r.Attempts["plain"] = append(r.Attempts["plain"], r.Attempts["plain"][0]) }},
		"refused and ran":   {"REFUSED", func(r *Records) { r.Requests["plain"].Reply.Status, r.Requests["plain"].Reply.Seal = 503, "" }},
		"proper but denied": {"DENIED", func(r *Records) { r.Requests["plain"].Reply.Status, r.Requests["plain"].Reply.Seal = 404, "" }},
		"too much time":     {"BUDGET", func(r *Records) { r.Attempts["plain"][0].Remaining = time.Minute }},
		"too many repeats": {"BUDGET", func(r *Records) {
			for range 40 {
				r.Attempts["stream"] = append(r.Attempts["stream"], r.Attempts["stream"][0])
			}
		}},
		"never ends": {"HELD", func(r *Records) {
			r.Requests["plain"].Reply = standin.Reply{SentAt: begun, TimedOut: true, Err: io.EOF, EndedAt: begun.Add(callDeadline)}
		}},
		"cut without a cause": {"LOST", func(r *Records) {
			r.Requests["plain"].Reply = standin.Reply{SentAt: begun, Err: io.EOF, EndedAt: begun.Add(time.Second)}
		}},
		"worked on": {"GONE", func(r *Records) {
			r.Requests["stream"].Reply = standin.Reply{SentAt: begun, Disconnected: true, Err: io.EOF, EndedAt: begun.Add(100 * time.Millisecond)}
		}},
		"sent after the client left": {"GONE", func(r *Records) {
			r.Requests["stream"].Reply = standin.Reply{SentAt: begun, Disconnected: true, Err: io.EOF, EndedAt: begun.Add(-time.Second)}
		}},
		"older version is read": {"CONFIG", func(r *Records) {
			r.Reads = append(r.Reads, ConfigRead{SentAt: begun.Add(applied + time.Second), Version: 1})
		}},
		"change refused":       {"CONFIG", func(r *Records) { r.Changes[1].Refused = true }},
		"older route in force": {"CONFIG", func(r *Records) { probeOf(r, "probe", 1, servedStatus, begun.Add(10*time.Second)) }},
		"route is not there":   {"CONFIG", func(r *Records) { probeOf(r, "probe", 2, 404, begun.Add(10*time.Second)) }},
		"key is not there":     {"CONFIG", func(r *Records) { probeOf(r, "probe", 2, 401, begun.Add(10*time.Second)) }},
		"process went back": {"CONFIG", func(r *Records) {
			probeOf(r, "a", 2, servedStatus, begun.Add(time.Second))
			probeOf(r, "b", 1, servedStatus, begun.Add(2*time.Second))
		}},
		"sent to one that left":  {"DRAIN", func(r *Records) { r.DrainingSince["w"] = begun.Add(-drained - time.Second) }},
		"process ended":          {"EXIT", func(r *Records) { r.UnexpectedExits = append(r.UnexpectedExits, "entry-1") }},
		"memory kept":            {"LEAK", func(r *Records) { r.LoadEndedAt, r.ReservedTokens["w"] = begun.Add(time.Second), 16 }},
		"nothing served at last": {"RECOVER", func(r *Records) { r.LoadEndedAt = begun.Add(time.Second); r.Requests["plain"].Reply.Complete = false }},
		"change is lost":         {"LOST", func(r *Records) { r.LoadEndedAt, r.Reads[0].Version = begun.Add(time.Second), 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			r := sound()
			c.spoil(r)
			var rules []string
			for _, finding := range judge(r, now) {
				rules = append(rules, finding.Rule)
			}
			require.Contains(t, rules, c.rule)
		})
	}
}

// A fault suspends the bounds of time, planned work does not.
func TestFaultsSuspendBoundsOfTime(t *testing.T) {
	cut := func(span Disturbance) []Finding {
		r := sound()
		r.Requests["plain"].Reply = standin.Reply{SentAt: begun, Err: io.EOF, EndedAt: begun.Add(time.Second)}
		r.Disturbances = []Disturbance{span}
		return judge(r, begun.Add(time.Minute))
	}
	fault := Disturbance{From: begun.Add(-contact - time.Second), To: begun.Add(-contact / 2)}
	require.Empty(t, cut(fault))
	fault.To = begun.Add(-contact - time.Millisecond)
	require.Len(t, cut(fault), 1)
	require.Len(t, cut(Disturbance{From: begun, To: begun.Add(time.Second), Planned: true}), 1)
}

func TestPlansRepeatAndWipeOneDiskAtMost(t *testing.T) {
	s := shape{entries: 3, controls: 3, models: 4, desks: 2}
	kinds := map[Kind]bool{}
	for seed := range uint64(200) {
		steps := makePlan(seed, s)
		require.Equal(t, steps, makePlan(seed, s))
		wipes := 0
		for _, step := range steps {
			kinds[step.Kind] = true
			if step.Kind == KindWipe {
				wipes++
			}
			if !planned[step.Kind] {
				require.Less(t, step.At+step.Duration, loadTime-contact, "the end is calm: %s", step)
			}
		}
		require.LessOrEqual(t, wipes, 1)
	}
	require.Len(t, kinds, 17, "all kinds of steps occur")
}
