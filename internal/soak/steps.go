package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/internal/roster"
	"godwityoke.example/godwityoke/platform/standin"
)

// maxLinkDelay is the delay of a link for Variant 0. It is divided by 1 + Variant.
const maxLinkDelay = 250 * time.Millisecond

// applyStep carries out a step and returns when the step is over or ctx has ended.
func (s *soak) applyStep(ctx context.Context, step Step) {
	s.addToTimeline("begins: %s", step)
	end := s.beginRecord(step)
	defer func() {
		end()
		s.addToTimeline("ends: %s", step)
	}()
	wait := func() { pause.For(ctx, step.Duration) }
	switch step.Kind {
	case KindKill, KindTerminate, KindHangupSignal:
		s.fleet.signal(step.Target, signals[step.Kind])
		if step.Kind == KindTerminate {
			pause.For(ctx, baseSettings.StopLimit)
		}
	case KindReplaceVersion:
		s.fleet.replace(step.Target, [...]string{s.options.Binary, s.options.Previous}[step.Variant])
		pause.For(ctx, baseSettings.StopLimit)
	case KindKillControlVMs:
		for i := range s.topology.controls {
			s.fleet.signal(s.topology.control(i), syscall.SIGKILL)
		}
	case KindFreeze:
		s.fleet.signal(step.Target, syscall.SIGSTOP)
		wait()
		s.fleet.signal(step.Target, syscall.SIGCONT)
	case KindReplaceControl:
		if err := s.replaceControl(step.Target); err != nil {
			s.recordExit(step.Target, err.Error())
		}
	case KindWipe:
		if err := s.fleet.wipe(step.Target); err != nil {
			s.recordExit(step.Target, err.Error())
		}
	case KindDelay:
		linkDelay := maxLinkDelay / time.Duration(1+step.Variant)
		s.network.delay(link{anyNode, step.Target}, linkDelay)
		s.network.delay(link{step.Target, anyNode}, linkDelay)
		wait()
		s.network.delay(link{anyNode, step.Target}, 0)
		s.network.delay(link{step.Target, anyNode}, 0)
	case KindResetConnections:
		s.network.resetAll(step.Target)
	case KindStallConnections:
		s.network.stallAll(step.Target)
	case KindWorkerCrash, KindWorkerFault, KindEndlessAnswers, KindWorkerDrain, KindWorkerEnding, KindWorkerLimit:
		s.disturbWorker(ctx, step)
	case KindConfigChange, KindConfigRace:
		s.changeConfig(ctx, step.Kind == KindConfigRace)
	default:
		lastingSteps[step.Kind](s, ctx, step)
	}
}

// lastingSteps holds what the other kinds of steps do for their duration.
var lastingSteps = map[Kind]func(*soak, context.Context, Step){
	KindPartition: (*soak).partition, KindPartitionOutbound: (*soak).partition, KindPartitionInbound: (*soak).partition,
	KindServerCut: (*soak).cutServers, KindControlCut: (*soak).cutControl, KindEvacuate: (*soak).evacuate, KindWorkerCold: (*soak).becomeCold,
}

// beginRecord records the beginning of a step. The returned function records its end.
func (s *soak) beginRecord(step Step) (end func()) {
	if step.Kind == KindServerCut {
		return s.records.beginServerCut(step.Targets, holdsBytes(step.Variant))
	}
	if step.Kind == KindControlCut {
		return s.records.beginDisturbances(step.Targets)
	}
	return s.records.beginDisturbance(step.Target, step.isPlanned())
}

// holdsBytes reports whether a variant of KindServerCut holds back the bytes of open connections.
func holdsBytes(variant int) bool { return variant == cutHold || variant == cutDrop }

// cutServers cuts the targets off from all workers for the duration of the step.
func (s *soak) cutServers(ctx context.Context, step Step) {
	var links []link
	var sources []net.IP
	for _, vm := range step.Targets {
		sources = append(sources, net.ParseIP(s.fleet.nodes[vm].boot.Settings.Bind))
		for i := range s.topology.workers() {
			worker := s.topology.worker(i)
			links = append(links, link{vm, worker}, link{worker, vm})
		}
	}
	if step.Variant == cutDrop || step.Variant == cutDropNew {
		s.dropDialsToWorkers(sources)
		defer s.dropDialsToWorkers(nil)
	}
	for _, l := range links {
		switch step.Variant {
		case cutHold, cutDrop:
			s.network.block(l)
			defer s.network.unblock(l)
		case cutReset, cutRefuse:
			s.network.refuse(l)
			defer s.network.accept(l)
		}
		if step.Variant == cutReset {
			s.network.resetLink(l)
		}
	}
	pause.For(ctx, step.Duration)
}

// dropDialsToWorkers drops the connection attempts to all workers from the given IP addresses, and from no others.
func (s *soak) dropDialsToWorkers(sources []net.IP) {
	for i := range s.topology.workers() {
		if err := s.network.dropDials(s.topology.worker(i), sources); err != nil {
			s.recordExit(s.topology.worker(i), err.Error())
		}
	}
}

// partition blocks the traffic from the target, to it, or both, for the duration of the step.
func (s *soak) partition(ctx context.Context, step Step) {
	var blocked []link
	if step.Kind != KindPartitionInbound {
		blocked = append(blocked, link{step.Target, anyNode})
	}
	if step.Kind != KindPartitionOutbound {
		blocked = append(blocked, link{anyNode, step.Target})
	}
	for _, l := range blocked {
		s.network.block(l)
	}
	pause.For(ctx, step.Duration)
	for _, l := range blocked {
		s.network.unblock(l)
	}
}

// addWorker adds the worker with index i to the network and starts its first incarnation.
func (s *soak) addWorker(i int) error {
	name := s.topology.worker(i)
	own, public := address(s.fleet.ip(subnetWorker, 1+i), workerPort), address(s.fleet.ip(subnetWorkerPublic, 1+i), workerPort)
	supervisor := &workerSupervisor{name: name, options: workerOptions{
		server: roster.Server{Service: modelService, Zone: zones[i%len(zones)], Address: public, Slots: workerSlots},
		listen: own, controlAddresses: s.controlAddresses, interval: baseSettings.AnnounceInterval, records: s.records,
	}}
	if s.options.Series {
		supervisor.options.holds = s.holds
	}
	if i >= s.topology.models {
		supervisor.options.server.Service = deskService
	}
	if supervisor.options.warmUp = s.statedWarmUp(supervisor.options.server.Service); supervisor.options.warmUp > 0 {
		supervisor.options.server.Slots = coldSlots
	}
	s.network.setName(s.fleet.ip(subnetWorker, 1+i), name)
	if err := s.network.forward(public, own, name); err != nil {
		return fmt.Errorf("forward to %s: %w", name, err)
	}
	s.workers.Store(name, supervisor)
	return supervisor.start()
}

// start starts the next incarnation of the worker. Each incarnation has its own id.
func (w *workerSupervisor) start() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	started, err := startWorker(fmt.Sprintf("%s-%d", w.name, w.starts), w.options)
	w.worker = started
	return err
}

// disturbWorker lets a worker crash, drain or misbehave. Afterwards it starts the next incarnation or, after a
// misbehaviour, clears the fault. It does nothing if another step disturbs the worker.
func (s *soak) disturbWorker(ctx context.Context, step Step) {
	found, _ := s.workers.Load(step.Target)
	supervisor := found.(*workerSupervisor)
	supervisor.mu.Lock()
	worker, busy := supervisor.worker, supervisor.busy
	supervisor.busy = true
	supervisor.mu.Unlock()
	if busy || worker == nil {
		return
	}
	defer func() {
		supervisor.mu.Lock()
		supervisor.busy = false
		supervisor.mu.Unlock()
	}()
	switch step.Kind {
	case KindWorkerFault, KindEndlessAnswers:
		fault := FaultEndless
		if step.Kind == KindWorkerFault {
			fault = FaultTruncate + Fault(step.Variant%int(FaultRejectAll))
		}
		worker.setFault(fault)
		pause.For(ctx, step.Duration)
		worker.setFault(FaultNone)
		return
	case KindWorkerLimit:
		worker.setLimit(float64(step.Variant) / 10)
		pause.For(ctx, step.Duration)
		worker.setLimit(0)
		return
	case KindWorkerEnding:
		if !worker.applyEnding(ctx, step) {
			return
		}
	case KindWorkerDrain:
		worker.drain(ctx, step.Variant%2 == 1)
	default:
		worker.crash()
		pause.For(ctx, step.Duration)
	}
	pause.For(ctx, restartDelay)
	if err := supervisor.start(); err != nil {
		s.recordExit(supervisor.name, err.Error())
	}
}

func (s *soak) stopWorkers() {
	var crashes sync.WaitGroup
	s.workers.Range(func(_, supervisor any) bool {
		crashes.Go(func() {
			w := supervisor.(*workerSupervisor)
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.worker != nil {
				w.worker.crash()
			}
		})
		return true
	})
	crashes.Wait()
}

// changeConfig sends the next version of the configuration. If race is set, it sends the next two versions at the same
// time, each to another control VM first. Calls of changeConfig wait for each other.
func (s *soak) changeConfig(ctx context.Context, race bool) {
	s.changeMu.Lock()
	defer s.changeMu.Unlock()
	count := 1
	if race {
		count = 2
	}
	var sends sync.WaitGroup
	for i := range count {
		s.mu.Lock()
		s.version++
		version := s.version
		s.mu.Unlock()
		sends.Go(func() { s.sendVersion(ctx, version, i) })
	}
	sends.Wait()
}

// sendVersion sends a version to one control VM after another, beginning at index first of controlAddresses, until a
// control VM acknowledges or refuses the version, maxOperatorAttempts is reached or ctx ends.
func (s *soak) sendVersion(ctx context.Context, version uint64, first int) {
	table := routeTable(version)
	s.stateWarmUps(table)
	change := &ConfigChange{Version: version, SentAt: time.Now()}
	s.records.locked(func(r *Records) { r.Changes = append(r.Changes, change) })
	operator := standin.NewOperator(operatorTimeout)
	for attempt := range maxOperatorAttempts {
		if ctx.Err() != nil {
			return
		}
		to := s.controlAddresses.at(first + attempt)
		err := operator.Put(to, table)
		s.addToTimeline("version %d to %s: %v", version, to, err)
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

// readConfigRepeatedly reads the configuration from one control VM after another until ctx ends.
func (s *soak) readConfigRepeatedly(ctx context.Context) {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		s.readConfig(s.controlAddresses.at(attempt))
		pause.For(ctx, readyInterval)
	}
}

// readConfig reads the configuration from the control VM at an address and reports whether the control VM returned it.
func (s *soak) readConfig(controlAddress string) bool {
	sentAt := time.Now()
	table, err := standin.NewOperator(operatorTimeout).Get(controlAddress)
	if err != nil {
		return false // a control VM that can't confirm the newest version answers with an error
	}
	s.records.locked(func(r *Records) { r.Reads = append(r.Reads, ConfigRead{SentAt: sentAt, Version: table.Version}) })
	return true
}

// readFinalConfig reads the configuration at the end of a run from the first control VM that answers.
func (s *soak) readFinalConfig() {
	for attempt := range maxOperatorAttempts {
		if s.readConfig(s.controlAddresses.at(attempt)) {
			return
		}
		time.Sleep(readyInterval)
	}
}

func (s *soak) newestSentVersion() uint64 {
	newest := uint64(0)
	s.records.locked(func(r *Records) {
		for _, change := range r.Changes {
			newest = max(newest, change.Version)
		}
	})
	return newest
}
