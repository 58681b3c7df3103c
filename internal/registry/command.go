package registry

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// formatVersion is the version of the encoding of commands and snapshots.
const formatVersion = 1

const (
	// maxCommandBytes is the maximum length of an encoded command. Decode
	// checks it.
	maxCommandBytes = 9 << 20
	// maxNameBytes is the maximum length of a submission id, a name, a zone or an
	// address.
	maxNameBytes = 128
	// digestBytes is the length of a SHA-256 in hexadecimal digits.
	digestBytes = 64
	// maxSignatures is the maximum number of signatures of one bundle.
	maxSignatures = 64
	// maxControlVMs is the maximum number of control VMs in the registry, and
	// of holders in a ledger epoch.
	maxControlVMs = 16
	// maxEpochs is the maximum number of ledger epochs in the registry, which
	// keeps the newest. It keeps more than one so that a holder of claim records
	// that was unreachable can move through each missed epoch in turn.
	maxEpochs = 64
)

// ErrInvalidCommand is returned for a command that this program can't execute.
var ErrInvalidCommand = errors.New("not a command of the registry")

// Encode validates command, sets its format version and returns its encoding for
// the replicated log. The error wraps ErrInvalidCommand for an invalid command.
func Encode(command *registrypb.Command) ([]byte, error) {
	command.Format = formatVersion
	if err := validate(command); err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode a command: %w", err)
	}
	return encoded, nil
}

// Decode decodes and validates a command from the replicated log. The error
// wraps ErrInvalidCommand.
func Decode(encoded []byte) (*registrypb.Command, error) {
	if len(encoded) > maxCommandBytes {
		return nil, fmt.Errorf("%w: it has %d bytes", ErrInvalidCommand, len(encoded))
	}
	command := &registrypb.Command{}
	if err := proto.Unmarshal(encoded, command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	if command.Format != formatVersion {
		return nil, fmt.Errorf("%w: its format is %d", ErrInvalidCommand, command.Format)
	}
	if err := validate(command); err != nil {
		return nil, err
	}
	return command, nil
}

func validate(command *registrypb.Command) error {
	switch kind := command.Kind.(type) {
	case *registrypb.Command_Submit:
		return validateSubmit(kind.Submit)
	case *registrypb.Command_Roll:
		return validateNames(kind.Roll.GetSubmissionId())
	case *registrypb.Command_SetEpoch:
		return validateHolders(kind.SetEpoch.GetHolders())
	case *registrypb.Command_PutControlVm:
		vm := kind.PutControlVm.GetVm()
		return validateNames(vm.GetName(), vm.GetZone(), vm.GetInternal())
	case *registrypb.Command_RemoveControlVm:
		return validateNames(kind.RemoveControlVm.GetName())
	case *registrypb.Command_PutRoutes:
		return validateRoutes(kind.PutRoutes.GetTable())
	case *registrypb.Command_RecordDepartures:
		return validateDepartures(kind.RecordDepartures.GetDepartures())
	case *registrypb.Command_SetEvacuation:
		return validateNames(kind.SetEvacuation.GetZone())
	}
	return fmt.Errorf("%w: its kind is unknown", ErrInvalidCommand)
}

func validateSubmit(submit *registrypb.Submit) error {
	if len(submit.GetDigest()) != digestBytes {
		return fmt.Errorf("%w: the digest has %d characters", ErrInvalidCommand, len(submit.GetDigest()))
	}
	if len(submit.GetContent()) == 0 {
		return fmt.Errorf("%w: there is no content", ErrInvalidCommand)
	}
	if len(submit.GetSignatures()) > maxSignatures {
		return fmt.Errorf("%w: too many signatures", ErrInvalidCommand)
	}
	return validateNames(submit.GetSubmissionId())
}

func validateRoutes(table *registrypb.RouteTable) error {
	if table.GetVersion() == 0 || len(table.GetContent()) == 0 {
		return fmt.Errorf("%w: a route table needs a version and content", ErrInvalidCommand)
	}
	return nil
}

// validateNames returns an error that wraps ErrInvalidCommand unless each name has 1
// to maxNameBytes bytes.
func validateNames(names ...string) error {
	for _, name := range names {
		if name == "" || len(name) > maxNameBytes {
			return fmt.Errorf("%w: a name has %d bytes, allowed: 1 to %d", ErrInvalidCommand, len(name), maxNameBytes)
		}
	}
	return nil
}

func validateHolders(holders []*registrypb.EpochHolder) error {
	if len(holders) > maxControlVMs {
		return fmt.Errorf("%w: too many control VMs", ErrInvalidCommand)
	}
	for _, holder := range holders {
		if err := validateNames(holder.GetAddress()); err != nil {
			return err
		}
	}
	return nil
}
