package sizing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Table names, as they stand in the page's markers.
const (
	TableCosts  = "lines"
	TableBudget = "budget"
	TableFits   = "fits"
)

// Tables holds the page's tables in Markdown by name.
type Tables struct {
	Costs  string
	Budget string
	Fits   string
}

// result is a line with its value.
type result struct {
	line  Cost
	fit   *Fit
	value float64
}

// NewTables works out all lines from measured points.
func NewTables(points []Point) (*Tables, error) {
	var results []result
	var missing []error
	for _, line := range Costs() {
		fit, err := NewFit(points, line.Source)
		if err != nil {
			missing = append(missing, err)
			continue
		}
		results = append(results, result{line: line, fit: fit, value: fit.At(line.Size) * line.Multiplier})
	}
	if len(missing) > 0 {
		return nil, errors.Join(missing...)
	}
	return &Tables{Costs: linesTable(results), Budget: budgetTable(results), Fits: fitsTable(results)}, nil
}

func linesTable(results []result) string {
	var table strings.Builder
	table.WriteString("| role | what | at the target size | unit | basis | mechanism |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		mechanism := r.line.Mechanism
		if r.line.ReplacedBy != "" {
			mechanism += "; **replaced by** " + r.line.ReplacedBy
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s | %s |\n",
			r.line.Role, r.line.Item, number(r.value), r.line.Resource, basis(r), mechanism)
	}
	return table.String()
}

// basis says how far a value is measured.
func basis(r result) string {
	word := "measured"
	if r.fit.IsExtrapolated(r.line.Size) {
		word = "extrapolated"
	}
	if r.line.Assumption != "" {
		word += "; assumed: " + r.line.Assumption
	}
	return word
}

type budgetLine struct {
	what     string
	resource Resource
	limit    float64
}

func budgetTable(results []result) string {
	lines := []budgetLine{
		{"processor time for control", CorePercent, budgetCorePercent},
		{"memory for control", MemoryBytes, budgetMemoryBytes},
		{"bytes for control", BytesPerSecond, budgetBytesPerSecond},
		{"change in force", InForceMillis, budgetInForceMillis},
	}
	var table strings.Builder
	table.WriteString("| role | budget | allowed | figure | verdict |\n|---|---|---|---|---|\n")
	for _, role := range []Role{RoleEntry, RoleScheduler, RoleLeader, RoleFollower, RoleRelay} {
		for _, line := range lines {
			sum, found := total(results, role, line.resource)
			if !found {
				continue
			}
			verdict := "held"
			if sum > line.limit {
				verdict = "**broken**"
			}
			fmt.Fprintf(&table, "| %s | %s | %s %s | %s | %s |\n", role, line.what, number(line.limit), line.resource, number(sum), verdict)
		}
	}
	return table.String()
}

// total sums up the lines of a role that count towards the budget.
func total(results []result, role Role, resource Resource) (float64, bool) {
	sum, found := 0.0, false
	for _, r := range results {
		if r.line.Role == role && r.line.Resource == resource && r.line.ReplacedBy == "" {
			sum += r.value
			found = true
		}
	}
	return sum, found
}

func fitsTable(results []result) string {
	var table strings.Builder
	table.WriteString("| benchmark | metric | sizes | fixed | slope | R² | spread of repeats |\n|---|---|---|---|---|---|---|\n")
	var seen []Source
	for _, r := range results {
		if slices.Contains(seen, r.fit.Source) {
			continue
		}
		seen = append(seen, r.fit.Source)
		sizes := make([]string, len(r.fit.Sizes))
		for i, size := range r.fit.Sizes {
			sizes[i] = number(size)
		}
		fmt.Fprintf(&table, "| %s | %s | %s = %s | %s | %s | %.3f | %.0f %% |\n", r.fit.Source.Series, r.fit.Source.Metric,
			r.fit.Source.Parameter, strings.Join(sizes, ", "), number(r.fit.Intercept), number(r.fit.Slope), r.fit.RSquared, 100*r.fit.RelativeSpread)
	}
	return table.String()
}

// number prints three significant digits without an exponent.
func number(value float64) string {
	switch magnitude := max(value, -value); {
	case magnitude >= 100:
		return fmt.Sprintf("%.0f", value)
	case magnitude >= 10:
		return fmt.Sprintf("%.1f", value)
	case magnitude >= 1 || magnitude == 0:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.2g", value)
}

// Rewrite replaces the tables in page between their markers.
func (t *Tables) Rewrite(page string) (string, error) {
	replacements := []struct{ name, table string }{
		{TableCosts, t.Costs}, {TableBudget, t.Budget}, {TableFits, t.Fits},
	}
	for _, replacement := range replacements {
		begin, end, err := find(page, replacement.name)
		if err != nil {
			return "", err
		}
		page = page[:begin] + replacement.table + page[end:]
	}
	return page, nil
}

// Table returns the table of the given name as it stands in page.
func Table(page, name string) (string, error) {
	begin, end, err := find(page, name)
	if err != nil {
		return "", err
	}
	return page[begin:end], nil
}

func find(page, name string) (begin, end int, err error) {
	open, closing := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	begin = strings.Index(page, open)
	end = strings.Index(page, closing)
	if begin < 0 || end < begin {
		return 0, 0, fmt.Errorf("the page has no table between the markers of %q", name)
	}
	return begin + len(open), end, nil
}
