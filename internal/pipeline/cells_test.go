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

// cell is one place of the fault matrix.
type cell struct {
	fault fault
	at    at
}

func (c cell) name() string { return string(c.fault) + "/" + string(c.at) }

// judgedCell is a cell with the outcome that it must lead to.
type judgedCell struct {
	cell
	outcome request.Outcome
}

// engineCells are the faults of one of two engines; each request completes.
func engineCells() []cell {
	return []cell{
		{faultDies, atDial}, {faultHangs, atDial}, {faultSilent, atDial}, {faultLate, atDial}, {faultRefuses, atDial},
		{faultDies, atSend}, {faultHangs, atSend}, {faultSilent, atSend}, {faultCut, atSend},
		{faultDies, atWait}, {faultHangs, atWait}, {faultSilent, atWait}, {faultLate, atWait},
		{faultCrossed, atWait}, {faultCut, atWait}, {faultRefuses, atWait},
		{faultDies, atStream}, {faultHangs, atStream}, {faultSilent, atStream}, {faultLate, atStream},
		{faultCrossed, atStream}, {faultCut, atStream}, {faultTwice, atStream},
		{faultLoses, atStream}, {faultLoses, atVerify},
		{faultCrossed, atVerify}, {faultCut, atVerify}, {faultTwice, atVerify},
	}
}

// allEnginesCells are the faults of all engines.
func allEnginesCells() []judgedCell {
	return []judgedCell{
		{cell{faultRefuses, atDial}, request.NotRun},
		{cell{faultHangs, atDial}, request.NotRun},
		{cell{faultDies, atSend}, request.Failed},
		{cell{faultHangs, atSend}, request.Failed},
		{cell{faultRefuses, atWait}, request.NotRun},
		{cell{faultCrossed, atWait}, request.Failed},
		{cell{faultHangs, atWait}, request.Failed},
		{cell{faultSilent, atWait}, request.Failed},
		{cell{faultCut, atVerify}, request.Failed},
		{cell{faultCrossed, atVerify}, request.Failed},
		{cell{faultLoses, atVerify}, request.Failed},
	}
}

// serviceCells are the faults of one of two services, with the outcome of the
// booking that meets it. A check, which is idempotent, completes in each.
func serviceCells() []judgedCell {
	return []judgedCell{
		{cell{faultRefuses, atDial}, request.Completed},
		{cell{faultHangs, atDial}, request.Completed},
		{cell{faultLate, atDial}, request.Completed},
		{cell{faultDies, atSend}, request.Unknown},
		{cell{faultHangs, atSend}, request.Unknown},
		{cell{faultCut, atSend}, request.Unknown},
		{cell{faultDies, atWait}, request.Unknown},
		{cell{faultHangs, atWait}, request.Unknown},
		{cell{faultSilent, atWait}, request.Unknown},
		{cell{faultLate, atWait}, request.Completed},
		{cell{faultCrossed, atWait}, request.Unknown},
		{cell{faultCut, atWait}, request.Unknown},
		{cell{faultRefuses, atWait}, request.Completed},
		{cell{faultDies, atStream}, request.Unknown},
		{cell{faultHangs, atStream}, request.Unknown},
		{cell{faultSilent, atSend}, request.Unknown},
		{cell{faultCut, atVerify}, request.Unknown},
		{cell{faultTwice, atVerify}, request.Unknown},
	}
}

// pairCells are two faults on two of three engines; each request completes.
func pairCells() [][2]cell {
	return [][2]cell{
		{{faultDies, atStream}, {faultRefuses, atWait}},
		{{faultHangs, atStream}, {faultCrossed, atVerify}},
		{{faultSilent, atWait}, {faultDies, atWait}},
		{{faultTwice, atStream}, {faultCut, atVerify}},
	}
}

// stopCells are what slows a request down while the entry VM is stopped; each
// request completes.
func stopCells() []cell {
	return []cell{{faultLate, atDial}, {faultLate, atWait}, {faultLate, atStream}, {faultDies, atStream}}
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

// TestFaultsPage compares the page with the cells.
func TestFaultsPage(t *testing.T) {
	const file = "../../docs/FAULTS-PATH.md"
	page := bytes.NewBufferString(faultsHead)
	row := func(test, name string, outcome request.Outcome) {
		fmt.Fprintf(page, "| %s/%s | %s |\n", test, name, outcome)
	}
	for _, c := range engineCells() {
		row("TestFaultsOfEngines", c.name(), request.Completed)
	}
	for _, c := range allEnginesCells() {
		row("TestFaultsOfAllEngines", c.name(), c.outcome)
	}
	for _, c := range serviceCells() {
		row("TestFaultsOfServices", "book/"+c.name(), c.outcome)
		row("TestFaultsOfServices", "check/"+c.name(), request.Completed)
	}
	for _, pair := range pairCells() {
		row("TestTwoFaultsAtOnce", pair[0].name()+"+"+pair[1].name(), request.Completed)
	}
	for _, c := range stopCells() {
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
