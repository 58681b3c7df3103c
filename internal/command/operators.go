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

// errNoAddress tells that no control VM was named.
var errNoAddress = errors.New("no control VM is named: give --settings or --address")

// ControlVMArguments say where the control VMs are.
type ControlVMArguments struct {
	Settings string        `arg:"--settings" help:"settings file that names the control VMs and the TLS files"`
	Address  []string      `arg:"--address,separate" help:"operators' address of a control VM, ip:port; may be repeated"`
	Timeout  time.Duration `arg:"--timeout" default:"30s" help:"how long to try"`
}

// client returns a client of the control VMs, and a context that ends with the
// time limit.
func (a *ControlVMArguments) client() (*operatorapi.Client, context.Context, context.CancelFunc, error) {
	addresses := a.Address
	var files settings.TLS
	if a.Settings != "" {
		loaded, err := withoutFindings(settings.Load(a.Settings))
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

// fail prints err and returns the exit code that goes with it.
func (o Output) fail(err error) int {
	_, _ = fmt.Fprintln(o.Err, err)
	if errors.Is(err, errNoAddress) {
		return ExitUsage
	}
	return ExitFailure
}
