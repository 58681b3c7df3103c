// Package control is the side of a stand-in that experiments use: switching
// faults and reading counters.
package control

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/standin/fault"
)

// Paths on each stand-in.
const (
	// PathFaults lists the active faults by GET and switches one fault.Fault
	// by POST.
	PathFaults = "/standin/v1/faults"
	// PathCounters answers the counters by GET.
	PathCounters = "/standin/v1/counters"
	// PathRuns answers a RunList by GET; engines only.
	PathRuns = "/standin/v1/runs"
)

// FaultList is the answer on PathFaults.
type FaultList struct {
	Faults []fault.Fault `json:"faults"`
}

// RunList tells how often an engine began to run each answer.
type RunList struct {
	// Runs counts by answer.Generator.Seed.
	Runs map[uint64]int64 `json:"runs"`
}

// ErrorReply is the answer to a wrong request.
type ErrorReply struct {
	Error string `json:"error"`
}

// RegisterFaults adds PathFaults to router. Turn switches one fault on or off.
func RegisterFaults(router *echo.Echo, faults *fault.Set, turn func(fault.Fault) error) {
	router.GET(PathFaults, func(c echo.Context) error {
		return c.JSON(http.StatusOK, FaultList{Faults: faults.Active()})
	})
	router.POST(PathFaults, func(c echo.Context) error {
		var wanted fault.Fault
		if err := c.Bind(&wanted); err != nil {
			return c.JSON(http.StatusBadRequest, ErrorReply{Error: err.Error()})
		}
		if err := turn(wanted); err != nil {
			return c.JSON(http.StatusBadRequest, ErrorReply{Error: err.Error()})
		}
		return c.JSON(http.StatusOK, FaultList{Faults: faults.Active()})
	})
}
