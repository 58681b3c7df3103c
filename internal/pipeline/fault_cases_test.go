package pipeline_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"godwityoke.example/godwityoke/internal/request"
)

// faultCase is a fault at a step of an attempt.
type faultCase struct {
	fault fault
	step  faultStep
}

func (c faultCase) name() string { return string(c.fault) + "/" + string(c.step) }

// faultOutcome is a fault with the outcome that the request must have.
type faultOutcome struct {
	faultCase
	outcome request.Outcome
}

// engineFaults returns the faults of one of two engines. Each request
// completes.
func engineFaults() []faultCase {
	return []faultCase{
		{faultDies, stepDial}, {faultHangs, stepDial}, {faultSilent, stepDial}, {faultLate, stepDial}, {faultRefuses, stepDial},
		{faultDies, stepSend}, {faultHangs, stepSend}, {faultSilent, stepSend}, {faultCut, stepSend},
		{faultDies, stepWait}, {faultHangs, stepWait}, {faultSilent, stepWait}, {faultLate, stepWait},
		{faultCrossed, stepWait}, {faultCut, stepWait}, {faultRefuses, stepWait},
		{faultDies, stepStream}, {faultHangs, stepStream}, {faultSilent, stepStream}, {faultLate, stepStream},
		{faultCrossed, stepStream}, {faultCut, stepStream}, {faultTwice, stepStream},
		{faultLoses, stepStream}, {faultLoses, stepVerify},
		{faultCrossed, stepVerify}, {faultCut, stepVerify}, {faultTwice, stepVerify},
	}
}

// allEngineFaults returns the faults that all engines have at the same time.
func allEngineFaults() []faultOutcome {
	return []faultOutcome{
		{faultCase{faultRefuses, stepDial}, request.NotRun},
		{faultCase{faultHangs, stepDial}, request.NotRun},
		{faultCase{faultDies, stepSend}, request.Failed},
		{faultCase{faultHangs, stepSend}, request.Failed},
		{faultCase{faultRefuses, stepWait}, request.NotRun},
		{faultCase{faultCrossed, stepWait}, request.Failed},
		{faultCase{faultHangs, stepWait}, request.Failed},
		{faultCase{faultSilent, stepWait}, request.Failed},
		{faultCase{faultCut, stepVerify}, request.Failed},
		{faultCase{faultCrossed, stepVerify}, request.Failed},
		{faultCase{faultLoses, stepVerify}, request.Failed},
	}
}

// serviceFaults returns the faults of one of two services, each with the
// outcome of the booking that is sent to the faulty service. A check, which is
// idempotent, completes in all of them.
func serviceFaults() []faultOutcome {
	return []faultOutcome{
		{faultCase{faultRefuses, stepDial}, request.Completed},
		{faultCase{faultHangs, stepDial}, request.Completed},
		{faultCase{faultLate, stepDial}, request.Completed},
		{faultCase{faultDies, stepSend}, request.Unknown},
		{faultCase{faultHangs, stepSend}, request.Unknown},
		{faultCase{faultCut, stepSend}, request.Unknown},
		{faultCase{faultDies, stepWait}, request.Unknown},
		{faultCase{faultHangs, stepWait}, request.Unknown},
		{faultCase{faultSilent, stepWait}, request.Unknown},
		{faultCase{faultLate, stepWait}, request.Completed},
		{faultCase{faultCrossed, stepWait}, request.Unknown},
		{faultCase{faultCut, stepWait}, request.Unknown},
		{faultCase{faultRefuses, stepWait}, request.Completed},
		{faultCase{faultDies, stepStream}, request.Unknown},
		{faultCase{faultHangs, stepStream}, request.Unknown},
		{faultCase{faultSilent, stepSend}, request.Unknown},
		{faultCase{faultCut, stepVerify}, request.Unknown},
		{faultCase{faultTwice, stepVerify}, request.Unknown},
	}
}

// faultPairs returns pairs of faults for two of three engines. Each request
// completes.
func faultPairs() [][2]faultCase {
	return [][2]faultCase{
		{{faultDies, stepStream}, {faultRefuses, stepWait}},
		{{faultHangs, stepStream}, {faultCrossed, stepVerify}},
		{{faultSilent, stepWait}, {faultDies, stepWait}},
		{{faultTwice, stepStream}, {faultCut, stepVerify}},
	}
}

// stopFaults returns the faults that keep a request in flight while the entry
// VM stops. Each request completes.
func stopFaults() []faultCase {
	return []faultCase{{faultLate, stepDial}, {faultLate, stepWait}, {faultLate, stepStream}, {faultDies, stepStream}}
}

var update = flag.Bool("update", false, "rewrite docs/FAULTS-PATH.md")

const faultsHead = `# Faults of the request path

Each row is a subtest of internal/pipeline that judges the outcome, the runs by
the back ends' own counters, the time, and the memory left on engines and in the
entry VM. This page is written by
` + "`go test ./internal/pipeline -run TestFaultsPage -update`" + `.

| subtest | outcome |
|---|---|
`

// TestFaultsPage fails when docs/FAULTS-PATH.md differs from the lists of
// faults above. With -update it writes the page.
func TestFaultsPage(t *testing.T) {
	const file = "../../docs/FAULTS-PATH.md"
	page := bytes.NewBufferString(faultsHead)
	row := func(test, name string, outcome request.Outcome) {
		fmt.Fprintf(page, "| %s/%s | %s |\n", test, name, outcome)
	}
	for _, c := range engineFaults() {
		row("TestFaultsOfEngines", c.name(), request.Completed)
	}
	for _, c := range allEngineFaults() {
		row("TestFaultsOfAllEngines", c.name(), c.outcome)
	}
	for _, c := range serviceFaults() {
		row("TestFaultsOfServices", "book/"+c.name(), c.outcome)
		row("TestFaultsOfServices", "check/"+c.name(), request.Completed)
	}
	for _, pair := range faultPairs() {
		row("TestTwoFaultsAtOnce", pair[0].name()+"+"+pair[1].name(), request.Completed)
	}
	for _, c := range stopFaults() {
		row("TestPlannedStopAtEachStep", c.name(), request.Completed)
	}
	row("TestClaimSteps", "hangs/claim", request.NotSent)
	row("TestClaimSteps", "caller_leaves/wait", request.Completed)
	row("TestClaimSteps", "hangs/record", request.Completed)
	if *update {
		require.NoError(t, os.WriteFile(file, page.Bytes(), 0o600))
	}
	written, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, page.String(), string(written))
}
