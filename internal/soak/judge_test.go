package soak

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/platform/standin"
)

var baseTime = time.Unix(1000, 0)

// healthyRecords returns records without a violation: one plain request and one stream that were served, and no
// disturbance.
func healthyRecords() *Records {
	r := newRecorder().Records
	for id, stream := range map[string]bool{"plain": false, "stream": true} {
		q := &Request{Call: newCall(id, "/x/a", steadyKey, stream, 0), Unsafe: !stream, Team: steadyTeam, VM: "entry-1", StartedAt: baseTime, Done: true}
		q.Call.Timeout = callTimeout
		q.Reply = standin.Reply{
			SentAt: baseTime, Status: servedStatus, Seal: sealOf(id, "w"), AnsweredID: id, Complete: true, EndedAt: baseTime.Add(time.Second),
			Body: plainAnswer(id, q.Call.Body),
		}
		if stream {
			q.Reply.Body = streamAnswer(id)
		}
		r.Requests[id] = q
		r.Attempts[id] = []*Attempt{attemptOf(q, baseTime)}
	}
	r.Changes = []*ConfigChange{{Version: 1, SentAt: baseTime, AckedAt: baseTime}, {Version: 2, SentAt: baseTime, AckedAt: baseTime.Add(time.Millisecond)}}
	r.Reads = []ConfigRead{{SentAt: baseTime.Add(time.Second), Version: 2}}
	return &r
}

func attemptOf(q *Request, at time.Time) *Attempt {
	return &Attempt{
		ReceivedRequest: standin.ReceivedRequest{
			RequestID: q.Call.ID, Path: q.Call.Path, Body: q.Call.Body, Team: steadyTeam, Remaining: callTimeout, ReceivedAt: at,
		},
		Server: "w", Service: "s", EndedAt: at.Add(time.Second), Completed: true,
	}
}

// addProbe adds to r a probe of a version that was answered with status at a time.
func addProbe(r *Records, id string, version uint64, status int, at time.Time) {
	q := &Request{Call: newCall(id, "/x/a", steadyKey, false, 0), Team: steadyTeam, VM: "entry-1", StartedAt: at, Done: true, ProbedVersion: version}
	q.Call.Timeout = callTimeout
	q.Reply = standin.Reply{SentAt: at, Status: status, AnsweredID: id, Complete: true, EndedAt: at, Seal: sealOf(id, "w"), Body: plainAnswer(id, q.Call.Body)}
	if status != servedStatus {
		q.Reply.Seal = ""
	}
	r.Requests[id] = q
	r.Attempts[id] = []*Attempt{attemptOf(q, at)}
}

// Each case violates one promise in otherwise healthy records, and the judge must report its rule.
func TestJudgeReportsEachViolatedPromise(t *testing.T) {
	now := baseTime.Add(time.Minute)
	require.Empty(t, judge(healthyRecords(), now))
	for name, c := range map[string]struct {
		rule         string
		breakPromise func(r *Records)
	}{
		"other body":         {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Body = "x" }},
		"other request":      {"MIXED", func(r *Records) { r.Requests["plain"].Reply.AnsweredID = "stream" }},
		"seal of no worker":  {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Seal = "x" }},
		"seal on a failure":  {"MIXED", func(r *Records) { r.Requests["plain"].Reply.Status = 502 }},
		"short but complete": {"MIXED", func(r *Records) { r.Requests["stream"].Reply.Body = streamEvent("stream", 1) }},
		"event is missing": {"ORDER", func(r *Records) {
			r.Requests["stream"].Reply.Body, r.Requests["stream"].Reply.Complete = streamEvent("stream", 2), false
		}},
		"unknown request":  {"UNASKED", func(r *Records) { r.Attempts["made up"] = r.Attempts["plain"] }},
		"other path":       {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Path = "/y" }},
		"key forwarded":    {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Key = steadyKey }},
		"other team":       {"UNASKED", func(r *Records) { r.Attempts["plain"][0].Team = movingTeam }},
		"two runs":         {"TWICE", func(r *Records) { r.Attempts["plain"] = append(r.Attempts["plain"], r.Attempts["plain"][0]) }},
		"refused and ran":  {"REFUSED", func(r *Records) { r.Requests["plain"].Reply.Status, r.Requests["plain"].Reply.Seal = 503, "" }},
		"valid but denied": {"DENIED", func(r *Records) { r.Requests["plain"].Reply.Status, r.Requests["plain"].Reply.Seal = 404, "" }},
		"too much time":    {"BUDGET", func(r *Records) { r.Attempts["plain"][0].Remaining = time.Minute }},
		"too many retries": {"BUDGET", func(r *Records) {
			for range 40 {
				r.Attempts["stream"] = append(r.Attempts["stream"], r.Attempts["stream"][0])
			}
		}},
		"no answer in time": {"HELD", func(r *Records) {
			r.Requests["plain"].Reply = standin.Reply{SentAt: baseTime, TimedOut: true, Err: io.EOF, EndedAt: baseTime.Add(callTimeout)}
		}},
		"cut without a cause": {"LOST", func(r *Records) {
			r.Requests["plain"].Reply = standin.Reply{SentAt: baseTime, Err: io.EOF, EndedAt: baseTime.Add(time.Second)}
		}},
		"run not cancelled": {"GONE", func(r *Records) {
			r.Requests["stream"].Reply = standin.Reply{SentAt: baseTime, Disconnected: true, Err: io.EOF, EndedAt: baseTime.Add(100 * time.Millisecond)}
		}},
		"sent after the client disconnected": {"GONE", func(r *Records) {
			r.Requests["stream"].Reply = standin.Reply{SentAt: baseTime, Disconnected: true, Err: io.EOF, EndedAt: baseTime.Add(-time.Second)}
		}},
		"older version is read": {"CONFIG", func(r *Records) {
			r.Reads = append(r.Reads, ConfigRead{SentAt: baseTime.Add(maxApplyTime + time.Second), Version: 1})
		}},
		"change refused":       {"CONFIG", func(r *Records) { r.Changes[1].Refused = true }},
		"older route in force": {"CONFIG", func(r *Records) { addProbe(r, "probe", 1, servedStatus, baseTime.Add(10*time.Second)) }},
		"route is not there":   {"CONFIG", func(r *Records) { addProbe(r, "probe", 2, 404, baseTime.Add(10*time.Second)) }},
		"key is not there":     {"CONFIG", func(r *Records) { addProbe(r, "probe", 2, 401, baseTime.Add(10*time.Second)) }},
		"process applies an older version again": {"CONFIG", func(r *Records) {
			addProbe(r, "a", 2, servedStatus, baseTime.Add(time.Second))
			addProbe(r, "b", 1, servedStatus, baseTime.Add(2*time.Second))
		}},
		"sent to a drained worker": {"DRAIN", func(r *Records) { r.DrainingSince["w"] = baseTime.Add(-maxDrainDelay - time.Second) }},
		"sent to a worker that had stated draining": {"DRAIN", func(r *Records) {
			r.Attempts["plain"][0].Leaving = true
			addProbe(r, "later", 2, servedStatus, r.Requests["plain"].Reply.EndedAt.Add(maxDrainDelay+time.Millisecond))
			r.Disturbances = []Disturbance{{From: baseTime, To: now, Node: "entry-1"}}
		}},
		"sent in a backoff": {"BUDGET", func(r *Records) {
			r.Attempts["plain"][0].Backoff = 2 * time.Second
			for _, id := range []string{"a", "b", "c"} {
				addProbe(r, id, 2, servedStatus, baseTime.Add(minBackoffDelay+time.Millisecond))
			}
		}},
		"process ended":       {"EXIT", func(r *Records) { r.UnexpectedExits = append(r.UnexpectedExits, "entry-1") }},
		"memory not released": {"LEAK", func(r *Records) { r.LoadEndedAt, r.ReservedTokens["w"] = baseTime.Add(time.Second), 16 }},
		"nothing served at the end": {"RECOVER", func(r *Records) {
			r.LoadEndedAt = baseTime.Add(time.Second)
			r.Requests["plain"].Reply.Complete = false
		}},
		"change is lost": {"LOST", func(r *Records) { r.LoadEndedAt, r.Reads[0].Version = baseTime.Add(time.Second), 1 }},
	} {
		t.Run(name, func(t *testing.T) {
			r := healthyRecords()
			c.breakPromise(r)
			var rules []string
			for _, finding := range judge(r, now) {
				rules = append(rules, finding.Rule)
			}
			require.Contains(t, rules, c.rule)
		})
	}
}

// Time bounds are not checked during a fault and until recoveryTime after it. Planned work suspends no bound.
func TestFaultsSuspendBoundsOfTime(t *testing.T) {
	cut := func(span Disturbance) []Finding {
		r := healthyRecords()
		r.Requests["plain"].Reply = standin.Reply{SentAt: baseTime, Err: io.EOF, EndedAt: baseTime.Add(time.Second)}
		r.Disturbances = []Disturbance{span}
		return judge(r, baseTime.Add(time.Minute))
	}
	fault := Disturbance{From: baseTime.Add(-recoveryTime - time.Second), To: baseTime.Add(-recoveryTime / 2)}
	require.Empty(t, cut(fault))
	fault.To = baseTime.Add(-recoveryTime - time.Millisecond)
	require.Len(t, cut(fault), 1)
	require.Len(t, cut(Disturbance{From: baseTime, To: baseTime.Add(time.Second), Planned: true}), 1)
}

// The same seed must give the same plan. A plan wipes at most one disk, which is all that the control group is expected
// to survive, and its faults end early enough for the time bounds to hold again before the load ends.
func TestPlansAreReproducibleAndWipeAtMostOneDisk(t *testing.T) {
	s := topology{entries: 3, controls: 3, models: 4, desks: 2}
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
			if !plannedKinds[step.Kind] {
				require.Less(t, step.At+step.Duration, loadTime-recoveryTime, "the end of the load is free of faults: %s", step)
			}
		}
		require.LessOrEqual(t, wipes, 1)
	}
	require.Len(t, kinds, 17, "all kinds of steps occur")
}

// A cut leaves at least one entry VM its workers, and ends early enough for callers to be served at the end.
func TestServerCutsSpareAnEntryVM(t *testing.T) {
	for _, s := range []topology{{entries: 3, controls: 3}, {entries: 5, controls: 3}, {entries: 2, controls: 1}} {
		variants, sizes := map[int]bool{}, map[int]bool{}
		for seed := range uint64(100) {
			steps := addServerCuts(nil, seed, s)
			require.Equal(t, steps, addServerCuts(nil, seed, s))
			require.Len(t, steps, 2)
			for _, step := range steps {
				require.NotEmpty(t, step.Targets)
				require.Less(t, len(step.Targets), s.entries)
				require.Less(t, step.At+step.Duration, loadTime-recoveryTime)
				variants[step.Variant], sizes[len(step.Targets)] = true, true
			}
		}
		require.Len(t, variants, cutVariants)
		require.True(t, sizes[1] && sizes[s.entries-1])
	}
}

// addTries adds first tries of safe requests at a VM, of which some were served.
func addTries(r *Records, vm string, at time.Time, served, total int) {
	for i := range total {
		id := fmt.Sprintf("%s-%d", vm, len(r.Requests))
		q := &Request{Call: newCall(id, "/x/a", steadyKey, false, 0), Team: steadyTeam, VM: vm, StartedAt: at, Done: true}
		q.Reply = standin.Reply{SentAt: at, Status: refusedStatus, RetryAfter: "1", Complete: true, EndedAt: at.Add(time.Second)}
		if i < served {
			q.Reply.Status, q.Reply.Seal, q.Reply.AnsweredID, q.Reply.Body = servedStatus, sealOf(id, "w"), id, plainAnswer(id, q.Call.Body)
			r.Attempts[id] = []*Attempt{attemptOf(q, at)}
		}
		r.Requests[id] = q
	}
}

func TestServerCutIsJudgedByFirstTriesAtBothKindsOfEntryVMs(t *testing.T) {
	const length = 7 * time.Second
	from, late := baseTime.Add(time.Minute), baseTime.Add(time.Minute+contactTime)
	now := from.Add(time.Hour)
	for name, c := range map[string]struct {
		// Numbers of first tries at the VM that is cut off, entry-2, and at entry-3.
		cutServed, cutTotal, otherServed, otherTotal int
		at                                           time.Time
		change                                       func(r *Records)
		broken                                       bool
	}{
		"nobody is served there":                     {0, 40, 40, 40, late, nil, true},
		"all are served there":                       {40, 40, 40, 40, late, nil, false},
		"two thirds are served there":                {40, 60, 60, 60, late, nil, false},
		"less than two thirds are served there":      {39, 60, 60, 60, late, nil, true},
		"two thirds of the share of the others":      {20, 60, 30, 60, late, nil, false},
		"less than two thirds of the others' share":  {19, 60, 30, 60, late, nil, true},
		"10 and 1 in 50 of all fail there":           {0, 12, 88, 88, late, nil, false},
		"more than 10 and 1 in 50 of all fail there": {0, 13, 87, 87, late, nil, true},
		"10 of few fail there":                       {0, 10, 10, 10, late, nil, false},
		"11 of few fail there":                       {0, 11, 11, 11, late, nil, true},
		"11 of 50 fail there":                        {0, 11, 39, 39, late, nil, false},
		"11 of 49 fail there":                        {0, 11, 38, 38, late, nil, true},
		"nobody is served anywhere":                  {0, 40, 0, 40, late, nil, false},
		"no tries at the others":                     {0, 40, 0, 0, late, nil, false},
		"before the cut":                             {0, 40, 40, 40, from.Add(-time.Nanosecond), nil, false},
		"before the time of contact has passed":      {0, 40, 40, 40, late.Add(-time.Nanosecond), nil, false},
		"at the last moment of the cut":              {0, 40, 40, 40, from.Add(length - time.Nanosecond), nil, true},
		"after the cut":                              {0, 40, 40, 40, from.Add(length), nil, false},
		"connections are refused there": {0, 0, 40, 40, late, func(r *Records) {
			for range 12 {
				r.FailedConnects = append(r.FailedConnects, FailedConnect{At: late, VM: "entry-2"})
			}
		}, true},
		"connections are refused at the others": {20, 40, 30, 30, late, func(r *Records) {
			for range 10 {
				r.FailedConnects = append(r.FailedConnects, FailedConnect{At: late, VM: "entry-3"})
			}
		}, false},
		"another fault of the VM": {0, 40, 40, 40, late, func(r *Records) {
			r.Disturbances = []Disturbance{{From: from, To: late, Node: "entry-2"}}
		}, false},
		"planned work at the VM": {0, 40, 40, 40, late, func(r *Records) {
			r.Disturbances = []Disturbance{{From: from, To: late, Node: "entry-2", Planned: true}}
		}, true},
		"a fault of a worker": {0, 40, 40, 40, late, func(r *Records) {
			r.Disturbances = []Disturbance{{From: from, To: late, Node: "worker-1"}}
		}, true},
		"probes of a version": {0, 40, 40, 40, late, func(r *Records) {
			for _, q := range r.Requests {
				q.ProbedVersion = 1
			}
		}, false},
		"answers are cut short": {40, 40, 40, 40, late, func(r *Records) {
			for _, q := range r.Requests {
				q.Reply.Complete = q.VM != "entry-2"
			}
		}, true},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder().Records
			r.ServerCuts = []*ServerCut{{From: from, To: from.Add(length), VMs: []string{"entry-2"}}}
			addTries(&r, "entry-2", c.at, c.cutServed, c.cutTotal)
			addTries(&r, "entry-3", c.at, c.otherServed, c.otherTotal)
			if c.change != nil {
				c.change(&r)
			}
			broken := slices.ContainsFunc(judge(&r, now), func(f Finding) bool { return f.Rule == "RECOVER" })
			require.Equal(t, c.broken, broken, "%s", describeServerCuts(&r, now))
		})
	}
}

// The outcome of a request is known once its client's timeout has passed, and after the load.
func TestServerCutIsJudgedOnTriesWithKnownOutcome(t *testing.T) {
	late := baseTime.Add(contactTime)
	r := newRecorder().Records
	r.ServerCuts = []*ServerCut{{From: baseTime, To: baseTime.Add(time.Hour), VMs: []string{"entry-2"}}}
	addTries(&r, "entry-2", late, 0, 40)
	addTries(&r, "entry-3", late, 40, 40)
	require.Empty(t, judge(&r, late.Add(callTimeout)))
	require.Len(t, judge(&r, late.Add(callTimeout+time.Nanosecond)), 1)
}

// A cut suspends no bound except for what it breaks off at its beginning and, if bytes are held back, cancellations.
func TestServerCutSuspendsBoundsOnlyForItsOwnEffects(t *testing.T) {
	now := baseTime.Add(time.Minute)
	ended := standin.Reply{SentAt: baseTime, Err: io.EOF, EndedAt: baseTime.Add(time.Second)}
	timedOut := standin.Reply{SentAt: baseTime, TimedOut: true, Err: io.EOF, EndedAt: baseTime.Add(callTimeout)}
	left := standin.Reply{SentAt: baseTime, Disconnected: true, Err: io.EOF, EndedAt: baseTime.Add(100 * time.Millisecond)}
	for name, c := range map[string]struct {
		id    string
		reply standin.Reply
		cut   ServerCut
		rules []string
	}{
		"no end in time":                  {"plain", timedOut, ServerCut{From: baseTime, VMs: []string{"entry-1"}, Held: true}, []string{"HELD"}},
		"broken off by the cut":           {"plain", ended, ServerCut{From: baseTime, VMs: []string{"entry-1"}}, nil},
		"broken off later":                {"plain", ended, ServerCut{From: baseTime.Add(-contactTime), VMs: []string{"entry-1"}}, []string{"LOST"}},
		"broken off at another VM":        {"plain", ended, ServerCut{From: baseTime, VMs: []string{"entry-2"}}, []string{"LOST"}},
		"cancellation is held back":       {"stream", left, ServerCut{From: baseTime, VMs: []string{"entry-1"}, Held: true}, nil},
		"cancellation is not held back":   {"stream", left, ServerCut{From: baseTime, VMs: []string{"entry-1"}}, []string{"GONE"}},
		"cancellation through another VM": {"stream", left, ServerCut{From: baseTime, VMs: []string{"entry-2"}, Held: true}, []string{"GONE"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := healthyRecords()
			r.Requests[c.id].Reply = c.reply
			r.Attempts["stream"][0].SenderVM = "entry-1"
			c.cut.To = now
			r.ServerCuts = []*ServerCut{&c.cut}
			var rules []string
			for _, finding := range judge(r, now) {
				rules = append(rules, finding.Rule)
			}
			require.Equal(t, c.rules, rules)
		})
	}
}
