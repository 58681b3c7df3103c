package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// running is the fleet of the case, nil before it is made.
var running atomic.Pointer[fleet]

// endWhenInterrupted ends the processes of the fleet, and then this one, at a signal.
func endWhenInterrupted() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	<-signals
	if f := running.Load(); f != nil {
		f.interrupt()
	}
	os.Exit(exitCannot)
}

func main() {
	if len(os.Args) != 4 || os.Args[3] != "TROUBLE=0" && os.Args[3] != "TROUBLE=1" {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD TROUBLE=0|TROUBLE=1")
		os.Exit(exitCannot)
	}
	go endWhenInterrupted()
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
	r.add("case %s, %s", os.Args[1], os.Args[3])
	code, err := run(r, os.Args[3] == "TROUBLE=1")
	if err != nil {
		r.add("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = exitCannot
	}
	_ = file.Close()
	os.Exit(code)
}
