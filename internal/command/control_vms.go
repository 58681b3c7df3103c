package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"godwityoke.example/godwityoke/internal/operatorapi"
	"godwityoke.example/godwityoke/internal/settings"
	"godwityoke.example/godwityoke/internal/transport"
)

// errNoAddress means that the command line gives no address of a control VM.
var errNoAddress = errors.New("no address of a control VM given: use --settings or --address")

// ControlVMArguments are the flags of all commands that send requests to the control
// group.
type ControlVMArguments struct {
	Settings string        `arg:"--settings" help:"settings file with the addresses of the control VMs and the TLS files"`
	Address  []string      `arg:"--address,separate" help:"ip:port at which a control VM listens for operators; can be repeated"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"time limit of the command"`
}

// client returns a client of the control VMs, and a context that ends at the timeout. It
// returns errNoAddress if no address was given.
func (a *ControlVMArguments) client() (*operatorapi.Client, context.Context, context.CancelFunc, error) {
	addresses := a.Address
	var files settings.TLS
	if a.Settings != "" {
		loaded, err := findingsAsError(settings.Load(a.Settings))
		if err != nil {
			return nil, nil, nil, err
		}
		files = loaded.TLS
		for _, vm := range loaded.ControlVMs {
			addresses = append(addresses, vm.Operators)
		}
	}
	if len(addresses) == 0 {
		return nil, nil, nil, errNoAddress
	}
	certificates, err := transport.CertificatesFromSettings(files)
	if err != nil {
		return nil, nil, nil, err
	}
	client := operatorapi.NewClient(addresses, certificates.ClientConfig())
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	return client, ctx, cancel, nil
}

// fail prints err and returns the exit code for it.
func (o Output) fail(err error) int {
	_, _ = fmt.Fprintln(o.Err, err)
	if errors.Is(err, errNoAddress) {
		return ExitUsage
	}
	return ExitFailure
}
