// Package operatorapi defines the HTTP JSON API of control VMs for operators, and
// a client that finds the leader and retries requests. Package control serves the
// API.
package operatorapi

import (
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/registry"
)

// Paths on the listener for operators.
const (
	PathSubmit = "/v1/bundle/submit"
	PathRoll   = "/v1/bundle/roll"
	PathStatus = "/v1/bundle/status"
	PathNewest = "/v1/bundle/newest"
	PathVMs    = "/v1/vms"
	PathLeader = "/v1/leader"
)

// MaxRequestBytes is the maximum length of the body of a request. The client also
// reads at most as much of an answer.
const MaxRequestBytes = 2 * bundle.MaxContentBytes

// SubmitRequest requests the acceptance of a bundle as version ExpectedVersion + 1.
type SubmitRequest struct {
	// SubmissionID is an id that the operator sets. A resend with the same id and
	// content gets the answer to the first request.
	SubmissionID string `json:"submission_id"`
	// ExpectedVersion is the version of the newest bundle, 0 if there is none.
	ExpectedVersion uint64 `json:"expected_version"`
	// Content is the canonical JSON of the bundle.
	Content    []byte             `json:"content"`
	Signatures []bundle.Signature `json:"signatures"`
}

// SubmitReply is the answer to a SubmitRequest or a RollRequest.
type SubmitReply struct {
	registry.Result
	// Findings are the problems of the content and the signatures.
	Findings []string `json:"findings,omitempty"`
}

// RollRequest starts or stops the orders that bring engines to a version of the
// bundle.
type RollRequest struct {
	// SubmissionID has the same use as in a SubmitRequest.
	SubmissionID string `json:"submission_id"`
	// Version must be that of the newest accepted bundle.
	Version uint64 `json:"version"`
	// Stop is true to stop the orders, false to start them.
	Stop bool `json:"stop"`
}

// NewestReply is the newest accepted bundle, with version 0 if there is none yet.
type NewestReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Content is the canonical JSON of the bundle.
	Content []byte `json:"content"`
}

// VMRequest describes a control VM to add.
type VMRequest struct {
	Name string `json:"name"`
	// Zone is the availability zone of the VM.
	Zone string `json:"zone"`
	// Internal is the "ip:port" of the VM's gRPC listener.
	Internal string `json:"internal"`
	// Operators is the "ip:port" of the VM's listener for operators.
	Operators string `json:"operators"`
}

// ControlVM is a member of the control group.
type ControlVM struct {
	VMRequest
	// MemberID is the identity of the VM's data folder.
	MemberID uint64 `json:"member_id"`
	// Learner is true for a member that doesn't vote yet.
	Learner bool `json:"learner"`
	// Leader is true for the leader.
	Leader bool `json:"leader"`
	// BehindEntries is the number of log entries that the member lacks, as the
	// leader knows it.
	BehindEntries uint64 `json:"behind_entries"`
}

// VMList lists the members of the control group.
type VMList struct {
	Members []ControlVM `json:"members"`
}

// ErrorCode is the code of an error reply.
type ErrorCode string

// Codes of an error reply.
const (
	// ErrorNotLeader means that the control VM isn't the leader. The reply names
	// the leader if it is known.
	ErrorNotLeader ErrorCode = "not_leader"
	// ErrorOutcomeUnknown means that the request may have taken or may still take
	// effect. It is safe to resend it.
	ErrorOutcomeUnknown ErrorCode = "unknown"
	// ErrorBadRequest means that the request is invalid.
	ErrorBadRequest ErrorCode = "bad_request"
	// ErrorRefused means that the request was refused and the members of the
	// control group are unchanged.
	ErrorRefused ErrorCode = "refused"
)

// Status returns the HTTP status for c.
func (c ErrorCode) Status() int {
	switch c {
	case ErrorNotLeader:
		return http.StatusMisdirectedRequest
	case ErrorOutcomeUnknown:
		return http.StatusGatewayTimeout
	case ErrorRefused:
		return http.StatusConflict
	}
	return http.StatusBadRequest
}

// ErrorReply is the body of an answer with another HTTP status than 200.
type ErrorReply struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// LeaderName is the name of the leader, empty if it is unknown.
	LeaderName string `json:"leader_name,omitempty"`
	// LeaderOperators is the "ip:port" of the leader's listener for operators,
	// empty if it is unknown.
	LeaderOperators string `json:"leader_operators,omitempty"`
}

// Error implements the error interface.
func (e *ErrorReply) Error() string { return string(e.Code) + ": " + e.Message }

// VMState is the state of a VM with regard to the newest bundle.
type VMState string

// States of a VM.
const (
	// VMInForce means that the VM has the newest bundle in force.
	VMInForce VMState = "in_force"
	// VMBehind means that the VM has an older bundle or none in force.
	VMBehind VMState = "behind"
	// VMUnreachable means that there is no recent report of the VM.
	VMUnreachable VMState = "out_of_reach"
)

// VMStatus is the status of one VM.
type VMStatus struct {
	Name string `json:"name"`
	// Control is true for a control VM, false for an entry VM.
	Control bool    `json:"control,omitempty"`
	State   VMState `json:"state"`
	// Version is the bundle version in the VM's last report, 0 if there is none.
	Version uint64 `json:"version"`
	// SinceLastReport is the time since the VM's last report, in JSON in
	// nanoseconds. It is negative if there was no report.
	SinceLastReport time.Duration `json:"silent_for_ns"`
}

// ZoneState summarizes the states of the VMs of an availability zone.
type ZoneState string

// States of an availability zone.
const (
	// ZoneInForce means that all VMs have the newest bundle in force.
	ZoneInForce ZoneState = "in_force"
	// ZoneUpdating means that at least one reachable VM is behind.
	ZoneUpdating ZoneState = "taking_hold"
	// ZonePartlyUnreachable means that all reachable VMs have the bundle in force,
	// and at least one VM is unreachable.
	ZonePartlyUnreachable ZoneState = "partly_out_of_reach"
	// ZoneUnreachable means that all VMs are unreachable.
	ZoneUnreachable ZoneState = "out_of_reach"
)

// ZoneStatus is the status of one availability zone.
type ZoneStatus struct {
	Zone  string     `json:"zone"`
	State ZoneState  `json:"state"`
	VMs   []VMStatus `json:"vms"`
}

// RollStatus is the progress of a roll.
type RollStatus struct {
	// Version is the version of the bundle that is rolled out.
	Version uint64 `json:"version"`
	Stopped bool   `json:"stopped"`
	// Servers is the number of known engines.
	Servers int `json:"servers"`
	// Done is the number of engines that serve what the bundle states.
	Done int `json:"done"`
	// WaitReason tells why no orders are sent now. It is empty while some are.
	WaitReason string `json:"waiting,omitempty"`
}

// Status is the state of the newest bundle on the entry VMs and control VMs.
type Status struct {
	// Version is the version of the newest accepted bundle, 0 if there is none.
	Version      uint64    `json:"version"`
	Digest       string    `json:"digest"`
	SubmissionID string    `json:"submission_id"`
	AcceptedAt   time.Time `json:"accepted_at"`
	// Leader is the name of the control VM that is the leader in Term.
	Leader string       `json:"leader"`
	Term   uint64       `json:"term"`
	Zones  []ZoneStatus `json:"zones"`
	// Roll is nil if there is no roll.
	Roll *RollStatus `json:"roll,omitempty"`
}

// IsInForceEverywhere reports whether there is a bundle and all VMs of all zones
// have the newest one in force. It is false if a VM is unreachable.
func (s *Status) IsInForceEverywhere() bool {
	for _, zone := range s.Zones {
		if zone.State != ZoneInForce {
			return false
		}
	}
	return s.Version > 0
}
