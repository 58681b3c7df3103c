package sizing

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const capacityPage = "../../docs/CAPACITY.md"

// The committed page must have a row for each cost of the code. The figures are not
// compared.
func TestCommittedPageHasARowForEachCost(t *testing.T) {
	raw, err := os.ReadFile(capacityPage)
	require.NoError(t, err)
	table, err := Table(string(raw), TableCosts)
	require.NoError(t, err)
	rows := strings.Split(strings.TrimSpace(table), "\n")[2:]
	require.Len(t, rows, len(Costs()))
	for i, cost := range Costs() {
		require.True(t, strings.HasPrefix(rows[i], fmt.Sprintf("| %s | %s | ", cost.Role, cost.Item)), "row %d: %s", i, rows[i])
		require.Equal(t, 7, strings.Count(rows[i], "|"), rows[i])
	}
	budget, err := Table(string(raw), TableBudget)
	require.NoError(t, err)
	for _, column := range []string{"processor time", "memory", "bytes for control", "change in force", "held"} {
		require.Contains(t, budget, column)
	}
}

func TestFitIsEvaluatedAtTheSize(t *testing.T) {
	var output strings.Builder
	output.WriteString("goos: linux\n")
	for _, servers := range []int{10, 20, 40, 40} {
		fmt.Fprintf(&output, "BenchmarkPlace/two_choices/servers=%d-10   \t 100\t %d ns/op\t 5 B/op\n", servers, 100+3*servers)
	}
	points, err := ReadBenchmarks(strings.NewReader(output.String()))
	require.NoError(t, err)
	fit, err := NewFit(points, placeSource)
	require.NoError(t, err)
	require.InDelta(t, 100+3*100, fit.At(100), 1e-6)
	require.InDelta(t, 1, fit.RSquared, 1e-9)
	require.True(t, fit.IsExtrapolated(100))
	require.False(t, fit.IsExtrapolated(40))

	_, err = NewFit(points[:8], placeSource)
	require.ErrorContains(t, err, "measured at 2 sizes")
	_, err = NewTables(points)
	require.ErrorContains(t, err, "BenchmarkGrant", "the error names every missing series")
}

func TestRewriteKeepsTextOutsideTheTables(t *testing.T) {
	page := "a\n<!-- begin lines -->\nold\n<!-- end lines -->\nb\n<!-- begin budget -->\n<!-- end budget -->\n<!-- begin fits -->\n<!-- end fits -->\n"
	tables := Tables{Costs: "new\n", Budget: "x\n", Fits: "y\n"}
	rewritten, err := tables.Rewrite(page)
	require.NoError(t, err)
	require.Equal(t, "a\n<!-- begin lines -->\nnew\n<!-- end lines -->\nb\n<!-- begin budget -->\nx\n<!-- end budget -->\n<!-- begin fits -->\ny\n<!-- end fits -->\n", rewritten)
	_, err = tables.Rewrite("no markers")
	require.Error(t, err)
}
