package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"godwityoke.example/godwityoke/platform"
)

const (
	// zoneCallTimeout bounds one call to a control VM, which answers within 0.9 s.
	zoneCallTimeout = 1500 * time.Millisecond
	// zoneRetryDelay is the delay after all control VMs were called without success.
	zoneRetryDelay = 200 * time.Millisecond
	// maxZoneReplyBytes bounds the answer of a control VM.
	maxZoneReplyBytes = 1 << 20
)

// ZonesArguments holds the subcommands of "zones".
type ZonesArguments struct {
	Evacuate *ZoneOrderArguments `arg:"subcommand:evacuate" help:"stop new requests to the backend servers of an availability zone"`
	Restore  *ZoneOrderArguments `arg:"subcommand:restore" help:"end the evacuation of an availability zone"`
	List     *ZonesListArguments `arg:"subcommand:list" help:"list the availability zones, and since when they are evacuated"`
}

// ZonesControlArguments are the flags of all subcommands of "zones".
type ZonesControlArguments struct {
	Address []string      `arg:"--address,separate,required" help:"ip:port at which a control VM listens for operators; can be repeated, they are called in turn"`
	Timeout time.Duration `arg:"--timeout" default:"10s" help:"time limit of the command"`
}

// ZoneOrderArguments are the arguments of "zones evacuate" and "zones restore".
type ZoneOrderArguments struct {
	ZonesControlArguments
	Zone string `arg:"positional,required" help:"name of the availability zone"`
}

// ZonesListArguments are the arguments of "zones list".
type ZonesListArguments struct {
	ZonesControlArguments
}

// run runs the subcommand and returns its exit code, or false if there is none.
func (a *ZonesArguments) run(output Output) (code int, known bool) {
	switch {
	case a.Evacuate != nil:
		return a.Evacuate.run(true, output), true
	case a.Restore != nil:
		return a.Restore.run(false, output), true
	case a.List != nil:
		return a.List.run(output), true
	}
	return ExitUsage, false
}

func (a *ZoneOrderArguments) run(evacuated bool, output Output) int {
	if _, err := a.call(http.MethodPost, platform.EvacuationPath(a.Zone, evacuated)); err != nil {
		return output.failZones(err)
	}
	return ExitOK
}

func (a *ZonesListArguments) run(output Output) int {
	content, err := a.call(http.MethodGet, platform.PathEvacuations)
	if err != nil {
		return output.failZones(err)
	}
	var zones []platform.ZoneState
	if err := json.Unmarshal(content, &zones); err != nil {
		return output.failZones(fmt.Errorf("answer of the control VM: %w", err))
	}
	for _, zone := range zones {
		state := "in use"
		if zone.Evacuated && zone.Since != nil {
			state = "evacuated since " + zone.Since.Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(output.Out, "%s %s\n", zone.Zone, state)
	}
	return ExitOK
}

// errControlAddress means that a value of --address is no address.
var errControlAddress = errors.New("--address must be of the form ip:port")

func (o Output) failZones(err error) int {
	_, _ = fmt.Fprintln(o.Err, err)
	if errors.Is(err, errControlAddress) {
		return ExitUsage
	}
	return ExitFailure
}

// errFinal means that the same call can't succeed at any control VM.
var errFinal = errors.New("refused")

// call calls the control VMs in turn until one of them has answered with success or with a final error, or the time limit of
// the command has passed. Orders can be repeated, because one for the state that holds changes nothing.
func (a *ZonesControlArguments) call(method, path string) ([]byte, error) {
	for _, address := range a.Address {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, fmt.Errorf("%w: %w", errControlAddress, err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
	defer cancel()
	client := &http.Client{Timeout: zoneCallTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var lastErr error
	for round := 0; ; round++ {
		for _, address := range a.Address {
			content, err := callControlVM(ctx, client, method, "http://"+address+path)
			if err == nil || errors.Is(err, errFinal) {
				return content, err
			}
			if ctx.Err() != nil { // an earlier error tells more
				return nil, errors.Join(lastErr, ctx.Err())
			}
			lastErr = err
		}
		select {
		case <-time.After(zoneRetryDelay):
		case <-ctx.Done():
			return nil, errors.Join(lastErr, ctx.Err())
		}
	}
}

func callControlVM(ctx context.Context, client *http.Client, method, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, address, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxZoneReplyBytes))
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode == http.StatusOK:
		return content, nil
	case response.StatusCode < http.StatusInternalServerError:
		return nil, fmt.Errorf("%w: %s: %s", errFinal, response.Status, strings.TrimSpace(string(content)))
	}
	return nil, fmt.Errorf("%s: %s: %s", address, response.Status, strings.TrimSpace(string(content)))
}
