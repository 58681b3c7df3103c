package registry

import (
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"godwityoke.example/godwityoke/internal/registry/registrypb"
)

// format is the version of the command envelope and of the snapshot.
const format = 1

const (
	// maxCommandBytes bounds an encoded command.
	maxCommandBytes = 9 << 20
	// maxNameBytes bounds submission ids and names.
	maxNameBytes = 128
	// digestBytes is the length of a digest in hexadecimal digits.
	digestBytes = 64
	// maxSignatures bounds the signatures of one bundle.
	maxSignatures = 64
	// maxControlVMs bounds the control VMs on record.
	maxControlVMs = 16
	// maxEpochs bounds the ledger epochs that are kept, so that a holder of
	// claim records that was away can move through them one by one.
	maxEpochs = 64
)

// ErrInvalidCommand tells that a command can't be executed by this program.
var ErrInvalidCommand = errors.New("not a command of the registry")

// Encode returns the form of command that goes into the replicated log.
func Encode(command *registrypb.Command) ([]byte, error) {
	command.Format = format
	if err := validate(command); err != nil {
		return nil, err
	}
	encoded, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode a command: %w", err)
	}
	return encoded, nil
}

// Decode reads a command from the replicated log.
func Decode(encoded []byte) (*registrypb.Command, error) {
	if len(encoded) > maxCommandBytes {
		return nil, fmt.Errorf("%w: it has %d bytes", ErrInvalidCommand, len(encoded))
	}
	command := &registrypb.Command{}
	if err := proto.Unmarshal(encoded, command); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidCommand, err)
	}
	if command.Format != format {
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
