package registry

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// Code is the outcome of a command.
type Code string

// Codes of a Result.
const (
	// CodeAccepted means that the command took effect, or that the state had its
	// effect already. A route table that is older than the stored one is accepted,
	// too, and discarded.
	CodeAccepted Code = "accepted"
	// CodeConflict means that a submission, a roll or a SetEpoch command names
	// another version or epoch number than the newest. For a submission the result
	// names the bundle that was accepted as the requested version, if the history
	// holds it, and otherwise the newest bundle.
	CodeConflict Code = "conflict"
	// CodeIDReused means that an earlier command with other content had the same
	// submission id. The result has the version and digest of the earlier result.
	CodeIDReused Code = "submission_id_reused"
	// CodeOutdated means that an order to evacuate or to restore a zone would change evacuations
	// that have changed since the order arrived.
	CodeOutdated Code = "outdated"
	// CodeRefused means that the registry can't execute the command.
	CodeRefused Code = "refused"
)

// Result is the answer to a command.
type Result struct {
	Code Code `json:"code"`
	// Version and Digest identify the bundle that Code refers to. For a route
	// table, Version is the version of the stored table, for an evacuation the revision of the
	// evacuations.
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// Epoch is the number of the newest ledger epoch after a SetEpoch command.
	Epoch uint64 `json:"epoch,omitempty"`
}

// DecodeResult decodes the result that Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	message := &registrypb.Result{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return Result{}, fmt.Errorf("decode a result: %w", err)
	}
	return resultFromProto(message), nil
}

func resultFromProto(message *registrypb.Result) Result {
	return Result{Code: Code(message.GetCode()), Version: message.GetVersion(), Digest: message.GetDigest(), Epoch: message.GetEpoch()}
}

func (r Result) toProto() *registrypb.Result {
	return &registrypb.Result{Code: string(r.Code), Version: r.Version, Digest: r.Digest, Epoch: r.Epoch}
}
