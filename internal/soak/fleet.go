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

	"godwityoke.example/godwityoke/platform/standin"
)

// restartPause is how long a process that ended stays down.
const restartPause = 300 * time.Millisecond

// bounds are the promises that the processes are started with.
var bounds = standin.Bounds{
	Heartbeat: 800 * time.Millisecond, Grace: 6 * time.Second, RetryRatio: 0.2, RetrySlack: 30, RetryWindow: 10 * time.Second,
}

// node is a VM: one process at a time.
type node struct {
	settings standin.Node
	folder   string

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
	n := &node{folder: folder, settings: standin.Node{
		Name: name, IP: public, Bind: own, Zone: f.zones[number%len(f.zones)], Control: control, Seeds: seeds, Bootstrap: true, Bounds: bounds,
	}}
	f.network.name(own, name)
	ports := []int{standin.FrontPort, standin.InternalPort}
	if control {
		n.settings.DataDir = filepath.Join(folder, name+".data")
		if err := os.MkdirAll(n.settings.DataDir, 0o700); err != nil {
			return fmt.Errorf("make a data folder: %w", err)
		}
		ports[0] = standin.ControlPort
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
	path := filepath.Join(n.folder, n.settings.Name+".yaml")
	if err := standin.WriteSettings(path, n.settings); err != nil {
		return err
	}
	output, err := os.OpenFile(filepath.Join(n.folder, n.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("open a log: %w", err)
	}
	command := exec.Command(f.binary, "platform", "serve", "--boot", path, "--bind", n.settings.Bind)
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		_ = output.Close()
		return fmt.Errorf("start %s: %w", n.settings.Name, err)
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
		f.onExit(n.settings.Name, fmt.Sprint(err))
	}
	time.Sleep(restartPause)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wanted && n.command == command {
		if err := f.startLocked(n); err != nil {
			f.onExit(n.settings.Name, err.Error())
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
	n.settings.Bootstrap = false
	if err := os.RemoveAll(n.settings.DataDir); err != nil {
		return fmt.Errorf("wipe the disk of %s: %w", name, err)
	}
	return os.MkdirAll(n.settings.DataDir, 0o700)
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
