// Package soak runs the real programs as separate processes on loopback, hurts
// them from outside by faults from a seed, and judges the promises of the
// platform by what callers and backend servers see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/pause"
	"godwityoke.example/godwityoke/platform/standin"
)

const (
	// startTime bounds the start of all processes until requests are served.
	startTime = 20 * time.Second
	// settleTime is the quiet at the end, after which nothing may be reserved.
	settleTime = 4500 * time.Millisecond
	// judgeInterval is how often the promises are checked while it runs.
	judgeInterval = 2 * time.Second
	// readyInterval is how often the balancer asks VMs whether they are ready.
	readyInterval = 250 * time.Millisecond
	// orderPatience is how long the operator waits for an answer.
	orderPatience = time.Second
	// orderRetries bounds the sendings of one change.
	orderRetries = 30
	workerSlots  = 6
	workerPort   = 7400
	// addressBlocks are the blocks of loopback addresses that runs may use.
	addressBlocks = 200
)

// Options describe a run.
type Options struct {
	// Binary is the program that runs.
	Binary string
	Seed   uint64
	// Block tells runs on one machine apart, from 0 to 199.
	Block int
	// Folder takes what a run writes; it stays after a failure or with Keep.
	Folder string
	Keep   bool
	// Entries, Controls, Models and Desks are the processes and workers.
	Entries, Controls, Models, Desks int
	Clients                          int
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Findings []Finding
	Requests int
	Served   int
	Steps    int
	Duration time.Duration
	Folder   string
}

type soak struct {
	options Options
	shape   shape
	fleet   *fleet
	network *network
	records *recorder
	workers sync.Map // name to *workerSeat
	control []string

	mu      sync.Mutex
	ready   map[string]bool
	version uint64
	started time.Time
	journal strings.Builder
	changes sync.Mutex
}

// workerSeat is a worker and its successors at one address.
type workerSeat struct {
	name    string
	options workerOptions

	mu     sync.Mutex
	starts int
	worker *worker
	busy   bool
}

var errNotServing = errors.New("no request was served after the start")

// Run plays one seed. The error tells that the run itself was not possible.
func Run(ctx context.Context, options Options) (*Report, error) {
	begun := time.Now()
	folder := filepath.Join(options.Folder, fmt.Sprintf("seed-%d", options.Seed))
	if err := os.RemoveAll(folder); err != nil {
		return nil, fmt.Errorf("clear the folder of a run: %w", err) // disks of an earlier run
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("make the folder of a run: %w", err)
	}
	s := newSoak(options)
	defer s.network.close()
	defer s.stopWorkers()
	defer s.fleet.close()
	if err := s.start(ctx, folder); err != nil {
		return nil, err
	}
	plan := makePlan(options.Seed, s.shape)
	findings := s.play(ctx, plan)
	report := &Report{Seed: options.Seed, Findings: findings, Steps: len(plan), Duration: time.Since(begun), Folder: folder}
	s.records.locked(func(r *Records) {
		for _, q := range r.Requests {
			report.Requests++
			if q.Reply.Status == servedStatus && q.Reply.Complete {
				report.Served++
			}
		}
	})
	if ctx.Err() != nil {
		return report, ctx.Err()
	}
	if len(findings) == 0 && !options.Keep {
		return report, os.RemoveAll(folder)
	}
	return report, s.write(folder, plan, findings)
}

func newSoak(options Options) *soak {
	s := &soak{
		options: options, network: newNetwork(), records: newRecorder(), ready: map[string]bool{},
		shape: shape{entries: options.Entries, controls: options.Controls, models: options.Models, desks: options.Desks},
	}
	s.fleet = &fleet{
		binary: options.Binary, octet: 10 + options.Block%addressBlocks, zones: []string{"a", "b", "c"}, network: s.network,
		nodes: map[string]*node{}, onExit: s.exited,
	}
	return s
}

// exited notes that a process ended by itself.
func (s *soak) exited(name, how string) {
	s.records.locked(func(r *Records) { r.UnexpectedExits = append(r.UnexpectedExits, name+" ended by itself: "+how) })
}

// start starts everything and waits until requests are served.
func (s *soak) start(ctx context.Context, folder string) error {
	var seeds []string
	for i := range s.shape.controls {
		public := address(s.fleet.ip(partVMPublic, 1+i), controlPort)
		s.control = append(s.control, public)
		if i < 3 {
			seeds = append(seeds, public)
		}
	}
	for i := range s.shape.controls + s.shape.entries {
		name, control := s.shape.control(i), i < s.shape.controls
		if !control {
			name = s.shape.entry(i - s.shape.controls)
		}
		if err := s.fleet.addVM(name, 1+i, control, folder, seeds); err != nil {
			return err
		}
		s.records.vmOf[s.fleet.ip(partVM, 1+i)] = name
	}
	for name := range s.fleet.nodes {
		if err := s.fleet.start(name); err != nil {
			return err
		}
	}
	for i := range s.shape.workers() {
		if err := s.addWorker(i); err != nil {
			return err
		}
	}
	limit := time.Now().Add(startTime)
	s.change(ctx, false)
	for time.Now().Before(limit) && ctx.Err() == nil {
		s.askReady()
		if len(s.readyVMs()) == s.shape.entries && s.serves() {
			return nil
		}
		pause.For(ctx, readyInterval)
	}
	return errors.Join(errNotServing, ctx.Err())
}

// serves tells whether a request of each service is answered.
func (s *soak) serves() bool {
	attempt := time.Now().UnixNano()
	for _, call := range []standin.Call{
		newCall(fmt.Sprintf("chat-%d", attempt), "/chat/a", steadyKey, true, 1000),
		newCall(fmt.Sprintf("look-%d", attempt), "/look/a", steadyKey, false, 0),
	} {
		s.records.locked(func(r *Records) {
			r.Requests[call.ID] = &Request{Call: call, Team: steadyTeam, StartedAt: time.Now()}
		})
		conn, err := standin.Connect(s.public(s.shape.entry(0)), connectPatience)
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

func (s *soak) public(vm string) string {
	return address(s.fleet.nodes[vm].boot.Settings.Address, frontPort)
}

// play runs the load and the steps of a plan, and returns what was found.
func (s *soak) play(ctx context.Context, plan []Step) []Finding {
	s.started = time.Now()
	load, stopLoad := context.WithTimeout(ctx, loadTime)
	defer stopLoad()
	background, stop := context.WithCancel(ctx)
	var clients, others sync.WaitGroup
	for number := range s.options.Clients {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(number)))
		c := &client{soak: s, number: number, random: random}
		clients.Go(func() { c.run(load) })
	}
	others.Go(func() { s.balance(background) })
	others.Go(func() { s.readBack(background) })
	for _, step := range plan {
		others.Go(func() {
			pause.For(load, time.Until(s.started.Add(step.At)))
			if load.Err() == nil {
				s.apply(background, step)
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
	s.readOnce()
	stop()
	others.Wait()
	s.workers.Range(func(_, seat any) bool {
		w := seat.(*workerSeat)
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.worker != nil {
			s.records.locked(func(r *Records) { r.ReservedTokens[w.worker.id] = w.worker.reserved() })
		}
		return true
	})
	if len(findings) == 0 {
		s.records.locked(func(r *Records) { findings = judge(r, time.Now()) })
	}
	return findings
}

// watch judges while the load runs and returns at the first findings.
func (s *soak) watch(load context.Context) []Finding {
	for {
		pause.For(load, judgeInterval)
		if load.Err() != nil {
			return nil
		}
		var findings []Finding
		s.records.locked(func(r *Records) { findings = judge(r, time.Now()) })
		if len(findings) > 0 {
			return findings
		}
	}
}

// balance keeps the list of VMs that take clients.
func (s *soak) balance(ctx context.Context) {
	for ctx.Err() == nil {
		s.askReady()
		pause.For(ctx, readyInterval)
	}
}

func (s *soak) askReady() {
	var all sync.WaitGroup
	for i := range s.shape.entries {
		name := s.shape.entry(i)
		all.Go(func() {
			ready := standin.IsReady(s.fleet.nodes[name].boot.Settings.Readiness, readyInterval)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.ready[name] = ready
		})
	}
	all.Wait()
}

func (s *soak) readyVMs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for i := range s.shape.entries {
		if name := s.shape.entry(i); s.ready[name] {
			names = append(names, name)
		}
	}
	return names
}

func (s *soak) readyVM(random *rand.Rand) (name, public string, found bool) {
	names := s.readyVMs()
	if len(names) == 0 {
		return "", "", false
	}
	name = names[random.IntN(len(names))]
	return name, s.public(name), true
}

// note adds a line to the time line of the run.
func (s *soak) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	fmt.Fprintf(&s.journal, "%s %7.3f %s\n", now.UTC().Format("15:04:05.000"), now.Sub(s.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// write keeps what is needed to explain a failure.
func (s *soak) write(folder string, plan []Step, findings []Finding) error {
	var text strings.Builder
	fmt.Fprintf(&text, "play again: godwityoke soak --seed %d --seeds 1 --entries %d --controls %d --models %d --desks %d --clients %d --keep\n\nfindings:\n",
		s.options.Seed, s.options.Entries, s.options.Controls, s.options.Models, s.options.Desks, s.options.Clients)
	s.records.locked(func(r *Records) {
		for _, finding := range findings {
			fmt.Fprintln(&text, finding)
			writeRequest(&text, r, finding.Request, s.started)
		}
	})
	fmt.Fprintln(&text, "\nplan:")
	for _, step := range plan {
		fmt.Fprintln(&text, step)
	}
	s.mu.Lock()
	fmt.Fprintf(&text, "\ntime line:\n%s", s.journal.String())
	s.mu.Unlock()
	if err := os.WriteFile(filepath.Join(folder, "report.txt"), []byte(text.String()), 0o600); err != nil {
		return fmt.Errorf("write the report of a run: %w", err)
	}
	return nil
}

// writeRequest adds what client and workers saw of a request.
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

// signals of the kinds of steps that are one signal.
var signals = map[Kind]syscall.Signal{KindKill: syscall.SIGKILL, KindTerminate: syscall.SIGTERM, KindHangupSignal: syscall.SIGHUP}
