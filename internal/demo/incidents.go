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
		{1 * time.Second, "engines answer crossed, cut and twice", d.answerWrongly},
		{2 * time.Second, engines[0].ID() + " leaves", d.leave},
		{3500 * time.Millisecond, engines[len(engines)-1].ID() + " dies without a word", d.die},
		{5 * time.Second, d.cluster.Entries[0].Host().Settings.VM.Name + " is stopped in order", d.stopEntry},
	}
}

func (d *demo) answerWrongly(context.Context, string) []load.Promise {
	engines := d.cluster.Standins.Engines
	for i, kind := range []fault.Kind{fault.Crossed, fault.Cut, fault.Repeat} {
		_ = engines[1+i].Faults().Switch(fault.Fault{Kind: kind, Count: faultyAnswers, AfterTokens: 2}) // known kinds
	}
	return nil
}

func (d *demo) leave(ctx context.Context, name string) []load.Promise {
	leaving := d.cluster.Standins.Engines[0]
	err := leaving.Leave(ctx)
	cut := load.Promise{Name: "a leaving backend server finishes its work"}
	cut.Check(err == nil, "%s: %v", name, err)
	late := load.Promise{Name: "a leaving backend server gets no new work after 2 s"}
	last := time.Duration(leaving.Counters().LastAfterLeavingMillis) * time.Millisecond
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
	cut := d.cluster.StopEntry(ctx, 0)
	promise.Check(cut == 0, "%s: %d requests were cut", name, cut)
	return []load.Promise{promise}
}
