package main

import (
	"fmt"
	"os"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(exitCannot)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCannot)
	}
	r := &record{file: file, started: time.Now()}
	cases := map[string]func(*record, bool) (int, error){
		"malformed-heartbeats": malformedHeartbeats, "left-worker-returns": leftWorkerReturns,
		"last-tenant": lastTenant, "reset-connections": resetConnections,
	}
	run := cases[os.Args[1]]
	if run == nil {
		fmt.Fprintln(os.Stderr, "unknown case "+os.Args[1])
		os.Exit(exitCannot)
	}
	code, err := run(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitCannot
	}
	_ = file.Close()
	os.Exit(code)
}
