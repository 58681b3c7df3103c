package registry

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// Code tells what became of a command.
type Code string

// Codes of a Result.
const (
	// CodeAccepted means that the command took effect: now, or when it was
	// sent for the first time.
	CodeAccepted Code = "accepted"
	// CodeConflict means that the expected version is not the newest one. The
	// result names the bundle that was accepted in its place.
	CodeConflict Code = "conflict"
	// CodeIDReused means that the submission id was used before with other
	// content. The result names the digest of the first use.
	CodeIDReused Code = "submission_id_reused"
	// CodeRefused means that the registry could not execute the command.
	CodeRefused Code = "refused"
)

// Result is the answer to a command.
type Result struct {
	Code Code `json:"code"`
	// Version and Digest name the bundle that the answer is about.
	Version uint64 `json:"version"`
	Digest  string `json:"digest,omitempty"`
	// Epoch is the ledger epoch after a change of it.
	Epoch uint64 `json:"epoch,omitempty"`
}

// DecodeResult reads what Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	message := &registrypb.Result{}
	if err := proto.Unmarshal(encoded, message); err != nil {
		return Result{}, fmt.Errorf("decode a result: %w", err)
	}
	return resultOf(message), nil
}

func resultOf(message *registrypb.Result) Result {
	return Result{Code: Code(message.GetCode()), Version: message.GetVersion(), Digest: message.GetDigest(), Epoch: message.GetEpoch()}
}

func (r Result) message() *registrypb.Result {
	return &registrypb.Result{Code: string(r.Code), Version: r.Version, Digest: r.Digest, Epoch: r.Epoch}
}
