// Package soak tests a deployment under faults. It runs the real program as one process per VM on loopback addresses,
// with stand-ins for callers, backend servers and the operator. It injects faults and planned work, both drawn from a
// seed, and checks the platform's promises against what callers and backend servers observe. It does not look into the
// processes. Timing differs between runs of one seed, so a failure need not recur.
package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// startTimeout bounds the time until all entry VMs are ready and requests are served.
	startTimeout = 20 * time.Second
	// settleTime is the time without load at the end, after which workers must have no memory reserved.
	settleTime = 4500 * time.Millisecond
	// judgeInterval is the interval of the checks during the load.
	judgeInterval = 2 * time.Second
	// readyInterval is the interval and timeout of the readiness checks of entry VMs, and the time between two calls
	// of the operator.
	readyInterval = 250 * time.Millisecond
	// operatorTimeout bounds a call of the operator.
	operatorTimeout = time.Second
	// maxOperatorAttempts is the maximum number of attempts to send one change or to read the final configuration.
	maxOperatorAttempts = 30
	workerSlots         = 6
	workerPort          = 7400
	// addressBlocks is the number of blocks of loopback addresses that runs may use.
	addressBlocks = 200
)

// Options describe a run.
type Options struct {
	// Binary is the path of the program.
	Binary string
	// Previous is the path of the program that the VMs run at first, empty for Binary.
	Previous string
	Seed     uint64
	// Block is the block of loopback addresses, from 0 to 199. Concurrent runs on one machine need different blocks.
	Block int
	// Folder is the parent of the run's folder, which holds logs, disks and the report. The run's folder is removed
	// unless there are findings or Keep is set.
	Folder string
	Keep   bool
	// Entries and Controls are the numbers of entry and control VMs, Models and Desks the numbers of workers of the
	// model service and of the plain service.
	Entries, Controls, Models, Desks int
	Clients                          int
	// ServerCuts adds cuts of entry VMs from all workers to the plan.
	ServerCuts bool
	// Series adds series of planned work in quick succession to the plan, and workers that end answers in other ways.
	Series bool
	// Turnover adds the replacement of control VMs at other addresses and limits that workers name, in place of other steps of
	// control VMs.
	Turnover bool
	// Evacuations adds the evacuation of a zone in each burst to the plan.
	Evacuations bool
	// Cold bounds what model workers take in their warm-ups, and adds waves of such warm-ups to the plan.
	Cold bool
	// JudgeAtEnd leaves out the checks during the load, so that a run goes on after a violation.
	JudgeAtEnd bool
	// plan replaces the plan of the seed and load the time under load, if they are set.
	plan []Step
	load time.Duration
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Findings []Finding
	Requests int
	Served   int
	// ServerCuts describes, for each cut of entry VMs from all workers, the first tries that were judged.
	ServerCuts []string
	// Limits describes the use of workers that named a limit.
	Limits []string
	// WarmUps describes what workers got in their warm-ups.
	WarmUps string
	// Outdated describes for how long entry VMs refused what the newest version allows.
	Outdated string
	// Endings describes, for each way in which answers were cut off or left out their length, what callers got.
	Endings []string
	// PeakMemoryBytes holds the peak resident memory of each VM's latest process.
	PeakMemoryBytes map[string]int64
	Steps           int
	Duration        time.Duration
	Folder          string
}

type soak struct {
	options          Options
	topology         topology
	fleet            *fleet
	network          *network
	records          *recorder
	workers          sync.Map // name to *workerSupervisor
	controlAddresses *addressList

	mu sync.Mutex
	// ready holds the results of the latest readiness checks by the names of entry VMs.
	ready map[string]bool
	// version is the newest version of the configuration that was sent or is about to be sent.
	version uint64
	// started is the start of the load.
	started  time.Time
	timeline strings.Builder
	// changeMu serializes calls of changeConfig.
	changeMu sync.Mutex
}

// workerSupervisor runs the successive incarnations of a worker at one address.
type workerSupervisor struct {
	name    string
	options workerOptions

	mu     sync.Mutex
	starts int
	// worker is the latest incarnation, nil if it could not be started.
	worker *worker
	// busy is set while a step disturbs the worker.
	busy bool
}

var errNotServing = errors.New("no request was served after the start")

// Run runs one seed. Violated promises are findings of the report; an error means that the run could not be carried
// out or was cancelled.
func Run(ctx context.Context, options Options) (*Report, error) {
	runStart := time.Now()
	folder := filepath.Join(options.Folder, fmt.Sprintf("seed-%d", options.Seed))
	if err := os.RemoveAll(folder); err != nil {
		return nil, fmt.Errorf("clear run folder: %w", err) // it may hold disks of an earlier run
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("create run folder: %w", err)
	}
	s := newSoak(options)
	defer s.network.close()
	defer s.stopWorkers()
	defer s.fleet.close()
	if err := s.start(ctx, folder); err != nil {
		return nil, err
	}
	plan := s.plan()
	findings := s.runPlan(ctx, plan)
	report := &Report{Seed: options.Seed, Findings: findings, Steps: len(plan), Duration: time.Since(runStart), Folder: folder, PeakMemoryBytes: s.fleet.peakMemory()}
	s.records.locked(func(r *Records) {
		for _, q := range r.Requests {
			report.Requests++
			if q.Reply.Status == servedStatus && q.Reply.Complete {
				report.Served++
			}
		}
		report.ServerCuts = describeServerCuts(r, time.Now())
		report.Endings = describeEndings(r)
		report.Outdated = describeOutdated(r)
		report.WarmUps = describeWarmUps(r)
		for _, use := range (&judgement{Records: r}).limitUses() {
			report.Limits = append(report.Limits, use.String())
		}
	})
	if ctx.Err() != nil {
		return report, ctx.Err()
	}
	if len(findings) == 0 && !options.Keep {
		return report, os.RemoveAll(folder)
	}
	return report, s.write(report, plan)
}

func (s *soak) plan() []Step {
	if s.options.plan != nil {
		return s.options.plan
	}
	steps := makePlan(s.options.Seed, s.topology)
	if s.options.ServerCuts {
		steps = addServerCuts(steps, s.options.Seed, s.topology)
	}
	if s.options.Series {
		steps = addSeries(steps, s.options.Seed, s.topology)
	}
	if s.options.Cold {
		steps = addCold(steps, s.options.Seed, s.topology) // before addTurnover, which leaves out steps of control VMs
	}
	if s.options.Turnover {
		steps = addTurnover(steps, s.options.Seed, s.topology)
	}
	if s.options.Evacuations {
		steps = addEvacuations(steps, s.options.Seed)
	}
	return steps
}

func newSoak(options Options) *soak {
	s := &soak{
		options: options, network: newNetwork(), records: newRecorder(), ready: map[string]bool{},
		topology: topology{entries: options.Entries, controls: options.Controls, models: options.Models, desks: options.Desks},
	}
	s.records.ControlVMs, s.records.ZoneOf = options.Controls, s.topology.zoneOf
	s.fleet = &fleet{
		settings: baseSettings, binary: cmp.Or(options.Previous, options.Binary), octet: octet(options.Block), network: s.network,
		nodes: map[string]*node{}, onExit: s.recordExit,
	}
	if options.Cold {
		s.fleet.settings.ColdRatio, s.fleet.settings.ColdAllowance = coldRatio, coldAllowance
	}
	return s
}

// octet returns the second octet of the loopback addresses of a block.
func octet(block int) int { return 10 + block%addressBlocks }

// recordExit records a process that ended without being told to, or a node that could not be restarted or wiped.
func (s *soak) recordExit(name, how string) {
	s.records.locked(func(r *Records) { r.UnexpectedExits = append(r.UnexpectedExits, name+" ended by itself: "+how) })
}

// start starts all processes and workers, sends the first configuration and waits until requests are served. It
// returns errNotServing if that takes longer than startTimeout.
func (s *soak) start(ctx context.Context, folder string) error {
	var controls []string
	for i := range s.topology.controls {
		controls = append(controls, s.controlAddress(vmNumber(i)))
	}
	s.controlAddresses = newAddressList(controls...)
	seeds := controls[:min(3, len(controls))]
	for i := range s.topology.controls + s.topology.entries {
		name, control := s.topology.control(i), i < s.topology.controls
		if !control {
			name = s.topology.entry(i - s.topology.controls)
		}
		if err := s.fleet.addVM(name, vmNumber(i), control, folder, seeds); err != nil {
			return err
		}
		s.records.vmByIP[s.fleet.ip(subnetVM, vmNumber(i))] = name
	}
	for name := range s.fleet.nodes {
		if err := s.fleet.start(name); err != nil {
			return err
		}
	}
	if err := s.addSuccessors(folder, seeds); err != nil {
		return err
	}
	for i := range s.topology.workers() {
		if err := s.addWorker(i); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	s.changeConfig(ctx, false)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		s.pollReadiness()
		if len(s.readyVMs()) == s.topology.entries && s.servesRequests() {
			return nil
		}
		pause.For(ctx, readyInterval)
	}
	return errors.Join(errNotServing, ctx.Err())
}

// servesRequests sends one request for each service to the first entry VM and reports whether both were served.
func (s *soak) servesRequests() bool {
	nonce := time.Now().UnixNano()
	for _, call := range []standin.Call{
		newCall(fmt.Sprintf("chat-%d", nonce), "/chat/a", steadyKey, true, 1000),
		newCall(fmt.Sprintf("look-%d", nonce), "/look/a", steadyKey, false, 0),
	} {
		s.records.locked(func(r *Records) {
			r.Requests[call.ID] = &Request{Call: call, Team: steadyTeam, StartedAt: time.Now()}
		})
		conn, err := standin.Connect(s.publicAddress(s.topology.entry(0)), connectTimeout)
		if err != nil {
			return false
		}
		reply := conn.Do(call)
		_ = conn.Close()
		if reply.Status != servedStatus {
			return false
		}
	}
	return true
}

func (s *soak) publicAddress(vm string) string {
	return address(s.fleet.nodes[vm].boot.Settings.Address, callersPort)
}

// runPlan runs the load and the steps of a plan and returns the findings. It stops the load at the first findings.
func (s *soak) runPlan(ctx context.Context, plan []Step) []Finding {
	s.started = time.Now()
	load, stopLoad := context.WithTimeout(ctx, cmp.Or(s.options.load, loadTime))
	defer stopLoad()
	background, stop := context.WithCancel(ctx)
	var clients, tasks sync.WaitGroup
	for number := range s.options.Clients {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)))
		c := &client{soak: s, number: number, random: random}
		clients.Go(func() { c.run(load) })
	}
	tasks.Go(func() { s.runBalancer(background) })
	tasks.Go(func() { s.readConfigRepeatedly(background) })
	for _, step := range plan {
		tasks.Go(func() {
			pause.For(load, time.Until(s.started.Add(step.At)))
			if load.Err() == nil {
				s.applyStep(background, step)
			}
		})
	}
	findings := s.watch(load)
	stopLoad()
	clients.Wait()
	s.records.locked(func(r *Records) { r.LoadEndedAt = time.Now() })
	if len(findings) == 0 {
		pause.For(ctx, settleTime)
	}
	s.readFinalConfig()
	stop()
	tasks.Wait()
	s.workers.Range(func(_, supervisor any) bool {
		w := supervisor.(*workerSupervisor)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.worker != nil {
			s.records.locked(func(r *Records) { r.ReservedTokens[w.worker.id] = w.worker.reservedTokens() })
		}
		return true
	})
	if len(findings) == 0 {
		s.records.locked(func(r *Records) { findings = judge(r, time.Now()) })
	}
	return findings
}

// watch checks the promises every judgeInterval until the load ends, and returns the first findings.
func (s *soak) watch(load context.Context) []Finding {
	for {
		pause.For(load, judgeInterval)
		if load.Err() != nil {
			return nil
		}
		if s.options.JudgeAtEnd {
			continue
		}
		var findings []Finding
		s.records.locked(func(r *Records) { findings = judge(r, time.Now()) })
		if len(findings) > 0 {
			return findings
		}
	}
}

// runBalancer updates the list of ready entry VMs until ctx ends.
func (s *soak) runBalancer(ctx context.Context) {
	for ctx.Err() == nil {
		s.pollReadiness()
		pause.For(ctx, readyInterval)
	}
}

// pollReadiness checks the readiness of all entry VMs concurrently and updates s.ready.
func (s *soak) pollReadiness() {
	var checks sync.WaitGroup
	for i := range s.topology.entries {
		name := s.topology.entry(i)
		checks.Go(func() {
			ready := standin.IsReady(s.fleet.nodes[name].boot.Settings.Readiness, readyInterval)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ready[name] = ready
		})
	}
	checks.Wait()
}

func (s *soak) readyVMs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for i := range s.topology.entries {
		if name := s.topology.entry(i); s.ready[name] {
			names = append(names, name)
		}
	}
	return names
}

// readyVM returns a random ready entry VM and its public address for callers. found is false if no entry VM is ready.
func (s *soak) readyVM(random *rand.Rand) (name, public string, found bool) {
	names := s.readyVMs()
	if len(names) == 0 {
		return "", "", false
	}
	name = names[random.IntN(len(names))]
	return name, s.publicAddress(name), true
}

// addToTimeline adds a line to the time line of the run.
func (s *soak) addToTimeline(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(&s.timeline, "%s %7.3f %s\n", now.UTC().Format("15:04:05.000"), now.Sub(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// write writes the findings, the plan and the time line to report.txt in the folder of the run.
func (s *soak) write(report *Report, plan []Step) error {
	var text strings.Builder
	flags := ""
	if s.options.ServerCuts {
		flags = " --cut-servers"
	}
	if s.options.Series {
		flags += " --series"
	}
	if s.options.Turnover {
		flags += " --turnover"
	}
	if s.options.Evacuations {
		flags += " --evacuations"
	}
	if s.options.Cold {
		flags += " --cold"
	}
	fmt.Fprintf(&text, "play again: godwityoke soak --seed %d --seeds 1 --entries %d --controls %d --models %d --desks %d --clients %d%s --keep\n\nfindings:\n",
		s.options.Seed, s.options.Entries, s.options.Controls, s.options.Models, s.options.Desks, s.options.Clients, flags)
	s.records.locked(func(r *Records) {
		for _, finding := range report.Findings {
			fmt.Fprintln(&text, finding)
			writeRequest(&text, r, finding.Request, s.started)
		}
	})
	for _, line := range slices.Concat(report.ServerCuts, report.Endings, report.Limits, []string{report.Outdated, report.WarmUps}) {
		fmt.Fprintln(&text, line)
	}
	fmt.Fprintln(&text, "\nplan:")
	for _, step := range plan {
		fmt.Fprintln(&text, step)
	}
	s.mu.Lock()
	fmt.Fprintf(&text, "\ntime line:\n%s", s.timeline.String())
	s.mu.Unlock()
	if err := os.WriteFile(filepath.Join(report.Folder, "report.txt"), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

// writeRequest writes a request as its client and the workers saw it.
func writeRequest(out io.Writer, r *Records, id string, started time.Time) {
	q := r.Requests[id]
	if q == nil {
		return
	}
	at := func(t time.Time) float64 { return t.Sub(started).Seconds() }
	fmt.Fprintf(out, "    %.3f sent to %s for %s, %.3f ended: status %d, whole %t, left %t, timed out %t, error %v\n",
		at(q.StartedAt), q.VM, q.Call.Path, at(q.Reply.EndedAt), q.Reply.Status, q.Reply.Complete, q.Reply.Disconnected, q.Reply.TimedOut, q.Reply.Err)
	for _, a := range r.Attempts[id] {
		fmt.Fprintf(out, "    %.3f at %s from %s, rejected %t, whole %t, %.3f ended\n", at(a.ReceivedAt), a.Server, a.SenderVM, a.Rejected, a.Completed, at(a.EndedAt))
	}
}

// signals holds the signals of the steps that send one signal to one process.
var signals = map[Kind]syscall.Signal{KindKill: syscall.SIGKILL, KindTerminate: syscall.SIGTERM, KindHangupSignal: syscall.SIGHUP}
