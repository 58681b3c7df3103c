// Command review-standin runs the programs of the deploy file as separate processes on
// loopback addresses, together with stand-ins for the workers, the clients and the
// operator, and checks one rule. See review/REPORT.md.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	portFront    = 7300
	portReady    = 7301
	portControl  = 7302
	portInternal = 7340
	program      = "target/godwityoke"
	heartbeat    = 1200 * time.Millisecond
)

var zoneNames = []string{"z-a", "z-b", "z-c"}

// record is the file record.txt, with times relative to the start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) add(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, arguments...)...)
}

// machine is one VM with one process at a time.
type machine struct {
	name, ip, zone, role string
	command              *exec.Cmd
}

// fleet is a small deployment on loopback addresses of one block.
type fleet struct {
	block    int
	folder   string
	record   *record
	machines []*machine
	client   *http.Client
}

func (f *fleet) ip(subnet, number int) string {
	return fmt.Sprintf("127.%d.%d.%d", f.block, subnet, number)
}

func join(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// newFleet returns a fleet on a block of loopback addresses whose ports are free.
func newFleet(record *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: record, client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for f.block = 60 + os.Getpid()%100; f.block < 200; f.block++ {
		listener, err := net.Listen("tcp", join(f.ip(1, 1), portInternal))
		if err == nil {
			_ = listener.Close()
			running.Store(f)
			return f, nil
		}
	}
	return nil, fmt.Errorf("no free block of loopback addresses")
}

// add adds a machine; role is "front" or "control".
func (f *fleet) add(role string, number int) {
	subnet := 1
	if role == "front" {
		subnet = 2
	}
	f.machines = append(f.machines, &machine{
		name: fmt.Sprintf("%s-%d", role, number), ip: f.ip(subnet, number), zone: zoneNames[(number-1)%len(zoneNames)], role: role,
	})
}

// bootFile returns the settings file of a machine, in the format of DEPLOY.md.
func (f *fleet) bootFile(m *machine, bootstrap bool) string {
	var seeds []string
	for _, other := range f.machines {
		if other.role == "control" && len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", join(other.ip, portControl)))
		}
	}
	listen, dataDir, class := fmt.Sprintf("{front: %q, ready: %q}", join(m.ip, portFront), join(m.ip, portReady)), "null", "front"
	if m.role == "control" {
		class, dataDir = "core", fmt.Sprintf("%q", filepath.Join(f.folder, m.name))
		listen = fmt.Sprintf("{control: %q}", join(m.ip, portControl))
	}
	return fmt.Sprintf(`node_name: %q
role: %q
machine_class: %q
serves: [%q]
ip: %q
zone: %q
region: "r"
zones: {z-a: "r", z-b: "r", z-c: "r"}
listen: %s
internal_port_range: [%d, %d]
seeds: [%s]
bootstrap: %t
tolerance_member: %t
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, max_fds: 4200, link_mbps: 1000.0, disk_mb: 128}
data_dir: %s
discovery: "registry"
entry: "vip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "spans"]
fault_tolerance: {machines: 1, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, addr_reuse_s: 2, contact_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, max_stretch_ms: 5000, retry_budget_ratio: 0.2, budget_window_s: 10, budget_slack: 100, recover_s: 12}
config_mode: "highest"
`, m.name, m.role, class, m.role, m.ip, m.zone, listen, portInternal, portInternal+15, strings.Join(seeds, ", "),
		bootstrap, m.role == "control", dataDir)
}

// start starts the process of a machine.
func (f *fleet) start(m *machine, bootstrap bool) error {
	path := filepath.Join(f.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(f.bootFile(m, bootstrap)), 0o600); err != nil {
		return err
	}
	if m.role == "control" {
		if err := os.MkdirAll(filepath.Join(f.folder, m.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(program, "platform", "serve")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GODWITYOKE_NODE_FILE=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	m.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	err = m.command.Start()
	_ = log.Close()
	return err
}

// startAll starts all machines at the same time.
func (f *fleet) startAll(bootstrap bool) error {
	for _, m := range f.machines {
		if err := f.start(m, bootstrap); err != nil {
			return err
		}
	}
	return nil
}

// kill ends the process of a machine with SIGKILL and waits for its end.
func (m *machine) kill() {
	if m.command == nil {
		return
	}
	_ = m.command.Process.Kill() // it may have ended already
	_ = m.command.Wait()
	m.command = nil
}

func (f *fleet) killAll() {
	for _, m := range f.machines {
		m.kill()
	}
}

// close ends all processes and removes the files of the fleet.
func (f *fleet) close() {
	f.killAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// interrupt kills the processes without waiting for them, and removes the files of the fleet.
func (f *fleet) interrupt() {
	for _, m := range f.machines {
		if command := m.command; command != nil && command.Process != nil {
			_ = command.Process.Kill() // it may have ended already
		}
	}
	_ = os.RemoveAll(f.folder)
}

// machinesOf returns the machines of a role.
func (f *fleet) machinesOf(role string) []*machine {
	var found []*machine
	for _, m := range f.machines {
		if m.role == role {
			found = append(found, m)
		}
	}
	return found
}

// post sends a JSON body to one control VM and returns the status, 0 without an answer.
func (f *fleet) post(m *machine, path string, body any) int {
	content, isRaw := body.([]byte)
	if !isRaw {
		content, _ = json.Marshal(body) // maps of plain values
	}
	response, err := f.client.Post("http://"+join(m.ip, portControl)+path, "application/json", bytes.NewReader(content))
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// postAny sends a JSON body to one control VM after another until one acknowledges it.
func (f *fleet) postAny(path string, body any, within time.Duration) bool {
	controls := f.machinesOf("control")
	for i, deadline := 0, time.Now().Add(within); time.Now().Before(deadline); i++ {
		if f.post(controls[i%len(controls)], path, body) == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
