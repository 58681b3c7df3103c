// Package registry is the replicated state machine of the control group. Its
// state is the accepted bundles, the roll, the control VMs, the ledger epochs, the
// route table, the backend servers that have left and the evacuated zones. It implements replica.StateMachine: the result of a command
// depends on the state and the command alone, so that all members reach the same
// state. Replication, the check of signatures and the distribution of bundles are
// the responsibility of other packages.
package registry

import (
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// ErrInvalidSnapshot is returned for a snapshot that this program can't read.
var ErrInvalidSnapshot = errors.New("not a snapshot of the registry")

// Registry holds the replicated state of one member. Apply, Snapshot and Restore are
// for the replica. The other methods are safe for concurrent use with them.
type Registry struct {
	mu    sync.RWMutex
	state *state
	// changed is closed and replaced by each Apply of a valid command and by
	// Restore.
	changed chan struct{}
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{state: newState(), changed: make(chan struct{})}
}

// Apply implements replica.StateMachine. It returns an encoded Result, which
// DecodeResult reads. A command that can't be decoded has the result CodeRefused
// and changes nothing.
func (r *Registry) Apply(_ uint64, encoded []byte) []byte {
	command, err := Decode(encoded)
	result := Result{Code: CodeRefused}
	if err == nil {
		r.mu.Lock()
		result = r.state.execute(command)
		r.notifyChanged()
		r.mu.Unlock()
	}
	answer, err := proto.Marshal(result.toProto())
	if err != nil {
		return nil
	}
	return answer
}

// notifyChanged wakes the receivers of Changed. The caller holds r.mu.
func (r *Registry) notifyChanged() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot implements replica.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.state
	snapshot := &registrypb.Snapshot{
		Format:          formatVersion,
		Newest:          s.newest,
		Rolled:          s.rolled,
		Roll:            s.roll,
		History:         s.history,
		AcceptedAnswers: s.accepted.answers,
		RefusedAnswers:  s.refused.answers,
		ControlVms:      s.vms,
		Epochs:          s.epochs,

		ControlVmsRevision:  s.vmsRevision,
		Routes:              s.routes,
		Departures:          s.departures,
		DeparturesRevision:  s.departuresRevision,
		Evacuations:         s.evacuations,
		EvacuationsRevision: s.evacuationsRevision,
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode the registry: %w", err)
	}
	return encoded, nil
}

// Restore implements replica.StateMachine.
func (r *Registry) Restore(encoded []byte) error {
	snapshot := &registrypb.Snapshot{}
	if err := proto.Unmarshal(encoded, snapshot); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidSnapshot, err)
	}
	if snapshot.GetFormat() != formatVersion {
		return fmt.Errorf("%w: its format is %d", ErrInvalidSnapshot, snapshot.GetFormat())
	}
	restored := newState()
	restored.newest = snapshot.GetNewest()
	restored.rolled = snapshot.GetRolled()
	restored.roll = snapshot.GetRoll()
	restored.history = snapshot.GetHistory()
	restored.accepted.replace(snapshot.GetAcceptedAnswers())
	restored.refused.replace(snapshot.GetRefusedAnswers())
	restored.vms = snapshot.GetControlVms()
	restored.epochs = snapshot.GetEpochs()
	restored.vmsRevision = snapshot.GetControlVmsRevision()
	restored.routes = snapshot.GetRoutes()
	restored.departures = snapshot.GetDepartures()
	restored.departuresRevision = snapshot.GetDeparturesRevision()
	restored.evacuations = snapshot.GetEvacuations()
	restored.evacuationsRevision = snapshot.GetEvacuationsRevision()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = restored
	r.notifyChanged()
	return nil
}

// RouteTable is a stored route table.
type RouteTable struct {
	Version uint64
	// Compressed is the document that the operator sent, compressed with zstd.
	Compressed []byte
}

// Routes returns the route table with the highest version. The version is 0 if
// there is no table yet.
func (r *Registry) Routes() RouteTable {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return RouteTable{Version: r.state.routes.GetVersion(), Compressed: r.state.routes.GetContent()}
}

// Changed returns a channel that is closed when the next command or snapshot is
// applied. Get the channel before reading the state, so that no change is missed.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// AcceptedBundle is an accepted bundle with its content as it was signed.
type AcceptedBundle struct {
	Version uint64
	// Digest is the SHA-256 of the canonical JSON in hexadecimal digits.
	Digest     string
	Signatures []bundle.Signature
	// Compressed is the canonical JSON, compressed with zstd.
	Compressed   []byte
	SubmissionID string
	// AcceptedAt is the time at which the leader proposed the acceptance, by the
	// clock of that leader.
	AcceptedAt time.Time
}

// Newest returns the newest accepted bundle, or nil if there is none yet.
func (r *Registry) Newest() *AcceptedBundle {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return acceptedFromProto(r.state.newest)
}

// Roll is the state of a roll as the last roll command of an operator set it.
type Roll struct {
	// Version is the version of the bundle that is rolled out.
	Version uint64
	// Stopped is true while the leader sends no orders of the roll to engines.
	Stopped bool
	// ChangedAt is the time at which the leader proposed the command, by the clock of
	// that leader.
	ChangedAt time.Time
}

// CurrentRoll returns the bundle to which the roll brings the engines, and the
// state of the roll. Both are nil before the first roll.
func (r *Registry) CurrentRoll() (*AcceptedBundle, *Roll) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.state.roll == nil {
		return nil, nil
	}
	roll := &Roll{
		Version:   r.state.roll.GetVersion(),
		Stopped:   r.state.roll.GetStopped(),
		ChangedAt: time.UnixMilli(r.state.roll.GetUnixMs()),
	}
	return acceptedFromProto(r.state.rolled), roll
}

// HistoryEntry describes an accepted bundle without its content.
type HistoryEntry struct {
	Version      uint64    `json:"version"`
	Digest       string    `json:"digest"`
	SubmissionID string    `json:"submission_id"`
	AcceptedAt   time.Time `json:"at"`
}

// History returns the newest accepted bundles, at most limit, newest first.
func (r *Registry) History(limit int) []HistoryEntry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var entries []HistoryEntry
	for _, accepted := range slices.Backward(r.state.history) {
		if len(entries) >= limit {
			break
		}
		entries = append(entries, HistoryEntry{
			Version:      accepted.GetVersion(),
			Digest:       accepted.GetDigest(),
			SubmissionID: accepted.GetSubmissionId(),
			AcceptedAt:   time.UnixMilli(accepted.GetUnixMs()),
		})
	}
	return entries
}

// Epoch is a ledger epoch: the set of control VMs whose claim records form the
// quorum for claims.
type Epoch struct {
	// Number grows by one with each epoch. It is 0 if there is no epoch yet.
	Number uint64
	// Holders are ordered by member id.
	Holders []EpochHolder
}

// EpochHolder is a control VM that holds claim records in a ledger epoch.
type EpochHolder struct {
	// MemberID is the identity of the VM's data folder.
	MemberID uint64
	// Address is the "ip:port" of the VM's internal listener.
	Address string
}

// Epoch returns the newest ledger epoch, with number 0 if there is none yet.
func (r *Registry) Epoch() Epoch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return epochFromProto(r.state.epoch())
}

// Epochs returns the newest ledger epochs, at most maxEpochs, oldest first. A
// holder of claim records moves through them in turn.
func (r *Registry) Epochs() []Epoch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	epochs := make([]Epoch, len(r.state.epochs))
	for i, epoch := range r.state.epochs {
		epochs[i] = epochFromProto(epoch)
	}
	return epochs
}

func epochFromProto(epoch *registrypb.Epoch) Epoch {
	holders := make([]EpochHolder, len(epoch.GetHolders()))
	for i, holder := range epoch.GetHolders() {
		holders[i] = EpochHolder{MemberID: holder.GetMemberId(), Address: holder.GetAddress()}
	}
	return Epoch{Number: epoch.GetNumber(), Holders: holders}
}

// ControlVM is a control VM with its addresses.
type ControlVM struct {
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Internal is the "ip:port" of the VM's gRPC listener.
	Internal string `json:"internal"`
	// Operators is the "ip:port" of the VM's listener for operators.
	Operators string `json:"operators"`
}

// ControlVMsRevision returns the revision of the list of control VMs. It grows
// with each change of the list.
func (r *Registry) ControlVMsRevision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.vmsRevision
}

// ControlVMs returns the control VMs in the registry.
func (r *Registry) ControlVMs() []ControlVM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vms := make([]ControlVM, 0, len(r.state.vms))
	for _, vm := range r.state.vms {
		vms = append(vms, ControlVM{Name: vm.GetName(), Zone: vm.GetZone(), Internal: vm.GetInternal(), Operators: vm.GetOperators()})
	}
	return vms
}

func acceptedFromProto(message *registrypb.Accepted) *AcceptedBundle {
	if message == nil {
		return nil
	}
	accepted := &AcceptedBundle{
		Version:      message.GetVersion(),
		Digest:       message.GetDigest(),
		Compressed:   message.GetContent(),
		SubmissionID: message.GetSubmissionId(),
		AcceptedAt:   time.UnixMilli(message.GetUnixMs()),
	}
	for _, signature := range message.GetSignatures() {
		accepted.Signatures = append(accepted.Signatures, bundle.Signature{Key: signature.GetKey(), Value: signature.GetValue()})
	}
	return accepted
}
