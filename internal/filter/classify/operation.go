package classify

import (
	"slices"
	"strings"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// findOperation sets the operation that the method and path of call name.
func findOperation(call *filter.Call) error {
	services := call.Bundle.Bundle.Services
	at := slices.IndexFunc(services, func(s bundle.Service) bool { return s.Name == call.Service.Name })
	if at < 0 {
		return request.Errorf(request.CodeServiceNotFound, request.NotRun, "the service %q is not served", call.Service.Name)
	}
	if !slices.Contains(call.Team.Services, call.Service.Name) {
		return request.Errorf(request.CodeForbidden, request.NotRun, "the team %s may not use the service %q", call.Team.Name, call.Service.Name)
	}
	operations := services[at].Operations
	for i := range operations {
		if operations[i].Method == call.HTTP.Method && matches(operations[i].Path, call.Path) {
			call.Service.Operation = &operations[i]
			return nil
		}
	}
	return request.Errorf(request.CodeServiceNotFound, request.NotRun, "the service %q has no operation %s %s",
		call.Service.Name, call.HTTP.Method, call.Path)
}

// matches reports whether path is pattern, whose last segment "*" stands for
// one or more segments.
func matches(pattern, path string) bool {
	prefix, wildcard := strings.CutSuffix(pattern, "*")
	if !wildcard {
		return pattern == path
	}
	if slices.Contains(strings.Split(path, "/"), "..") {
		return false
	}
	return strings.HasPrefix(path, prefix) && len(path) > len(prefix)
}
