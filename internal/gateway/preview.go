package gateway

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/internal/routes"
	"godwityoke.example/godwityoke/internal/schedule"
	"godwityoke.example/godwityoke/internal/serverstate"
)

// PreviewRequest describes a request that is not sent.
type PreviewRequest struct {
	Method, Host, Path string
	// Team is the name of the team of the caller's API key, empty for none.
	Team                       string
	PromptTokens, AnswerTokens int
}

// PreviewOptions are what a preview uses of a VM. Only Zone is needed.
type PreviewOptions struct {
	Zone        string
	Incarnation uint64
	// ZoneRegions, Evacuations, Statements, ReadyServers and StopsIn are those of Options.
	ZoneRegions  map[string]string
	Evacuations  Evacuations
	Statements   *serverstate.Table
	ReadyServers func(service string) []roster.Server
	StopsIn      func() (left time.Duration, stopping bool)
}

// Check is one of the checks that a request passes before it is placed, in their order.
type Check struct {
	Name   string `json:"check"`
	Passed bool   `json:"passed"`
	Text   string `json:"text"`
}

// Preview is what is known of a request before it is placed.
type Preview struct {
	Checks []Check
	// Route is nil if none matches. Service is the one of its split with the largest weight.
	Route   *routes.Route
	Service string
	// Placement is the placement request, nil if the request does not pass all checks.
	Placement *schedule.PlacementRequest
	// Refused is the reason of a refusal by the checks, empty for none. RetryAfter is its retry delay, 0 for none.
	Refused    string
	RetryAfter time.Duration
}

// check adds a check to the preview and returns whether it has passed. The text of one that has not is the reason of the refusal.
func (p *Preview) check(name string, passed bool, format string, args ...any) bool {
	text := fmt.Sprintf(format, args...)
	p.Checks = append(p.Checks, Check{Name: name, Passed: passed, Text: text})
	if !passed {
		p.Refused = text
	}
	return passed
}

// NewPreview makes the checks and the placement request of a request that arrives now, as Serve does, without the quarantine,
// which needs the whole request. Nothing is sent, counted or logged.
func NewPreview(now time.Time, table *routes.Table, asked PreviewRequest, options PreviewOptions) *Preview {
	p := &Preview{}
	if !p.check("route table", table != nil, "%s", tableText(table)) {
		p.RetryAfter = minNotReadyRetryAfter
		return p
	}
	request := &Request{
		ID: "preview", Method: asked.Method, Host: asked.Host, Path: asked.Path, Target: asked.Path, ArrivedAt: now,
		PromptTokens: asked.PromptTokens, AnswerTokens: asked.AnswerTokens, Key: keyOf(table, asked.Team),
	}
	p.Route = table.Match(asked.Host, asked.Path)
	if p.Route == nil {
		p.check("route", false, "%v", errNoRoute)
		return p
	}
	p.check("route", true, "%s: host %s, prefix %s, kind %v", p.Route.Name, p.Route.Host, p.Route.Prefix, p.Route.Kind)
	route, team, err := lookUp(table, request)
	if !p.check("team", err == nil, "%s", teamText(table, route, asked.Team, err)) {
		return p
	}
	if options.StopsIn == nil {
		options.StopsIn = func() (time.Duration, bool) { return 0, false }
	}
	left, stopping := options.StopsIn()
	if !p.check("stop", !stopping || left > stopTime(route, route.Timeout, false), "%s", stopText(stopping, left)) {
		p.RetryAfter = StoppingRetryAfter
		return p
	}
	g := New(Options{
		Zone: options.Zone, ZoneRegions: options.ZoneRegions, Incarnation: options.Incarnation, Evacuations: options.Evacuations,
		Statements: options.Statements, ReadyServers: options.ReadyServers, StopsIn: options.StopsIn, Logger: zerolog.Nop(),
	})
	x := &exchange{gateway: g, request: request, table: table, route: route, team: team, deadline: now.Add(route.Timeout)}
	x.service = mainService(route)
	p.Service = x.service
	x.reach = x.reachOf()
	if !p.check("homes", !x.isHomeless(), "%s", x.homesText()) {
		p.RetryAfter = homelessRetryAfter
		return p
	}
	if _, all := x.evacuatedServers(); !p.check("evacuations", !all, "%s", x.evacuationsText(all)) {
		p.RetryAfter = overloadRetryAfter
		return p
	}
	first, blocked := x.allBlocked(now)
	if !p.check("statements of servers", !blocked, "%s", blockedText(x.service, first, blocked)) {
		p.RetryAfter = x.blockedRetryAfter(now, first)
		return p
	}
	placement := x.placementRequest(schedule.JobID{VM: options.Incarnation})
	p.Placement = &placement
	return p
}

func tableText(table *routes.Table) string {
	if table == nil {
		return "no route table is known"
	}
	return fmt.Sprintf("version %d", table.Version)
}

// keyOf returns an API key of the team with the given name, empty if there is none.
func keyOf(table *routes.Table, name string) string {
	for i := range table.Teams {
		if team := &table.Teams[i]; team.Name == name && len(team.Keys) > 0 {
			return team.Keys[0]
		}
	}
	return ""
}

func teamText(table *routes.Table, route *routes.Route, name string, err error) string {
	switch {
	case err != nil && name == "":
		return "the route needs an API key: name a team"
	case err != nil:
		return fmt.Sprintf("no team %q with an API key is known", name)
	case !table.NeedsKey(route) && name == "":
		return "the route needs no API key"
	case keyOf(table, name) == "":
		return fmt.Sprintf("the route needs no API key; no team %q with one is known, so no homes of a team apply", name)
	case !table.NeedsKey(route):
		return name + "; the route needs no API key"
	}
	return name
}

func stopText(stopping bool, left time.Duration) string {
	if stopping {
		return fmt.Sprintf("this VM stops in %v", left.Round(time.Millisecond))
	}
	return "this VM does not stop"
}

func (x *exchange) homesText() string {
	switch {
	case x.isHomeless():
		return homelessReason
	case x.reach.Limited:
		return fmt.Sprintf("the homes of route and team allow servers in the zones %q", x.reach.ServerZones)
	}
	return "servers in all zones are allowed"
}

func (x *exchange) evacuationsText(all bool) string {
	zones := x.gateway.options.Evacuations.EvacuatedZones()
	switch {
	case all:
		return x.evacuatedReason()
	case zones == 0:
		return "no zone is evacuated"
	}
	return fmt.Sprintf("evacuated zones: %d; not all servers that may get the request are there", zones)
}

func blockedText(service string, first serverstate.Block, blocked bool) string {
	if blocked {
		return fmt.Sprintf("all servers of %s want no requests from this VM, %s until %s", service, first.Server, first.Until.Format(time.RFC3339Nano))
	}
	return "a server takes requests from this VM"
}

// mainService returns the service of the split with the largest weight.
func mainService(route *routes.Route) (service string) {
	weight := uint32(0)
	for _, share := range route.Split {
		if share.Weight > weight {
			service, weight = share.Service, share.Weight
		}
	}
	return service
}
