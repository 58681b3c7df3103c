package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/site"
	"godwityoke.example/godwityoke/platform"
)

// restartDelay is the time between the end of a process or a worker and its restart.
const restartDelay = 300 * time.Millisecond

// baseSettings are the settings that all processes share. The judges take the retry budget from them.
var baseSettings = site.Settings{
	AnnounceInterval: 800 * time.Millisecond, StopLimit: 6 * time.Second, MemoryBytes: 256 << 20,
	RetryRatio: 0.2, RetryAllowance: 30, RetryWindow: 10 * time.Second,
}

// Ports of a VM: callersPort and readinessPort of an entry VM, controlPort of a control VM, internalPort of both.
const (
	callersPort   = 7300
	readinessPort = 7301
	controlPort   = 7302
	internalPort  = 7340
)

// zones are the zones of a run. VMs and workers are assigned to them in turn.
var zones = []string{"a", "b", "c"}

// node is a VM. It runs one process at a time.
type node struct {
	boot   platform.Boot
	folder string

	mu sync.Mutex
	// binary is the program of the next process.
	binary  string
	command *exec.Cmd
	// starts is the number of processes started, which is the incarnation of the latest one.
	starts int
	// shouldRun is set from the first start until the fleet is closed. While it is set, a process that ends is
	// replaced by a new one. stopRequested is set if the current process was sent a signal that ends it.
	shouldRun     bool
	stopRequested bool
	// exited is closed when the current process has ended.
	exited chan struct{}
}

// fleet runs the program under test as one process per VM.
type fleet struct {
	// settings are the settings that all VMs share, binary is the first program of each.
	settings site.Settings
	binary   string
	octet    int
	network  *network
	nodes    map[string]*node
	// onExit is called with the VM's name and the cause when a process ends without being told to, or can't be
	// restarted.
	onExit  func(name, how string)
	running sync.WaitGroup
}

func (f *fleet) ip(subnet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, subnet, number)
}

// Subnets of a run's address block (the third octet). VMs listen on addresses of subnetVM, workers on addresses of
// subnetWorker. Other nodes and the clients connect to the matching address of subnetVMPublic or subnetWorkerPublic,
// which the emulated network forwards.
const (
	subnetVM = iota + 1
	subnetVMPublic
	subnetWorker
	subnetWorkerPublic
)

// addVM prepares the settings of a VM and forwards its public addresses through the network. It starts no process.
func (f *fleet) addVM(name string, number int, control bool, folder string, seeds []string) error {
	own, public := f.ip(subnetVM, number), f.ip(subnetVMPublic, number)
	n := &node{folder: folder, binary: f.binary, boot: platform.Boot{Settings: f.settings, Entry: !control, Control: control}}
	settings := &n.boot.Settings
	settings.VM, settings.Zone, settings.Address, settings.Bind = name, zones[number%len(zones)], public, own
	settings.FirstPort, settings.LastPort, settings.Seeds, settings.Bootstrap = internalPort, internalPort+10, seeds, true
	f.network.setName(own, name)
	port := callersPort
	if control {
		port = controlPort
		settings.Control = address(own, controlPort)
		settings.DataDir = filepath.Join(folder, name+".data")
		if err := os.MkdirAll(settings.DataDir, 0o700); err != nil {
			return fmt.Errorf("create data folder: %w", err)
		}
	} else {
		settings.Callers, settings.Readiness = address(own, callersPort), address(own, readinessPort)
	}
	if err := f.network.forward(address(public, port), address(own, port), name); err != nil {
		return fmt.Errorf("forward to %s: %w", name, err)
	}
	if !control {
		f.network.forwardWhileListening(address(public, internalPort), address(own, internalPort), name)
	} else if err := f.network.forward(address(public, internalPort), address(own, internalPort), name); err != nil {
		return fmt.Errorf("forward to %s: %w", name, err)
	}
	f.nodes[name] = n
	return nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the process of a VM. Whenever the process ends, a new one is started after restartDelay.
func (f *fleet) start(name string) error {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shouldRun = true
	return f.startLocked(n)
}

// startLocked starts the next process of n. The caller must hold n.mu.
func (f *fleet) startLocked(n *node) error {
	name := n.boot.Settings.VM
	content, err := platform.EncodeBoot(&n.boot)
	if err != nil {
		return err
	}
	path := filepath.Join(n.folder, name+".yaml")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return fmt.Errorf("write the boot file of %s: %w", name, err)
	}
	output, err := os.OpenFile(filepath.Join(n.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open a log file: %w", err)
	}
	command := exec.Command(n.binary, "platform", "serve", "--boot", path, "--bind", n.boot.Settings.Bind)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = output.Close()
		return fmt.Errorf("start %s: %w", name, err)
	}
	n.command, n.stopRequested = command, false
	n.starts++
	n.exited = make(chan struct{})
	f.running.Go(func() { f.waitAndRestart(n, command, n.exited, output) })
	return nil
}

// waitAndRestart waits for the end of a process and, if n.shouldRun is set, starts the next one after restartDelay.
func (f *fleet) waitAndRestart(n *node, command *exec.Cmd, exited chan struct{}, output *os.File) {
	err := command.Wait()
	_ = output.Close()
	close(exited)
	n.mu.Lock()
	unexpected := !n.stopRequested
	n.mu.Unlock()
	if unexpected {
		f.onExit(n.boot.Settings.VM, fmt.Sprint(err))
	}
	time.Sleep(restartDelay)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.shouldRun && n.command == command {
		if err := f.startLocked(n); err != nil {
			f.onExit(n.boot.Settings.VM, err.Error())
		}
	}
}

// signal sends a signal to the process of a VM. After a signal that ends the process, its exit is not reported to
// onExit.
func (f *fleet) signal(name string, signal syscall.Signal) {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.stopRequested = true
	}
	_ = n.command.Process.Signal(signal) // the process may have ended already
}

// replace stops the process of a VM, which binary replaces.
func (f *fleet) replace(name, binary string) {
	n := f.nodes[name]
	n.mu.Lock()
	n.binary = binary
	n.mu.Unlock()
	f.signal(name, syscall.SIGTERM)
}

// wipe kills the process of a VM and deletes its data folder. The next process starts without bootstrapping a group,
// as on a replaced disk.
func (f *fleet) wipe(name string) error {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stopRequested = true
	_ = n.command.Process.Kill() // the process may have ended already
	<-n.exited
	n.boot.Settings.Bootstrap = false
	if err := os.RemoveAll(n.boot.Settings.DataDir); err != nil {
		return fmt.Errorf("wipe the disk of %s: %w", name, err)
	}
	return os.MkdirAll(n.boot.Settings.DataDir, 0o700)
}

// incarnation returns the incarnation of a VM's latest process, counted from 1.
func (f *fleet) incarnation(name string) int {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// peakMemory returns the peak resident memory in bytes of the latest process of each VM. It
// leaves out processes that have ended.
func (f *fleet) peakMemory() map[string]int64 {
	peaks := map[string]int64{}
	for name, n := range f.nodes {
		n.mu.Lock()
		if n.command == nil {
			n.mu.Unlock()
			continue // a successor that was not needed
		}
		status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
		n.mu.Unlock()
		if err != nil {
			continue // the process has just ended
		}
		for line := range strings.Lines(string(status)) {
			kilobytes, found := strings.CutPrefix(line, "VmHWM:")
			if value, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kilobytes), "kB")), 10, 64); found && err == nil {
				peaks[name] = value << 10
			}
		}
	}
	return peaks
}

// close kills all processes and waits for their end.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.shouldRun, n.stopRequested = false, true
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
		}
		n.mu.Unlock()
	}
	f.running.Wait()
}
