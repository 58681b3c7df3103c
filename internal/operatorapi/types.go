// Package operatorapi defines the operators' HTTP JSON interface of control
// VMs and its client, which finds the leader and sends lost requests again.
package operatorapi

import (
	"net/http"
	"time"

	"godwityoke.example/godwityoke/internal/bundle"
	"godwityoke.example/godwityoke/internal/registry"
)

// Paths on the operators' listener.
const (
	PathSubmit = "/v1/bundle/submit"
	PathRoll   = "/v1/bundle/roll"
	PathStatus = "/v1/bundle/status"
	PathNewest = "/v1/bundle/newest"
	PathVMs    = "/v1/vms"
	PathLeader = "/v1/leader"
)

// MaxRequestBytes bounds the body of an operator's request.
const MaxRequestBytes = 2 * bundle.MaxContentBytes

// SubmitRequest asks for acceptance of a bundle as version ExpectedVersion + 1.
type SubmitRequest struct {
	// SubmissionID is chosen by the caller. A resend with the same id and
	// content gets the answer of the first time.
	SubmissionID    string `json:"submission_id"`
	ExpectedVersion uint64 `json:"expected_version"`
	// Content is the canonical JSON of the bundle.
	Content    []byte             `json:"content"`
	Signatures []bundle.Signature `json:"signatures"`
}

// SubmitReply answers a SubmitRequest.
type SubmitReply struct {
	registry.Result
	// Findings lists what is wrong with content or signatures, one a line.
	Findings []string `json:"findings,omitempty"`
}

// RollRequest starts or stops the orders that bring engines to a version.
type RollRequest struct {
	SubmissionID string `json:"submission_id"`
	// Version must be the newest accepted one.
	Version uint64 `json:"version"`
	Stop    bool   `json:"stop"`
}

// NewestReply is the newest accepted bundle.
type NewestReply struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Content is the canonical JSON of the bundle.
	Content []byte `json:"content"`
}

// VMRequest names a control VM to be added.
type VMRequest struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Internal and Operators are "ip:port" addresses.
	Internal  string `json:"internal"`
	Operators string `json:"operators"`
}

// ControlVM is a member of the control group.
type ControlVM struct {
	VMRequest
	MemberID uint64 `json:"member_id"`
	// Learner is true for a member that does not vote yet.
	Learner bool `json:"learner"`
	Leader  bool `json:"leader"`
	// BehindEntries is how much of the log the member lacks, as the leader
	// knows it.
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
	// ErrorNotLeader means that another control VM has to be asked.
	ErrorNotLeader ErrorCode = "not_leader"
	// ErrorOutcomeUnknown means that the request may take effect. It is safe to send
	// it again.
	ErrorOutcomeUnknown ErrorCode = "unknown"
	// ErrorBadRequest means that the request can't be understood.
	ErrorBadRequest ErrorCode = "bad_request"
	// ErrorRefused means that the request was refused and changed nothing.
	ErrorRefused ErrorCode = "refused"
)

// Status returns the HTTP status that goes with c.
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

// ErrorReply is the body of an answer other than 200.
type ErrorReply struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// LeaderName and LeaderOperators name the leader, empty when unknown.
	LeaderName      string `json:"leader_name,omitempty"`
	LeaderOperators string `json:"leader_operators,omitempty"`
}

// Error implements the error interface.
func (e *ErrorReply) Error() string { return string(e.Code) + ": " + e.Message }

// VMState tells where a VM stands against the newest bundle.
type VMState string

// States of a VM.
const (
	VMInForce     VMState = "in_force"
	VMBehind      VMState = "behind"
	VMUnreachable VMState = "out_of_reach"
)

// VMStatus is one VM's part of a Status.
type VMStatus struct {
	Name    string  `json:"name"`
	Control bool    `json:"control,omitempty"`
	State   VMState `json:"state"`
	// Version is the last one that the VM reported, 0 for none.
	Version uint64 `json:"version"`
	// SinceLastReport is the time since the VM's last report, negative when there
	// was none.
	SinceLastReport time.Duration `json:"silent_for_ns"`
}

// ZoneState sums up a zone.
type ZoneState string

// States of a zone.
const (
	ZoneInForce  ZoneState = "in_force"
	ZoneUpdating ZoneState = "taking_hold"
	// ZonePartlyUnreachable means that all VMs in reach have the bundle in force, and
	// some VMs are out of reach.
	ZonePartlyUnreachable ZoneState = "partly_out_of_reach"
	ZoneUnreachable       ZoneState = "out_of_reach"
)

// ZoneStatus is one availability zone's part of a Status.
type ZoneStatus struct {
	Zone  string     `json:"zone"`
	State ZoneState  `json:"state"`
	VMs   []VMStatus `json:"vms"`
}

// RollStatus tells how far a roll is.
type RollStatus struct {
	Version uint64 `json:"version"`
	Stopped bool   `json:"stopped"`
	// Servers counts the engines known, Done those that serve what the bundle
	// states.
	Servers int `json:"servers"`
	Done    int `json:"done"`
	// WaitReason tells why no more orders are given now, empty while some are.
	WaitReason string `json:"waiting,omitempty"`
}

// Status tells where the newest bundle has taken hold.
type Status struct {
	Version      uint64       `json:"version"`
	Digest       string       `json:"digest"`
	SubmissionID string       `json:"submission_id"`
	AcceptedAt   time.Time    `json:"accepted_at"`
	Leader       string       `json:"leader"`
	Term         uint64       `json:"term"`
	Zones        []ZoneStatus `json:"zones"`
	Roll         *RollStatus  `json:"roll,omitempty"`
}

// IsInForceEverywhere reports whether each VM reported that it has the newest
// bundle in force. A VM out of reach counts against it.
func (s *Status) IsInForceEverywhere() bool {
	for _, zone := range s.Zones {
		if zone.State != ZoneInForce {
			return false
		}
	}
	return s.Version > 0
}
