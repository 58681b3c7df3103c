// Package registry is the replicated state of the control group: the accepted
// bundles, the roll, the control VMs and the ledger epoch. It implements
// replica.StateMachine; the decisions are pure.
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

// ErrInvalidSnapshot tells that a snapshot can't be read by this program.
var ErrInvalidSnapshot = errors.New("not a snapshot of the registry")

// Registry holds the replicated state. Apply, Snapshot and Restore are called
// by the replica; the other methods are safe for concurrent use.
type Registry struct {
	mu      sync.RWMutex
	state   *state
	changed chan struct{}
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{state: newState(), changed: make(chan struct{})}
}

// Apply implements replica.StateMachine.
func (r *Registry) Apply(_ uint64, encoded []byte) []byte {
	command, err := Decode(encoded)
	result := Result{Code: CodeRefused}
	if err == nil {
		r.mu.Lock()
		result = r.state.execute(command)
		r.notify()
		r.mu.Unlock()
	}
	answer, err := proto.Marshal(result.message())
	if err != nil {
		return nil
	}
	return answer
}

// notify wakes the waiters of Changed. The caller holds the lock.
func (r *Registry) notify() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Snapshot implements replica.StateMachine.
func (r *Registry) Snapshot() ([]byte, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := r.state
	snapshot := &registrypb.Snapshot{
		Format:          format,
		Newest:          s.newest,
		Rolled:          s.rolled,
		Roll:            s.roll,
		History:         s.history,
		AcceptedAnswers: s.accepted.answers,
		RefusedAnswers:  s.refused.answers,
		ControlVms:      s.vms,
		Epochs:          s.epochs,

		ControlVmsRevision: s.vmsRevision,
		Routes:             s.routes,
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
	if snapshot.GetFormat() != format {
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
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = restored
	r.notify()
	return nil
}

// RouteTable is a stored route table.
type RouteTable struct {
	Version uint64
	// Compressed is the operator's document, compressed with zstd.
	Compressed []byte
}

// Routes returns the route table with the highest version; its version is 0
// before the first.
func (r *Registry) Routes() RouteTable {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return RouteTable{Version: r.state.routes.GetVersion(), Compressed: r.state.routes.GetContent()}
}

// Changed returns a channel that is closed at the next change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.changed
}

// AcceptedBundle is an accepted bundle with its content as it was signed.
type AcceptedBundle struct {
	Version    uint64
	Digest     string
	Signatures []bundle.Signature
	// Compressed is the canonical JSON, compressed with zstd.
	Compressed   []byte
	SubmissionID string
	// AcceptedAt is the time of acceptance by the clock of the leader then.
	AcceptedAt time.Time
}

// Newest returns the newest accepted bundle, or nil before the first.
func (r *Registry) Newest() *AcceptedBundle {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return acceptedOf(r.state.newest)
}

// Roll is the operators' last word on a roll.
type Roll struct {
	Version   uint64
	Stopped   bool
	ChangedAt time.Time
}

// CurrentRoll returns the bundle that engines are to be brought to and the state of
// its roll. Both are nil before the first roll.
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
	return acceptedOf(r.state.rolled), roll
}

// HistoryEntry is an accepted bundle without its content.
type HistoryEntry struct {
	Version      uint64    `json:"version"`
	Digest       string    `json:"digest"`
	SubmissionID string    `json:"submission_id"`
	AcceptedAt   time.Time `json:"at"`
}

// History returns up to limit accepted bundles, newest first.
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

// Epoch is a ledger epoch: the control VMs whose records count for claims.
type Epoch struct {
	// Number grows with each change, 0 before the first.
	Number uint64
	// Holders are ordered by member id.
	Holders []EpochHolder
}

// EpochHolder is a control VM whose records count for claims.
type EpochHolder struct {
	// MemberID is the identity of its data folder.
	MemberID uint64
	// Address is the "ip:port" of its internal listener.
	Address string
}

// Epoch returns the newest ledger epoch.
func (r *Registry) Epoch() Epoch {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return epochFromProto(r.state.epoch())
}

// Epochs returns the last ledger epochs, oldest first. A holder of claim
// records moves through them one by one.
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

// ControlVM is a member of the control group with its addresses.
type ControlVM struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Internal is the "ip:port" of its gRPC listener.
	Internal string `json:"internal"`
	// Operators is the "ip:port" of its operators' listener.
	Operators string `json:"operators"`
}

// ControlVMsRevision returns a number that grows with each change of the
// control VMs on record.
func (r *Registry) ControlVMsRevision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.vmsRevision
}

// ControlVMs returns the control VMs on record.
func (r *Registry) ControlVMs() []ControlVM {
	r.mu.RLock()
	defer r.mu.RUnlock()
	vms := make([]ControlVM, 0, len(r.state.vms))
	for _, vm := range r.state.vms {
		vms = append(vms, ControlVM{Name: vm.GetName(), Zone: vm.GetZone(), Internal: vm.GetInternal(), Operators: vm.GetOperators()})
	}
	return vms
}

func acceptedOf(message *registrypb.Accepted) *AcceptedBundle {
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
