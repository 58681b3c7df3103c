package routes

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every error of Check.
var ErrInvalid = errors.New("invalid route table")

// Check validates a table. It returns one error that joins all problems, each with its place in the table; nil if there
// are none.
func Check(t *Table) error {
	var problems []error
	report := func(place, format string, arguments ...any) {
		problems = append(problems, fmt.Errorf("%w: %s: %s", ErrInvalid, place, fmt.Sprintf(format, arguments...)))
	}
	if t.Version == 0 {
		report("version", "must be positive")
	}
	services := map[string]bool{}
	for i := range t.Services {
		if name := t.Services[i].Name; name == "" {
			report(fmt.Sprintf("services[%d]", i), "has no name")
		} else if services[name] {
			report(fmt.Sprintf("services[%d]", i), "name %q is used twice", name)
		}
		services[t.Services[i].Name] = true
	}
	indexByPrefix := map[string]int{}
	for i := range t.Routes {
		route := &t.Routes[i]
		place := fmt.Sprintf("routes[%d]", i)
		key := strings.ToLower(route.Host) + "\x00" + route.Prefix
		if first, duplicate := indexByPrefix[key]; duplicate {
			report(place, "has the host and prefix of routes[%d]", first)
		}
		indexByPrefix[key] = i
		checkRoute(route, services, func(format string, arguments ...any) { report(place, format, arguments...) })
	}
	checkTeams(t.Teams, report)
	return errors.Join(problems...)
}

func checkRoute(route *Route, services map[string]bool, report func(string, ...any)) {
	if route.Kind < KindSafe || route.Kind > KindStream {
		report("its kind is unknown")
	}
	if route.Timeout <= 0 {
		report("its timeout is not positive")
	}
	total := uint64(0)
	for _, share := range route.Split {
		if !services[share.Service] {
			report("service %q does not exist", share.Service)
		}
		total += uint64(share.Weight)
	}
	if total == 0 {
		report("its weights add up to 0")
	}
}

func checkTeams(teams []Team, report func(place, format string, arguments ...any)) {
	owners := map[string]string{}
	for i := range teams {
		for _, key := range teams[i].Keys {
			if owner, known := owners[key]; known && owner != teams[i].Name {
				report(fmt.Sprintf("teams[%d]", i), "shares a key with team %q", owner)
			}
			owners[key] = teams[i].Name
		}
	}
}

// DropUnusable sets figures of the warm-up with which the scheduler cannot calculate to 0, as if they were absent, and returns
// an error for each of them. They must not be negative. A table with such figures is valid otherwise.
func (s *Service) DropUnusable() (dropped []error) {
	if s.ColdPerSecond < 0 {
		dropped = append(dropped, fmt.Errorf("%w: warm-up: %v requests per second", ErrInvalid, s.ColdPerSecond))
		s.ColdPerSecond = 0
	}
	if s.ColdTime < 0 {
		dropped = append(dropped, fmt.Errorf("%w: warm-up: duration %v", ErrInvalid, s.ColdTime))
		s.ColdTime = 0
	}
	return dropped
}
