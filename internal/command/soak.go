package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/soak"
)

// SoakArguments are the arguments of "soak".
type SoakArguments struct {
	Seed     uint64 `arg:"--seed" default:"0" help:"seed of the first run; 0 takes the current Unix time"`
	Seeds    int    `arg:"--seeds" default:"1" help:"number of runs, with consecutive seeds"`
	Parallel int    `arg:"--parallel" default:"1" help:"maximum number of concurrent runs"`
	Block    int    `arg:"--block" default:"0" help:"first block of loopback addresses, 0 to 199; concurrent commands on one machine need different blocks"`
	Entries  int    `arg:"--entries" default:"3" help:"number of entry VMs"`
	Controls int    `arg:"--controls" default:"3" help:"number of control VMs"`
	Models   int    `arg:"--models" default:"4" help:"number of stand-ins for model servers"`
	Desks    int    `arg:"--desks" default:"2" help:"number of stand-ins for plain servers"`
	Clients  int    `arg:"--clients" default:"16" help:"number of callers, each with one connection"`
	Cuts     bool   `arg:"--cut-servers" help:"also cut some entry VMs off from all backend servers, twice a run"`
	Series   bool   `arg:"--series" help:"also signals, restarts and changes in quick succession, and backend servers that end their answers in other ways"`
	Turnover bool   `arg:"--turnover" help:"also control VMs that are replaced one after the other, and backend servers that name limits"`
	Evacuate bool   `arg:"--evacuations" help:"also evacuate a zone, twice a run"`
	Cold     bool   `arg:"--cold" help:"also bound what model servers take in their warm-ups, and let some restart or become cold, three times a run"`
	AtEnd    bool   `arg:"--judge-at-end" help:"go on after a violation and check at the end of each run"`
	Program  string `arg:"--program" help:"the program to test, this one by default"`
	Folder   string `arg:"--out" default:"out/soak" help:"folder for the logs and records of failed runs"`
	Keep     bool   `arg:"--keep" help:"also keep the files of runs without findings"`
}

func (a *SoakArguments) run(output Output) int {
	binary, err := os.Executable()
	if err != nil {
		fmt.Fprintln(output.Err, err)
		return ExitFailure
	}
	if a.Program != "" {
		binary = a.Program
	}
	if a.Seed == 0 {
		a.Seed = uint64(time.Now().Unix())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var mu sync.Mutex
	failed, code := 0, ExitOK
	slots := make(chan int, max(1, a.Parallel))
	for block := range cap(slots) {
		slots <- a.Block + block
	}
	var running sync.WaitGroup
	for i := range a.Seeds {
		block := <-slots
		if ctx.Err() != nil {
			break
		}
		running.Go(func() {
			defer func() { slots <- block }()
			report, err := soak.Run(ctx, soak.Options{
				Binary: binary, Seed: a.Seed + uint64(i), Block: block, Folder: a.Folder, Keep: a.Keep,
				Entries: a.Entries, Controls: a.Controls, Models: a.Models, Desks: a.Desks, Clients: a.Clients, ServerCuts: a.Cuts,
				Series: a.Series, Turnover: a.Turnover, Evacuations: a.Evacuate, Cold: a.Cold, JudgeAtEnd: a.AtEnd,
			})
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, context.Canceled) {
				return
			}
			if err != nil {
				fmt.Fprintf(output.Out, "seed %d: not played: %v\n", a.Seed+uint64(i), err)
				code = ExitFailure
				return
			}
			printReport(output, report)
			if len(report.Findings) > 0 {
				failed++
				code = ExitFailure
			}
		})
	}
	running.Wait()
	fmt.Fprintf(output.Out, "%d of %d seeds broke a promise\n", failed, a.Seeds)
	return code
}

// printReport prints a summary of one run and its findings.
func printReport(output Output, report *soak.Report) {
	fmt.Fprintf(output.Out, "seed %d: %d requests, %d served, %d steps, %.0f s: %d findings\n",
		report.Seed, report.Requests, report.Served, report.Steps, report.Duration.Seconds(), len(report.Findings))
	for _, line := range slices.Concat(report.ServerCuts, report.Endings, report.Limits) {
		fmt.Fprintf(output.Out, "  %s\n", line)
	}
	for _, line := range []string{report.Outdated, report.WarmUps} {
		if line != "" {
			fmt.Fprintf(output.Out, "  %s\n", line)
		}
	}
	for _, finding := range report.Findings {
		fmt.Fprintf(output.Out, "  %s\n", finding)
	}
	if len(report.Findings) > 0 {
		fmt.Fprintf(output.Out, "  kept in %s\n", report.Folder)
	}
}
