package gateway

import (
	"time"

	"godwityoke.example/godwityoke/internal/observe"
	"godwityoke.example/godwityoke/internal/schedule"
)

// Outcomes of requests in the metrics.
const (
	outcomeAnswered = "answered"
	outcomeBroken   = "broken"
	outcomeRefused  = "refused"
)

// timing tells where the time of a request went.
type timing struct {
	// waited is the time for a placement, all attempts together.
	waited time.Duration
	// first is the time from arrival to the first event, longest the longest
	// pause between two events.
	first   time.Duration
	longest time.Duration
	lastAt  time.Time
	// local counts placements that this VM made without the scheduler.
	local int
}

// event notes that an event was passed on.
func (t *timing) event(now, arrived time.Time) {
	if t.lastAt.IsZero() {
		t.first = now.Sub(arrived)
	} else {
		t.longest = max(t.longest, now.Sub(t.lastAt))
	}
	t.lastAt = now
}

func (x *exchange) logPlacement(placement schedule.Placement, waited time.Duration) {
	helpers := make([]string, 0, len(placement.Helpers))
	for _, helper := range placement.Helpers {
		helpers = append(helpers, helper.Server)
	}
	event := observe.RequestPlaced
	if x.sends > 1 {
		event = observe.RequestPlacedAgain
	}
	observe.Log(x.gateway.options.Logger, event).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", placement.Server).Strs("helpers", helpers).Bool("local", placement.Local).Int("send", x.sends).
		Int("prompt", x.request.PromptTokens).Dur("waited", waited).Uint64("table", x.table.Version).Send()
}

func (x *exchange) count(outcome string) {
	x.gateway.options.Metrics.CountOutcome(x.teamName(), x.class(), outcome)
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// class groups requests in the metrics by kind and aim: route names change.
func (x *exchange) class() string {
	return x.route.Kind.String() + "-" + x.route.TargetLatency.String()
}

func (x *exchange) log(cause string) {
	x.count(outcomeBroken)
	observe.Log(x.gateway.options.Logger, observe.RequestBroken).Str("request", x.request.ID).Str("route", x.route.Name).
		Int("sends", x.sends).Int("runs", x.runs).Int("events", x.events).Str("cause", cause).
		Dur("held", time.Since(x.request.ArrivedAt)).Send()
}

// late tells whether an answer is not what its route aims at.
func (x *exchange) late(success bool) bool {
	begun := x.timing.first
	if x.events == 0 {
		begun = time.Since(x.request.ArrivedAt)
	}
	return !success || x.sends > 1 || begun > x.route.TargetLatency || x.route.TargetGap > 0 && x.timing.longest > x.route.TargetGap
}

func (x *exchange) finish(attempt *Attempt, status int, success bool) {
	x.count(outcomeAnswered)
	if x.events > 0 {
		x.gateway.options.Metrics.Observe(observe.TimeToFirstToken, x.teamName(), x.class(), x.timing.first)
	}
	x.gateway.options.Metrics.Observe(observe.TimeInQueue, x.teamName(), x.class(), x.timing.waited)
	x.gateway.options.Metrics.Observe(observe.TimeWhole, x.teamName(), x.class(), time.Since(x.request.ArrivedAt))
	event := observe.RequestAnswered
	if x.late(success) {
		event = observe.RequestAnsweredLate
	}
	observe.Log(x.gateway.options.Logger, event).Str("request", x.request.ID).Str("route", x.route.Name).
		Str("server", attempt.Server.ID).Int("status", status).Bool("success", success).Int("sends", x.sends).
		Int("helpers", len(attempt.Helpers)).Int("prompt", x.request.PromptTokens).Int("events", x.events).
		Dur("aim", x.route.TargetLatency).Dur("pause_aim", x.route.TargetGap).Dur("waited", x.timing.waited).
		Dur("first", x.timing.first).Dur("longest", x.timing.longest).Int("local", x.timing.local).
		Dur("took", time.Since(x.request.ArrivedAt)).Send()
}
