package routes

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every mistake that Check finds.
var ErrInvalid = errors.New("invalid route table")

// Check returns all mistakes of a table together, nil when there are none.
func Check(t *Table) error {
	var mistakes []error
	found := func(place, format string, arguments ...any) {
		mistakes = append(mistakes, fmt.Errorf("%w: %s: %s", ErrInvalid, place, fmt.Sprintf(format, arguments...)))
	}
	if t.Version == 0 {
		found("version", "must be positive")
	}
	services := map[string]bool{}
	for i := range t.Services {
		if name := t.Services[i].Name; name == "" {
			found(fmt.Sprintf("services[%d]", i), "has no name")
		} else if services[name] {
			found(fmt.Sprintf("services[%d]", i), "name %q is used twice", name)
		}
		services[t.Services[i].Name] = true
	}
	prefixes := map[string]int{}
	for i := range t.Routes {
		route := &t.Routes[i]
		place := fmt.Sprintf("routes[%d]", i)
		key := strings.ToLower(route.Host) + "\x00" + route.Prefix
		if first, taken := prefixes[key]; taken {
			found(place, "has the host and prefix of routes[%d]", first)
		}
		prefixes[key] = i
		checkRoute(route, services, func(format string, arguments ...any) { found(place, format, arguments...) })
	}
	checkTeams(t.Teams, found)
	return errors.Join(mistakes...)
}

func checkRoute(route *Route, services map[string]bool, found func(string, ...any)) {
	if route.Kind < KindSafe || route.Kind > KindStream {
		found("its kind is unknown")
	}
	if route.Timeout <= 0 {
		found("its timeout is not positive")
	}
	total := uint64(0)
	for _, share := range route.Split {
		if !services[share.Service] {
			found("service %q does not exist", share.Service)
		}
		total += uint64(share.Weight)
	}
	if total == 0 {
		found("its weights add up to 0")
	}
}

func checkTeams(teams []Team, found func(place, format string, arguments ...any)) {
	holders := map[string]string{}
	for i := range teams {
		for _, key := range teams[i].Keys {
			if holder, taken := holders[key]; taken && holder != teams[i].Name {
				found(fmt.Sprintf("teams[%d]", i), "shares a key with team %q", holder)
			}
			holders[key] = teams[i].Name
		}
	}
}
