package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"godwityoke.example/godwityoke/internal/site"
	"godwityoke.example/godwityoke/platform"
)

// restartPause is how long a process that ended stays down.
const restartPause = 300 * time.Millisecond

// bounds are the promises that the processes are started with.
var bounds = site.Settings{
	AnnounceInterval: 800 * time.Millisecond, StopLimit: 6 * time.Second, MemoryBytes: 256 << 20,
	RetryRatio: 0.2, RetryAllowance: 30, RetryWindow: 10 * time.Second,
}

// Ports of every VM.
const (
	frontPort    = 7300
	readyPort    = 7301
	controlPort  = 7302
	internalPort = 7340
)

// node is a VM: one process at a time.
type node struct {
	boot   platform.Boot
	folder string

	mu      sync.Mutex
	command *exec.Cmd
	// starts counts the incarnations.
	starts int
	// wanted is set while the process should run, ending while it was told to
	// end.
	wanted bool
	ending bool
	exited chan struct{}
}

// fleet runs the real programs.
type fleet struct {
	binary  string
	octet   int
	zones   []string
	network *network
	nodes   map[string]*node
	// onExit is told of a process that ended by itself.
	onExit  func(name, how string)
	running sync.WaitGroup
}

func (f *fleet) ip(part, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.octet, part, number)
}

// Parts of the address space: own addresses of VMs and workers, and the public
// ones by which others reach them through the network.
const (
	partVM = iota + 1
	partVMPublic
	partWorker
	partWorkerPublic
)

// addVM prepares a VM and its way through the network.
func (f *fleet) addVM(name string, number int, control bool, folder string, seeds []string) error {
	own, public := f.ip(partVM, number), f.ip(partVMPublic, number)
	n := &node{folder: folder, boot: platform.Boot{Settings: bounds, Entry: !control, Control: control}}
	settings := &n.boot.Settings
	settings.VM, settings.Zone, settings.Address, settings.Bind = name, f.zones[number%len(f.zones)], public, own
	settings.FirstPort, settings.LastPort, settings.Seeds, settings.Bootstrap = internalPort, internalPort+10, seeds, true
	f.network.name(own, name)
	ports := []int{frontPort, internalPort}
	if control {
		ports[0] = controlPort
		settings.Control = address(own, controlPort)
		settings.DataDir = filepath.Join(folder, name+".data")
		if err := os.MkdirAll(settings.DataDir, 0o700); err != nil {
			return fmt.Errorf("make a data folder: %w", err)
		}
	} else {
		settings.Callers, settings.Readiness = address(own, frontPort), address(own, readyPort)
	}
	for _, port := range ports {
		if err := f.network.forward(address(public, port), address(own, port), name); err != nil {
			return fmt.Errorf("forward to %s: %w", name, err)
		}
	}
	f.nodes[name] = n
	return nil
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// start starts the process of a VM and restarts it whenever it ends.
func (f *fleet) start(name string) error {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wanted = true
	return f.startLocked(n)
}

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
		return fmt.Errorf("open a log: %w", err)
	}
	command := exec.Command(f.binary, "platform", "serve", "--boot", path, "--bind", n.boot.Settings.Bind)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = output.Close()
		return fmt.Errorf("start %s: %w", name, err)
	}
	n.command, n.ending = command, false
	n.starts++
	n.exited = make(chan struct{})
	f.running.Go(func() { f.await(n, command, n.exited, output) })
	return nil
}

// await starts a process again after its end.
func (f *fleet) await(n *node, command *exec.Cmd, exited chan struct{}, output *os.File) {
	err := command.Wait()
	_ = output.Close()
	close(exited)
	n.mu.Lock()
	unasked := !n.ending
	n.mu.Unlock()
	if unasked {
		f.onExit(n.boot.Settings.VM, fmt.Sprint(err))
	}
	time.Sleep(restartPause)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wanted && n.command == command {
		if err := f.startLocked(n); err != nil {
			f.onExit(n.boot.Settings.VM, err.Error())
		}
	}
}

// signal sends a signal to the process of a VM. Signals that end it are marked,
// so that its end is not taken for its own.
func (f *fleet) signal(name string, signal syscall.Signal) {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		n.ending = true
	}
	_ = n.command.Process.Signal(signal) // it may have ended already
}

// wipe kills a VM, and has it start again without its disk.
func (f *fleet) wipe(name string) error {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ending = true
	_ = n.command.Process.Kill() // it may have ended already
	<-n.exited
	n.boot.Settings.Bootstrap = false
	if err := os.RemoveAll(n.boot.Settings.DataDir); err != nil {
		return fmt.Errorf("wipe the disk of %s: %w", name, err)
	}
	return os.MkdirAll(n.boot.Settings.DataDir, 0o700)
}

// incarnation tells which process of a VM runs.
func (f *fleet) incarnation(name string) int {
	n := f.nodes[name]
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.starts
}

// close ends all processes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		n.mu.Lock()
		n.wanted, n.ending = false, true
		if n.command != nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
		}
		n.mu.Unlock()
	}
	f.running.Wait()
}
