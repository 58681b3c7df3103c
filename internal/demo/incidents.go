package demo

import (
	"context"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

const (
	// maxNewWorkAfterDraining is how long a backend server may still receive new work
	// after it has announced that it drains.
	maxNewWorkAfterDraining = 2 * time.Second
	// answersPerFault is the number of answers that each fault affects.
	answersPerFault = 3
	// inForceTimeout is how long an accepted bundle may take to be in force on every
	// entry VM.
	inForceTimeout = 6 * time.Second
	// unresponsiveTime is how long the unresponsive engine sends nothing.
	unresponsiveTime = 2500 * time.Millisecond
)

// incidents runs the incidents during a load and collects the promises that they check.
type incidents struct {
	group    sync.WaitGroup
	mu       sync.Mutex
	promises []load.Promise
}

// incident is a disturbance that is caused at a time after the start of the load. Run
// returns the promises that it has checked.
type incident struct {
	at   time.Duration
	name string
	run  func(ctx context.Context, name string) []load.Promise
}

// startIncidents causes each planned incident at its time, unless ctx ends before.
func (d *demo) startIncidents(ctx context.Context) *incidents {
	running := &incidents{}
	for _, next := range d.plannedIncidents() {
		running.group.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(next.at):
			}
			d.printProgress("incident: %s", next.name)
			checked := next.run(ctx, next.name)
			running.mu.Lock()
			defer running.mu.Unlock()
			running.promises = append(running.promises, checked...)
		})
	}
	return running
}

// wait waits for the end of all incidents and returns the promises that they checked.
func (i *incidents) wait() []load.Promise {
	i.group.Wait()
	return i.promises
}

// plannedIncidents returns the incidents. They spread over the steady rate, the rise and
// the peak of the load, and most of them affect different servers.
func (d *demo) plannedIncidents() []incident {
	engines := d.cluster.Standins.Engines
	return []incident{
		{500 * time.Millisecond, "engines send misattributed, truncated and repeated answers, and leak memory", d.injectEngineFaults},
		{1 * time.Second, "services send misattributed and truncated answers, and errors after running a part of the call", d.injectServiceFaults},
		{1200 * time.Millisecond, d.cluster.ControlVMs[0].Host().Settings.VM.Name + " is killed, then a bundle is submitted", d.killControlVMAndSubmit},
		{1500 * time.Millisecond, engines[0].ID() + " drains and leaves", d.drainEngine},
		{2500 * time.Millisecond, engines[len(engines)-1].ID() + " crashes", d.crashEngine},
		{3 * time.Second, engines[1].ID() + " is unresponsive for a while, also on open streams", d.suspendEngine},
		{3500 * time.Millisecond, d.cluster.EntryVMs[0].Host().Settings.VM.Name + " is stopped gracefully", d.stopEntryVM},
	}
}

// injectEngineFaults makes four engines send a few malformed answers, one kind each; the
// last one does not release the memory of its answers.
func (d *demo) injectEngineFaults(context.Context, string) []load.Promise {
	engines := d.cluster.Standins.Engines
	for i, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Repeat, fault.Leak} {
		injectFault(engines[1+i], kind)
	}
	return nil
}

// faultSwitch is a stand-in on which faults can be switched on.
type faultSwitch interface {
	SetFault(injected fault.Fault) error
}

func injectFault(server faultSwitch, kind fault.Kind) {
	_ = server.SetFault(fault.Fault{Kind: kind, Count: answersPerFault, AfterTokens: 2}) // fails only for unknown kinds
}

// injectServiceFaults makes the service servers send a few malformed and error answers.
func (d *demo) injectServiceFaults(context.Context, string) []load.Promise {
	services := d.cluster.Standins.Services
	for i, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Error} {
		injectFault(services[i%len(services)], kind)
	}
	return nil
}

// suspendEngine makes an engine unresponsive for unresponsiveTime, on all its connections.
// Once it responds again, it must release the memory of the attempts that were cancelled
// in the meantime.
func (d *demo) suspendEngine(ctx context.Context, name string) []load.Promise {
	suspended := d.cluster.Standins.Engines[1]
	_ = suspended.SetFault(fault.Fault{Kind: fault.Silent, Count: fault.Forever})
	select {
	case <-ctx.Done():
	case <-time.After(unresponsiveTime):
	}
	_ = suspended.SetFault(fault.Fault{Kind: fault.Silent})
	d.printProgress("incident over: %s", name)
	return nil
}

// killControlVMAndSubmit kills a control VM, submits a bundle to the others, and
// checks that it is in force on every entry VM within inForceTimeout.
func (d *demo) killControlVMAndSubmit(ctx context.Context, name string) []load.Promise {
	d.cluster.ControlVMs[0].Kill()
	promise := load.Promise{Name: "an accepted bundle is in force in every zone within 6 s"}
	next := *d.scenario.Bundle
	next.Limits.MaxAnswerTokens++
	version, err := d.cluster.Submit(ctx, &next)
	var took time.Duration
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, inForceTimeout)
		defer cancel()
		took, err = d.cluster.WaitInForce(limited, version)
	}
	promise.Check(err == nil, "%s: %v", name, err)
	d.printProgress("bundle version %d is in force everywhere %d ms after it was accepted", version, took.Milliseconds())
	return []load.Promise{promise}
}

// drainEngine drains an engine and checks that it finishes its work and gets no new work
// after maxNewWorkAfterDraining.
func (d *demo) drainEngine(ctx context.Context, name string) []load.Promise {
	draining := d.cluster.Standins.Engines[0]
	err := draining.Drain(ctx)
	cut := load.Promise{Name: "a leaving backend server finishes its work"}
	cut.Check(err == nil, "%s: %v", name, err)
	late := load.Promise{Name: "a leaving backend server gets no new work after 2 s"}
	last := time.Duration(draining.Counters().LastAfterLeavingMillis) * time.Millisecond
	d.printProgress("%s: the last new work came %d ms after the announcement", name, last.Milliseconds())
	late.Check(last <= maxNewWorkAfterDraining, "%s: the last came after %s", name, last)
	return []load.Promise{cut, late}
}

// crashEngine ends an engine without an announcement.
func (d *demo) crashEngine(context.Context, string) []load.Promise {
	engines := d.cluster.Standins.Engines
	engines[len(engines)-1].Close()
	return nil
}

// stopEntryVM stops an entry VM gracefully and checks that it cuts off no request.
func (d *demo) stopEntryVM(ctx context.Context, name string) []load.Promise {
	promise := load.Promise{Name: "a planned stop of one entry VM cuts off no request"}
	cut := d.cluster.StopEntryVM(ctx, 0)
	promise.Check(cut == 0, "%s: %d requests were cut", name, cut)
	return []load.Promise{promise}
}
