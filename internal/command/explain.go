package command

import (
	"fmt"
	"os"

	"godwityoke.example/godwityoke/internal/explain"
)

// ExplainArguments are the arguments of "explain".
type ExplainArguments struct {
	Request string   `arg:"--request,required" help:"id of the request"`
	Files   []string `arg:"positional,required" help:"log files of the processes, one JSON object per line"`
}

func (a *ExplainArguments) run(output Output) int {
	lines, err := a.read()
	if err == nil && len(lines) == 0 {
		err = fmt.Errorf("request %q: %w", a.Request, explain.ErrNoLines)
	}
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	for _, line := range explain.Timeline(lines) {
		fmt.Fprintln(output.Out, line.Text)
	}
	return ExitOK
}

// read returns the log lines about the request from all files.
func (a *ExplainArguments) read() ([]explain.Line, error) {
	var all []explain.Line
	for _, name := range a.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, fmt.Errorf("log file: %w", err)
		}
		lines, err := explain.Read(file, a.Request)
		_ = file.Close() // the file was only read
		if err != nil {
			return nil, fmt.Errorf("log file %s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}
