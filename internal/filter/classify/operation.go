package classify

import (
	"slices"
	"strings"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/filter"
	"godwityoke.example/godwityoke/internal/request"
)

// setOperation sets the operation of the service that matches the method and the path
// of call.
func setOperation(call *filter.Call) error {
	services := call.Bundle.Bundle.Services
	index := slices.IndexFunc(services, func(s bundle.Service) bool { return s.Name == call.Service.Name })
	if index < 0 {
		return request.Errorf(request.CodeServiceNotFound, request.NotRun, "the service %q is not served", call.Service.Name)
	}
	if !slices.Contains(call.Team.Services, call.Service.Name) {
		return request.Errorf(request.CodeForbidden, request.NotRun, "the team %s may not use the service %q", call.Team.Name, call.Service.Name)
	}
	operations := services[index].Operations
	for i := range operations {
		if operations[i].Method == call.HTTP.Method && matchesPath(operations[i].Path, call.Path) {
			call.Service.Operation = &operations[i]
			return nil
		}
	}
	return request.Errorf(request.CodeServiceNotFound, request.NotRun, "the service %q has no operation %s %s",
		call.Service.Name, call.HTTP.Method, call.Path)
}

// matchesPath reports whether path matches pattern. A last segment "*" of the pattern
// matches one or more segments, but no path that contains a segment "..".
func matchesPath(pattern, path string) bool {
	prefix, wildcard := strings.CutSuffix(pattern, "*")
	if !wildcard {
		return pattern == path
	}
	if slices.Contains(strings.Split(path, "/"), "..") {
		return false
	}
	return strings.HasPrefix(path, prefix) && len(path) > len(prefix)
}
