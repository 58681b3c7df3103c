package demo

import (
	"context"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/load"
	"godwityoke.example/godwityoke/internal/standin/fault"
)

const (
	// leavingLimit is how long after the announcement a leaving backend server
	// may still receive new work.
	leavingLimit = 2 * time.Second
	// faultyAnswers is the number of answers that each fault hits.
	faultyAnswers = 3
	// inForceLimit is how long an accepted bundle may take to be in force in
	// every zone.
	inForceLimit = 6 * time.Second
	// silence is how long the silent engine sends nothing.
	silence = 2500 * time.Millisecond
)

// incidents are what happens while the load runs.
type incidents struct {
	group    sync.WaitGroup
	mu       sync.Mutex
	promises []load.Promise
}

// incident is one event at a time after the start of the load.
type incident struct {
	at   time.Duration
	name string
	act  func(ctx context.Context, name string) []load.Promise
}

func (d *demo) startIncidents(ctx context.Context) *incidents {
	running := &incidents{}
	for _, planned := range d.planned() {
		running.group.Go(func() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(planned.at):
			}
			d.say("incident: %s", planned.name)
			kept := planned.act(ctx, planned.name)
			running.mu.Lock()
			defer running.mu.Unlock()
			running.promises = append(running.promises, kept...)
		})
	}
	return running
}

// wait returns the promises that the incidents checked.
func (i *incidents) wait() []load.Promise {
	i.group.Wait()
	return i.promises
}

// planned lists the incidents. Each hits another backend server, at the worst
// times of the swing.
func (d *demo) planned() []incident {
	engines := d.cluster.Standins.Engines
	return []incident{
		{500 * time.Millisecond, "engines answer crossed, cut and twice, and leak memory", d.answerWrongly},
		{1 * time.Second, "services answer crossed, cut and with errors after the run", d.serveWrongly},
		{1200 * time.Millisecond, d.cluster.ControlVMs[0].Host().Settings.VM.Name + " is killed, then a bundle is submitted", d.changeBundle},
		{1500 * time.Millisecond, engines[0].ID() + " leaves", d.leave},
		{2500 * time.Millisecond, engines[len(engines)-1].ID() + " dies without a word", d.die},
		{3 * time.Second, engines[1].ID() + " goes silent for a while, open streams too", d.goSilent},
		{3500 * time.Millisecond, d.cluster.EntryVMs[0].Host().Settings.VM.Name + " is stopped in order", d.stopEntry},
	}
}

func (d *demo) answerWrongly(context.Context, string) []load.Promise {
	engines := d.cluster.Standins.Engines
	for i, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Repeat, fault.Leak} {
		switchOn(engines[1+i], kind)
	}
	return nil
}

// faulty is a stand-in with faults.
type faulty interface {
	Switch(wanted fault.Fault) error
}

func switchOn(server faulty, kind fault.Kind) {
	_ = server.Switch(fault.Fault{Kind: kind, Count: faultyAnswers, AfterTokens: 2}) // fails on unknown kinds only
}

func (d *demo) serveWrongly(context.Context, string) []load.Promise {
	services := d.cluster.Standins.Services
	for i, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Error} {
		switchOn(services[i%len(services)], kind)
	}
	return nil
}

// goSilent freezes an engine with all its connections. When it speaks again,
// the memory of the attempts that were given up must be freed.
func (d *demo) goSilent(ctx context.Context, name string) []load.Promise {
	silent := d.cluster.Standins.Engines[1]
	_ = silent.Switch(fault.Fault{Kind: fault.Silent, Count: fault.Forever})
	select {
	case <-ctx.Done():
	case <-time.After(silence):
	}
	_ = silent.Switch(fault.Fault{Kind: fault.Silent})
	d.say("incident over: %s", name)
	return nil
}

// changeBundle kills a control VM and submits a bundle to the others.
func (d *demo) changeBundle(ctx context.Context, name string) []load.Promise {
	d.cluster.ControlVMs[0].Kill()
	promise := load.Promise{Name: "an accepted bundle is in force in every zone within 6 s"}
	next := *d.scenario.Bundle
	next.Limits.MaxAnswerTokens++
	version, err := d.cluster.Submit(ctx, &next)
	var took time.Duration
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, inForceLimit)
		defer cancel()
		took, err = d.cluster.WaitInForce(limited, version)
	}
	promise.Check(err == nil, "%s: %v", name, err)
	d.say("bundle version %d is in force everywhere %d ms after it was accepted", version, took.Milliseconds())
	return []load.Promise{promise}
}

func (d *demo) leave(ctx context.Context, name string) []load.Promise {
	leaving := d.cluster.Standins.Engines[0]
	err := leaving.Leave(ctx)
	cut := load.Promise{Name: "a leaving backend server finishes its work"}
	cut.Check(err == nil, "%s: %v", name, err)
	late := load.Promise{Name: "a leaving backend server gets no new work after 2 s"}
	last := time.Duration(leaving.Counters().LastAfterLeavingMillis) * time.Millisecond
	d.say("%s: the last new work came %d ms after the announcement", name, last.Milliseconds())
	late.Check(last <= leavingLimit, "%s: the last came after %s", name, last)
	return []load.Promise{cut, late}
}

func (d *demo) die(context.Context, string) []load.Promise {
	engines := d.cluster.Standins.Engines
	engines[len(engines)-1].Close()
	return nil
}

func (d *demo) stopEntry(ctx context.Context, name string) []load.Promise {
	promise := load.Promise{Name: "a planned stop of one entry VM cuts off no request"}
	cut := d.cluster.StopEntryVM(ctx, 0)
	promise.Check(cut == 0, "%s: %d requests were cut", name, cut)
	return []load.Promise{promise}
}
