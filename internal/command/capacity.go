package command

import (
	"fmt"
	"os"

	"godwityoke.example/godwityoke/internal/sizing"
)

// CapacityArguments are the arguments of "capacity".
type CapacityArguments struct {
	Benchmarks string `arg:"--benchmarks,required" help:"file with the output of the capacity benchmarks"`
	Page       string `arg:"--page" default:"docs/CAPACITY.md" help:"Markdown page whose tables are replaced"`
}

func (a *CapacityArguments) run(output Output) int {
	if err := a.rewrite(); err != nil {
		return output.fail(err)
	}
	_, _ = fmt.Fprintf(output.Out, "%s: tables rewritten\n", a.Page)
	return ExitOK
}

// rewrite replaces the tables of the page.
func (a *CapacityArguments) rewrite() error {
	file, err := os.Open(a.Benchmarks)
	if err != nil {
		return fmt.Errorf("open the benchmarks: %w", err)
	}
	defer file.Close()
	points, err := sizing.ReadBenchmarks(file)
	if err != nil {
		return err
	}
	tables, err := sizing.NewTables(points)
	if err != nil {
		return err
	}
	page, err := os.ReadFile(a.Page)
	if err != nil {
		return fmt.Errorf("read the page: %w", err)
	}
	rewritten, err := tables.Rewrite(string(page))
	if err != nil {
		return err
	}
	if err := os.WriteFile(a.Page, []byte(rewritten), 0o644); err != nil {
		return fmt.Errorf("write the page: %w", err)
	}
	return nil
}
