// Package control defines the HTTP control interface of the stand-ins, with which experiments
// switch faults and read counters. It is not part of the backend protocol.
package control

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"godwityoke.example/godwityoke/internal/standin/fault"
)

// Paths of the control interface.
const (
	// PathFaults returns a FaultList on GET, and activates or clears one fault.Fault on POST.
	PathFaults = "/standin/v1/faults"
	// PathCounters returns the counters of the stand-in on GET.
	PathCounters = "/standin/v1/counters"
	// PathRuns returns a RunList on GET. Only engines have it.
	PathRuns = "/standin/v1/runs"
)

// FaultList is the response of PathFaults: the active faults.
type FaultList struct {
	Faults []fault.Fault `json:"faults"`
}

// RunList holds the number of attempts that an engine started to run for each answer.
type RunList struct {
	// Runs holds the numbers by answer.Generator.Seed.
	Runs map[uint64]int64 `json:"runs"`
}

// ErrorReply is the body of an error response of a stand-in.
type ErrorReply struct {
	Error string `json:"error"`
}

// RegisterFaults adds PathFaults to router. setFault activates or clears one fault. If it fails, the
// response has status 400 and the error.
func RegisterFaults(router *echo.Echo, faults *fault.Set, setFault func(fault.Fault) error) {
	router.GET(PathFaults, func(c echo.Context) error {
		return c.JSON(http.StatusOK, FaultList{Faults: faults.Active()})
	})
	router.POST(PathFaults, func(c echo.Context) error {
		var injected fault.Fault
		if err := c.Bind(&injected); err != nil {
			return c.JSON(http.StatusBadRequest, ErrorReply{Error: err.Error()})
		}
		if err := setFault(injected); err != nil {
			return c.JSON(http.StatusBadRequest, ErrorReply{Error: err.Error()})
		}
		return c.JSON(http.StatusOK, FaultList{Faults: faults.Active()})
	})
}
