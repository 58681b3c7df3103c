package distribute

import (
	"slices"
	"strings"
	"sync"
	"time"

	"godwityoke.example/godwityoke/internal/backendapi"
	"godwityoke.example/godwityoke/internal/distribute/distributepb"
)

const (
	// reportLife is the age after which a report is forgotten.
	reportLife = 10 * time.Minute
	// maxReports bounds the VMs whose reports are kept.
	maxReports = 4096
	// maxReportNameBytes bounds the names in a report.
	maxReportNameBytes = 128
	// maxReportServers bounds the backend servers of one report.
	maxReportServers = 1024
	// maxServerModels bounds the models of one backend server.
	maxServerModels = 64
)

// BackendServer is a backend server that a VM is responsible for.
type BackendServer struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Address is "ip:port".
	Address       string
	Kind          backendapi.Kind
	Role          backendapi.Role
	Models        []backendapi.ServedModel
	ChecksFencing bool
}

// Report is what one VM told of itself.
type Report struct {
	VM      string
	Zone    string
	Control bool
	// Version in force on the VM, 0 for none.
	Version uint64
	Digest  string
	Servers []BackendServer
	// ConfirmedAt is when the VM last confirmed the report, by the clock of
	// the VM that received it.
	ConfirmedAt time.Time
}

// Reports holds the newest report of each VM that reports to this one,
// directly or through others. It is safe for concurrent use.
type Reports struct {
	mu      sync.Mutex
	byVM    map[string]*heldReport
	changed chan struct{}
}

type heldReport struct {
	message     *distributepb.Report
	confirmedAt time.Time
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{byVM: map[string]*heldReport{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed at the next changed report.
func (r *Reports) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Merge takes received reports, and returns the VMs whose report has changed
// without its body being known here.
func (r *Reports) Merge(received []*distributepb.Report, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var want []string
	for _, report := range received {
		if !acceptable(report) {
			continue
		}
		if !r.mergeOne(report, now) {
			want = append(want, report.GetVm())
		}
	}
	return want
}

// acceptable reports whether a report keeps the bounds of what is held for one
// VM.
func acceptable(report *distributepb.Report) bool {
	servers := report.GetBody().GetServers()
	if !boundedName(report.GetVm()) || len(report.GetZone()) > maxReportNameBytes || len(servers) > maxReportServers {
		return false
	}
	return !slices.ContainsFunc(servers, func(server *distributepb.Server) bool {
		return !boundedName(server.GetId()) || !boundedName(server.GetAddress()) || len(server.GetModels()) > maxServerModels
	})
}

func boundedName(name string) bool { return name != "" && len(name) <= maxReportNameBytes }

// mergeOne reports whether the body of the report is known.
func (r *Reports) mergeOne(report *distributepb.Report, now time.Time) bool {
	age := min(max(report.GetAgeMs(), 0), reportLife.Milliseconds())
	confirmedAt := now.Add(-time.Duration(age) * time.Millisecond)
	held, found := r.byVM[report.GetVm()]
	order := -1
	if found {
		order = compareReports(held.message, report)
	}
	switch {
	case order > 0:
		return true
	case order == 0:
		if confirmedAt.After(held.confirmedAt) {
			held.confirmedAt = confirmedAt
		}
		return true
	case report.GetBody() == nil:
		return false
	case !found && len(r.byVM) >= maxReports:
		return true
	}
	r.byVM[report.GetVm()] = &heldReport{message: report, confirmedAt: confirmedAt}
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// compareReports orders two reports of one VM by age, older first.
func compareReports(a, b *distributepb.Report) int {
	if a.GetIncarnation() != b.GetIncarnation() {
		return compareNumbers(a.GetIncarnation(), b.GetIncarnation())
	}
	return compareNumbers(a.GetSequence(), b.GetSequence())
}

func compareNumbers(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// forget drops reports older than reportLife. The caller holds the lock.
func (r *Reports) forget(now time.Time) {
	for vm, held := range r.byVM {
		if now.Sub(held.confirmedAt) > reportLife {
			delete(r.byVM, vm)
		}
	}
}

// messages returns the reports as they are passed on at now, with their age
// and body.
func (r *Reports) messages(now time.Time) []*distributepb.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	messages := make([]*distributepb.Report, 0, len(r.byVM))
	for _, held := range r.byVM {
		age := now.Sub(held.confirmedAt)
		message := held.message
		messages = append(messages, &distributepb.Report{
			Vm: message.GetVm(), Zone: message.GetZone(), Control: message.GetControl(),
			Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(),
			AgeMs: age.Milliseconds(), Body: message.GetBody(),
		})
	}
	return messages
}

// All returns the reports that count at now, ordered by VM name.
func (r *Reports) All(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forget(now)
	all := make([]Report, 0, len(r.byVM))
	for _, held := range r.byVM {
		all = append(all, reportOf(held))
	}
	slices.SortFunc(all, func(a, b Report) int { return strings.Compare(a.VM, b.VM) })
	return all
}

func reportOf(held *heldReport) Report {
	message := held.message
	report := Report{
		VM:          message.GetVm(),
		Zone:        message.GetZone(),
		Control:     message.GetControl(),
		Version:     message.GetBody().GetVersion(),
		Digest:      message.GetBody().GetDigest(),
		ConfirmedAt: held.confirmedAt,
	}
	for _, server := range message.GetBody().GetServers() {
		report.Servers = append(report.Servers, serverOf(server))
	}
	return report
}

func serverOf(message *distributepb.Server) BackendServer {
	server := BackendServer{
		ID:            message.GetId(),
		Incarnation:   message.GetIncarnation(),
		Zone:          message.GetZone(),
		Address:       message.GetAddress(),
		Kind:          backendapi.Kind(message.GetKind()),
		Role:          backendapi.Role(message.GetRole()),
		ChecksFencing: message.GetChecksFencing(),
	}
	for _, model := range message.GetModels() {
		server.Models = append(server.Models, backendapi.ServedModel{
			Name: model.GetName(), Version: model.GetVersion(), Adapters: model.GetAdapters(),
		})
	}
	return server
}

func serverMessage(server BackendServer) *distributepb.Server {
	message := &distributepb.Server{
		Id:            server.ID,
		Incarnation:   server.Incarnation,
		Zone:          server.Zone,
		Address:       server.Address,
		Kind:          string(server.Kind),
		Role:          string(server.Role),
		ChecksFencing: server.ChecksFencing,
	}
	for _, model := range server.Models {
		message.Models = append(message.Models, &distributepb.Model{
			Name: model.Name, Version: model.Version, Adapters: model.Adapters,
		})
	}
	return message
}
