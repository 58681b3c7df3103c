package sizing

import (
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Names of the tables in the markers of the page.
const (
	TableCosts  = "lines"
	TableBudget = "budget"
	TableFits   = "fits"
)

// Tables holds the tables of the page in Markdown.
type Tables struct {
	Costs  string
	Budget string
	Fits   string
}

// result is a cost with its fit and its value at the target size.
type result struct {
	cost  Cost
	fit   *Fit
	value float64
}

// NewTables evaluates all costs with the given benchmark results. It returns one error
// for all series that have too few points.
func NewTables(points []Point) (*Tables, error) {
	var results []result
	var missing []error
	for _, cost := range Costs() {
		fit, err := NewFit(points, cost.Source)
		if err != nil {
			missing = append(missing, err)
			continue
		}
		results = append(results, result{cost: cost, fit: fit, value: fit.At(cost.Size) * cost.Multiplier})
	}
	if len(missing) > 0 {
		return nil, errors.Join(missing...)
	}
	return &Tables{Costs: costsTable(results), Budget: budgetTable(results), Fits: fitsTable(results)}, nil
}

func costsTable(results []result) string {
	var table strings.Builder
	table.WriteString("| role | what | at the target size | unit | basis | mechanism |\n|---|---|---|---|---|---|\n")
	for _, r := range results {
		mechanism := r.cost.Mechanism
		if r.cost.ReplacedBy != "" {
			mechanism += "; **replaced by** " + r.cost.ReplacedBy
		}
		fmt.Fprintf(&table, "| %s | %s | %s | %s | %s | %s |\n",
			r.cost.Role, r.cost.Item, formatNumber(r.value), r.cost.Resource, formatBasis(r), mechanism)
	}
	return table.String()
}

// formatBasis describes whether a value is measured or extrapolated, and what it
// assumes.
func formatBasis(r result) string {
	text := "measured"
	if r.fit.IsExtrapolated(r.cost.Size) {
		text = "extrapolated"
	}
	if r.cost.Assumption != "" {
		text += "; assumed: " + r.cost.Assumption
	}
	return text
}

type budgetLimit struct {
	item     string
	resource Resource
	limit    float64
}

func budgetTable(results []result) string {
	budgets := []budgetLimit{
		{"processor time for control", CorePercent, budgetCorePercent},
		{"memory for control", MemoryBytes, budgetMemoryBytes},
		{"bytes for control", BytesPerSecond, budgetBytesPerSecond},
		{"change in force", InForceMillis, budgetInForceMillis},
	}
	var table strings.Builder
	table.WriteString("| role | budget | allowed | figure | verdict |\n|---|---|---|---|---|\n")
	for _, role := range []Role{RoleEntry, RoleScheduler, RoleLeader, RoleFollower, RoleRelay} {
		for _, budget := range budgets {
			sum, found := total(results, role, budget.resource)
			if !found {
				continue
			}
			verdict := "held"
			if sum > budget.limit {
				verdict = "**broken**"
			}
			fmt.Fprintf(&table, "| %s | %s | %s %s | %s | %s |\n", role, budget.item, formatNumber(budget.limit), budget.resource, formatNumber(sum), verdict)
		}
	}
	return table.String()
}

// total returns the sum of the costs of a role that count towards the budget, and
// whether there are any.
func total(results []result, role Role, resource Resource) (float64, bool) {
	sum, found := 0.0, false
	for _, r := range results {
		if r.cost.Role == role && r.cost.Resource == resource && r.cost.ReplacedBy == "" {
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
			sizes[i] = formatNumber(size)
		}
		fmt.Fprintf(&table, "| %s | %s | %s = %s | %s | %s | %.3f | %.0f %% |\n", r.fit.Source.Series, r.fit.Source.Metric,
			r.fit.Source.Parameter, strings.Join(sizes, ", "), formatNumber(r.fit.Intercept), formatNumber(r.fit.Slope), r.fit.RSquared, 100*r.fit.RelativeSpread)
	}
	return table.String()
}

// formatNumber returns value without an exponent if it is 1 or more, with at least
// three significant digits, and otherwise with two significant digits.
func formatNumber(value float64) string {
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

// Rewrite returns page with the tables between their markers replaced. It returns an
// error if a marker is missing or out of order.
func (t *Tables) Rewrite(page string) (string, error) {
	replacements := []struct{ name, table string }{
		{TableCosts, t.Costs}, {TableBudget, t.Budget}, {TableFits, t.Fits},
	}
	for _, replacement := range replacements {
		begin, end, err := findTable(page, replacement.name)
		if err != nil {
			return "", err
		}
		page = page[:begin] + replacement.table + page[end:]
	}
	return page, nil
}

// Table returns the table of the given name in page.
func Table(page, name string) (string, error) {
	begin, end, err := findTable(page, name)
	if err != nil {
		return "", err
	}
	return page[begin:end], nil
}

// findTable returns the byte offsets of the table between its markers.
func findTable(page, name string) (begin, end int, err error) {
	opening, closing := "<!-- begin "+name+" -->\n", "<!-- end "+name+" -->"
	begin = strings.Index(page, opening)
	end = strings.Index(page, closing)
	if begin < 0 || end < begin {
		return 0, 0, fmt.Errorf("the page has no table between the markers of %q", name)
	}
	return begin + len(opening), end, nil
}
