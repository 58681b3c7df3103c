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
	// maxReportAge is the time after its last confirmation at which a report expires.
	maxReportAge = 10 * time.Minute
	// maxReports is the maximum number of VMs whose reports are stored.
	maxReports = 4096
	// maxReportNameBytes is the maximum length of a VM name, a zone, a server ID or an address in a report.
	maxReportNameBytes = 128
	// maxReportServers is the maximum number of backend servers in one report.
	maxReportServers = 1024
	// maxServerModels is the maximum number of models of one backend server.
	maxServerModels = 64
)

// BackendServer is a backend server that a VM is responsible for.
type BackendServer struct {
	ID          string
	Incarnation uint64
	Zone        string
	// Address is "ip:port".
	Address string
	Kind    backendapi.Kind
	Role    backendapi.Role
	Models  []backendapi.ServedModel
	// ChecksFencing is true if the server refuses orders with a stale fencing token.
	ChecksFencing bool
}

// Report is the state that one VM reports about itself.
type Report struct {
	VM   string
	Zone string
	// Control is true for a control VM.
	Control bool
	// Version is the version of the bundle in force on the VM, 0 for none.
	Version uint64
	// Digest is the digest of that bundle, empty for none.
	Digest  string
	Servers []BackendServer
	// ConfirmedAt is when the VM last confirmed the report. It is the receiver's clock minus the age in the message.
	ConfirmedAt time.Time
}

// Reports stores the newest report of each VM that reports to this VM, directly or through other VMs. It is safe for
// concurrent use.
type Reports struct {
	mu   sync.Mutex
	byVM map[string]*storedReport
	// changed is closed and replaced when a new or changed report is stored.
	changed chan struct{}
}

type storedReport struct {
	message     *distributepb.Report
	confirmedAt time.Time
}

// NewReports returns an empty set of reports.
func NewReports() *Reports {
	return &Reports{byVM: map[string]*storedReport{}, changed: make(chan struct{})}
}

// Changed returns a channel that is closed when the next new or changed report is stored.
func (r *Reports) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Merge stores received reports that are newer than the stored ones, updates the confirmation time of unchanged ones,
// and ignores superseded and invalid ones. It returns the VMs whose newer report came without a body, which the sender
// then has to send.
func (r *Reports) Merge(received []*distributepb.Report, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var unknownVMs []string
	for _, report := range received {
		if !isWithinBounds(report) {
			continue
		}
		if !r.mergeOne(report, now) {
			unknownVMs = append(unknownVMs, report.GetVm())
		}
	}
	return unknownVMs
}

// isWithinBounds reports whether the VM name, the zone and the number of servers of a report, and the ID, the address
// and the number of models of each server are within their bounds.
func isWithinBounds(report *distributepb.Report) bool {
	servers := report.GetBody().GetServers()
	if !isValidName(report.GetVm()) || len(report.GetZone()) > maxReportNameBytes || len(servers) > maxReportServers {
		return false
	}
	return !slices.ContainsFunc(servers, func(server *distributepb.Server) bool {
		return !isValidName(server.GetId()) || !isValidName(server.GetAddress()) || len(server.GetModels()) > maxServerModels
	})
}

func isValidName(name string) bool { return name != "" && len(name) <= maxReportNameBytes }

// mergeOne merges one report. It returns false if the report is newer than the stored one but has no body. A report of
// a further VM is dropped when maxReports reports are stored. The caller holds r.mu.
func (r *Reports) mergeOne(report *distributepb.Report, now time.Time) bool {
	age := min(max(report.GetAgeMs(), 0), maxReportAge.Milliseconds())
	confirmedAt := now.Add(-time.Duration(age) * time.Millisecond)
	stored, found := r.byVM[report.GetVm()]
	order := -1
	if found {
		order = compareReports(stored.message, report)
	}
	switch {
	case order > 0:
		return true
	case order == 0:
		if confirmedAt.After(stored.confirmedAt) {
			stored.confirmedAt = confirmedAt
		}
		return true
	case report.GetBody() == nil:
		return false
	case !found && len(r.byVM) >= maxReports:
		return true
	}
	r.byVM[report.GetVm()] = &storedReport{message: report, confirmedAt: confirmedAt}
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// compareReports orders two reports of one VM by incarnation and then by sequence number. It returns a negative number
// if b is newer than a, and 0 if both are the same report.
func compareReports(a, b *distributepb.Report) int {
	if a.GetIncarnation() != b.GetIncarnation() {
		return compareUint64(a.GetIncarnation(), b.GetIncarnation())
	}
	return compareUint64(a.GetSequence(), b.GetSequence())
}

func compareUint64(a, b uint64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// evictExpired drops reports older than maxReportAge. The caller holds r.mu.
func (r *Reports) evictExpired(now time.Time) {
	for vm, stored := range r.byVM {
		if now.Sub(stored.confirmedAt) > maxReportAge {
			delete(r.byVM, vm)
		}
	}
}

// messages returns the reports with their bodies and their age at now, for forwarding to the upstream.
func (r *Reports) messages(now time.Time) []*distributepb.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictExpired(now)
	messages := make([]*distributepb.Report, 0, len(r.byVM))
	for _, stored := range r.byVM {
		age := now.Sub(stored.confirmedAt)
		message := stored.message
		messages = append(messages, &distributepb.Report{
			Vm: message.GetVm(), Zone: message.GetZone(), Control: message.GetControl(),
			Incarnation: message.GetIncarnation(), Sequence: message.GetSequence(),
			AgeMs: age.Milliseconds(), Body: message.GetBody(),
		})
	}
	return messages
}

// All returns the reports that have not expired at now, ordered by VM name.
func (r *Reports) All(now time.Time) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.evictExpired(now)
	all := make([]Report, 0, len(r.byVM))
	for _, stored := range r.byVM {
		all = append(all, reportFromStored(stored))
	}
	slices.SortFunc(all, func(a, b Report) int { return strings.Compare(a.VM, b.VM) })
	return all
}

func reportFromStored(stored *storedReport) Report {
	message := stored.message
	report := Report{
		VM:          message.GetVm(),
		Zone:        message.GetZone(),
		Control:     message.GetControl(),
		Version:     message.GetBody().GetVersion(),
		Digest:      message.GetBody().GetDigest(),
		ConfirmedAt: stored.confirmedAt,
	}
	for _, server := range message.GetBody().GetServers() {
		report.Servers = append(report.Servers, serverFromProto(server))
	}
	return report
}

func serverFromProto(message *distributepb.Server) BackendServer {
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

func serverToProto(server BackendServer) *distributepb.Server {
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
