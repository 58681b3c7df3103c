package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

// longestDelay is the largest delay of a link.
const longestDelay = 250 * time.Millisecond

// apply carries out a step and waits for its end.
func (s *soak) apply(ctx context.Context, step Step) {
	s.note("begins: %s", step)
	end := s.records.span(step.Target, planned[step.Kind])
	defer func() {
		end()
		s.note("ends: %s", step)
	}()
	hold := func() { pause.For(ctx, step.Duration) }
	switch step.Kind {
	case KindKill, KindTerminate, KindHangupSignal:
		s.fleet.signal(step.Target, signals[step.Kind])
		if step.Kind == KindTerminate {
			pause.For(ctx, bounds.StopLimit)
		}
	case KindKillControlVMs:
		for i := range s.shape.controls {
			s.fleet.signal(s.shape.control(i), syscall.SIGKILL)
		}
	case KindFreeze:
		s.fleet.signal(step.Target, syscall.SIGSTOP)
		hold()
		s.fleet.signal(step.Target, syscall.SIGCONT)
	case KindWipe:
		if err := s.fleet.wipe(step.Target); err != nil {
			s.exited(step.Target, err.Error())
		}
	case KindPartition, KindPartitionOutbound, KindPartitionInbound:
		s.cut(ctx, step)
	case KindDelay:
		by := longestDelay / time.Duration(1+step.Variant)
		s.network.delay(link{everyone, step.Target}, by)
		s.network.delay(link{step.Target, everyone}, by)
		hold()
		s.network.delay(link{everyone, step.Target}, 0)
		s.network.delay(link{step.Target, everyone}, 0)
	case KindResetConnections:
		s.network.resetAll(step.Target)
	case KindStallConnections:
		s.network.silenceAll(step.Target)
	case KindWorkerCrash, KindWorkerFault, KindWorkerDrain:
		s.disturbWorker(ctx, step)
	case KindConfigChange, KindConfigRace:
		s.change(ctx, step.Kind == KindConfigRace)
	}
}

func (s *soak) cut(ctx context.Context, step Step) {
	var cuts []link
	if step.Kind != KindPartitionInbound {
		cuts = append(cuts, link{step.Target, everyone})
	}
	if step.Kind != KindPartitionOutbound {
		cuts = append(cuts, link{everyone, step.Target})
	}
	for _, l := range cuts {
		s.network.cut(l)
	}
	pause.For(ctx, step.Duration)
	for _, l := range cuts {
		s.network.heal(l)
	}
}

// addWorker starts the worker of a seat.
func (s *soak) addWorker(i int) error {
	name := s.shape.worker(i)
	own, public := address(s.fleet.ip(partWorker, 1+i), workerPort), address(s.fleet.ip(partWorkerPublic, 1+i), workerPort)
	seat := &workerSeat{name: name, options: workerOptions{
		server: roster.Server{Service: modelService, Zone: s.fleet.zones[i%len(s.fleet.zones)], Address: public, Slots: workerSlots},
		listen: own, heartbeats: s.control, interval: bounds.AnnounceInterval, records: s.records,
	}}
	if i >= s.shape.models {
		seat.options.server.Service = deskService
	}
	s.network.name(s.fleet.ip(partWorker, 1+i), name)
	if err := s.network.forward(public, own, name); err != nil {
		return fmt.Errorf("forward to %s: %w", name, err)
	}
	s.workers.Store(name, seat)
	return seat.start()
}

// start starts the next incarnation, with an id of its own.
func (w *workerSeat) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	started, err := startWorker(fmt.Sprintf("%s-%d", w.name, w.starts), w.options)
	w.worker = started
	return err
}

// disturbWorker has a worker crash, leave or misbehave. One at a time does.
func (s *soak) disturbWorker(ctx context.Context, step Step) {
	found, _ := s.workers.Load(step.Target)
	seat := found.(*workerSeat)
	seat.mu.Lock()
	worker, busy := seat.worker, seat.busy
	seat.busy = true
	seat.mu.Unlock()
	if busy || worker == nil {
		return
	}
	defer func() {
		seat.mu.Lock()
		seat.busy = false
		seat.mu.Unlock()
	}()
	switch step.Kind {
	case KindWorkerFault:
		worker.setFault(FaultTruncate + Fault(step.Variant%int(FaultRejectAll)))
		pause.For(ctx, step.Duration)
		worker.setFault(FaultNone)
		return
	case KindWorkerDrain:
		worker.leave(ctx)
	default:
		worker.crash()
		pause.For(ctx, step.Duration)
	}
	pause.For(ctx, restartPause)
	if err := seat.start(); err != nil {
		s.exited(seat.name, err.Error())
	}
}

func (s *soak) stopWorkers() {
	var all sync.WaitGroup
	s.workers.Range(func(_, seat any) bool {
		all.Go(func() {
			w := seat.(*workerSeat)
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.worker != nil {
				w.worker.crash()
			}
		})
		return true
	})
	all.Wait()
}

// change sends the next configuration, or the next two at once to two nodes.
func (s *soak) change(ctx context.Context, race bool) {
	s.changes.Lock()
	defer s.changes.Unlock()
	count := 1
	if race {
		count = 2
	}
	var sendings sync.WaitGroup
	for i := range count {
		s.mu.Lock()
		s.version++
		version := s.version
		s.mu.Unlock()
		sendings.Go(func() { s.send(ctx, version, i) })
	}
	sendings.Wait()
}

// send sends a version until it has a clear answer.
func (s *soak) send(ctx context.Context, version uint64, first int) {
	table := routeTable(version)
	change := &ConfigChange{Version: version, SentAt: time.Now()}
	s.records.locked(func(r *Records) { r.Changes = append(r.Changes, change) })
	operator := standin.NewOperator(orderPatience)
	for turn := range orderRetries {
		if ctx.Err() != nil {
			return
		}
		to := s.control[(first+turn)%len(s.control)]
		err := operator.Put(to, table)
		s.note("version %d to %s: %v", version, to, err)
		switch {
		case err == nil:
			s.records.locked(func(*Records) { change.AckedAt = time.Now() })
			return
		case errors.Is(err, standin.ErrRefused):
			s.records.locked(func(*Records) { change.Refused = true })
			return
		}
		pause.For(ctx, readyInterval)
	}
}

// readBack reads the configuration again and again.
func (s *soak) readBack(ctx context.Context) {
	for turn := 0; ctx.Err() == nil; turn++ {
		s.readAt(s.control[turn%len(s.control)])
		pause.For(ctx, readyInterval)
	}
}

func (s *soak) readAt(node string) bool {
	begun := time.Now()
	table, err := standin.NewOperator(orderPatience).Get(node)
	if err != nil {
		return false // a node that can't be sure says so
	}
	s.records.locked(func(r *Records) { r.Reads = append(r.Reads, ConfigRead{SentAt: begun, Version: table.Version}) })
	return true
}

// readOnce reads the configuration at the end from any node that answers.
func (s *soak) readOnce() {
	for turn := range orderRetries {
		if s.readAt(s.control[turn%len(s.control)]) {
			return
		}
		time.Sleep(readyInterval)
	}
}

func (s *soak) newestSent() uint64 {
	newest := uint64(0)
	s.records.locked(func(r *Records) {
		for _, change := range r.Changes {
			newest = max(newest, change.Version)
		}
	})
	return newest
}
